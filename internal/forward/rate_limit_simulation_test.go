package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/registry"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/targetrate"
)

// rateSimulation simulates, in virtual time, many nodes that send requests to the targets of one
// service. Some targets announce rate limits, which change; homes restart; nodes are cut off.
type rateSimulation struct {
	eventLoop
	random    *rand.Rand
	directory *registry.Directory
	revision  store.Revision
	route     *routetable.Route
	nodes     []*rateNode
	targets   map[string]*rateTarget
	refused   int
}

// rateNode is a node that sends requests.
type rateNode struct {
	forwarder *Forwarder
	cut       bool
	// passedOn is when the node first passed on a response with a limit, by target.
	passedOn map[string]time.Time
}

// rateTarget is a target with its home.
type rateTarget struct {
	announced targetrate.Announcement
	periods   []ratePeriod
	// tracker and pacer are the state of the home's process; a restart replaces them.
	tracker *targetrate.Tracker
	pacer   *targetrate.Pacer
	// counted are the arrivals of requests of nodes that had passed on a response with a limit.
	counted []time.Time
	// record is the home's record in the store, and publishing is set while it is written.
	record     registry.Record
	publishing bool
}

// ratePeriod is a time in which a target announces one limit. It begins with the first response
// that announces it.
type ratePeriod struct {
	announced targetrate.Announcement
	from, to  time.Time
	// first reports whether the target announced no limit before.
	first bool
}

// event is an action at a time of the simulation.
type event struct {
	at     time.Time
	action func()
}

// eventQueue is a heap of events ordered by time.
type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// eventLoop carries out actions in virtual time.
type eventLoop struct {
	now    time.Time
	events eventQueue
}

// after schedules an action.
func (s *eventLoop) after(delay time.Duration, action func()) {
	heap.Push(&s.events, event{at: s.now.Add(delay), action: action})
}

// run carries out the events of the duration.
func (s *eventLoop) run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.action()
	}
	s.now = end
}

func newRateSimulation(t *testing.T, nodes, targets int, seed uint64) *rateSimulation {
	t.Helper()
	s := &rateSimulation{eventLoop: eventLoop{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(seed, uint64(nodes))), targets: make(map[string]*rateTarget),
		route: &routetable.Route{Name: "read", Kind: routetable.Repeatable}}
	clock := func() time.Time { return s.now }
	s.directory = registry.NewDirectory("homes/", "", nil, clock)
	for i := range nodes {
		record := registry.Record{Instance: fmt.Sprint("i-", i), Service: "other", Zone: fmt.Sprint(i % simulatedZones), Address: simulatedAddress(i), Slots: 38, State: registry.Ready}
		if i < targets {
			record.Service = "s"
			s.targets[record.Address] = &rateTarget{tracker: &targetrate.Tracker{}, pacer: &targetrate.Pacer{}, record: record}
		}
		s.write(record)
		forwarder := &Forwarder{config: Config{Zone: record.Zone}, now: clock, directory: s.directory}
		s.nodes = append(s.nodes, &rateNode{forwarder: forwarder, passedOn: make(map[string]time.Time)})
	}
	return s
}

// write writes the record of a home; all nodes know it at once.
func (s *rateSimulation) write(record registry.Record) {
	encoded, err := cbor.Marshal(record)
	if err != nil {
		panic(err)
	}
	s.revision++
	s.directory.ApplyChanges([]store.Entry{{Key: "homes/" + record.Address, Value: encoded, Revision: s.revision}}, "store")
}

// publish writes the rate limit of the target to its home's record after some time.
func (s *rateSimulation) publish(target *rateTarget) {
	if target.publishing {
		return
	}
	target.publishing = true
	s.after(s.between(300*time.Millisecond, 1800*time.Millisecond), func() {
		target.publishing = false
		target.record.RateLimit = nil
		if current := target.tracker.Current(); current.Limited {
			target.record.RateLimit = &current.Rate
		}
		s.write(target.record)
	})
}

// between returns a random duration.
func (s *rateSimulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// load makes the node send requests at the given rate.
func (s *rateSimulation) load(node *rateNode, perSecond float64) {
	s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		if !node.cut {
			level := criticality.Level(s.random.IntN(criticality.LevelCount))
			s.offer(node, &request{route: s.route, service: "s", deadline: s.now.Add(5 * time.Second), rank: criticality.Rank{Level: level}})
		}
		s.load(node, perSecond)
	})
}

// networkDelay returns the delay of a message between two nodes.
func (s *rateSimulation) networkDelay() time.Duration {
	return s.between(200*time.Microsecond, 8*time.Millisecond)
}

// offer sends the request to the home that the node chooses.
func (s *rateSimulation) offer(node *rateNode, q *request) {
	f := node.forwarder
	chosen := f.choose(q)
	if chosen.home == nil || q.offers-q.rateRefusals == maxOffers || q.rateRefusals == maxRateRefusals {
		s.refused++
		return
	}
	q.offers++
	known, _ := f.announced.get(chosen.home.Instance)
	s.after(s.networkDelay(), func() { s.arrive(node, q, chosen.home, known.TargetAnnouncement) })
}

// arrive handles an offer at the home.
func (s *rateSimulation) arrive(node *rateNode, q *request, home *registry.Home, known peering.TargetAnnouncement) {
	target := s.targets[home.Address]
	if known.Rate.Limited && target.tracker.Adopt(known.Rate, s.now) {
		target.pacer.Set(target.tracker.Current(), s.now)
	}
	call := targetrate.Call{Rank: q.rank}
	decision := target.pacer.Take(call, s.now)
	if !decision.Admitted {
		reply := &peering.Reply{Outcome: peering.Refused, Reason: peering.RateLimited, RetryAfter: decision.Wait, Load: target.load(home, call, s.now)}
		s.after(s.networkDelay(), func() { s.refuse(node, q, home, reply) })
		return
	}
	if at, found := node.passedOn[home.Address]; found && !node.cut && s.now.Sub(at) >= 500*time.Millisecond {
		target.counted = append(target.counted, s.now)
	}
	sentAt, tracker := s.now, target.tracker
	s.after(s.between(50*time.Millisecond, 400*time.Millisecond), func() {
		if target.tracker == tracker {
			s.respond(node, q, home, sentAt)
		}
	})
}

// refuse handles a refused offer at the node.
func (s *rateSimulation) refuse(node *rateNode, q *request, home *registry.Home, reply *peering.Reply) {
	if node.cut {
		return
	}
	node.forwarder.recordAnnouncement(q, home, reply)
	q.rateRefusals++
	q.lastReason = reply.Reason
	q.exclude(home, reply)
	s.offer(node, q)
}

// respond handles the target's response at its home.
func (s *rateSimulation) respond(node *rateNode, q *request, home *registry.Home, sentAt time.Time) {
	target := s.targets[home.Address]
	announced := target.announced
	if last := len(target.periods) - 1; last >= 0 && target.periods[last].from.IsZero() {
		target.periods[last].from = s.now
	}
	if target.tracker.Observe(targetrate.Observation{Announcement: announced, SentAt: sentAt, ReceivedAt: s.now}) {
		target.pacer.Set(target.tracker.Current(), s.now)
		s.publish(target)
	}
	reply := &peering.Reply{Outcome: peering.Answered, Status: 200, Load: target.load(home, targetrate.Call{Rank: q.rank}, s.now)}
	s.after(s.networkDelay(), func() {
		if node.cut {
			return
		}
		node.forwarder.recordAnnouncement(q, home, reply)
		if _, found := node.passedOn[home.Address]; !found && announced.Limited {
			node.passedOn[home.Address] = s.now
		}
	})
}

func (t *rateTarget) load(home *registry.Home, call targetrate.Call, now time.Time) peering.Load {
	load := peering.Load{Limit: 38, Latency: 200 * time.Millisecond, Threshold: shed.None, Room: t.pacer.Room(call, now)}
	if current := t.tracker.Current(); current.Limited {
		load.Target = peering.TargetAnnouncement{Instance: home.Instance, Rate: current}
	}
	return load
}

// announce changes the announcement of a target from now on.
func (s *rateSimulation) announce(target *rateTarget, announced targetrate.Announcement) {
	first := !target.announced.Limited
	if len(target.periods) > 0 {
		target.periods[len(target.periods)-1].to = s.now
	}
	target.announced = announced
	target.periods = append(target.periods, ratePeriod{announced: announced, to: s.now.Add(time.Hour), first: first})
}

// changeLimits makes the target announce random limits.
func (s *rateSimulation) changeLimits(target *rateTarget) {
	rates := []float64{0, 0.05, 1, 3.6, 6.8, 20, 60}
	if choice := s.random.IntN(len(rates) + 1); choice < len(rates) {
		s.announce(target, targetrate.Announcement{Limited: true, Rate: rates[choice]})
	} else {
		s.announce(target, targetrate.Announcement{})
	}
	s.after(s.between(5*time.Second, 15*time.Second), func() { s.changeLimits(target) })
}

// restartHomes restarts the home of the target at random times.
func (s *rateSimulation) restartHomes(target *rateTarget) {
	s.after(s.between(3*time.Second, 20*time.Second), func() {
		target.tracker, target.pacer = &targetrate.Tracker{}, &targetrate.Pacer{}
		target.tracker.Adopt(target.record.Announcement(), s.now)
		target.pacer.Set(target.tracker.Current(), s.now)
		s.restartHomes(target)
	})
}

// exceeded describes the first window in which the target received more than it allows.
func (t *rateTarget) exceeded() string {
	const (
		window, factor, slack = 4 * time.Second, 1.5, 5
		// firstDelay and changeDelay are the times until a limit must be kept.
		firstDelay, changeDelay = 3 * time.Second, 2500 * time.Millisecond
	)
	for _, period := range t.periods {
		if !period.announced.Limited || period.from.IsZero() {
			continue
		}
		from := period.from.Add(changeDelay)
		if period.first {
			from = period.from.Add(firstDelay)
		}
		allowed := factor*window.Seconds()*period.announced.Rate + slack
		for i, start := range t.counted {
			if start.Before(from) || start.Add(window).After(period.to) {
				continue
			}
			count := 0
			for count+i < len(t.counted) && t.counted[count+i].Sub(start) < window {
				count++
			}
			if float64(count) > allowed {
				return fmt.Sprintf("limit %s: %d in %s, allowed %.1f", period.announced, count, window, allowed)
			}
		}
	}
	return ""
}

func TestSimulatedRateLimitsAreKept(t *testing.T) {
	for _, size := range []struct {
		nodes, targets int
		seeds          uint64
	}{{6, 6, 4}, {17, 5, 4}, {60, 20, 2}, {300, 40, 1}} {
		for seed := range size.seeds {
			s := newRateSimulation(t, size.nodes, size.targets, seed)
			for _, node := range s.nodes {
				s.load(node, 4*float64(size.targets)/float64(size.nodes)+1)
			}
			limited := 0
			for i := range size.targets {
				target := s.targets[simulatedAddress(i)]
				if i%3 == 0 {
					limited++
					s.after(s.between(0, 5*time.Second), func() { s.changeLimits(target) })
					s.restartHomes(target)
				}
			}
			s.run(20 * time.Second)
			for i := 0; i < size.nodes; i += 3 {
				s.nodes[i].cut = true
			}
			s.run(8 * time.Second)
			for _, node := range s.nodes {
				node.cut = false
			}
			s.run(30 * time.Second)
			for address, target := range s.targets {
				assert.Check(t, target.exceeded() == "", "%d nodes, seed %d, %s: %s", size.nodes, seed, address, target.exceeded())
			}
			assert.Check(t, s.refused == 0, "%d nodes, seed %d: %d requests refused though %d targets have no limit", size.nodes, seed, s.refused, size.targets-limited)
		}
	}
}
