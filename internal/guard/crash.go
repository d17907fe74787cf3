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
	// crashProbeDelay is the delay between a broken call and the probe of the target. When a
	// process exits, all its calls fail and all its connections close within that time.
	crashProbeDelay = 5 * time.Millisecond
	// probeTimeout limits a probe. The target is on the same machine, where the kernel
	// refuses a connection at once.
	probeTimeout = 100 * time.Millisecond
	// brokenCallRetention is how long a broken call counts as open at the crash of the
	// target. The crash of a target that stops responding without closing its connections
	// is detected only by connection timeouts.
	brokenCallRetention = 5 * time.Second
	// maxBrokenCalls limits the number of broken calls kept per target.
	maxBrokenCalls = 256
)

// brokenCall is a call whose connection to the target broke before the response.
type brokenCall struct {
	quarantine.Call
	at time.Time
}

// crashDetector determines whether a target crashed and which calls were open at that time.
// A broken call alone is no proof: the target or the network may have closed just that
// connection. It is safe for concurrent use.
type crashDetector struct {
	mutex  sync.Mutex
	broken []brokenCall
	// probeDone is closed when the running probe ends; nil if none is running.
	probeDone chan struct{}
	// aliveAt is the latest time at which a call was sent that the target answered.
	aliveAt time.Time
	// crashed is set if the target crashed, at crashedAt or shortly before.
	crashed   bool
	crashedAt time.Time
	// exempted holds the open requests that are not suspects of this crash.
	exempted map[fingerprint.Fingerprint]bool
}

// recordResponse records the response to a call that was sent at the given time. It reports
// whether the target is not marked as crashed. The mark was wrong and is removed if the call was
// sent after the crash: the target had refused the probe's connection for lack of capacity. A
// response to an earlier call may have been written before the crash and read only now.
func (d *crashDetector) recordResponse(sentAt time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if sentAt.After(d.aliveAt) {
		d.aliveAt = sentAt
	}
	if d.crashed && sentAt.After(d.crashedAt) {
		d.crashed, d.exempted = false, nil
	}
	return !d.crashed
}

// addBroken records a broken call and drops those older than brokenCallRetention.
func (d *crashDetector) addBroken(call quarantine.Call, now time.Time) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.broken = slices.DeleteFunc(d.broken, func(old brokenCall) bool { return now.Sub(old.at) > brokenCallRetention })
	if len(d.broken) < maxBrokenCalls {
		d.broken = append(d.broken, brokenCall{Call: call, at: now})
	}
}

// markCrashed marks the target as crashed, at the given time or shortly before. It reports whether
// the target was not marked before.
func (d *crashDetector) markCrashed(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.crashed {
		return false
	}
	d.crashed, d.crashedAt = true, at
	return true
}

// takeSuspects returns and clears the broken calls that are suspects. Requests that were answered
// recently are not.
func (d *crashDetector) takeSuspects(answered *answeredSet) []quarantine.Call {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var suspects []quarantine.Call
	for _, call := range d.broken {
		if !d.exempt(call.Fingerprint, answered) {
			suspects = append(suspects, call.Call)
		}
	}
	d.broken = nil
	return suspects
}

// exempt reports whether a request is not a suspect of the crash, because it was answered
// recently. The caller holds the mutex.
func (d *crashDetector) exempt(hash fingerprint.Fingerprint, answered *answeredSet) bool {
	if d.exempted[hash] {
		return true
	}
	if !answered.consume(hash) {
		return false
	}
	if d.exempted == nil {
		d.exempted = make(map[fingerprint.Fingerprint]bool)
	}
	d.exempted[hash] = true
	return true
}

// isSuspect reports whether the target crashed and the request is a suspect.
func (d *crashDetector) isSuspect(hash fingerprint.Fingerprint) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.crashed && !d.exempted[hash]
}

// brokenCount returns the number of broken calls that are kept.
func (d *crashDetector) brokenCount() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return len(d.broken)
}

// joinProbe returns the running probe, or a new one if there is none. The caller that gets a
// new probe is its leader and must run it.
func (d *crashDetector) joinProbe() (probe chan struct{}, leader bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.probeDone != nil {
		return d.probeDone, false
	}
	d.probeDone = make(chan struct{})
	return d.probeDone, true
}

// finishProbe releases the callers that wait for the probe.
func (d *crashDetector) finishProbe(probe chan struct{}) {
	d.mutex.Lock()
	d.probeDone = nil
	d.mutex.Unlock()
	close(probe)
}

// hasCrashed reports whether the target is marked as crashed.
func (d *crashDetector) hasCrashed() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.crashed
}

// aliveAfter reports whether the target has answered a call that was sent after the given time.
func (d *crashDetector) aliveAfter(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.aliveAt.After(at)
}

// handleBrokenCall records a broken call and reports whether the target crashed while running
// it. Concurrent callers share one probe.
func (g *Guard) handleBrokenCall(ctx context.Context, inc *incarnation, call quarantine.Call) bool {
	now := g.now()
	inc.crashDetector.addBroken(call, now)
	if inc.draining.Load() {
		return false
	}
	probe, leader := inc.crashDetector.joinProbe()
	if leader {
		g.probeTarget(inc, now)
		inc.crashDetector.finishProbe(probe)
		return inc.crashDetector.hasCrashed()
	}
	select {
	case <-probe:
	case <-ctx.Done():
	}
	return inc.crashDetector.hasCrashed()
}

// probeTarget checks whether the target still accepts connections after a call broke at the given
// time. It reports a crash if the target refuses them and has answered no call sent since.
func (g *Guard) probeTarget(inc *incarnation, brokenAt time.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	select {
	case <-time.After(crashProbeDelay):
	case <-ctx.Done():
	}
	if !inc.crashDetector.hasCrashed() && (!errors.Is(inc.pool.Probe(ctx), syscall.ECONNREFUSED) || inc.crashDetector.aliveAfter(brokenAt)) {
		return
	}
	g.reportCrash(inc, brokenAt, "connection refused")
}

// reportCrash logs the crash of a target, once per target, and reports the suspects to the
// quarantine. The target crashed at the given time or shortly before.
func (g *Guard) reportCrash(inc *incarnation, at time.Time, reason string) {
	brokenCount := inc.crashDetector.brokenCount()
	firstReport := inc.crashDetector.markCrashed(at)
	suspects := inc.crashDetector.takeSuspects(&g.answered)
	if firstReport {
		inc.reachability.markUnreachable(g.now())
		g.log.Record(eventlog.Event{Kind: eventlog.TargetEnded, Service: inc.target.Service, Target: inc.target.Incarnation().String(), Count: brokenCount, Reason: reason})
	}
	if len(suspects) > 0 {
		g.config.Quarantine.RecordCrash(inc.target.Incarnation().String(), suspects)
	}
}

// handleReplacement reports a crash of the old target if another one replaced it before it
// started to drain.
func (g *Guard) handleReplacement(old *incarnation) {
	if !old.draining.Load() {
		g.reportCrash(old, g.now(), "another target took its place")
	}
}
