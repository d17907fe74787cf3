package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// drainTime is the time after which a target must get no more requests from a node that has
// passed on its announcement that it is leaving.
const drainTime = 2 * time.Second

// lateRequests returns the requests that the target executed although they were sent later
// than drainTime after their node had passed on the target's announcement.
func lateRequests(target *platformstub.Target, answers []pacedAnswer) int {
	announcedAt := make(map[string]time.Time)
	for _, a := range answers {
		at := a.sentAt.Add(a.duration)
		known, found := announcedAt[a.node]
		if a.leaving && a.target == target.ID && (!found || at.Before(known)) {
			announcedAt[a.node] = at
		}
	}
	return count(answers, func(a pacedAnswer) bool {
		at, found := announcedAt[a.node]
		return found && a.target == target.ID && a.sentAt.After(at.Add(drainTime))
	})
}

func TestPlatformLeavingTargetGetsNoRequests(t *testing.T) {
	p := startPlatform(t, sixNodes...)
	load := p.startPacedLoad(120, "/read/x", "/once/x")
	time.Sleep(time.Second)
	leaving := p.target(0)
	leaving.AnnounceLeaving(true)
	time.Sleep(5 * time.Second)
	leaving.AnnounceLeaving(false)
	time.Sleep(5 * time.Second)
	answers := load.stop()
	late := lateRequests(leaving, answers)
	assert.Check(t, late == 0, "%d requests reached the leaving target", late)
	assert.Check(t, count(answers, func(a pacedAnswer) bool { return a.leaving }) > 0)
	assert.Equal(t, count(answers, isServed), len(answers), "other targets had room for all requests")
}
