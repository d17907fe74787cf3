package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// restartPause is how long a process that ended stays away.
	restartPause = 300 * time.Millisecond
	// drainTime is how long a target that leaves serves on.
	drainTime = 2500 * time.Millisecond
	// ackTries bounds how often a target says that it leaves.
	ackTries = 5
	ackPause = 300 * time.Millisecond
	// lateBeats is how often a held-up heartbeat is sent to a node that started.
	lateBeats = 5
	slowLink  = 250 * time.Millisecond
	slowWork  = 300 * time.Millisecond
	// faultEvery is how often a target's answer is lost, spoilt or rejected.
	faultEvery = 8
	lateWrites = 1500 * time.Millisecond
	// deadlyPause is the time between two tries of a deadly request, and deadlyTime for how
	// long it is sent at least: targets that ended are back and would end again.
	deadlyPause = 150 * time.Millisecond
	deadlyTime  = 6 * time.Second
	// targetAway is how long a target that ended under a request stays away.
	targetAway = time.Second
)

// injector carries out a schedule. A fault whose machine, or the store, is
// struck already is skipped.
type injector struct {
	deployment *deployment
	recorder   *recorder
	machines   []sync.Mutex
	store      sync.Mutex
	copies     copies

	callers      *callers
	versionMutex sync.Mutex
	version      int
}

func newInjector(d *deployment, r *recorder, c *callers) *injector {
	i := &injector{deployment: d, recorder: r, callers: c, machines: make([]sync.Mutex, len(d.machines)), version: 1}
	for machine := range d.machines {
		d.machines[machine].onEnd = func() { i.replaceEnded(machine) }
	}
	return i
}

// replaceEnded starts a target in the place of one that ended under a request, unless
// another fault does so.
func (i *injector) replaceEnded(machine int) {
	i.machines[machine].Lock()
	defer i.machines[machine].Unlock()
	m := i.deployment.machines[machine]
	if m.stopped.Load() || !m.current.Ended() {
		return
	}
	m.stopTarget()
	i.replaceTarget(m)
}

// sendDeadly sends one request that ends targets by all machines in turn.
func (i *injector) sendDeadly(ctx context.Context, fault Fault) {
	var sent sync.WaitGroup
	defer sent.Wait()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callDeadline + callPatience}
	path := deadlyPath(services[fault.Machine%len(services)])
	for until := time.Now().Add(fault.For + deadlyTime); time.Now().Before(until) && ctx.Err() == nil; pause.For(ctx, deadlyPause) {
		request := i.callers.deadly(path)
		sent.Go(func() { i.callers.send(client, request) })
	}
}

// run carries the schedule out and waits for the ends of all faults.
func (i *injector) run(ctx context.Context, schedule []Fault) {
	start := time.Now()
	var running sync.WaitGroup
	for _, fault := range schedule {
		pause.For(ctx, time.Until(start.Add(fault.At)))
		if ctx.Err() != nil {
			break
		}
		running.Go(func() { i.inject(ctx, fault) })
	}
	running.Wait()
}

func (i *injector) inject(ctx context.Context, fault Fault) {
	switch fault.Kind {
	case StoreDown, StoreThrottled, StoreLostWrites, StoreLateWrites, StoreForgets:
		i.strikeStore(ctx, fault)
	case StoreRestored:
		i.restore(ctx, fault)
	case KillAll:
		i.killAll()
	case Configure:
		i.configure(ctx)
	case DeadlyRequest:
		i.sendDeadly(ctx, fault)
	default:
		i.strikeMachine(ctx, fault)
	}
}

var storeFaults = map[Kind]platformstub.Faults{
	StoreDown:       {Down: true},
	StoreThrottled:  {Throttled: true},
	StoreLostWrites: {LoseWriteAnswers: true},
	StoreLateWrites: {LateWrites: lateWrites},
	StoreForgets:    {Forgotten: true},
}

func (i *injector) strikeStore(ctx context.Context, fault Fault) {
	if !i.store.TryLock() {
		i.recorder.skip()
		return
	}
	defer i.store.Unlock()
	end := i.recorder.begin(everyMachine, false)
	defer end()
	i.deployment.stub.SetFaults(storeFaults[fault.Kind])
	pause.For(ctx, fault.For)
	i.deployment.stub.SetFaults(platformstub.Faults{})
}

// configure writes the next version. The lock is held, so that versions are
// acknowledged in order.
func (i *injector) configure(ctx context.Context) {
	i.versionMutex.Lock()
	defer i.versionMutex.Unlock()
	sent := time.Now()
	if i.deployment.writeConfiguration(ctx, i.version+1) == nil {
		i.version++
		i.recorder.configured(i.version, sent)
	}
}

func (i *injector) strikeMachine(ctx context.Context, fault Fault) {
	if !i.machines[fault.Machine].TryLock() {
		i.recorder.skip()
		return
	}
	defer i.machines[fault.Machine].Unlock()
	m := i.deployment.machines[fault.Machine]
	switch fault.Kind {
	case Kill:
		i.kill(fault.Machine)
	case ConfigureAndKill:
		i.configure(ctx)
		i.kill(fault.Machine)
	case Freeze:
		i.freeze(ctx, fault)
	case Terminate:
		i.terminate(fault.Machine)
	case Drain, DrainAndKill:
		i.drain(ctx, fault)
	case TargetReplaced:
		m.stopTarget()
		pause.For(ctx, fault.For)
		i.replaceTarget(m)
	case AnswersLost, AnswersSpoilt, TargetRejects, TargetSlow:
		i.strikeTarget(ctx, m, fault)
	default:
		i.strikeLink(ctx, fault)
	}
}

func (i *injector) kill(machine int) {
	end := i.recorder.begin(machine, false)
	defer end()
	i.deployment.machines[machine].process.Kill()
	time.Sleep(restartPause)
	i.restart(machine)
}

func (i *injector) restart(machine int) {
	i.recorder.started(machine)
	if err := i.deployment.machines[machine].startNode(); err != nil {
		i.recorder.endedByItself(err.Error())
	}
}

func (i *injector) killAll() {
	var group sync.WaitGroup
	for machine := range i.deployment.machines {
		if !i.machines[machine].TryLock() {
			i.recorder.skip()
			continue
		}
		group.Go(func() {
			defer i.machines[machine].Unlock()
			i.kill(machine)
		})
	}
	group.Wait()
}

func (i *injector) freeze(ctx context.Context, fault Fault) {
	end := i.recorder.begin(fault.Machine, false)
	defer end()
	process := i.deployment.machines[fault.Machine].process
	process.Freeze()
	pause.For(ctx, fault.For)
	process.Resume()
}

// terminate stops a node as planned and starts it again.
func (i *injector) terminate(machine int) {
	end := i.recorder.begin(machine, true)
	defer end()
	m := i.deployment.machines[machine]
	if err := m.process.Stop(graceTime); err != nil {
		i.recorder.endedByItself(fmt.Sprintf("planned stop: %v", err))
	}
	time.Sleep(restartPause)
	i.restart(machine)
}

// drain has the machine's target leave, and a new one take its place.
func (i *injector) drain(ctx context.Context, fault Fault) {
	m := i.deployment.machines[fault.Machine]
	for range ackTries {
		if m.current.Drain(ctx) == nil {
			i.recorder.drained(startOf(m.current))
			break
		}
		pause.For(ctx, ackPause)
	}
	if fault.Kind == DrainAndKill {
		m.current.Silence()
		i.kill(fault.Machine)
		i.beatLate(ctx, m.current)
	}
	pause.For(ctx, drainTime+fault.For)
	if m.current.Leave(ctx) == nil {
		i.recorder.drained(startOf(m.current))
	}
	m.stopTarget()
	i.replaceTarget(m)
}

// beatLate sends a heartbeat from before the leave to the node that has just
// started, which no longer knows the target of itself.
func (i *injector) beatLate(ctx context.Context, target *platformstub.Target) {
	for range lateBeats {
		pause.For(ctx, ackPause)
		_ = target.Late(ctx)
	}
}

func (i *injector) replaceTarget(m *machine) {
	for range ackTries {
		if m.startTarget() == nil {
			return
		}
		time.Sleep(ackPause)
	}
	i.recorder.endedByItself("the stand-in of the target at " + m.name + " did not start")
}

var targetFaults = map[Kind]platformstub.TargetFaults{
	AnswersLost:   {LoseEvery: faultEvery},
	AnswersSpoilt: {SpoilEvery: faultEvery},
	TargetRejects: {RejectEvery: faultEvery},
	TargetSlow:    {Slow: slowWork},
}

func (i *injector) strikeTarget(ctx context.Context, m *machine, fault Fault) {
	faults := targetFaults[fault.Kind]
	faults.EndsUnder = deadlyPath(m.service)
	m.current.SetFaults(faults)
	pause.For(ctx, fault.For)
	m.current.SetFaults(platformstub.TargetFaults{EndsUnder: deadlyPath(m.service)})
}

// linkFault says what a kind does to a link of a machine.
type linkFault struct {
	link                 func(*machine) *faultproxy.Proxy
	toUpstream, toClient faultproxy.Faults
}

func toStore(m *machine) *faultproxy.Proxy  { return m.toStore }
func toPeers(m *machine) *faultproxy.Proxy  { return m.toPeers }
func toTarget(m *machine) *faultproxy.Proxy { return m.toTarget }

var (
	silenced = faultproxy.Faults{Cut: faultproxy.CutBlackhole}
	reset    = faultproxy.Faults{Cut: faultproxy.CutReset}
	delayed  = faultproxy.Faults{Latency: slowLink, Jitter: slowLink}
	passing  = faultproxy.Faults{}
)

var linkFaults = map[Kind]linkFault{
	StoreCut:    {toStore, silenced, silenced},
	StoreReset:  {toStore, reset, reset},
	StoreOneWay: {toStore, passing, silenced},
	StoreSlow:   {toStore, delayed, delayed},
	PeerCut:     {toPeers, silenced, silenced},
	PeerReset:   {toPeers, reset, reset},
	PeerOneWay:  {toPeers, passing, silenced},
	PeerSlow:    {toPeers, delayed, delayed},
	TargetReset: {toTarget, reset, reset},
}

func (i *injector) strikeLink(ctx context.Context, fault Fault) {
	struck, known := linkFaults[fault.Kind]
	if !known {
		i.recorder.endedByItself("no fault of kind " + string(fault.Kind))
		return
	}
	end := i.recorder.begin(fault.Machine, false)
	defer end()
	link := struck.link(i.deployment.machines[fault.Machine])
	if err := link.SetFaults(struck.toUpstream, struck.toClient); err != nil {
		i.recorder.endedByItself(err.Error())
	}
	pause.For(ctx, fault.For)
	link.Clear()
}
