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
	// queryOfDeathPath crashes each target that executes a request to it, and targetRestartDelay
	// is the time until its replacement starts.
	queryOfDeathPath   = "deadly"
	targetRestartDelay = 2 * time.Second
	// queryInterval is the interval at which queries of death are sent, through the nodes in
	// turn, and queryDuration for how long.
	queryInterval = 200 * time.Millisecond
	queryDuration = 10 * time.Second
	// detectionTimeout is the time after the third crash from which on the request may reach
	// targets at most maxLateArrivals times.
	detectionTimeout = 3 * time.Second
	maxLateArrivals  = 3
	// maxCrashes bounds the targets that a query of death crashes: three are the evidence, and
	// one more request may be in flight meanwhile.
	maxCrashes = 4
)

// queryOfDeathCase is a deployment whose targets crash under some requests and are replaced.
type queryOfDeathCase struct {
	*platform
	ctx context.Context

	mutex      sync.Mutex
	targets    []*platformstub.Target
	crashTimes []time.Time
}

// startQueryOfDeathCase starts nodes whose targets crash under requests with the path prefix.
func startQueryOfDeathCase(t *testing.T, path string, zones ...string) *queryOfDeathCase {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	d := &queryOfDeathCase{platform: startPlatform(t, zones...), ctx: ctx}
	for i, n := range d.nodes {
		// The first target leaves in a planned way, so that all later ones are distinguishable.
		assert.NilError(t, n.target.Drain(ctx))
		n.target.StopHeartbeats()
		n.target.Close()
		d.replaceTarget(n, path, fmt.Sprintf("i-%d-0", i))
	}
	for _, n := range d.nodes {
		d.awaitServed(n, "/read/warm")
	}
	return d
}

// replaceTarget starts a target at the node, and a replacement after each crash.
func (d *queryOfDeathCase) replaceTarget(n *platformNode, path, id string) {
	next := &platformstub.Target{ID: id, Service: "one", Address: n.target.Address, Control: n.target.Control, Zone: n.target.Zone,
		ServiceTime: n.target.ServiceTime}
	next.SetFaults(platformstub.TargetFaults{CrashPrefix: path})
	next.OnCrash = func() {
		d.mutex.Lock()
		d.crashTimes = append(d.crashTimes, time.Now())
		d.mutex.Unlock()
		time.AfterFunc(targetRestartDelay, func() { d.replaceTarget(n, path, id+"x") })
	}
	if d.ctx.Err() != nil {
		return
	}
	assert.Check(d.t, next.Start(d.ctx))
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.targets = append(d.targets, next)
}

// arrivals returns when targets began to execute requests to the path, in order.
func (d *queryOfDeathCase) arrivals(path string) []time.Time {
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

// crashes returns when targets crashed.
func (d *queryOfDeathCase) crashes() []time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return slices.Clone(d.crashTimes)
}

// sendQueryOfDeath sends the query of death through the nodes in turn, without waiting for
// answers.
func (d *queryOfDeathCase) sendQueryOfDeath(path string, duration time.Duration) {
	var sent sync.WaitGroup
	end := time.Now().Add(duration)
	for i := 0; time.Now().Before(end); i++ {
		n := d.nodes[i%len(d.nodes)]
		sent.Go(func() {
			if status, id := d.send(n, path); status == http.StatusOK {
				d.t.Errorf("%s succeeded, so it is no query of death", id)
			}
		})
		time.Sleep(queryInterval)
	}
	sent.Wait()
}

// normalLoad sends distinct harmless requests through all nodes until stopped.
type normalLoad struct {
	stop           chan struct{}
	senders        sync.WaitGroup
	mutex          sync.Mutex
	served, failed int
}

func (d *queryOfDeathCase) startNormalLoad(prefix string) *normalLoad {
	h := &normalLoad{stop: make(chan struct{})}
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

func (h *normalLoad) count(served bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if served {
		h.served++
		return
	}
	h.failed++
}

// stopAndRate stops the load and returns the share of requests that were served.
func (h *normalLoad) stopAndRate() float64 {
	close(h.stop)
	h.senders.Wait()
	return float64(h.served) / float64(h.served+h.failed)
}

// assertQuarantined asserts that the request no longer reached targets once three had crashed.
func (d *queryOfDeathCase) assertQuarantined(path string) {
	d.t.Helper()
	crashes := d.crashes()
	assert.Assert(d.t, len(crashes) >= 3, "the request must have crashed three targets, not %d", len(crashes))
	late := 0
	for _, at := range d.arrivals(path) {
		if at.Sub(crashes[2]) > detectionTimeout {
			late++
		}
	}
	assert.Check(d.t, late <= maxLateArrivals, "%d arrivals later than %s after the third crash", late, detectionTimeout)
	assert.Check(d.t, len(crashes) <= maxCrashes, "%d targets crashed", len(crashes))
}

// TestQueryOfDeathIsQuarantined guards against one request that crashes every target of a
// service. A target crashed 60 ms after the request arrived; the request was retried at
// another target and sent again through other nodes, so that all five targets had crashed
// within 1.3 s, and each replacement within half a second. For 16 s, two thirds of the
// service's requests failed, in waves of three seconds; other services were unaffected. It
// happened twice more that day. Each attempt had its own id and nothing of a request was kept
// beyond its attempt, so a crash looked like any broken connection. The fingerprints of the
// calls in flight identify it: one was open in each of the 20 logged crashes, no other in more
// than two. Without quarantine, 22 and 23 targets crash here, and 0.24 and 0.30 of the other
// requests are served.
func TestQueryOfDeathIsQuarantined(t *testing.T) {
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
			path := c.prefix + queryOfDeathPath
			d := startQueryOfDeathCase(t, path, "west", "west", "west", "east", "east")
			d.stub.SetFaults(c.store)
			normal := d.startNormalLoad(c.prefix)
			d.sendQueryOfDeath(path, queryDuration)
			served := normal.stopAndRate()
			d.assertQuarantined(path)
			t.Logf("%d targets crashed, %.3f of the other requests were served", len(d.crashes()), served)
			assert.Check(t, served >= 0.95, "%.3f of the other requests were served", served)
		})
	}
}

// TestQuarantineSurvivesRestartOfAllNodes quarantines a request, then kills and restarts all
// nodes: no further target may crash. Then an operator lifts the quarantine, after the
// targets are fixed.
func TestQuarantineSurvivesRestartOfAllNodes(t *testing.T) {
	const path = "/read/" + queryOfDeathPath
	d := startQueryOfDeathCase(t, path, "west", "west", "east")
	d.sendQueryOfDeath(path, 3*time.Second)
	status, _ := d.send(d.nodes[0], path)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	eventually(t, 10*time.Second, "the store holds the quarantine", func() bool { return len(d.quarantined()) == 1 })
	for _, n := range d.nodes {
		assert.NilError(t, n.process.Process.Kill())
		<-n.exited
		d.start(n)
	}
	for _, n := range d.nodes {
		d.awaitReady(n)
		d.awaitServed(n, "/read/warm")
	}
	crashes := len(d.crashes())
	for _, n := range d.nodes {
		status, _ := d.send(n, path)
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(d.crashes()), crashes)
	d.clearTargetFaults()
	output := d.runQuarantineCommand("-lift", d.quarantined()[0])
	assert.Assert(t, strings.Contains(output, "run again"), output)
	for _, n := range d.nodes {
		d.awaitServed(n, path)
	}
	assert.Equal(t, len(d.quarantined()), 0)
}

// clearTargetFaults stops requests from crashing targets.
func (d *queryOfDeathCase) clearTargetFaults() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, target := range d.targets {
		target.SetFaults(platformstub.TargetFaults{})
	}
}

// runQuarantineCommand runs the quarantine command and returns its output.
func (d *queryOfDeathCase) runQuarantineCommand(arguments ...string) string {
	d.t.Helper()
	output, err := exec.Command(program("lugspur-sidecar"), append([]string{"quarantine", "-store", d.address}, arguments...)...).CombinedOutput()
	assert.NilError(d.t, err, "%s", output)
	return string(output)
}

// quarantined returns the fingerprints that the quarantine command lists.
func (d *queryOfDeathCase) quarantined() []string {
	d.t.Helper()
	var fingerprints []string
	for line := range strings.Lines(d.runQuarantineCommand()) {
		if fields := strings.Fields(line); len(fields) == 4 && fields[1] == "one" {
			fingerprints = append(fingerprints, fields[0])
		}
	}
	return fingerprints
}
