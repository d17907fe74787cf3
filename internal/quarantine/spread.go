package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

// Notice is what a node tells all others.
type Notice struct {
	_         struct{} `cbor:",toarray"`
	Crashes   []Crash
	Clearings []Clearance
}

func (n *Notice) empty() bool { return len(n.Crashes) == 0 && len(n.Clearings) == 0 }

const (
	// gather is how long reports are gathered for one notice. It bounds the messages
	// where many targets crash at once, and is a tenth of the usual time of a run.
	gather = 10 * time.Millisecond
	// noticeTimeout bounds one notice to one peer, and noticeTries how often it is sent to
	// one that does not answer: connections may have gone silent. Nodes that miss a report
	// all the same learn of verdicts from the store and from refusals beside the target.
	noticeTimeout = 500 * time.Millisecond
	noticeTries   = 3
	// maxSending bounds the notices that are under way at once.
	maxSending = 32
	// maxGathered bounds the reports of one notice; those beyond it are dropped.
	maxGathered = 256
)

// BroadcastConfig describes the node and its peers.
type BroadcastConfig struct {
	// Address is the node's own, as peers reach it.
	Address string
	// Peers returns the addresses of all nodes; the own one may be among them.
	Peers func() []string
	// Send sends a notice to a peer.
	Send func(ctx context.Context, address string, notice *Notice) error
}

// Spread sends what the node learns to all others. It is safe for concurrent use.
type Spread struct {
	config BroadcastConfig
	wake   chan struct{}
	places chan struct{}

	mutex   sync.Mutex
	pending Notice
}

// NewSpread returns a spread that sends nothing before Run.
func NewSpread(config BroadcastConfig) *Spread {
	return &Spread{config: config, wake: make(chan struct{}, 1), places: make(chan struct{}, maxSending)}
}

// TellCrash has all peers told of a crash.
func (s *Spread) TellCrash(crash Crash) {
	s.tell(func(pending *Notice) {
		if len(pending.Crashes) < maxGathered {
			pending.Crashes = append(pending.Crashes, crash)
		}
	})
}

// TellCleared has all peers told of a clearance.
func (s *Spread) TellCleared(cleared Clearance) {
	s.tell(func(pending *Notice) {
		if len(pending.Clearings) < maxGathered {
			pending.Clearings = append(pending.Clearings, cleared)
		}
	})
}

func (s *Spread) tell(add func(pending *Notice)) {
	s.mutex.Lock()
	add(&s.pending)
	s.mutex.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run sends notices until the context ends.
func (s *Spread) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		notice := s.take()
		if !notice.empty() {
			s.send(ctx, &notice)
		}
		pause.For(ctx, gather)
	}
}

func (s *Spread) take() Notice {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	notice := s.pending
	s.pending = Notice{}
	return notice
}

// send sends a notice to all peers side by side, without waiting for the last of them.
func (s *Spread) send(ctx context.Context, notice *Notice) {
	for _, peer := range s.config.Peers() {
		if peer == s.config.Address {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case s.places <- struct{}{}:
		}
		go func() {
			defer func() { <-s.places }()
			s.sendTo(ctx, peer, notice)
		}()
	}
}

func (s *Spread) sendTo(ctx context.Context, peer string, notice *Notice) {
	for range noticeTries {
		tryCtx, cancel := context.WithTimeout(ctx, noticeTimeout)
		err := s.config.Send(tryCtx, peer, notice)
		cancel()
		if err == nil || ctx.Err() != nil {
			return
		}
	}
}
