package guard

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/peering"
)

// turns has suspects run one after the other: no request beside another try of itself, and
// of those under which several targets crashed one at a time. It is safe for concurrent
// use.
type turns struct {
	mutex   sync.Mutex
	running map[fingerprint.Fingerprint]bool
	alone   bool
	// changed is closed when a turn ends.
	changed chan struct{}
}

// try begins the turn of a request if none is in its way. The returned function ends it.
func (t *turns) try(hash fingerprint.Fingerprint, alone bool) (done func(), begun bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.running[hash] || (alone && t.alone) {
		return nil, false
	}
	if t.running == nil {
		t.running = make(map[fingerprint.Fingerprint]bool)
	}
	t.running[hash] = true
	t.alone = t.alone || alone
	return func() { t.end(hash, alone) }, true
}

func (t *turns) end(hash fingerprint.Fingerprint, alone bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.running, hash)
	if alone {
		t.alone = false
	}
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}

// change returns what is closed when the next turn ends.
func (t *turns) change() <-chan struct{} {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// await waits for a request's turn, for as long as the call may wait for room. The
// returned function ends the turn.
func (t *turns) await(ctx context.Context, hash fingerprint.Fingerprint, alone bool, call *peering.Call) (done func(), reply *peering.Reply) {
	wait := call.MaxWait
	if wait == 0 {
		wait = call.Remaining
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := t.change()
		if done, begun := t.try(hash, alone); begun {
			return done, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, refused(peering.QueueTimeout)
		case <-ctx.Done():
			return nil, refused(peering.CallerLeft)
		}
	}
}
