package guard

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
)

// suspectLock serializes suspects: attempts of the same request never run concurrently. Of
// the requests that must be isolated because several targets crashed while running them,
// only one runs at a time. It is safe for concurrent use.
type suspectLock struct {
	mutex        sync.Mutex
	held         map[fingerprint.Fingerprint]bool
	isolatedHeld bool
	// released is closed when a holder releases the lock; nil if no call waits for it.
	released chan struct{}
}

// tryAcquire acquires the lock for a request unless a conflicting request holds it. The
// returned function releases it.
func (l *suspectLock) tryAcquire(hash fingerprint.Fingerprint, isolated bool) (unlock func(), acquired bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.held[hash] || (isolated && l.isolatedHeld) {
		return nil, false
	}
	if l.held == nil {
		l.held = make(map[fingerprint.Fingerprint]bool)
	}
	l.held[hash] = true
	l.isolatedHeld = l.isolatedHeld || isolated
	return func() { l.release(hash, isolated) }, true
}

func (l *suspectLock) release(hash fingerprint.Fingerprint, isolated bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.held, hash)
	if isolated {
		l.isolatedHeld = false
	}
	if l.released != nil {
		close(l.released)
		l.released = nil
	}
}

// releaseSignal returns a channel that is closed at the next release.
func (l *suspectLock) releaseSignal() <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.released == nil {
		l.released = make(chan struct{})
	}
	return l.released
}

// acquire waits for the lock for at most the call's maximum queue time or, if that is
// zero, its remaining time. The returned function releases the lock.
func (l *suspectLock) acquire(ctx context.Context, hash fingerprint.Fingerprint, isolated bool, call *peering.Call) (unlock func(), reply *peering.Reply) {
	wait := call.MaxWait
	if wait == 0 {
		wait = call.Remaining
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		released := l.releaseSignal()
		if unlock, acquired := l.tryAcquire(hash, isolated); acquired {
			return unlock, nil
		}
		select {
		case <-released:
		case <-timer.C:
			return nil, refusedReply(peering.QueueTimeout)
		case <-ctx.Done():
			return nil, refusedReply(peering.CallCanceled)
		}
	}
}
