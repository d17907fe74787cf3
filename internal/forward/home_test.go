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

// TestNoRequestFindsOutWhetherAHomeIsBack has a home fail while another one does
// well: it is chosen again only once it has answered, however much time went by.
func TestNoRequestFindsOutWhetherAHomeIsBack(t *testing.T) {
	now := time.Now()
	f := &Forwarder{config: Config{Zone: "z"}, now: func() time.Time { return now }, directory: directoryOf(t, []string{"failed", "well"})}
	q := &request{route: &routetable.Route{Name: "read"}, service: "s", deadline: now.Add(time.Hour)}
	failed := f.homes.state("failed")
	failed.suspect(now)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		assert.Equal(t, f.choose(q).home.Address, "well")
	}
	assert.Assert(t, failed.toAsk(now), "it is asked instead")
	failed.answered(now)
	chosen := make(map[string]bool)
	for range 100 {
		chosen[f.choose(q).home.Address] = true
	}
	assert.Assert(t, chosen["failed"])
}

// TestAHomeThatFailedIsAskedAfterAPauseOrASignOfLife tells when a home is asked.
func TestAHomeThatFailedIsAskedAfterAPauseOrASignOfLife(t *testing.T) {
	now := time.Now()
	f := &Forwarder{now: func() time.Time { return now }}
	state := f.homes.state("home")
	assert.Assert(t, !state.toAsk(now))
	for range 8 {
		assert.Assert(t, state.suspect(now) == (state.suspicion.pause == minSuspicion))
		assert.Assert(t, !state.toAsk(now))
		now = now.Add(maxSuspicion)
		assert.Assert(t, state.toAsk(now))
	}
	state.suspect(now)
	assert.Assert(t, !state.toAsk(now.Add(maxSuspicion/2)))
	f.PeerAlive("home")
	assert.Assert(t, state.toAsk(now), "a sign of life")
	f.PeerAlive("unknown")
	assert.Assert(t, f.homes.known("unknown") == nil)
}

func TestHomesThatAreGoneAreForgotten(t *testing.T) {
	table := &homeTable{}
	table.state("listed")
	table.state("gone")
	done := table.state("waited-for").begin("r", nil, time.Now())
	table.forget([]string{"listed", "other"})
	assert.Assert(t, table.known("listed") != nil)
	assert.Assert(t, table.known("gone") == nil)
	assert.Assert(t, table.known("waited-for") != nil)
	done()
	table.forget(nil)
	assert.Equal(t, len(table.all()), 0)
}

// TestADeadHomeThatIsBackIsFound has a home's address refuse connections and then
// answer.
func TestADeadHomeThatIsBackIsFound(t *testing.T) {
	f := newFixture(t, answered)
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
			return poll.Continue("still passed over")
		}
		return poll.Success()
	}, poll.WithDelay(5*time.Millisecond), poll.WithTimeout(20*time.Second))
	home := f.forwarder.directory.Homes("s")
	assert.Assert(t, state.usable(homeAt(home, dead), time.Now()))
}

func homeAt(homes []*registry.Home, address string) *registry.Home {
	for _, home := range homes {
		if home.Address == address {
			return home
		}
	}
	return nil
}
