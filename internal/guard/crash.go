package guard

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/quarantine"
)

const (
	// crashSettle is how long after a call broke off the target is probed: the calls of a
	// process that ends break off within that time, and no connection of it looks alive
	// afterwards.
	crashSettle = 5 * time.Millisecond
	// probeTimeout bounds a probe. The target is on the same machine, where a connection
	// is refused at once.
	probeTimeout = 100 * time.Millisecond
	// brokenWindow is for how long a call that broke off counts as open when the target
	// ends: one that fell silent is found out only as its connections time out.
	brokenWindow = 5 * time.Second
	// maxBroken bounds the calls that are kept for it.
	maxBroken = 256
)

// brokenCall is a call that broke off.
type brokenCall struct {
	quarantine.OpenCall
	at time.Time
}

// crashWatch finds out whether a target crashed, and which calls broke off by that. A call
// alone can't tell: the target may have closed its connection, or the network. It is safe
// for concurrent use.
type crashWatch struct {
	mutex  sync.Mutex
	broken []brokenCall
	// probe is closed once the probe that is under way has ended; nil if there is none.
	probe chan struct{}
	// answered is when a call was answered last.
	answered time.Time
	crashed  bool
	// spared are the requests that broke off and are no suspects of this crash.
	spared map[fingerprint.Fingerprint]bool
}

// noteAnswer notes a sign of life. One that was taken for crashed, as it refused a
// connection for want of room, was not.
func (w *crashWatch) noteAnswer(now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.answered = now
	if w.crashed {
		w.crashed, w.spared = false, nil
	}
}

// add notes a call that broke off.
func (w *crashWatch) add(call quarantine.OpenCall, now time.Time) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.broken = slices.DeleteFunc(w.broken, func(earlier brokenCall) bool { return now.Sub(earlier.at) > brokenWindow })
	if len(w.broken) < maxBroken {
		w.broken = append(w.broken, brokenCall{OpenCall: call, at: now})
	}
}

// take returns the suspects among the calls that broke off and were not taken before. The
// target has crashed. A request that was answered lately is none.
func (w *crashWatch) take(answered *answeredSet) []quarantine.OpenCall {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.crashed = true
	var suspects []quarantine.OpenCall
	for _, call := range w.broken {
		if !w.spares(call.Fingerprint, answered) {
			suspects = append(suspects, call.OpenCall)
		}
	}
	w.broken = nil
	return suspects
}

// spares reports whether a request is no suspect of the crash.
func (w *crashWatch) spares(hash fingerprint.Fingerprint, answered *answeredSet) bool {
	if w.spared[hash] {
		return true
	}
	if !answered.spend(hash) {
		return false
	}
	if w.spared == nil {
		w.spared = make(map[fingerprint.Fingerprint]bool)
	}
	w.spared[hash] = true
	return true
}

// suspects reports whether the target crashed and the request is a suspect of that.
func (w *crashWatch) suspects(hash fingerprint.Fingerprint) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.crashed && !w.spared[hash]
}

// brokenCalls returns the number of calls that broke off lately.
func (w *crashWatch) brokenCalls() int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return len(w.broken)
}

// join returns the probe that is under way, or begins one, which the caller is to make.
func (w *crashWatch) join() (probe chan struct{}, begins bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.probe != nil {
		return w.probe, false
	}
	w.probe = make(chan struct{})
	return w.probe, true
}

// finish ends the probe.
func (w *crashWatch) finish(probe chan struct{}) {
	w.mutex.Lock()
	w.probe = nil
	w.mutex.Unlock()
	close(probe)
}

// hasCrashed reports whether a probe found that the target has crashed.
func (w *crashWatch) hasCrashed() bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.crashed
}

// answeredSince reports whether a call was answered after the moment.
func (w *crashWatch) answeredSince(moment time.Time) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.answered.After(moment)
}

// brokeOff takes a call that broke off and reports whether the target crashed under it.
func (g *Guard) brokeOff(ctx context.Context, i *incarnation, call quarantine.OpenCall) bool {
	now := g.now()
	i.crash.add(call, now)
	if i.leaving.Load() {
		return false
	}
	probe, begins := i.crash.join()
	if begins {
		g.probeTarget(i, now)
		i.crash.finish(probe)
		return i.crash.hasCrashed()
	}
	select {
	case <-probe:
	case <-ctx.Done():
	}
	return i.crash.hasCrashed()
}

// probeTarget finds out whether the target still takes connections, and reports the calls
// that broke off if not.
func (g *Guard) probeTarget(i *incarnation, since time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	select {
	case <-time.After(crashSettle):
	case <-ctx.Done():
	}
	if !i.crash.hasCrashed() && (!errors.Is(i.pool.Probe(ctx), syscall.ECONNREFUSED) || i.crash.answeredSince(since)) {
		return
	}
	g.reportCrash(i, "connection refused")
}

// reportCrash tells of the calls that broke off as the target crashed.
func (g *Guard) reportCrash(i *incarnation, reason string) {
	first := !i.crash.hasCrashed()
	broken := i.crash.brokenCalls()
	suspects := i.crash.take(&g.answered)
	if first {
		i.reach.crashed(g.now())
		g.log.Record(eventlog.Event{Kind: eventlog.TargetEnded, Service: i.target.Service, Target: i.target.Incarnation().String(), Count: broken, Reason: reason})
	}
	if len(suspects) > 0 {
		g.config.Quarantine.Crashed(i.target.Incarnation().String(), suspects)
	}
}

// replaced notes that another target took the place of one that had not said that it
// leaves: it ended.
func (g *Guard) replaced(old *incarnation) {
	if !old.leaving.Load() {
		g.reportCrash(old, "another target took its place")
	}
}
