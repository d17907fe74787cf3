package membership

import "container/list"

// updateQueue holds the changes that the node still passes on, at most one for
// each member. Fresh changes go first; a change that has been sent goes to the
// end, so that the least sent ones are ahead.
type updateQueue struct {
	order  *list.List
	byName map[string]*list.Element
}

// update is a change and how often it was sent.
type update struct {
	record        Member
	size          int
	transmissions int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{order: list.New(), byName: map[string]*list.Element{}}
}

// add queues a change in place of an older one of the same member. Addresses
// that an unfinished older change of the same run carries are kept.
func (q *updateQueue) add(known Member, withAddresses bool) {
	if element, queued := q.byName[known.Name]; queued {
		older := element.Value.(*update)
		withAddresses = withAddresses || older.record.full()
		q.order.Remove(element)
	}
	record := known
	if !withAddresses {
		record = known.compact()
	}
	fresh := &update{record: record, size: encodedSize(record)}
	q.byName[known.Name] = q.order.PushFront(fresh)
}

// take returns changes that fit the space in bytes and counts them as sent. A
// change that has been sent limit times leaves the queue. The excluded member
// is the receiver, which is told about itself in another way.
func (q *updateQueue) take(space, limit int, excluded string) []Member {
	var taken []Member
	element := q.order.Front()
	for remaining := q.order.Len(); remaining > 0 && len(taken) < maxQueuedUpdates; remaining-- {
		next := element.Next()
		queued := element.Value.(*update)
		if queued.size > space {
			break
		}
		if queued.record.Name != excluded {
			taken = append(taken, queued.record)
			space -= queued.size
			q.sent(element, limit)
		}
		element = next
	}
	return taken
}

// sent moves a change to the end or out of the queue.
func (q *updateQueue) sent(element *list.Element, limit int) {
	queued := element.Value.(*update)
	queued.transmissions++
	if queued.transmissions < limit {
		q.order.MoveToBack(element)
		return
	}
	q.order.Remove(element)
	delete(q.byName, queued.record.Name)
}

// len returns the number of queued changes.
func (q *updateQueue) len() int { return q.order.Len() }
