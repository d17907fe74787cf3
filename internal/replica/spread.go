package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store"
)

// Query asks a peer for what its copies hold beyond those of the one that asks.
type Query struct {
	_ struct{} `cbor:",toarray"`
	// From is the address of the node that asks.
	From    string
	Digests []Digest
}

// Answer holds a delta for each copy, in the order of the query.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Deltas []Delta
	// Settled tells that the peer knew what others did when it started, so that its answer
	// is as good as that of the whole fleet.
	Settled bool
}

const (
	// askAfter is how long a node hears nothing from peers before it asks one. One
	// whose copies get old asks too, before it asks the store.
	askAfter = 250 * time.Millisecond
	// askPeriod is the time between two such questions, and unfilledPeriod that of
	// a node whose copies are still empty.
	askPeriod      = 200 * time.Millisecond
	unfilledPeriod = 40 * time.Millisecond
	// stalePeriod is the time between two questions of a node whose copies have just become
	// stale, for so long as staleSpan. It guards nodes that no peer calls: of 295 nodes whose
	// watching nodes died, one was without a change for 2 s and more in 20 of 500 plays, as
	// the peers that it asked at random did not know it yet (0 of 360 with it; half of the
	// plays end after 1.4 s in place of 1.7 s). While the store is away all copies are stale;
	// the span bounds what that costs, and is over when the node has asked the store itself.
	stalePeriod = 60 * time.Millisecond
	staleSpan   = maxPlaceDelay
	// maxAsking bounds the questions that are under way at once: a peer that doesn't answer
	// holds up none of the others until its timeout.
	maxAsking = 3
	// fetchPause is the least time between two answers that are fetched.
	fetchPause   = 30 * time.Millisecond
	fetchTimeout = time.Second
	// maxRecent bounds the peers that are remembered because they were heard.
	maxRecent = 16
)

// AntiEntropyConfig describes the node and its peers.
type AntiEntropyConfig struct {
	// Address is the node's own, as peers reach it.
	Address string
	// Peers returns the addresses of nodes in the order in which they watch the
	// store; the own one may be among them.
	Peers func() []string
	// SendQuery sends a query to a peer.
	SendQuery func(ctx context.Context, address string, query *Query) (*Answer, error)
	// OnCall is told of every peer that called; it may be nil.
	OnCall func(peer string)
	// OnConfirmed is told that a peer's copies were current at a moment; it may be
	// nil.
	OnConfirmed func(at time.Time)
	// OnEpoch is told the epoch of the store that a peer's copies are of; it may be nil.
	OnEpoch func(epoch store.Epoch, peer string)
	// Overdue reports whether peers are likely to know something that the node should have
	// heard by now; it may be nil.
	Overdue func() bool
	// FirstStart tells that there was no process on any machine before.
	FirstStart bool
	Now        func() time.Time
}

// AntiEntropy brings the copies of nodes together. It is safe for concurrent use.
type AntiEntropy struct {
	config AntiEntropyConfig
	copies []*Copy

	// made is when the spread was made, and heardAt how much later a peer was heard
	// last.
	made    time.Time
	heardAt atomic.Int64

	settling *settling
	fetching atomic.Bool
	mutex    sync.Mutex
	// recent is a ring of peers that were heard; some places may be empty.
	recent [maxRecent]string
	next   int
}

// NewAntiEntropy returns a spread of the copies, which all nodes hold in the same
// order.
func NewAntiEntropy(config AntiEntropyConfig, copies ...*Copy) *AntiEntropy {
	s := &AntiEntropy{config: config, copies: copies, made: config.Now(), settling: newSettling()}
	if config.FirstStart {
		s.settling.end()
	}
	return s
}

// Digests says how far the node's copies reach, for messages that go anyway. They tell the
// newest document only where the store has lost it: else it is among the copy's entries.
func (s *AntiEntropy) Digests() []Digest {
	digests := s.wholeDigests()
	for i, held := range s.copies {
		if held.documents.Stored() >= digests[i].DocumentVersion {
			digests[i].DocumentVersion = 0
		}
	}
	return digests
}

func (s *AntiEntropy) wholeDigests() []Digest {
	digests := make([]Digest, len(s.copies))
	for i, held := range s.copies {
		digests[i] = held.Digest()
	}
	return digests
}

// HandleCallDigests takes the digests of a peer that called. How long they were under way
// is not known, so that they prove nothing of earlier moments.
func (s *AntiEntropy) HandleCallDigests(peer string, digests []Digest) {
	if peer == "" || peer == s.config.Address {
		return
	}
	s.remember(peer)
	if s.config.OnCall != nil {
		s.config.OnCall(peer)
	}
	s.heard(peer, digests, time.Time{})
}

// HandleReplyDigests takes the digests that a peer told on a reply to a message of the
// given moment.
func (s *AntiEntropy) HandleReplyDigests(peer string, digests []Digest, asked time.Time) {
	s.heard(peer, digests, asked)
}

func (s *AntiEntropy) heard(peer string, digests []Digest, asked time.Time) {
	if len(digests) != len(s.copies) {
		return
	}
	s.heardAt.Store(int64(s.config.Now().Sub(s.made)))
	for i, held := range s.copies {
		held.heard(digests[i], asked)
	}
	s.noteConfirmed(digests)
	s.noteEpochs(digests, peer)
	if s.behind(digests) {
		s.fetch(peer)
	}
}

// AnswerQuery answers a peer's query and learns from it that the peer is there and
// what it has.
func (s *AntiEntropy) AnswerQuery(query *Query) *Answer {
	answer := &Answer{Deltas: make([]Delta, len(s.copies)), Settled: s.Settled()}
	for i, held := range s.copies {
		if i < len(query.Digests) {
			answer.Deltas[i] = held.Since(query.Digests[i])
		}
	}
	s.HandleCallDigests(query.From, query.Digests)
	return answer
}

// Run asks peers while the node's copies are empty and whenever no message told of
// any, until the context ends.
func (s *AntiEntropy) Run(ctx context.Context) {
	asking := make(chan struct{}, maxAsking)
	for ctx.Err() == nil {
		if s.quietFor() > askAfter || s.aged() || s.overdue() || !s.Settled() {
			s.askOne(ctx, asking)
		}
		period := s.period()
		pause.For(ctx, period/2+rand.N(period))
	}
}

// askOne asks a peer without awaiting its answer, unless too many are being asked.
func (s *AntiEntropy) askOne(ctx context.Context, asking chan struct{}) {
	peer := s.pick()
	if peer == "" {
		return
	}
	select {
	case asking <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-asking }()
		s.ask(ctx, peer)
	}()
}

// period returns the mean time until the next question.
func (s *AntiEntropy) period() time.Duration {
	switch {
	case !s.filled() || !s.Settled():
		return unfilledPeriod
	case s.justStale() || s.overdue():
		return stalePeriod
	default:
		return askPeriod
	}
}

// justStale reports whether a copy became stale a short while ago.
func (s *AntiEntropy) justStale() bool {
	for _, held := range s.copies {
		if age, known := held.Age(); known && age > held.staleAfter && age < held.staleAfter+staleSpan {
			return true
		}
	}
	return false
}

func (s *AntiEntropy) filled() bool {
	for _, held := range s.copies {
		if !held.Initialized() {
			return false
		}
	}
	return true
}

// quietFor returns how long ago a peer was heard.
func (s *AntiEntropy) quietFor() time.Duration {
	return s.config.Now().Sub(s.made) - time.Duration(s.heardAt.Load())
}

// aged reports whether a copy is empty or so old that a peer should be asked.
func (s *AntiEntropy) aged() bool {
	for _, held := range s.copies {
		if age, known := held.Age(); !known || age > held.staleAfter/2 {
			return true
		}
	}
	return false
}

func (s *AntiEntropy) overdue() bool { return s.config.Overdue != nil && s.config.Overdue() }

func (s *AntiEntropy) behind(digests []Digest) bool {
	for i, held := range s.copies {
		if held.behind(digests[i]) {
			return true
		}
	}
	return false
}

func (s *AntiEntropy) noteConfirmed(digests []Digest) {
	if s.config.OnConfirmed == nil {
		return
	}
	for _, digest := range digests {
		if digest.Age >= 0 {
			s.config.OnConfirmed(s.config.Now().Add(-digest.Age))
		}
	}
}

// noteEpochs tells which epochs of the store a peer's copies are of. A copy that holds
// nothing is of none.
func (s *AntiEntropy) noteEpochs(digests []Digest, peer string) {
	if s.config.OnEpoch == nil {
		return
	}
	for _, digest := range digests {
		if digest.Revision != 0 {
			s.config.OnEpoch(digest.Revision.Epoch(), peer)
		}
	}
}

// fetch asks a peer that has something newer, unless another one is being asked.
func (s *AntiEntropy) fetch(peer string) {
	if !s.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.fetching.Store(false)
		s.ask(context.Background(), peer)
		time.Sleep(fetchPause)
	}()
}

func (s *AntiEntropy) ask(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	asked := s.config.Now()
	answer, err := s.config.SendQuery(ctx, peer, &Query{From: s.config.Address, Digests: s.wholeDigests()})
	if err != nil || len(answer.Deltas) != len(s.copies) {
		return
	}
	s.heardAt.Store(int64(s.config.Now().Sub(s.made)))
	digests := make([]Digest, len(s.copies))
	for i, held := range s.copies {
		held.takeDelta(answer.Deltas[i], peer, asked)
		digests[i] = answer.Deltas[i].Digest
	}
	s.noteConfirmed(digests)
	s.noteEpochs(digests, peer)
	s.settling.heard(peer, answer.Settled, s.knownPeers())
}

// knownPeers returns the number of peers that have a record.
func (s *AntiEntropy) knownPeers() int {
	known := 0
	for _, peer := range s.config.Peers() {
		if peer != s.config.Address {
			known++
		}
	}
	return max(known, 1)
}

// pick returns a peer at random, of those that are known or were heard. A node
// whose copies are still empty asks those that watch the store every other time.
func (s *AntiEntropy) pick() string {
	s.mutex.Lock()
	candidates := slices.Clone(s.recent[:])
	s.mutex.Unlock()
	peers := s.config.Peers()
	if len(peers) > watchers && !s.filled() && rand.IntN(2) == 0 {
		candidates, peers = nil, peers[:watchers]
	}
	candidates = append(candidates, peers...)
	candidates = slices.DeleteFunc(candidates, func(peer string) bool { return peer == "" || peer == s.config.Address })
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (s *AntiEntropy) remember(peer string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if slices.Contains(s.recent[:], peer) {
		return
	}
	s.recent[s.next] = peer
	s.next = (s.next + 1) % maxRecent
}
