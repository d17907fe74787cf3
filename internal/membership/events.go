package membership

import "sync"

// maxDeliveries limits the queue of undelivered events and payloads.
const maxDeliveries = 8192

// EventKind is the kind of a change of a member.
type EventKind uint8

// The kinds of events.
const (
	// EventJoined: a member was added, or a dead or left member is present again.
	EventJoined EventKind = iota + 1
	// EventRestarted: a member was restarted and lost its in-memory state.
	EventRestarted
	// EventSuspected: a member became a suspect, as it did not answer a probe.
	EventSuspected
	// EventRecovered: a member refuted a suspicion.
	EventRecovered
	// EventLeaving: a member announced that it will stop.
	EventLeaving
	// EventDied: a member was declared dead, as it did not refute a suspicion in time.
	EventDied
	// EventLeft: a member stopped after it announced that.
	EventLeft
	// EventResync: events were dropped; the receiver should read Members again.
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

// deliveryQueue holds the deliveries that the receivers have not processed yet, in order.
type deliveryQueue struct {
	mutex      sync.Mutex
	pending    []delivery
	eventsLost bool
	receivers  []func(Event)
}

func (q *deliveryQueue) subscribe(receive func(Event)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.receivers = append(q.receivers, receive)
}

// push adds a delivery, or drops it if the queue is full. A dropped event causes an
// EventResync; a dropped payload needs none, because members send their payload repeatedly.
func (q *deliveryQueue) push(added delivery) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if len(q.pending) < maxDeliveries {
		q.pending = append(q.pending, added)
		return
	}
	if added.payload == nil {
		q.eventsLost = true
	}
}

func (q *deliveryQueue) empty() bool {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	return len(q.pending) == 0
}

// drain removes all deliveries and returns them with the current receivers.
func (q *deliveryQueue) drain() ([]delivery, []func(Event)) {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	drained := q.pending
	if q.eventsLost {
		drained = append(drained, delivery{event: Event{Kind: EventResync}})
	}
	q.pending, q.eventsLost = nil, false
	return drained, q.receivers[:len(q.receivers):len(q.receivers)]
}

// DeliverEvents passes queued events and payloads to their receivers. Run calls it. A caller
// that drives Step directly must call it as well, from one goroutine only.
func (m *Membership) DeliverEvents() {
	deliveries, receivers := m.events.drain()
	for _, next := range deliveries {
		if next.payload != nil {
			m.config.OnPayload(next.event.Member, next.payload)
			continue
		}
		for _, receive := range receivers {
			receive(next.event)
		}
	}
}

// deliverPayload queues a payload of a member for delivery.
func (m *Membership) deliverPayload(from Member, payload []byte) {
	if m.config.OnPayload != nil {
		m.events.push(delivery{event: Event{Member: from}, payload: payload})
	}
}

// emit logs an event and queues it for delivery.
func (m *Membership) emit(kind EventKind, member Member) {
	m.events.push(delivery{event: Event{Kind: kind, Member: member}})
	m.logger.WithField("member", member.Name).WithField("zone", member.Zone).
		WithField("incarnation", member.Incarnation).Info("member " + kind.String())
}

// emitChange emits the event for a change of a known member, if there is one.
func (m *Membership) emitChange(previous State, member Member, restarted bool) {
	switch {
	case previous.Gone() && !member.State.Gone():
		m.emit(EventJoined, member)
	case restarted && !member.State.Gone():
		m.emit(EventRestarted, member)
	case previous == member.State:
	default:
		m.emit(eventForState(member.State), member)
	}
}

// eventForState returns the event for a member that was not gone and enters the state.
func eventForState(state State) EventKind {
	return [stateCount]EventKind{EventRecovered, EventSuspected, EventLeaving, EventDied, EventLeft}[state]
}
