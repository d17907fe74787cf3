package registry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
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

// awaitPublishedRate waits until the record of the node holds the announcement.
func awaitPublishedRate(t *testing.T, kv store.Store, want targetrate.Announcement) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		snapshot, err := kv.List(context.Background(), homesPrefix)
		if err != nil || len(snapshot.Entries) != 1 {
			return poll.Continue("%d entries, %v", len(snapshot.Entries), err)
		}
		record, err := decodeRecord(snapshot.Entries[0], homesPrefix)
		if err != nil || record.Announcement() != want {
			return poll.Continue("limit %s, %v", record.Announcement(), err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestRateLimitIsPublishedForEachIncarnation(t *testing.T) {
	kv := memory.New(time.Now)
	r := startRegistrar(t, kv)
	limit := targetrate.Announcement{Limited: true, Rate: 6.8}
	for _, id := range []string{"i-1", "i-2"} {
		assert.NilError(t, r.Heartbeat(context.Background(), readyHeartbeat(id, 1)))
		awaitPublishedRate(t, kv, targetrate.Announcement{})
		r.SetRateLimit(Incarnation{ID: id}, limit)
		awaitPublishedRate(t, kv, limit)
	}
}

func TestRestartedNodeKnowsRateLimitOfTarget(t *testing.T) {
	kv := memory.New(time.Now)
	limit := targetrate.Announcement{Limited: true, Rate: 6.8}
	first := startRegistrar(t, kv)
	assert.NilError(t, first.Heartbeat(context.Background(), readyHeartbeat("i-1", 1)))
	first.SetRateLimit(Incarnation{ID: "i-1"}, limit)
	awaitPublishedRate(t, kv, limit)
	second := startRegistrar(t, kv)
	awaitState(t, second, Ready)
	assert.Equal(t, second.Target().RateLimit, limit)
}

func TestAnnouncedDepartureOutlastsNodeRestart(t *testing.T) {
	kv := memory.New(time.Now)
	first := startRegistrar(t, kv)
	assert.NilError(t, first.Heartbeat(context.Background(), readyHeartbeat("i-1", 1)))
	awaitPublished(t, kv, "i-1")
	first.TargetLeaving(context.Background(), Incarnation{ID: "i-1"})
	assert.NilError(t, first.Heartbeat(context.Background(), readyHeartbeat("i-1", 2)))
	assert.Equal(t, first.Target().State, Draining)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		snapshot, err := kv.List(context.Background(), departuresPrefix)
		if err != nil || len(snapshot.Entries) == 0 {
			return poll.Continue("no departure: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
	second := startRegistrar(t, kv)
	assert.NilError(t, second.Heartbeat(context.Background(), readyHeartbeat("i-1", 3)))
	awaitState(t, second, Draining)
}
