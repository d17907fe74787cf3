package forward

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/stall"
)

const (
	watchPeriod = 100 * time.Millisecond
	// forgetPeriod is the time between two looks for homes that are gone for good.
	forgetPeriod = 5 * time.Second
	// silence is how long calls may wait without a sign of the home before it is
	// asked whether it is there. Homes that run calls give a sign each 300 ms.
	silence     = 450 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// stallTolerance is how late a look at the homes may be before the process counts
	// as having stood still. It lies below the time-outs of requests.
	stallTolerance = 150 * time.Millisecond
)

// errSuspected ends calls that wait for a home that does not answer.
var errSuspected = errors.New(string(peering.Suspected))

// watch asks homes that are silent while calls wait for them, such as ones on a
// frozen machine, and homes that failed, until the context ends.
func (f *Forwarder) watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	forget := time.NewTicker(forgetPeriod)
	defer forget.Stop()
	asking := make(map[string]bool)
	done := make(chan string)
	stalls := stall.Detector{Period: watchPeriod, Tolerance: stallTolerance}
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-done:
			delete(asking, address)
		case <-forget.C:
			f.homes.forget(f.directory.Addresses())
		case <-ticker.C:
			now := f.now()
			f.noteStall(stalls.Tick(now))
			for _, state := range f.homes.all() {
				if !asking[state.address] && state.toAsk(now) {
					asking[state.address] = true
					go f.ask(ctx, state, done)
				}
			}
		}
	}
}

// noteStall notes that the process stood still. Requests that end late with such a line
// near them were not held by anything inside the node; those without it were.
func (f *Forwarder) noteStall(late time.Duration) {
	if late == 0 {
		return
	}
	f.observer.Stalled(late)
	f.log.Record(eventlog.Event{Kind: eventlog.ProcessStalled, Duration: late, Count: int(f.inFlight.Load())})
}

// ask pings a silent home and gives up the calls that wait for it if it does
// not answer.
func (f *Forwarder) ask(ctx context.Context, state *homeState, done chan<- string) {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	err := f.peers.Ping(pingCtx, state.address)
	cancel()
	if err == nil {
		f.trust(state)
	} else if ctx.Err() == nil {
		f.suspect(state, "silent: "+err.Error())
		state.abandon(errSuspected)
	}
	select {
	case done <- state.address:
	case <-ctx.Done():
	}
}
