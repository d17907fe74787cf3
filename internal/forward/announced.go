package forward

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// announcedTarget is what this node knows of the announcements of one incarnation of a target.
type announcedTarget struct {
	peering.TargetAnnouncement
	// pausedUntil is, by level, the time before which requests are not offered to the target's
	// home, because its rate limit leaves no room for them.
	pausedUntil [criticality.LevelCount]time.Time
	updatedAt   time.Time
}

// announcedTargets holds the announcements of targets by the name of their incarnation. What is
// known outlives the home's process and record. It is safe for concurrent use.
type announcedTargets struct {
	// count is the number of targets, so that a node without any needs no lock.
	count atomic.Int64

	mutex   sync.Mutex
	targets map[string]*announcedTarget
}

// maxAnnouncedTargets bounds the targets; the one that was updated longest ago is dropped first.
const maxAnnouncedTargets = 4096

// any reports whether anything is known of any target.
func (t *announcedTargets) any() bool { return t.count.Load() > 0 }

// get returns what is known of an incarnation.
func (t *announcedTargets) get(instance string) (announcedTarget, bool) {
	if !t.any() {
		return announcedTarget{}, false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.targets[instance]
	if known == nil {
		return announcedTarget{}, false
	}
	return *known, true
}

// update records an announcement and the pause that follows from it. A departure is never
// taken back.
func (t *announcedTargets) update(announced peering.TargetAnnouncement, pause func(*announcedTarget), now time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.targets[announced.Instance]
	if known == nil {
		known = t.add(announced.Instance)
	}
	announced.Leaving = announced.Leaving || known.Leaving
	known.TargetAnnouncement = announced
	known.updatedAt = now
	pause(known)
}

// add adds an incarnation. The caller holds the mutex.
func (t *announcedTargets) add(instance string) *announcedTarget {
	if t.targets == nil {
		t.targets = make(map[string]*announcedTarget)
	}
	if len(t.targets) >= maxAnnouncedTargets {
		t.dropOldest()
	}
	known := &announcedTarget{}
	t.targets[instance] = known
	t.count.Store(int64(len(t.targets)))
	return known
}

func (t *announcedTargets) dropOldest() {
	oldest := ""
	for instance, known := range t.targets {
		if oldest == "" || known.updatedAt.Before(t.targets[oldest].updatedAt) {
			oldest = instance
		}
	}
	delete(t.targets, oldest)
}

// lift removes the rate limit of an incarnation whose last response announced none.
func (t *announcedTargets) lift(instance string) {
	if t.count.Load() == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := t.targets[instance]
	switch {
	case known == nil:
	case known.Leaving:
		known.Rate = targetrate.Announcement{}
	default:
		delete(t.targets, instance)
		t.count.Store(int64(len(t.targets)))
	}
}

// pausedFor returns how long requests of the level are not offered to the home of the target,
// zero if they are.
func (a *announcedTarget) pausedFor(level criticality.Level, now time.Time) time.Duration {
	if !a.Rate.Limited {
		return 0
	}
	return max(a.pausedUntil[level].Sub(now), 0)
}

// pause stops offers of requests of the level, and of less important ones, for the duration.
func (a *announcedTarget) pause(level criticality.Level, duration time.Duration, now time.Time) {
	until := now.Add(duration)
	for ; level < criticality.LevelCount; level++ {
		if until.After(a.pausedUntil[level]) {
			a.pausedUntil[level] = until
		}
	}
}

// recordAnnouncement records what a reply tells of the announcements of the home's target.
func (f *Forwarder) recordAnnouncement(q *request, home *registry.Home, reply *peering.Reply) {
	announced := reply.Load.Target
	if announced.Instance == "" {
		announced = announcementOf(&f.config.Headers, home, reply)
	}
	switch {
	case announced.Instance != "":
		now := f.now()
		f.announced.update(announced, func(known *announcedTarget) {
			if wait := f.pauseAfter(reply); wait > 0 {
				known.pause(q.rank.Level, wait, now)
			}
		}, now)
	case reply.Outcome == peering.Answered:
		f.announced.lift(home.Instance)
	}
}

// pauseAfter returns how long requests of the same rank are not offered to a home after its
// reply.
func (f *Forwarder) pauseAfter(reply *peering.Reply) time.Duration {
	if reply.Reason == peering.RateLimited {
		return reply.RetryAfter
	}
	if reply.Load.Target.Instance == "" && reply.Outcome == peering.Answered {
		return f.shareInterval(reply)
	}
	return reply.Load.Room
}

// announcementOf returns the announcement in the response that a home passed on without
// reporting it, as one of an earlier version does.
func announcementOf(names *callheader.Names, home *registry.Home, reply *peering.Reply) peering.TargetAnnouncement {
	announced := peering.TargetAnnouncement{Leaving: slices.Contains(reply.Header[names.Leaving], targetrate.LeavingValue)}
	if rate, err := targetrate.Parse(reply.Header[names.RateLimit]); err == nil {
		announced.Rate = rate
	}
	if announced.Rate.Limited || announced.Leaving {
		announced.Instance = home.Instance
	}
	return announced
}

// shareInterval returns the interval of a node's requests to a target whose home doesn't
// enforce the target's rate limit: all nodes share the limit equally.
func (f *Forwarder) shareInterval(reply *peering.Reply) time.Duration {
	announced, err := targetrate.Parse(reply.Header[f.config.Headers.RateLimit])
	if err != nil || !announced.Limited {
		return 0
	}
	seconds := float64(f.nodeCount()) / max(announced.Rate, targetrate.MinRate)
	return time.Duration(math.Min(seconds, maxShareInterval.Seconds()) * float64(time.Second))
}

// maxShareInterval bounds the interval of requests to a target whose home doesn't enforce the
// rate limit, so that the node learns when the limit is lifted.
const maxShareInterval = 30 * time.Second
