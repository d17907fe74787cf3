package returnplace

import (
	"container/heap"
	"slices"
	"time"
)

// place is a time at which one request is to return.
type place struct {
	// key is the hash of the content of the request.
	key   uint64
	at    time.Time
	route *route
	// index is the position in the heap, or removed.
	index int
}

// removed is the index of a place that is no longer in the table.
const removed = -1

// table holds the places that were neither used nor have expired. It is not safe for
// concurrent use.
type table struct {
	// byKey holds the places of each content, ordered by time.
	byKey  map[uint64][]*place
	byTime placeHeap
}

func (t *table) full() bool { return len(t.byTime) >= maxPlaces }

func (t *table) add(p *place) {
	heap.Push(&t.byTime, p)
	t.addByKey(p)
	p.route.places.Add(1)
}

func (t *table) remove(p *place) {
	heap.Remove(&t.byTime, p.index)
	t.removeByKey(p)
	p.route.places.Add(-1)
}

// move changes the time of a place.
func (t *table) move(p *place, at time.Time) {
	t.removeByKey(p)
	p.at = at
	t.addByKey(p)
	heap.Fix(&t.byTime, p.index)
}

func (t *table) addByKey(p *place) {
	places := t.byKey[p.key]
	index, _ := slices.BinarySearchFunc(places, p.at, func(other *place, at time.Time) int { return other.at.Compare(at) })
	t.byKey[p.key] = slices.Insert(places, index, p)
}

func (t *table) removeByKey(p *place) {
	places := t.byKey[p.key]
	index := slices.Index(places, p)
	if len(places) == 1 {
		delete(t.byKey, p.key)
		return
	}
	t.byKey[p.key] = slices.Delete(places, index, index+1)
}

// earliest returns the earliest place of the content, nil if there is none.
func (t *table) earliest(key uint64) *place {
	places := t.byKey[key]
	if len(places) == 0 {
		return nil
	}
	return places[0]
}

// expire removes the places whose requests are too late, and returns their number.
func (t *table) expire(now time.Time) uint64 {
	expired := uint64(0)
	for len(t.byTime) > 0 && now.Sub(t.byTime[0].at) > maxLate {
		t.remove(t.byTime[0])
		expired++
	}
	return expired
}

// placeHeap is a heap of places ordered by time. It implements heap.Interface.
type placeHeap []*place

// Len implements heap.Interface.
func (h placeHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h placeHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h placeHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *placeHeap) Push(x any) {
	p := x.(*place)
	p.index = len(*h)
	*h = append(*h, p)
}

// Pop implements heap.Interface.
func (h *placeHeap) Pop() any {
	last := len(*h) - 1
	p := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	p.index = removed
	return p
}
