package registry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/targetrate"
)

func TestSignificantRateLimitsArePublished(t *testing.T) {
	limit := func(rate float64) targetrate.Announcement {
		return targetrate.Announcement{Limited: true, Rate: rate}
	}
	for _, c := range []struct {
		name           string
		published, new targetrate.Announcement
		significant    bool
	}{
		{"set", targetrate.Announcement{}, limit(6.8), true},
		{"lifted", limit(6.8), targetrate.Announcement{}, true},
		{"lowered", limit(6.8), limit(3.6), true},
		{"raised", limit(3.6), limit(6.8), true},
		{"hardly lowered", limit(6.8), limit(6.5), false},
		{"both below the least rate", limit(0.05), limit(0), false},
		{"unchanged", targetrate.Announcement{}, targetrate.Announcement{}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			publication := ratePublication{published: c.published}
			assert.Equal(t, publication.isSignificant(c.new), c.significant)
		})
	}
}
