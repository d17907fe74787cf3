package configuration

import (
	"sync"

	"github.com/lugspur/lugspur/internal/resource"
)

// maxQueuedVersions limits the versions that wait to be pushed. Peers get the
// versions that do not fit by pulling.
const maxQueuedVersions = 1024

// pushQueue collects the versions of the next push. Of several versions of an
// object it keeps the newest.
type pushQueue struct {
	signal chan struct{}

	mu       sync.Mutex
	versions map[resource.ID]resource.Versioned
	hops     int
	drains   bool
}

// pushBatch is the content of one push.
type pushBatch struct {
	versions []resource.Versioned
	hops     int
	drains   bool
}

func newPushQueue() *pushQueue {
	return &pushQueue{signal: make(chan struct{}, 1), versions: make(map[resource.ID]resource.Versioned)}
}

func (q *pushQueue) addVersions(versions []resource.Versioned, hops int) {
	if len(versions) == 0 {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeHops(hops)
	for _, version := range versions {
		current, queued := q.versions[version.ID]
		if queued && current.Revision >= version.Revision {
			continue
		}
		if !queued && len(q.versions) >= maxQueuedVersions {
			continue
		}
		q.versions[version.ID] = version
	}
	q.notify()
}

func (q *pushQueue) addDrains(hops int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.mergeHops(hops)
	q.drains = true
	q.notify()
}

// mergeHops keeps the lowest hop count of all queued versions. Forwarding a few
// hops too far is harmless, since nodes forward only what is new to them.
func (q *pushQueue) mergeHops(hops int) {
	empty := len(q.versions) == 0 && !q.drains
	if empty || hops < q.hops {
		q.hops = hops
	}
}

func (q *pushQueue) notify() {
	select {
	case q.signal <- struct{}{}:
	default:
	}
}

// takeBatch removes and returns the content of the queue.
func (q *pushQueue) takeBatch() pushBatch {
	q.mu.Lock()
	defer q.mu.Unlock()
	batch := pushBatch{hops: q.hops, drains: q.drains}
	for id, version := range q.versions {
		batch.versions = append(batch.versions, version)
		delete(q.versions, id)
	}
	q.drains = false
	return batch
}
