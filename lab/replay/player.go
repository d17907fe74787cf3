package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/resend"
	"github.com/lugspur/lugspur/internal/retrybudget"
	"github.com/lugspur/lugspur/internal/shed"
)

// Intervals of a node's periodic work. They equal those of packages home and node.
const (
	tickPeriod     = 50 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
)

// nodeName is the name of the single node on which a trace is played.
const nodeName = "node"

// player plays one trace. Only the goroutine of play changes it. If the clock drives
// the runtime's timers, each call waits for its permit in a goroutine of its own, which
// appends the result to acquireResults.
type player struct {
	clock  clock
	header Header
	start  time.Time

	replica          *configuration.Replica
	emergencyDrains  emergencyDrains
	router           *gateway.Router
	shed             *shed.Table
	budgets          *retrybudget.Ledger
	retryRatio       *retrybudget.Ratio
	resends          *resend.Table
	claims           *claimCluster
	targetStates     map[string]*targetState
	defaultResponses map[string]Response

	timeline timeline
	sequence int
	// pending is the number of trace events and calls that are not finished.
	pending    int
	calls      map[string]*call
	callGroups map[string][]*call
	lastToken  uint64

	mu             sync.Mutex
	acquireResults []acquireResult
	wake           chan struct{}

	report Report
	err    error
}

// scheduledAction is a function that runs at a time.
type scheduledAction struct {
	time     time.Time
	sequence int
	run      func()
}

// timeline is a priority queue of actions by time. Actions with equal times run in
// the order in which they were added.
type timeline []scheduledAction

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return cmp.Or(t[i].time.Compare(t[j].time), cmp.Compare(t[i].sequence, t[j].sequence)) < 0
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeline) Push(added any) { *t = append(*t, added.(scheduledAction)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Play plays a trace. It returns ErrCallQueued if a call would be queued.
func Play(trace *Trace) (Report, error) {
	return play(trace, &steppingClock{current: traceStart})
}

func play(trace *Trace, clock clock) (Report, error) {
	p, err := newPlayer(trace, clock)
	if err != nil {
		return Report{}, err
	}
	for _, event := range trace.Events {
		p.scheduleEvent(event)
	}
	p.tick()
	for p.err == nil && p.pending > 0 {
		p.playNext()
	}
	p.closeSchedulers()
	p.report.verifyCalls(p)
	return p.report, p.err
}

func newPlayer(trace *Trace, clock clock) (*player, error) {
	p := &player{
		clock:            clock,
		header:           trace.Header,
		start:            clock.now(),
		replica:          configuration.NewReplica(clock.now),
		emergencyDrains:  emergencyDrains{},
		shed:             shed.NewTable(shed.TableConfig{}),
		budgets:          retrybudget.NewLedger(0, clock.now),
		retryRatio:       retrybudget.NewRatio(retrybudget.RatioConfig{}, clock.now),
		resends:          resend.NewTable(clock.now),
		targetStates:     map[string]*targetState{},
		defaultResponses: map[string]Response{},
		calls:            map[string]*call{},
		callGroups:       map[string][]*call{},
		wake:             make(chan struct{}, 1),
		report:           Report{TraceName: trace.Header.Name, retriesGranted: map[string]int{}},
	}
	for service, response := range trace.Header.DefaultResponses {
		p.defaultResponses[service] = response
	}
	p.router = gateway.NewRouter(gateway.RouterConfig{
		Node: nodeName, Zone: trace.Header.Zone, Warmup: true, Shed: p.shed, Now: clock.now,
	})
	if err := p.configure(); err != nil {
		return nil, err
	}
	var err error
	p.claims, err = newClaimCluster(trace.Header.ClaimReplicas)
	return p, err
}

// scheduleAt adds an action to the timeline.
func (p *player) scheduleAt(at time.Time, run func()) {
	p.sequence++
	heap.Push(&p.timeline, scheduledAction{time: at, sequence: p.sequence, run: run})
}

// playNext resumes calls that received a permit or a refusal, or else runs the next
// action of the timeline.
func (p *player) playNext() {
	p.clock.waitIdle()
	if p.resumeCalls() {
		return
	}
	next := p.timeline[0]
	if next.time.After(p.clock.now()) {
		p.clock.sleep(next.time, p.wake)
		p.clock.waitIdle()
		if p.resumeCalls() || next.time.After(p.clock.now()) {
			return
		}
	}
	heap.Pop(&p.timeline)
	next.run()
}

// resumeCalls resumes the calls that received a permit or a refusal, in the order in
// which the calls arrived. It reports whether there were any.
func (p *player) resumeCalls() bool {
	p.mu.Lock()
	results := p.acquireResults
	p.acquireResults = nil
	p.mu.Unlock()
	select {
	case <-p.wake:
	default:
	}
	slices.SortFunc(results, func(a, b acquireResult) int { return cmp.Compare(a.call.sequence, b.call.sequence) })
	for _, result := range results {
		p.resume(result)
		p.clock.waitIdle()
	}
	return len(results) > 0
}

// closeSchedulers ends the calls that are still queued when playing stopped with an
// error.
func (p *player) closeSchedulers() {
	for _, state := range p.targetStates {
		state.scheduler.Close()
	}
	p.clock.waitIdle()
}

// tick does the periodic work of a node and schedules the next tick.
func (p *player) tick() {
	now := p.clock.now()
	if now.Sub(p.start)%gossipInterval == 0 {
		p.updateShedTable(now)
	}
	for _, state := range p.targetStates {
		stats := state.scheduler.Stats()
		state.shedController.Tick(now, home.ShedState(stats))
	}
	p.scheduleAt(now.Add(tickPeriod), p.tick)
}

// elapsed returns the time since the trace's start.
func (p *player) elapsed() time.Duration { return p.clock.now().Sub(p.start) }

// fail stops playing with an error. Only the first error is kept.
func (p *player) fail(err error) {
	if p.err == nil && err != nil {
		p.err = fmt.Errorf("at %s: %w", p.elapsed(), err)
	}
}

// scheduleEvent adds an event of the trace, or the calls of a group, to the timeline.
func (p *player) scheduleEvent(event Event) {
	if event.Call == nil {
		p.pending++
		p.scheduleAt(p.start.Add(event.At.Duration()), func() {
			p.pending--
			p.playEvent(event)
		})
		return
	}
	count := max(event.Call.Count, 1)
	for i := range count {
		c := newCall(event, i)
		if p.calls[c.id] != nil {
			p.fail(fmt.Errorf("line %d: duplicate call %s", event.Line, c.id))
			return
		}
		p.calls[c.id] = c
		p.callGroups[event.Call.ID] = append(p.callGroups[event.Call.ID], c)
		p.report.calls = append(p.report.calls, c)
		p.pending++
		at := event.At.Duration() + time.Duration(i)*event.Call.Interval.Duration()
		p.scheduleAt(p.start.Add(at), func() { p.receiveCall(c) })
	}
}

func (p *player) playEvent(event Event) {
	var err error
	switch {
	case event.DefaultResponse != nil:
		p.defaultResponses[event.DefaultResponse.Service] = event.DefaultResponse.Response
	case event.Apply != nil:
		p.apply(event.Apply)
	case event.EmergencyDrain != nil:
		p.emergencyDrains.set(event.EmergencyDrain)
		p.rebuildView()
	case event.ShedReport != nil:
		p.applyShedReport(event)
	case event.GrantRequest != nil:
		err = p.playGrantRequest(event)
	case event.Claim != nil:
		err = p.claims.startAttempt(event.Claim, p.clock.now())
	case event.Delivery != nil:
		err = p.claims.deliver(event.Delivery, p.clock.now())
	case event.Restart != nil:
		err = p.claims.restart(event.Restart.Replica)
	case event.Rejoin != nil:
		err = p.claims.rejoin(event.Rejoin.Replica, p.clock.now())
	case event.Check != nil:
		p.check(event)
	}
	if err != nil {
		p.fail(fmt.Errorf("line %d: %w", event.Line, err))
	}
}
