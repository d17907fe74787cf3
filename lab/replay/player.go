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

// Periods of a node's own work, as packages home and node have them.
const (
	tickPeriod     = 50 * time.Millisecond
	gossipInterval = 100 * time.Millisecond
)

// nodeName names the one node that a trace is played on.
const nodeName = "node"

// player plays one trace. Only the goroutine of play changes it; calls that
// wait in a queue have a goroutine each, which hands its result to arrived.
type player struct {
	clock  clock
	header Header
	start  time.Time

	replica *configuration.Replica
	marks   marks
	router  *gateway.Router
	shed    *shed.Table
	budgets *retrybudget.Ledger
	ratio   *retrybudget.Ratio
	resent  *resend.Table
	claims  *claimCluster
	guards  map[string]*guard
	answers map[string]Answer

	timeline timeline
	sequence int
	// pending is the number of trace events and calls that are not done.
	pending int
	calls   map[string]*call
	groups  map[string][]*call
	tokens  uint64

	mu      sync.Mutex
	arrived []permission
	wake    chan struct{}

	report Report
	err    error
}

// step is something that happens at a time.
type step struct {
	at       time.Time
	sequence int
	run      func()
}

// timeline holds steps by time; steps of one time are in the order in which they were added.
type timeline []step

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	return cmp.Or(t[i].at.Compare(t[j].at), cmp.Compare(t[i].sequence, t[j].sequence)) < 0
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push and Pop implement heap.Interface.
func (t *timeline) Push(added any) { *t = append(*t, added.(step)) }

// Pop removes the last step.
func (t *timeline) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// Play plays a trace in which no call waits in a queue; for others it fails
// with ErrQueues.
func Play(trace *Trace) (Report, error) {
	return play(trace, &steppingClock{time: traceStart})
}

func play(trace *Trace, clock clock) (Report, error) {
	p, err := newPlayer(trace, clock)
	if err != nil {
		return Report{}, err
	}
	for _, event := range trace.Events {
		p.schedule(event)
	}
	p.keepTicking()
	for p.err == nil && p.pending > 0 {
		p.advance()
	}
	p.abandon()
	p.report.verifyCalls(p)
	return p.report, p.err
}

func newPlayer(trace *Trace, clock clock) (*player, error) {
	p := &player{
		clock:   clock,
		header:  trace.Header,
		start:   clock.now(),
		replica: configuration.NewReplica(clock.now),
		marks:   marks{},
		shed:    shed.NewTable(shed.TableConfig{}),
		budgets: retrybudget.NewLedger(0, clock.now),
		ratio:   retrybudget.NewRatio(retrybudget.RatioConfig{}, clock.now),
		resent:  resend.NewTable(clock.now),
		guards:  map[string]*guard{},
		answers: map[string]Answer{},
		calls:   map[string]*call{},
		groups:  map[string][]*call{},
		wake:    make(chan struct{}, 1),
		report:  Report{Trace: trace.Header.Trace, spent: map[string]int{}},
	}
	for service, answer := range trace.Header.Answers {
		p.answers[service] = answer
	}
	p.router = gateway.NewRouter(gateway.RouterConfig{
		Node: nodeName, Zone: trace.Header.Zone, Warmup: true, Shed: p.shed, Now: clock.now,
	})
	if err := p.configure(); err != nil {
		return nil, err
	}
	var err error
	p.claims, err = newClaimCluster(trace.Header.Claims)
	return p, err
}

// at adds a step to the timeline.
func (p *player) at(when time.Time, run func()) {
	p.sequence++
	heap.Push(&p.timeline, step{at: when, sequence: p.sequence, run: run})
}

// advance plays the next step, or what calls that waited got before it.
func (p *player) advance() {
	p.clock.settle()
	if p.goOn() {
		return
	}
	next := p.timeline[0]
	if next.at.After(p.clock.now()) {
		p.clock.sleep(next.at, p.wake)
		p.clock.settle()
		if p.goOn() || next.at.After(p.clock.now()) {
			return
		}
	}
	heap.Pop(&p.timeline)
	next.run()
}

// goOn lets calls go on that got a permit or a refusal, in the order of their
// arrival. It reports whether there were any.
func (p *player) goOn() bool {
	p.mu.Lock()
	arrived := p.arrived
	p.arrived = nil
	p.mu.Unlock()
	select {
	case <-p.wake:
	default:
	}
	slices.SortFunc(arrived, func(a, b permission) int { return cmp.Compare(a.call.number, b.call.number) })
	for _, permission := range arrived {
		p.take(permission)
		p.clock.settle()
	}
	return len(arrived) > 0
}

// abandon ends the calls that still wait when playing stopped on an error.
func (p *player) abandon() {
	for _, g := range p.guards {
		g.scheduler.Close()
	}
	p.clock.settle()
}

// keepTicking does what a node does by itself at regular times.
func (p *player) keepTicking() {
	now := p.clock.now()
	if now.Sub(p.start)%gossipInterval == 0 {
		p.tellLevels(now)
	}
	for _, g := range p.guards {
		stats := g.scheduler.Stats()
		g.shedding.Tick(now, home.ShedState(stats))
	}
	p.at(now.Add(tickPeriod), p.keepTicking)
}

// elapsed returns the time since the trace's start.
func (p *player) elapsed() time.Duration { return p.clock.now().Sub(p.start) }

// fail ends the trace with an error.
func (p *player) fail(err error) {
	if p.err == nil && err != nil {
		p.err = fmt.Errorf("at %s: %w", p.elapsed(), err)
	}
}

// schedule puts an event of the trace, or the calls of a group, on the timeline.
func (p *player) schedule(event Event) {
	if event.Call == nil {
		p.pending++
		p.at(p.start.Add(event.At.Duration()), func() {
			p.pending--
			p.happen(event)
		})
		return
	}
	number := max(event.Call.Count, 1)
	for i := range number {
		c := newCall(event, i)
		if p.calls[c.id] != nil {
			p.fail(fmt.Errorf("line %d: there is a call %s already", event.Line, c.id))
			return
		}
		p.calls[c.id] = c
		p.groups[event.Call.ID] = append(p.groups[event.Call.ID], c)
		p.report.calls = append(p.report.calls, c)
		p.pending++
		at := event.At.Duration() + time.Duration(i)*event.Call.Every.Duration()
		p.at(p.start.Add(at), func() { p.arrive(c) })
	}
}

func (p *player) happen(event Event) {
	var err error
	switch {
	case event.Answers != nil:
		p.answers[event.Answers.Service] = event.Answers.Answer
	case event.Apply != nil:
		p.apply(event.Apply)
	case event.Mark != nil:
		p.marks.set(event.Mark)
		p.rebuild()
	case event.ShedReport != nil:
		p.takeShedReport(event)
	case event.Grant != nil:
		err = p.grantTo(event)
	case event.Claim != nil:
		err = p.claims.begin(event.Claim, p.clock.now())
	case event.Deliver != nil:
		err = p.claims.deliver(event.Deliver, p.clock.now())
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
