package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// announcedFixture returns a forwarder with a clock that the test sets, and a home.
func announcedFixture(now *time.Time) (*Forwarder, *registry.Home) {
	clock := func() time.Time { return *now }
	f := &Forwarder{config: Config{Headers: callheader.Names{RateLimit: "X-Rate-Limit", Leaving: "X-Leaving"}}, now: clock,
		directory: registry.NewDirectory("homes/", "", nil, clock)}
	return f, &registry.Home{Record: registry.Record{Instance: "i-1", Address: "home-1"}}
}

func (f *Forwarder) pausedFor(home *registry.Home, level criticality.Level) time.Duration {
	announced, _ := f.announced.get(home.Instance)
	return announced.pausedFor(level, f.now())
}

func TestRefusedLevelsArePaused(t *testing.T) {
	now := time.Unix(1000, 0)
	f, home := announcedFixture(&now)
	limited := peering.TargetAnnouncement{Instance: "i-1", Rate: targetrate.Announcement{Limited: true, Rate: 1}}
	q := &request{rank: criticality.Rank{Level: criticality.SheddablePlus}}
	f.recordAnnouncement(q, home, &peering.Reply{Outcome: peering.Refused, Reason: peering.RateLimited, RetryAfter: time.Second, Load: peering.Load{Target: limited}})
	assert.Equal(t, f.pausedFor(home, criticality.Critical), time.Duration(0))
	assert.Equal(t, f.pausedFor(home, criticality.SheddablePlus), time.Second)
	assert.Equal(t, f.pausedFor(home, criticality.Sheddable), time.Second)
	now = now.Add(time.Second)
	assert.Equal(t, f.pausedFor(home, criticality.Sheddable), time.Duration(0))
}

func TestResponseWithoutLimitLiftsIt(t *testing.T) {
	now := time.Unix(1000, 0)
	f, home := announcedFixture(&now)
	announced := peering.TargetAnnouncement{Instance: "i-1", Rate: targetrate.Announcement{Limited: true, Rate: 1}}
	q := &request{}
	f.recordAnnouncement(q, home, &peering.Reply{Outcome: peering.Answered, Load: peering.Load{Target: announced, Room: time.Second}})
	assert.Equal(t, f.pausedFor(home, criticality.CriticalPlus), time.Second)
	f.recordAnnouncement(q, home, &peering.Reply{Outcome: peering.Refused, Reason: peering.NoTarget})
	known, _ := f.announced.get("i-1")
	assert.Assert(t, known.Rate.Limited, "a home that was restarted doesn't know the limit")
	f.recordAnnouncement(q, home, &peering.Reply{Outcome: peering.Answered})
	_, found := f.announced.get("i-1")
	assert.Assert(t, !found)
}

func TestDepartureIsKeptAfterLaterResponses(t *testing.T) {
	now := time.Unix(1000, 0)
	f, home := announcedFixture(&now)
	f.recordAnnouncement(&request{}, home, &peering.Reply{Outcome: peering.Answered, Load: peering.Load{Target: peering.TargetAnnouncement{Instance: "i-1", Leaving: true}}})
	f.recordAnnouncement(&request{}, home, &peering.Reply{Outcome: peering.Answered})
	known, _ := f.announced.get("i-1")
	assert.Assert(t, known.Leaving)
}

func TestAnnouncementsOfHomesOfEarlierVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	f, home := announcedFixture(&now)
	f.recordAnnouncement(&request{}, home, &peering.Reply{Outcome: peering.Answered, Header: http.Header{"X-Rate-Limit": {"0.5"}}})
	assert.Equal(t, f.pausedFor(home, criticality.CriticalPlus), 2*time.Second, "one node has the whole limit")
	f.recordAnnouncement(&request{}, home, &peering.Reply{Outcome: peering.Answered, Header: http.Header{"X-Leaving": {"1"}}})
	known, _ := f.announced.get("i-1")
	assert.Assert(t, known.Leaving)
}
