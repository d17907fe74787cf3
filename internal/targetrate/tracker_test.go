package targetrate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func limitOf(rate float64) Announcement { return Announcement{Limited: true, Rate: rate} }

func TestAnnouncementInForce(t *testing.T) {
	type observation struct {
		announcement     Announcement
		sent, receivedAt float64
	}
	none := Announcement{}
	for _, c := range []struct {
		name         string
		observations []observation
		want         Announcement
	}{
		{"no limit", []observation{{none, 0, 1}}, none},
		{"limit is set", []observation{{none, 0, 1}, {limitOf(6.8), 0, 2}}, limitOf(6.8)},
		{"limit is lowered", []observation{{limitOf(6.8), 0, 1}, {limitOf(3.6), 0, 2}}, limitOf(3.6)},
		{"limit is raised", []observation{{limitOf(3.6), 0, 1}, {limitOf(6.8), 2, 3}}, limitOf(6.8)},
		{"limit is lifted", []observation{{limitOf(3.6), 0, 1}, {none, 2, 3}}, none},
		{"response sent before the limit doesn't lift it", []observation{{limitOf(3.6), 1, 2}, {none, 0, 3}}, limitOf(3.6)},
		{"response sent before the limit doesn't raise it", []observation{{limitOf(3.6), 1, 2}, {limitOf(6.8), 0, 3}}, limitOf(3.6)},
		{"response read before the limit doesn't lower it", []observation{{limitOf(6.8), 2, 3}, {limitOf(3.6), 0, 1}}, limitOf(6.8)},
		{"response read before the lifting doesn't set a limit", []observation{{limitOf(3.6), 0, 1}, {none, 2, 4}, {limitOf(3.6), 2, 3}}, none},
		{"confirmed limit is not lifted by an earlier call", []observation{{limitOf(3.6), 0, 1}, {limitOf(3.6), 2, 5}, {none, 3, 6}}, limitOf(3.6)},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker Tracker
			for _, o := range c.observations {
				tracker.Observe(Observation{Announcement: o.announcement, SentAt: at(o.sent), ReceivedAt: at(o.receivedAt)})
			}
			assert.Equal(t, tracker.Current(), c.want)
		})
	}
}

func TestLimitOfAnotherProcessIsAdoptedUntilFirstResponse(t *testing.T) {
	var tracker Tracker
	assert.Assert(t, tracker.Adopt(limitOf(6.8), at(1)))
	assert.Assert(t, !tracker.Adopt(limitOf(8), at(1)), "the stricter limit holds")
	assert.Assert(t, tracker.Adopt(limitOf(3.6), at(2)))
	assert.Assert(t, tracker.Observe(Observation{SentAt: at(3), ReceivedAt: at(4)}))
	assert.Assert(t, !tracker.Adopt(limitOf(3.6), at(5)))
	assert.Equal(t, tracker.Current(), Announcement{})
}

func TestResponseOfAnotherCallOnlyLowersLimit(t *testing.T) {
	var tracker Tracker
	assert.Assert(t, tracker.Observe(Observation{Announcement: limitOf(6.8), ReceivedAt: at(1)}))
	assert.Assert(t, !tracker.Observe(Observation{ReceivedAt: at(2)}))
	assert.Assert(t, tracker.Observe(Observation{Announcement: limitOf(3.6), ReceivedAt: at(3)}))
	assert.Equal(t, tracker.Current(), limitOf(3.6))
}
