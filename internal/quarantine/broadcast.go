package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

// Notice is a message with reports that a node sends to all others.
type Notice struct {
	_          struct{} `cbor:",toarray"`
	Crashes    []Crash
	Clearances []Clearance
}

func (n *Notice) empty() bool { return len(n.Crashes) == 0 && len(n.Clearances) == 0 }

const (
	// batchDelay is how long reports are collected into one notice. It limits the number of
	// messages when many targets crash at once, and is a tenth of a usual service time.
	batchDelay = 10 * time.Millisecond
	// noticeTimeout bounds one attempt to send a notice to a peer, and noticeAttempts is the
	// number of attempts for a peer that does not answer, as connections may have failed
	// silently. Nodes that still miss a report learn of quarantines from the store and from
	// refusals at the target.
	noticeTimeout  = 500 * time.Millisecond
	noticeAttempts = 3
	// maxConcurrentSends bounds the notices that are being sent at the same time.
	maxConcurrentSends = 32
	// maxBatch bounds the crashes and the clearances in one notice; any beyond that are dropped.
	maxBatch = 256
)

// BroadcastConfig holds the settings and dependencies of a Broadcaster.
type BroadcastConfig struct {
	// Address is the address at which peers reach the node.
	Address string
	// Peers returns the addresses of all nodes, which may include the node's own.
	Peers func() []string
	// Send sends a notice to a peer.
	Send func(ctx context.Context, address string, notice *Notice) error
}

// Broadcaster sends the reports of the node to all others. It is safe for concurrent use.
type Broadcaster struct {
	config    BroadcastConfig
	wake      chan struct{}
	sendSlots chan struct{}

	mutex   sync.Mutex
	pending Notice
}

// NewBroadcaster returns a broadcaster that sends nothing before Run.
func NewBroadcaster(config BroadcastConfig) *Broadcaster {
	return &Broadcaster{config: config, wake: make(chan struct{}, 1), sendSlots: make(chan struct{}, maxConcurrentSends)}
}

// BroadcastCrash queues a crash report for all peers.
func (b *Broadcaster) BroadcastCrash(crash Crash) {
	b.enqueue(func(pending *Notice) {
		if len(pending.Crashes) < maxBatch {
			pending.Crashes = append(pending.Crashes, crash)
		}
	})
}

// BroadcastClearance queues a clearance for all peers.
func (b *Broadcaster) BroadcastClearance(clearance Clearance) {
	b.enqueue(func(pending *Notice) {
		if len(pending.Clearances) < maxBatch {
			pending.Clearances = append(pending.Clearances, clearance)
		}
	})
}

func (b *Broadcaster) enqueue(add func(pending *Notice)) {
	b.mutex.Lock()
	add(&b.pending)
	b.mutex.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// Run sends notices until the context ends.
func (b *Broadcaster) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-b.wake:
		}
		notice := b.takePending()
		if !notice.empty() {
			b.send(ctx, &notice)
		}
		pause.For(ctx, batchDelay)
	}
}

func (b *Broadcaster) takePending() Notice {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	notice := b.pending
	b.pending = Notice{}
	return notice
}

// send sends a notice to all peers concurrently, without waiting until all have received it.
func (b *Broadcaster) send(ctx context.Context, notice *Notice) {
	for _, peer := range b.config.Peers() {
		if peer == b.config.Address {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case b.sendSlots <- struct{}{}:
		}
		go func() {
			defer func() { <-b.sendSlots }()
			b.sendTo(ctx, peer, notice)
		}()
	}
}

func (b *Broadcaster) sendTo(ctx context.Context, peer string, notice *Notice) {
	for range noticeAttempts {
		attemptCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
		err := b.config.Send(attemptCtx, peer, notice)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}
