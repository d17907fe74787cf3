package emulator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/lugspur/lugspur/lab/mesh"
)

// target is one emulated machine. Its methods may be used by several
// goroutines.
type target struct {
	settings   mesh.Target
	service    mesh.Service
	emulator   *Emulator
	listener   *limitedListener
	server     *http.Server
	slots      *semaphore.Weighted // first come, first served
	downstream *downstream
	reports    *reportHistory
	busy       atomic.Int64
	waiting    atomic.Int64

	mutex     sync.Mutex
	random    *rand.Rand
	faults    Faults
	thawed    chan struct{} // closed while answers aren't frozen
	draining  bool
	startedAt time.Time
}

func newTarget(owner *Emulator, settings mesh.Target, seed uint64) (*target, error) {
	inner, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, err
	}
	service, _ := owner.config.Mesh.Service(settings.Service)
	t := &target{
		settings:   settings,
		service:    service,
		emulator:   owner,
		listener:   newLimitedListener(inner, settings.Connections, mesh.Milliseconds(settings.ConnectMs)),
		slots:      semaphore.NewWeighted(int64(settings.Slots)),
		downstream: owner.downstreamOf(settings.Zone),
		reports:    newReportHistory(),
		random:     rand.New(rand.NewPCG(owner.config.Seed, seed)),
		thawed:     closedChannel(),
		startedAt:  time.Now(),
	}
	if owner.config.WarmStart {
		t.startedAt = t.startedAt.Add(-mesh.Milliseconds(settings.ColdStart.DurationMs))
	}
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: quietLog()}
	t.sample(t.startedAt)
	return t, nil
}

func closedChannel() chan struct{} {
	closed := make(chan struct{})
	close(closed)
	return closed
}

func (t *target) address() string { return t.listener.Addr().String() }

func (t *target) currentFaults() Faults {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.faults
}

func (t *target) setFaults(faults Faults) {
	t.mutex.Lock()
	wasFrozen := t.faults.FreezeAnswers
	wasDown := t.faults.Down
	t.faults = faults
	if faults.FreezeAnswers && !wasFrozen {
		t.thawed = make(chan struct{})
	}
	if !faults.FreezeAnswers && wasFrozen {
		close(t.thawed)
	}
	t.mutex.Unlock()
	if faults.Down != wasDown {
		t.listener.setDown(faults.Down)
	}
}

// waitThawed waits while answers are frozen; the caller's leaving ends it.
func (t *target) waitThawed(ctx context.Context) {
	t.mutex.Lock()
	thawed := t.thawed
	t.mutex.Unlock()
	select {
	case <-thawed:
	case <-ctx.Done():
	case <-t.emulator.closing:
	}
}

func (t *target) setDraining(draining bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.draining = draining
}

func (t *target) isDraining() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.draining
}

// restart resets every connection and makes the target cold and not draining.
func (t *target) restart() {
	t.mutex.Lock()
	t.draining = false
	t.startedAt = time.Now()
	t.mutex.Unlock()
	t.listener.resetAll()
}

// serviceTime draws the time of one call's own work.
func (t *target) serviceTime(distribution mesh.ServiceTime) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	base := distribution.Sample(t.random).Seconds()
	factor := t.faults.slowFactor() * coldFactor(t.settings.ColdStart, time.Since(t.startedAt))
	return time.Duration(base * factor * float64(time.Second))
}

// chance draws true with the given probability.
func (t *target) chance(probability float64) bool {
	if probability <= 0 {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.random.Float64() < probability
}

// load is the share of busy slots now.
func (t *target) load() float64 {
	return min(1, float64(t.busy.Load())/float64(t.settings.Slots))
}

func (t *target) sample(now time.Time) {
	health := Healthy
	if t.isDraining() {
		health = Draining
	}
	t.reports.add(report{at: now, load: t.load(), health: health})
}

// reported is what the target says of itself: late, and false if so set.
func (t *target) reported() report {
	faults := t.currentFaults()
	lag := mesh.Milliseconds(t.service.ReportLagMs)
	if faults.ReportLagMs != nil {
		lag = mesh.Milliseconds(*faults.ReportLagMs)
	}
	said, _ := t.reports.before(time.Now().Add(-lag))
	if lag == 0 {
		said.load = t.load()
		said.health = Healthy
		if t.isDraining() {
			said.health = Draining
		}
	}
	if faults.HealthOverride != "" {
		said.health = faults.HealthOverride
	}
	if faults.LoadOverride != nil {
		said.load = *faults.LoadOverride
	}
	return said
}

func (t *target) shedWaiting() int {
	if bound := t.currentFaults().ShedWaiting; bound != nil {
		return *bound
	}
	return t.service.ShedWaiting
}
