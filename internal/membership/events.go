package membership

import "sync"

// maxDeliveries is the maximum number of queued events and payloads.
const maxDeliveries = 8192

// EventKind is the kind of a change of a member.
type EventKind uint8

// The kinds of events.
const (
	// EventJoined: a member was added, or a dead or left member is present again.
	EventJoined EventKind = iota + 1
	// EventRestarted: a member was restarted and lost its in-memory state.
	EventRestarted
	// EventSuspected: a member is suspected, as it did not answer a probe.
	EventSuspected
	// EventRecovered: a member refuted a suspicion.
	EventRecovered
	// EventLeaving: a member announced that it will stop.
	EventLeaving
	// EventDied: a member was declared dead, as it did not refute a suspicion in time.
	EventDied
	// EventLeft: a member stopped after it had announced that it would.
	EventLeft
	// EventResync: events were dropped; the subscriber should read Members again.
	EventResync
)

var eventNames = [...]string{
	"", "joined", "restarted", "suspected", "recovered", "leaving", "died", "left", "resync",
}

// String returns the name of the kind for logs.
func (k EventKind) String() string {
	if int(k) >= len(eventNames) {
		return "invalid"
	}
	return eventNames[k]
}

// Event is a change of a member in this node's list.
type Event struct {
	Kind   EventKind
	Member Member
}

// delivery is an event, or a payload if payload is not nil.
type delivery struct {
	event   Event
	payload []byte
}

// deliveryQueue is the bounded queue of events and payloads that have not been delivered yet.
type deliveryQueue struct {
	mutex       sync.Mutex
	pending     []delivery
	eventsLost  bool
	subscribers []func(Event)
}

func (q *deliveryQueue) subscribe(receive func(Event)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.subscribers = append(q.subscribers, receive)
}

// push adds a delivery, or drops it if the queue is full. A dropped event causes an
// EventResync; a dropped payload needs none, because members send their payload repeatedly.
func (q *deliveryQueue) push(d delivery) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pending) < maxDeliveries {
		q.pending = append(q.pending, d)
		return
	}
	if d.payload == nil {
		q.eventsLost = true
	}
}

func (q *deliveryQueue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.pending) == 0
}

// drain removes all deliveries and returns them with the current subscribers.
func (q *deliveryQueue) drain() ([]delivery, []func(Event)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	drained := q.pending
	if q.eventsLost {
		drained = append(drained, delivery{event: Event{Kind: EventResync}})
	}
	q.pending, q.eventsLost = nil, false
	return drained, q.subscribers[:len(q.subscribers):len(q.subscribers)]
}

// DeliverEvents passes queued events to the subscribers and queued payloads to OnPayload. Run
// calls it. A caller that drives Step directly must call it as well, from one goroutine only.
func (m *Membership) DeliverEvents() {
	deliveries, subscribers := m.deliveries.drain()
	for _, next := range deliveries {
		if next.payload != nil {
			m.config.OnPayload(next.event.Member, next.payload)
			continue
		}
		for _, receive := range subscribers {
			receive(next.event)
		}
	}
}

// deliverPayload queues a payload of a member for delivery, unless OnPayload is nil.
func (m *Membership) deliverPayload(from Member, payload []byte) {
	if m.config.OnPayload != nil {
		m.deliveries.push(delivery{event: Event{Member: from}, payload: payload})
	}
}

// emit logs an event and queues it for delivery.
func (m *Membership) emit(kind EventKind, member Member) {
	m.deliveries.push(delivery{event: Event{Kind: kind, Member: member}})
	m.logger.WithField("member", member.Name).WithField("zone", member.Zone).
		WithField("incarnation", member.Incarnation).Info("member " + kind.String())
}

// emitChange emits the event for a change of a listed member, if there is one.
func (m *Membership) emitChange(previous State, member Member, restarted bool) {
	switch {
	case previous.DeadOrLeft() && !member.State.DeadOrLeft():
		m.emit(EventJoined, member)
	case restarted && !member.State.DeadOrLeft():
		m.emit(EventRestarted, member)
	case previous == member.State:
	default:
		m.emit(eventForState(member.State), member)
	}
}

// eventForState returns the event for a member that was neither dead nor left and enters the
// state.
func eventForState(state State) EventKind {
	return [stateCount]EventKind{EventRecovered, EventSuspected, EventLeaving, EventDied, EventLeft}[state]
}
