package test

import (
	"context"
	"fmt"
	"net/http"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// deadlyPath ends each target that runs a request to it, and targetDown is how long
	// it takes until another one is there.
	deadlyPath = "deadly"
	targetDown = 2 * time.Second
	// deadlyEvery is how often a deadly request enters the system, by the nodes in turn,
	// and deadlyFor for how long.
	deadlyEvery = 200 * time.Millisecond
	deadlyFor   = 10 * time.Second
	// learnedAfter is the time after the third target's end from which on the request may
	// reach targets no more than maxLate times.
	learnedAfter = 3 * time.Second
	maxLate      = 3
	// maxEnded bounds the targets that a deadly request ends: three prove it, and one more
	// may be under way meanwhile.
	maxEnded = 4
)

// deadlyCase is a deployment whose targets end under some requests and come back.
type deadlyCase struct {
	*platform
	ctx context.Context

	mutex   sync.Mutex
	targets []*platformstub.Target
	ended   []time.Time
}

// startDeadlyCase starts nodes whose targets end under requests that begin with the path.
func startDeadlyCase(t *testing.T, path string, zones ...string) *deadlyCase {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &deadlyCase{platform: startPlatform(t, zones...), ctx: ctx}
	for i, n := range d.nodes {
		// The first target leaves as planned, so that all others are told apart.
		assert.NilError(t, n.target.Drain(ctx))
		n.target.Silence()
		n.target.Close()
		d.replaceTarget(n, path, fmt.Sprintf("i-%d-0", i))
	}
	for _, n := range d.nodes {
		d.awaitServed(n, "/read/warm")
	}
	return d
}

// replaceTarget starts a target beside the node, and another one once it has ended.
func (d *deadlyCase) replaceTarget(n *platformNode, path, id string) {
	next := &platformstub.Target{ID: id, Service: "one", Address: n.target.Address, Control: n.target.Control, Zone: n.target.Zone,
		Work: n.target.Work}
	next.SetFaults(platformstub.TargetFaults{EndsUnder: path})
	next.OnEnd = func() {
		d.mutex.Lock()
		d.ended = append(d.ended, time.Now())
		d.mutex.Unlock()
		time.AfterFunc(targetDown, func() { d.replaceTarget(n, path, id+"x") })
	}
	if d.ctx.Err() != nil {
		return
	}
	assert.Check(d.t, next.Start(d.ctx))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.targets = append(d.targets, next)
}

// arrivals returns when targets began to run requests to the path, in order.
func (d *deadlyCase) arrivals(path string) []time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	var times []time.Time
	for _, target := range d.targets {
		for _, run := range target.Log() {
			if run.Path == path {
				times = append(times, run.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// ends returns when targets ended.
func (d *deadlyCase) ends() []time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.ended)
}

// sendDeadly sends the deadly request by the nodes in turn, without waiting for answers.
func (d *deadlyCase) sendDeadly(path string, lasting time.Duration) {
	var sent sync.WaitGroup
	until := time.Now().Add(lasting)
	for i := 0; time.Now().Before(until); i++ {
		n := d.nodes[i%len(d.nodes)]
		sent.Go(func() {
			if status, id := d.send(n, path); status == http.StatusOK {
				d.t.Errorf("%s succeeded, so it is not deadly", id)
			}
		})
		time.Sleep(deadlyEvery)
	}
	sent.Wait()
}

// harmless sends requests that differ from each other by all nodes until stopped.
type harmless struct {
	stop           chan struct{}
	senders        sync.WaitGroup
	mutex          sync.Mutex
	served, failed int
}

func (d *deadlyCase) startHarmless(prefix string) *harmless {
	h := &harmless{stop: make(chan struct{})}
	for i, n := range d.nodes {
		h.senders.Go(func() {
			for count := 0; ; count++ {
				select {
				case <-h.stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				status, _ := d.send(n, fmt.Sprintf("%sharmless-%d-%d", prefix, i, count))
				h.count(status == http.StatusOK)
			}
		})
	}
	return h
}

func (h *harmless) count(served bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if served {
		h.served++
		return
	}
	h.failed++
}

// end returns the part that was served.
func (h *harmless) end() float64 {
	close(h.stop)
	h.senders.Wait()
	return float64(h.served) / float64(h.served+h.failed)
}

// checkStopped checks that the request was kept from targets once three had ended.
func (d *deadlyCase) checkStopped(path string) {
	d.t.Helper()
	ends := d.ends()
	assert.Assert(d.t, len(ends) >= 3, "the request must have ended three targets, not %d", len(ends))
	late := 0
	for _, at := range d.arrivals(path) {
		if at.Sub(ends[2]) > learnedAfter {
			late++
		}
	}
	assert.Check(d.t, late <= maxLate, "%d arrivals later than %s after the third end", late, learnedAfter)
	assert.Check(d.t, len(ends) <= maxEnded, "%d targets ended", len(ends))
}

// TestARequestThatEndsItsTargetsIsStopped tells of a day on which one request took a
// whole service away, again and again.
//
// What users saw: for 16 seconds two thirds of the views were not served, in waves of
// three seconds; all other services went on. The same twice more that day.
// Order of events: a request ended the target that ran it, 60 ms after it came; it was
// repeated at another target, which ended as well. It came again by other nodes. Within
// 1.3 s all five targets had ended, and each that was back ended within half a second.
// Cause: each try has an id of its own, and nothing else of a request was known beyond its
// try. A target that ended under it was a broken connection like any other, at the node
// that repeated it as at all others.
// Evidence: the fingerprints of the calls that broke off when a target ended: one of them
// was open in each of the 20 ends that were logged, of all others none in more than two. Without the mend, 22
// and 23 targets end here, and 0.24 and 0.30 of the other requests are served.
func TestARequestThatEndsItsTargetsIsStopped(t *testing.T) {
	cases := []struct {
		name, prefix string
		store        platformstub.Faults
	}{
		{"may be repeated", "/read/", platformstub.Faults{}},
		{"must not run twice", "/once/", platformstub.Faults{}},
		{"without the store", "/read/", platformstub.Faults{Down: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := c.prefix + deadlyPath
			d := startDeadlyCase(t, path, "west", "west", "west", "east", "east")
			d.stub.SetFaults(c.store)
			others := d.startHarmless(c.prefix)
			d.sendDeadly(path, deadlyFor)
			served := others.end()
			d.checkStopped(path)
			t.Logf("%d targets ended, %.3f of the other requests were served", len(d.ends()), served)
			assert.Check(t, served >= 0.95, "%.3f of the other requests were served", served)
		})
	}
}

// TestAVerdictOutlastsEveryProcess quarantines a request, kills all nodes at once and
// starts them again: no target pays for learning it once more. Then an operator lifts the
// verdict, as the targets were mended.
func TestAVerdictOutlastsEveryProcess(t *testing.T) {
	const path = "/read/" + deadlyPath
	d := startDeadlyCase(t, path, "west", "west", "east")
	d.sendDeadly(path, 3*time.Second)
	status, _ := d.send(d.nodes[0], path)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	eventually(t, 10*time.Second, "the store holds the verdict", func() bool { return len(d.quarantined()) == 1 })
	for _, n := range d.nodes {
		assert.NilError(t, n.process.Process.Kill())
		<-n.ended
		d.start(n)
	}
	for _, n := range d.nodes {
		d.awaitReady(n)
		d.awaitServed(n, "/read/warm")
	}
	ended := len(d.ends())
	for _, n := range d.nodes {
		status, _ := d.send(n, path)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(d.ends()), ended)
	d.mend()
	output := d.operate("-lift", d.quarantined()[0])
	assert.Assert(t, strings.Contains(output, "run again"), output)
	for _, n := range d.nodes {
		d.awaitServed(n, path)
	}
	assert.Equal(t, len(d.quarantined()), 0)
}

// mend has no request end a target any more.
func (d *deadlyCase) mend() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, target := range d.targets {
		target.SetFaults(platformstub.TargetFaults{})
	}
}

// operate runs the operators' verb and returns what it prints.
func (d *deadlyCase) operate(arguments ...string) string {
	d.t.Helper()
	output, err := exec.Command(program("lugspur-sidecar"), append([]string{"quarantine", "-store", d.address}, arguments...)...).CombinedOutput()
	assert.NilError(d.t, err, "%s", output)
	return string(output)
}

// quarantined returns the fingerprints that the operators' verb lists.
func (d *deadlyCase) quarantined() []string {
	d.t.Helper()
	var prints []string
	for line := range strings.Lines(d.operate()) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[1] == "one" {
			prints = append(prints, fields[0])
		}
	}
	return prints
}
