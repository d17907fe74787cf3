package membership

import "container/list"

// updateQueue holds the updates to be piggybacked on datagrams, at most one per member. New
// updates are added at the front. An update that was sent moves to the back, so that those sent
// least often come first.
type updateQueue struct {
	order  *list.List
	byName map[string]*list.Element
}

// update is a queued member record with its encoded size and the number of times it was sent.
type update struct {
	record        Member
	size          int
	transmissions int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{order: list.New(), byName: map[string]*list.Element{}}
}

// add queues an update and replaces an older one of the same member. If the older one is a full
// record, the new one is as well.
func (q *updateQueue) add(member Member, withAddresses bool) {
	if element, queued := q.byName[member.Name]; queued {
		older := element.Value.(*update)
		withAddresses = withAddresses || older.record.full()
		q.order.Remove(element)
	}
	record := member
	if !withAddresses {
		record = member.compact()
	}
	fresh := &update{record: record, size: encodedSize(record)}
	q.byName[member.Name] = q.order.PushFront(fresh)
}

// nextBatch returns updates that fit in the space in bytes and counts them as sent. An update
// that has been sent limit times is removed from the queue. The excluded member is the receiver:
// if it has to refute its record, the message contains that record already.
func (q *updateQueue) nextBatch(space, limit int, excluded string) []Member {
	var batch []Member
	element := q.order.Front()
	for remaining := q.order.Len(); remaining > 0 && len(batch) < maxQueuedUpdates; remaining-- {
		next := element.Next()
		queued := element.Value.(*update)
		if queued.size > space {
			break
		}
		if queued.record.Name != excluded {
			batch = append(batch, queued.record)
			space -= queued.size
			q.markSent(element, limit)
		}
		element = next
	}
	return batch
}

// markSent counts a transmission and moves the update to the back, or removes it at the limit.
func (q *updateQueue) markSent(element *list.Element, limit int) {
	queued := element.Value.(*update)
	queued.transmissions++
	if queued.transmissions < limit {
		q.order.MoveToBack(element)
		return
	}
	q.order.Remove(element)
	delete(q.byName, queued.record.Name)
}

func (q *updateQueue) len() int { return q.order.Len() }
