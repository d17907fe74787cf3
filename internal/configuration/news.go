package configuration

import (
	"sync"

	"github.com/lugspur/lugspur/internal/resource"
)

// maxPendingNews bounds the versions that wait to be passed on. What does not
// fit is left to pulls.
const maxPendingNews = 1024

// newsQueue collects what is to be passed on next. Of several versions of an
// object only the newest waits.
type newsQueue struct {
	signal chan struct{}

	mu       sync.Mutex
	versions map[resource.ID]resource.Versioned
	hops     int
	drains   bool
}

// news is what a node passes on at one time.
type news struct {
	versions []resource.Versioned
	hops     int
	drains   bool
}

func newNewsQueue() *newsQueue {
	return &newsQueue{signal: make(chan struct{}, 1), versions: make(map[resource.ID]resource.Versioned)}
}

func (q *newsQueue) addVersions(versions []resource.Versioned, hops int) {
	if len(versions) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteHops(hops)
	for _, version := range versions {
		current, waiting := q.versions[version.ID]
		if waiting && current.Revision >= version.Revision {
			continue
		}
		if !waiting && len(q.versions) >= maxPendingNews {
			continue
		}
		q.versions[version.ID] = version
	}
	q.wake()
}

func (q *newsQueue) addDrains(hops int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteHops(hops)
	q.drains = true
	q.wake()
}

// noteHops keeps the lowest number of hops of all that waits: passing on a few
// nodes farther is harmless, since nodes pass on only what is news to them.
func (q *newsQueue) noteHops(hops int) {
	empty := len(q.versions) == 0 && !q.drains
	if empty || hops < q.hops {
		q.hops = hops
	}
}

func (q *newsQueue) wake() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// take empties the queue.
func (q *newsQueue) take() news {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := news{hops: q.hops, drains: q.drains}
	for id, version := range q.versions {
		taken.versions = append(taken.versions, version)
		delete(q.versions, id)
	}
	q.drains = false
	return taken
}
