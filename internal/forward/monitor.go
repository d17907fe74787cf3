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
	probePeriod = 100 * time.Millisecond
	// prunePeriod is the interval at which the states of homes that are no longer in the
	// directory are removed.
	prunePeriod = 5 * time.Second
	// maxSilence is how long calls may wait without a liveness signal from the home before
	// the home is probed. Homes that run calls send one every 300 ms.
	maxSilence  = 450 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// stallTolerance is how late a probe tick may be before the process counts as
	// stalled. It is shorter than the timeouts of requests.
	stallTolerance = 150 * time.Millisecond
)

// errSuspected is the cancellation cause of calls that wait for a home that does not respond
// to a probe.
var errSuspected = errors.New(string(peering.Suspected))

// monitorHomes probes suspected homes, and homes that send no liveness signal while calls
// wait for them, for example because their machine is frozen. It runs until the context
// ends.
func (f *Forwarder) monitorHomes(ctx context.Context) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	prune := time.NewTicker(prunePeriod)
	defer prune.Stop()
	probing := make(map[string]bool)
	done := make(chan string)
	stallDetector := stall.Detector{Period: probePeriod, Tolerance: stallTolerance}
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-done:
			delete(probing, address)
		case <-prune.C:
			f.homes.prune(f.directory.Addresses())
		case <-ticker.C:
			now := f.now()
			f.recordStall(stallDetector.Tick(now))
			for _, state := range f.homes.all() {
				if !probing[state.address] && state.probeDue(now) {
					probing[state.address] = true
					go f.probe(ctx, state, done)
				}
			}
		}
	}
}

// recordStall logs and counts a stall of the process. If the log has no such event around
// the time of a late request, the request was delayed by something inside the node.
func (f *Forwarder) recordStall(late time.Duration) {
	if late == 0 {
		return
	}
	f.observer.Stalled(late)
	f.log.Record(eventlog.Event{Kind: eventlog.ProcessStalled, Duration: late, Count: int(f.inFlight.Load())})
}

// probe pings a home. If the home does not respond, it is suspected, and the calls that wait
// for it are canceled.
func (f *Forwarder) probe(ctx context.Context, state *homeState, done chan<- string) {
	pingCtx, cancel := context.WithTimeout(ctx, pingTimeout)
	err := f.peers.Ping(pingCtx, state.address)
	cancel()
	if err == nil {
		f.markReachable(state)
	} else if ctx.Err() == nil {
		f.suspect(state, "silent: "+err.Error())
		state.cancelCalls(errSuspected)
	}
	select {
	case done <- state.address:
	case <-ctx.Done():
	}
}
