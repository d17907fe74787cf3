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

// target is one emulated target. Its methods are safe for concurrent use.
type target struct {
	settings   mesh.Target
	service    mesh.Service
	emulator   *Emulator
	listener   *limitedListener
	server     *http.Server
	slots      *semaphore.Weighted // FIFO
	downstream *downstream
	reports    *reportHistory
	busy       atomic.Int64
	waiting    atomic.Int64

	mutex     sync.Mutex
	random    *rand.Rand
	faults    Faults
	unfrozen  chan struct{} // closed while answers aren't frozen
	draining  bool
	startedAt time.Time
}

func newTarget(emulator *Emulator, settings mesh.Target, seed uint64) (*target, error) {
	inner, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return nil, err
	}
	service, _ := emulator.config.Mesh.Service(settings.Service)
	t := &target{
		settings:   settings,
		service:    service,
		emulator:   emulator,
		listener:   newLimitedListener(inner, settings.Connections, mesh.Milliseconds(settings.ConnectMs)),
		slots:      semaphore.NewWeighted(int64(settings.Slots)),
		downstream: emulator.downstreamFor(settings.Zone),
		reports:    newReportHistory(),
		random:     rand.New(rand.NewPCG(emulator.config.Seed, seed)),
		unfrozen:   closedChannel(),
		startedAt:  time.Now(),
	}
	if emulator.config.WarmStart {
		t.startedAt = t.startedAt.Add(-mesh.Milliseconds(settings.ColdStart.DurationMs))
	}
	t.server = &http.Server{Handler: t.routes(), ReadHeaderTimeout: 10 * time.Second, ErrorLog: discardLog()}
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
		t.unfrozen = make(chan struct{})
	}
	if !faults.FreezeAnswers && wasFrozen {
		close(t.unfrozen)
	}
	t.mutex.Unlock()
	if faults.Down != wasDown {
		t.listener.setDown(faults.Down)
	}
}

// waitUnfrozen waits while answers are frozen, until the context is done or the
// emulator closes.
func (t *target) waitUnfrozen(ctx context.Context) {
	t.mutex.Lock()
	unfrozen := t.unfrozen
	t.mutex.Unlock()
	select {
	case <-unfrozen:
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

// restart resets every connection, ends a drain and starts the cold start again.
func (t *target) restart() {
	t.mutex.Lock()
	t.draining = false
	t.startedAt = time.Now()
	t.mutex.Unlock()
	t.listener.resetAll()
}

// serviceTime samples the duration of one call's own work, with the factors of
// faults and of the cold start.
func (t *target) serviceTime(distribution mesh.ServiceTime) time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	base := distribution.Sample(t.random).Seconds()
	factor := t.faults.slowFactor() * coldFactor(t.settings.ColdStart, time.Since(t.startedAt))
	return time.Duration(base * factor * float64(time.Second))
}

// drawFault returns true with the given probability.
func (t *target) drawFault(probability float64) bool {
	if probability <= 0 {
		return false
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.random.Float64() < probability
}

// load returns the current share of busy slots.
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

// currentReport returns the load and health that the target reports, with the
// lag of the reports and the overrides of the faults applied.
func (t *target) currentReport() report {
	faults := t.currentFaults()
	lag := mesh.Milliseconds(t.service.ReportLagMs)
	if faults.ReportLagMs != nil {
		lag = mesh.Milliseconds(*faults.ReportLagMs)
	}
	current, _ := t.reports.latestAt(time.Now().Add(-lag))
	if lag == 0 {
		current.load = t.load()
		current.health = Healthy
		if t.isDraining() {
			current.health = Draining
		}
	}
	if faults.HealthOverride != "" {
		current.health = faults.HealthOverride
	}
	if faults.LoadOverride != nil {
		current.load = *faults.LoadOverride
	}
	return current
}

func (t *target) shedWaiting() int {
	if limit := t.currentFaults().ShedWaiting; limit != nil {
		return *limit
	}
	return t.service.ShedWaiting
}
