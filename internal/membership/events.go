package membership

import "sync"

// maxDeliveries bounds the events and payloads that wait for delivery.
const maxDeliveries = 8192

// EventKind says what happened to a member.
type EventKind uint8

// The kinds of events.
const (
	// EventJoined: a member was found, or one that was gone is back.
	EventJoined EventKind = iota + 1
	// EventRestarted: a member runs anew; what it held in memory is lost.
	EventRestarted
	// EventSuspected: a member failed a probe.
	EventSuspected
	// EventRecovered: a member has refuted a suspicion.
	EventRecovered
	// EventLeaving: a member has announced that it will stop.
	EventLeaving
	// EventDied: a member did not refute a suspicion in time.
	EventDied
	// EventLeft: a member has stopped as announced.
	EventLeft
	// EventResync: events were lost; the receiver should read Members anew.
	EventResync
)

var eventNames = [...]string{
	"", "joined", "restarted", "suspected", "recovered", "leaving", "died", "left", "resync",
}

// String returns the name of the kind as logs show it.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return "invalid"
	}
	return eventNames[k]
}

// Event is a change of a member as this node sees it.
type Event struct {
	Kind   EventKind
	Member Member
}

// delivery is an event or, if the payload is not nil, a payload.
type delivery struct {
	event   Event
	payload []byte
}

// deliveryQueue holds what receivers have not seen yet, in order.
type deliveryQueue struct {
	mutex     sync.Mutex
	pending   []delivery
	lost      bool
	receivers []func(Event)
}

func (q *deliveryQueue) subscribe(receive func(Event)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.receivers = append(q.receivers, receive)
}

// push adds a delivery. When the queue is full the delivery is dropped; a lost
// event is made known by EventResync, a lost payload comes again by itself.
func (q *deliveryQueue) push(added delivery) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pending) < maxDeliveries {
		q.pending = append(q.pending, added)
		return
	}
	if added.payload == nil {
		q.lost = true
	}
}

func (q *deliveryQueue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.pending) == 0
}

// drain takes all deliveries and the current receivers.
func (q *deliveryQueue) drain() ([]delivery, []func(Event)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	drained := q.pending
	if q.lost {
		drained = append(drained, delivery{event: Event{Kind: EventResync}})
	}
	q.pending, q.lost = nil, false
	return drained, q.receivers[:len(q.receivers):len(q.receivers)]
}

// DeliverEvents hands waiting events and payloads to their receivers. Run calls
// it; who drives Step directly calls it too, from one goroutine only.
func (m *Membership) DeliverEvents() {
	drained, receivers := m.events.drain()
	for _, next := range drained {
		if next.payload != nil {
			m.config.OnPayload(next.event.Member, next.payload)
			continue
		}
		for _, receive := range receivers {
			receive(next.event)
		}
	}
}

// deliverPayload queues the payload of a member.
func (m *Membership) deliverPayload(from Member, payload []byte) {
	if m.config.OnPayload != nil {
		m.events.push(delivery{event: Event{Member: from}, payload: payload})
	}
}

// note logs an event and queues it.
func (m *Membership) note(kind EventKind, member Member) {
	m.events.push(delivery{event: Event{Kind: kind, Member: member}})
	m.logger.WithField("member", member.Name).WithField("zone", member.Zone).
		WithField("incarnation", member.Incarnation).Info("member " + kind.String())
}

// noteChange notes the event that a change of a known member amounts to.
func (m *Membership) noteChange(previous State, member Member, restarted bool) {
	switch {
	case previous.Gone() && !member.State.Gone():
		m.note(EventJoined, member)
	case restarted && !member.State.Gone():
		m.note(EventRestarted, member)
	case previous == member.State:
	default:
		m.note(eventOf(member.State), member)
	}
}

// eventOf returns the event of entering a state from another present one.
func eventOf(state State) EventKind {
	return [stateCount]EventKind{EventRecovered, EventSuspected, EventLeaving, EventDied, EventLeft}[state]
}
