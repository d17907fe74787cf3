package forward

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
)

// Addresses of two homes.
const failedAddress, wellAddress = "10.1.0.1:8300", "10.1.0.2:8300"

// TestSuspectedHomeGetsNoRequestsUntilReachable uses a suspected and a healthy home. The
// suspected home must be chosen again only after it has responded to a probe, no matter how
// much time passes.
func TestSuspectedHomeGetsNoRequestsUntilReachable(t *testing.T) {
	now := time.Now()
	f := &Forwarder{config: Config{Zone: "z"}, now: func() time.Time { return now }, directory: directoryOf(t, []string{failedAddress, wellAddress})}
	q := &request{route: &routetable.Route{Name: "read"}, service: "s", deadline: now.Add(time.Hour)}
	failed := f.homes.state(failedAddress)
	failed.suspect(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		assert.Equal(t, f.choose(q).home.Address, wellAddress)
	}
	assert.Assert(t, failed.probeDue(now), "the home is probed instead")
	failed.markReachable(now)
	chosen := make(map[string]bool)
	for range 100 {
		chosen[f.choose(q).home.Address] = true
	}
	assert.Assert(t, chosen[failedAddress])
}

// TestSuspectedHomeIsProbedAfterBackoffOrPeerAlive checks that a suspected home is probed
// after its backoff, or earlier after a liveness signal.
func TestSuspectedHomeIsProbedAfterBackoffOrPeerAlive(t *testing.T) {
	now := time.Now()
	f := &Forwarder{now: func() time.Time { return now }}
	state := f.homes.state("home")
	assert.Assert(t, !state.probeDue(now))
	for range 8 {
		assert.Assert(t, state.suspect(now) == (state.suspicion.backoff == minSuspicionBackoff))
		assert.Assert(t, !state.probeDue(now))
		now = now.Add(maxSuspicionBackoff)
		assert.Assert(t, state.probeDue(now))
	}
	state.suspect(now)
	assert.Assert(t, !state.probeDue(now.Add(maxSuspicionBackoff/2)))
	f.PeerAlive("home")
	assert.Assert(t, state.probeDue(now), "a liveness signal ends the backoff")
	f.PeerAlive("unknown")
	assert.Assert(t, f.homes.find("unknown") == nil)
}

func TestPruneRemovesUnlistedIdleHomes(t *testing.T) {
	table := &homeTable{}
	table.state("listed")
	table.state("gone")
	done := table.state("waited-for").begin("r", nil, time.Now())
	table.prune([]string{"listed", "other"})
	assert.Assert(t, table.find("listed") != nil)
	assert.Assert(t, table.find("gone") == nil)
	assert.Assert(t, table.find("waited-for") != nil)
	done()
	table.prune(nil)
	assert.Equal(t, len(table.all()), 0)
}

// TestRecoveredHomeIsDetected uses an address that first refuses connections and then serves
// a home.
func TestRecoveredHomeIsDetected(t *testing.T) {
	f := newFixture(t, replyOK)
	live := f.forwarder.directory.Homes("s")[0].Address
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	dead := listener.Addr().String()
	assert.NilError(t, listener.Close())
	f.forwarder = newForwarder(t, f, []string{dead, live})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.forwarder.Run(ctx)
	state := f.forwarder.homes.state(dead)
	for i := range 50 {
		f.do("GET", "/read/x", strconv.Itoa(i), "")
	}
	assert.Assert(t, state.isSuspected())
	servePeerAt(t, dead)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state.isSuspected() {
			return poll.Continue("still suspected")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
	home := f.forwarder.directory.Homes("s")
	assert.Assert(t, state.usable(findHome(home, dead), time.Now()))
}

func findHome(homes []*registry.Home, address string) *registry.Home {
	for _, home := range homes {
		if home.Address == address {
			return home
		}
	}
	return nil
}

// TestChoiceFollowsRemovedState guards against a choice by the state of a home that was removed from
// the table: what is learned of the home later would be ignored.
func TestChoiceFollowsRemovedState(t *testing.T) {
	now := time.Now()
	f := &Forwarder{config: Config{Zone: "z"}, now: func() time.Time { return now }, directory: directoryOf(t, []string{failedAddress, wellAddress})}
	q := &request{route: &routetable.Route{Name: "read"}, service: "s", deadline: now.Add(time.Hour)}
	f.choose(q)
	f.homes.prune([]string{wellAddress})
	f.homes.state(failedAddress).suspect(now)
	for range 20 {
		assert.Equal(t, f.choose(q).home.Address, wellAddress)
	}
}
