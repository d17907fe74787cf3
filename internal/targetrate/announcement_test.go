package targetrate

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestAnnouncementIsParsed(t *testing.T) {
	for _, c := range []struct {
		name   string
		fields []string
		want   Announcement
	}{
		{"missing", nil, Announcement{}},
		{"decimal", []string{"6.8"}, Announcement{Limited: true, Rate: 6.8}},
		{"integer", []string{"40"}, Announcement{Limited: true, Rate: 40}},
		{"spaces", []string{"  3.6\t"}, Announcement{Limited: true, Rate: 3.6}},
		{"zero", []string{"0"}, Announcement{Limited: true}},
		{"near zero", []string{"0.05"}, Announcement{Limited: true, Rate: 0.05}},
		{"exponent", []string{"1e2"}, Announcement{Limited: true, Rate: 100}},
		{"several fields", []string{"7", "5.5"}, Announcement{Limited: true, Rate: 5.5}},
		{"several values", []string{"5.5, 7"}, Announcement{Limited: true, Rate: 5.5}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Parse(c.fields)
			assert.NilError(t, err)
			assert.Equal(t, got, c.want)
		})
	}
}

func TestMalformedAnnouncementIsRejected(t *testing.T) {
	for _, fields := range [][]string{{""}, {" "}, {"-1"}, {"-0"}, {"NaN"}, {"Inf"}, {"+Inf"}, {"infinity"}, {"1e400"}, {"0x10"}, {"1_000"},
		{"6.8 7"}, {"6.8;q=1"}, {"ten"}, {"5", ""}, {"5,"}, {"5", "NaN"}} {
		_, err := Parse(fields)
		assert.ErrorIs(t, err, ErrMalformed, "%q", fields)
	}
}
