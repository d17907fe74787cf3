package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// restartDelay is the time between the end of a process and its restart.
	restartDelay = 300 * time.Millisecond
	// stopSignalInterval is the time between signals to a process that stops.
	stopSignalInterval = 170 * time.Millisecond
	// drainDuration is how long a draining target continues to serve.
	drainDuration = 2500 * time.Millisecond
	// maxAttempts limits how often a drain notice or the start of a target is tried.
	maxAttempts     = 5
	attemptInterval = 300 * time.Millisecond
	// staleHeartbeats is the number of delayed heartbeats sent to a restarted node.
	staleHeartbeats  = 5
	linkDelay        = 250 * time.Millisecond
	extraServiceTime = 300 * time.Millisecond
	// Response faults affect every responseFaultInterval-th request at a target.
	responseFaultInterval = 8
	writeDelay            = 1500 * time.Millisecond
	// crashingRequestInterval is the time between two sends of a crashing request.
	// It is sent for at least minCrashingDuration, so that crashed targets have
	// restarted and could crash again.
	crashingRequestInterval = 150 * time.Millisecond
	minCrashingDuration     = 6 * time.Second
	// targetRestartDelay is the time between the crash of a target and its restart.
	targetRestartDelay = time.Second
)

// injector carries out a schedule. A fault is skipped while another fault
// affects the same machine, or the store.
type injector struct {
	deployment   *deployment
	recorder     *recorder
	machineLocks []sync.Mutex
	storeLock    sync.Mutex
	backups      backups

	callers      *callers
	versionMutex sync.Mutex
	version      int
}

func newInjector(d *deployment, r *recorder, c *callers) *injector {
	i := &injector{deployment: d, recorder: r, callers: c, machineLocks: make([]sync.Mutex, len(d.machines)), version: 1}
	for machine := range d.machines {
		d.machines[machine].onTargetCrash = func() { i.replaceCrashedTarget(machine) }
		d.machines[machine].onUnexpectedEnd = func(process *cluster.Process) { i.restartEndedNode(machine, process) }
	}
	return i
}

// restartEndedNode starts a node again whose process ended without having been asked to.
func (i *injector) restartEndedNode(machine int, process *cluster.Process) {
	end := i.recorder.beginDisturbance(processRestart, machine, false)
	defer end()
	m := i.deployment.machines[machine]
	i.recorder.addFailure(fmt.Sprintf("%s ended without having been asked to: %v", m.name, process.Err()))
	i.machineLocks[machine].Lock()
	defer i.machineLocks[machine].Unlock()
	if m.process.Load() != process || m.stopping.Load() {
		return
	}
	time.Sleep(restartDelay)
	i.restart(machine)
}

// replaceCrashedTarget replaces a target that crashed, unless another fault has
// replaced it already.
func (i *injector) replaceCrashedTarget(machine int) {
	i.machineLocks[machine].Lock()
	defer i.machineLocks[machine].Unlock()
	m := i.deployment.machines[machine]
	if m.stopping.Load() || !m.currentTarget.Load().Crashed() {
		return
	}
	m.stopTarget()
	i.replaceTarget(m)
}

// sendCrashingRequests repeats a request that crashes its target through all machines in turn.
func (i *injector) sendCrashingRequests(ctx context.Context, fault Fault) {
	var running sync.WaitGroup
	defer running.Wait()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callDeadline + responseGrace}
	path := crashPath(services[fault.Machine%len(services)])
	for until := time.Now().Add(fault.For + minCrashingDuration); time.Now().Before(until) && ctx.Err() == nil; pause.For(ctx, crashingRequestInterval) {
		request := i.callers.newCrashingRequest(path)
		running.Go(func() { i.callers.send(client, request) })
	}
}

// run carries out the schedule and waits until all faults have ended.
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
	case StoreDown, StoreThrottled, StoreWriteResponsesLost, StoreWritesDelayed, StoreWatchesExpired:
		i.injectStoreFault(ctx, fault)
	case StoreRestored:
		i.restore(ctx, fault)
	case KillAll:
		i.killAll()
	case Configure:
		i.configure(ctx)
	case TargetRateLimited:
		i.announceRateLimit(ctx, fault)
	case TargetLeaving:
		i.announceLeaving(ctx, fault)
	case CrashingRequest:
		i.sendCrashingRequests(ctx, fault)
	case SlowReaders, LargeBodies:
		i.sendLargeMessages(ctx, fault)
	case OddEntries:
		i.writeOddEntries(ctx)
	default:
		i.injectMachineFault(ctx, fault)
	}
}

var storeFaults = map[Kind]platformstub.Faults{
	StoreDown:               {Down: true},
	StoreThrottled:          {Throttled: true},
	StoreWriteResponsesLost: {DropWriteResponses: true},
	StoreWritesDelayed:      {WriteDelay: writeDelay},
	StoreWatchesExpired:     {WatchesExpired: true},
}

func (i *injector) injectStoreFault(ctx context.Context, fault Fault) {
	if !i.storeLock.TryLock() {
		i.recorder.addSkipped()
		return
	}
	defer i.storeLock.Unlock()
	end := i.recorder.beginDisturbance(otherDisturbance, allMachines, false)
	defer end()
	i.deployment.storeStub.SetFaults(storeFaults[fault.Kind])
	pause.For(ctx, fault.For)
	i.deployment.storeStub.SetFaults(platformstub.Faults{})
}

// configure writes the next version. It holds the lock during the write so that
// versions are acknowledged in order.
func (i *injector) configure(ctx context.Context) {
	i.versionMutex.Lock()
	defer i.versionMutex.Unlock()
	sent := time.Now()
	if i.deployment.writeConfiguration(ctx, i.version+1) == nil {
		i.version++
		i.recorder.addVersion(i.version, sent)
	}
}

func (i *injector) injectMachineFault(ctx context.Context, fault Fault) {
	if !i.machineLocks[fault.Machine].TryLock() {
		i.recorder.addSkipped()
		return
	}
	defer i.machineLocks[fault.Machine].Unlock()
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
	case AddressInUse:
		i.restartOnUsedAddress(ctx, fault)
	case ResponsesLost, ResponsesTruncated, TargetRejects, TargetSlow, ResponsesEndless, StatusesInvalid:
		i.injectTargetFault(ctx, m, fault)
	default:
		i.injectLinkFault(ctx, fault)
	}
}

func (i *injector) kill(machine int) {
	end := i.recorder.beginDisturbance(processRestart, machine, false)
	defer end()
	i.deployment.machines[machine].killNode()
	time.Sleep(restartDelay)
	i.restart(machine)
}

func (i *injector) restart(machine int) {
	i.recorder.addStart(machine)
	if err := i.deployment.machines[machine].startNode(); err != nil {
		i.recorder.addFailure(err.Error())
	}
}

func (i *injector) killAll() {
	var running sync.WaitGroup
	for machine := range i.deployment.machines {
		if !i.machineLocks[machine].TryLock() {
			i.recorder.addSkipped()
			continue
		}
		running.Go(func() {
			defer i.machineLocks[machine].Unlock()
			i.kill(machine)
		})
	}
	running.Wait()
}

func (i *injector) freeze(ctx context.Context, fault Fault) {
	end := i.recorder.beginDisturbance(processFreeze, fault.Machine, false)
	defer end()
	process := i.deployment.machines[fault.Machine].process.Load()
	process.Freeze()
	pause.For(ctx, fault.For)
	process.Resume()
}

// terminate stops a node gracefully and restarts it.
func (i *injector) terminate(machine int) {
	end := i.recorder.beginDisturbance(processRestart, machine, true)
	defer end()
	m := i.deployment.machines[machine]
	m.endExpected.Store(true)
	stopped := make(chan struct{})
	go sendStopSignals(m.process.Load(), stopped)
	if err := m.process.Load().Stop(gracePeriod); err != nil {
		i.recorder.addFailure(fmt.Sprintf("planned stop: %v", err))
	}
	close(stopped)
	time.Sleep(restartDelay)
	i.restart(machine)
}

// sendStopSignals asks a process to reload its settings and to stop, in turn, until it has stopped.
func sendStopSignals(process *cluster.Process, stopped <-chan struct{}) {
	ticker := time.NewTicker(stopSignalInterval)
	defer ticker.Stop()
	for send, next := process.Hangup, process.Terminate; ; send, next = next, send {
		select {
		case <-stopped:
			return
		case <-ticker.C:
			send()
		}
	}
}

// drain drains the machine's target and replaces it.
func (i *injector) drain(ctx context.Context, fault Fault) {
	m := i.deployment.machines[fault.Machine]
	for range maxAttempts {
		if m.currentTarget.Load().Drain(ctx) == nil {
			i.recorder.addDrain(incarnationID(m.currentTarget.Load()))
			break
		}
		pause.For(ctx, attemptInterval)
	}
	if fault.Kind == DrainAndKill {
		m.currentTarget.Load().StopHeartbeats()
		i.kill(fault.Machine)
		i.sendStaleHeartbeats(ctx, m.currentTarget.Load())
	}
	pause.For(ctx, drainDuration+fault.For)
	if m.currentTarget.Load().Deregister(ctx) == nil {
		i.recorder.addDrain(incarnationID(m.currentTarget.Load()))
	}
	m.stopTarget()
	i.replaceTarget(m)
}

// sendStaleHeartbeats sends heartbeats from before the drain to the restarted node,
// which has lost its in-memory state of the target.
func (i *injector) sendStaleHeartbeats(ctx context.Context, target *platformstub.Target) {
	for range staleHeartbeats {
		pause.For(ctx, attemptInterval)
		_ = target.SendStaleHeartbeat(ctx)
	}
}

func (i *injector) replaceTarget(m *machine) {
	for range maxAttempts {
		if m.startTarget() == nil {
			return
		}
		time.Sleep(attemptInterval)
	}
	i.recorder.addFailure("the target stub at " + m.name + " did not start")
}

var targetFaults = map[Kind]platformstub.TargetFaults{
	ResponsesLost:      {DropEvery: responseFaultInterval},
	ResponsesTruncated: {TruncateEvery: responseFaultInterval},
	TargetRejects:      {RejectEvery: responseFaultInterval},
	TargetSlow:         {Delay: extraServiceTime},
	ResponsesEndless:   {EndlessEvery: responseFaultInterval},
	StatusesInvalid:    {InvalidStatusEvery: responseFaultInterval},
}

func (i *injector) injectTargetFault(ctx context.Context, m *machine, fault Fault) {
	faults := targetFaults[fault.Kind]
	faults.CrashPrefix = crashPath(m.service)
	m.currentTarget.Load().SetFaults(faults)
	pause.For(ctx, fault.For)
	m.currentTarget.Load().SetFaults(platformstub.TargetFaults{CrashPrefix: crashPath(m.service)})
}

// linkFault is the effect of a fault kind on one proxy of a machine.
type linkFault struct {
	proxy                func(*machine) *faultproxy.Proxy
	toUpstream, toClient faultproxy.Faults
}

func storeProxy(m *machine) *faultproxy.Proxy  { return m.storeProxy }
func peerProxy(m *machine) *faultproxy.Proxy   { return m.peerProxy }
func targetProxy(m *machine) *faultproxy.Proxy { return m.targetProxy }

var (
	blackholed = faultproxy.Faults{Cut: faultproxy.CutBlackhole}
	reset      = faultproxy.Faults{Cut: faultproxy.CutReset}
	delayed    = faultproxy.Faults{Latency: linkDelay, Jitter: linkDelay}
	unaffected = faultproxy.Faults{}
)

var linkFaults = map[Kind]linkFault{
	StoreCut:    {storeProxy, blackholed, blackholed},
	StoreReset:  {storeProxy, reset, reset},
	StoreOneWay: {storeProxy, unaffected, blackholed},
	StoreSlow:   {storeProxy, delayed, delayed},
	PeerCut:     {peerProxy, blackholed, blackholed},
	PeerReset:   {peerProxy, reset, reset},
	PeerOneWay:  {peerProxy, unaffected, blackholed},
	PeerSlow:    {peerProxy, delayed, delayed},
	TargetReset: {targetProxy, reset, reset},
}

func (i *injector) injectLinkFault(ctx context.Context, fault Fault) {
	effect, known := linkFaults[fault.Kind]
	if !known {
		i.recorder.addFailure("unknown fault kind " + string(fault.Kind))
		return
	}
	end := i.recorder.beginDisturbance(linkCut, fault.Machine, false)
	defer end()
	proxy := effect.proxy(i.deployment.machines[fault.Machine])
	if err := proxy.SetFaults(effect.toUpstream, effect.toClient); err != nil {
		i.recorder.addFailure(err.Error())
	}
	pause.For(ctx, fault.For)
	proxy.Clear()
}
