package membership

import "container/list"

// updateQueue holds the updates that the node still sends, at most one per member. New updates
// are at the front. An update that was sent moves to the back, so that those sent least often
// come first.
type updateQueue struct {
	order  *list.List
	byName map[string]*list.Element
}

// update is a member record to send and how often it was sent.
type update struct {
	record        Member
	size          int
	transmissions int
}

func newUpdateQueue() *updateQueue {
	return &updateQueue{order: list.New(), byName: map[string]*list.Element{}}
}

// add queues an update and replaces an older one of the same member. If the older one carries
// the addresses, the new one carries them as well.
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

// nextBatch returns updates that fit in the space in bytes and counts them as sent. An update
// that has been sent limit times leaves the queue. The excluded member is the receiver: a
// message carries its record separately if the receiver has to refute it.
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

// len returns the number of queued updates.
func (q *updateQueue) len() int { return q.order.Len() }
