package forward

import (
	"context"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/peering"
)

const (
	watchPeriod = 200 * time.Millisecond
	// silence is how long calls may wait without a sign of the home before it is
	// asked whether it is there.
	silence     = 300 * time.Millisecond
	pingTimeout = 400 * time.Millisecond
)

// errSuspected ends calls that wait for a home that does not answer.
var errSuspected = errors.New(string(peering.Suspected))

// watch looks for homes that are silent while calls wait for them, such as ones
// on a frozen machine, until the context ends.
func (f *Forwarder) watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	asking := make(map[string]bool)
	done := make(chan string)
	for {
		select {
		case <-ctx.Done():
			return
		case address := <-done:
			delete(asking, address)
		case <-ticker.C:
			for _, state := range f.homes.all() {
				if !asking[state.address] && state.silentFor(f.now()) > silence {
					asking[state.address] = true
					go f.ask(ctx, state, done)
				}
			}
		}
	}
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
