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

// Query asks a peer for what its copies hold beyond those of the sender.
type Query struct {
	_ struct{} `cbor:",toarray"`
	// From is the address of the sender.
	From    string
	Digests []Digest
}

// Answer holds a delta for each copy, in the order of the query.
type Answer struct {
	_      struct{} `cbor:",toarray"`
	Deltas []Delta
	// Synced reports that the peer had finished its own initial sync, so that its answer
	// reflects the state of the whole fleet.
	Synced bool
}

const (
	// queryAfter is how long a node receives no digests from peers before it queries one. A
	// node whose copies are close to stale also queries a peer before it reads from the store.
	queryAfter = 250 * time.Millisecond
	// queryPeriod is the mean time between two such queries; uninitializedPeriod replaces it
	// while copies are still empty.
	queryPeriod         = 200 * time.Millisecond
	uninitializedPeriod = 40 * time.Millisecond
	// stalePeriod is the mean time between two queries while copies have been stale for less
	// than staleDuration. Nodes that no peer calls depend on it: among 295 nodes whose watchers
	// were killed, one lacked a change for 2 s and more in 20 of 500 simulations, as the peers
	// that it queried at random did not have it yet (0 of 360 with stalePeriod; the median
	// simulation ends after 1.4 s instead of 1.7 s). While the store is down all copies are
	// stale; staleDuration bounds that cost, and ends when the node has read from the store
	// itself.
	stalePeriod   = 60 * time.Millisecond
	staleDuration = maxPositionDelay
	// maxQueries bounds the concurrent queries. It is more than one, so that a peer that doesn't
	// answer does not block queries to others until its timeout.
	maxQueries = 3
	// fetchPause is the minimum pause after a fetch.
	fetchPause   = 30 * time.Millisecond
	fetchTimeout = time.Second
	// maxRecentCallers bounds the remembered addresses of peers that called.
	maxRecentCallers = 16
)

// AntiEntropyConfig describes the node and its peers.
type AntiEntropyConfig struct {
	// Address is the node's own address, as peers reach it.
	Address string
	// Peers returns the addresses of nodes by their position (see Syncer.Position); the node's own
	// may be among them.
	Peers func() []string
	// SendQuery sends a query to a peer.
	SendQuery func(ctx context.Context, address string, query *Query) (*Answer, error)
	// OnCall is called with the address of every peer that called; it may be nil.
	OnCall func(peer string)
	// OnConfirmed is called with the time at which a peer's copy was known to be current; it may
	// be nil.
	OnConfirmed func(at time.Time)
	// OnEpoch is called with the store epoch of a peer's copy; it may be nil.
	OnEpoch func(epoch store.Epoch, peer string)
	// Overdue reports whether peers are likely to have newer information that the node should
	// have received by now; it may be nil.
	Overdue func() bool
	// FirstStart reports that the whole system starts for the first time, so that no peer can
	// hold older state.
	FirstStart bool
	Now        func() time.Time
}

// AntiEntropy synchronizes the copies of nodes by anti-entropy: nodes exchange digests of their
// copies and fetch deltas. It is safe for concurrent use.
type AntiEntropy struct {
	config AntiEntropyConfig
	copies []*Copy

	// lastContact is when digests of a peer were last received, in nanoseconds since created.
	created     time.Time
	lastContact atomic.Int64

	initialSync *initialSync
	fetching    atomic.Bool
	mutex       sync.Mutex
	// recentCallers is a ring buffer of peers that called; some slots may be empty.
	recentCallers [maxRecentCallers]string
	nextCaller    int
}

// NewAntiEntropy returns an AntiEntropy for the copies, which all nodes must pass in the same
// order.
func NewAntiEntropy(config AntiEntropyConfig, copies ...*Copy) *AntiEntropy {
	a := &AntiEntropy{config: config, copies: copies, created: config.Now(), initialSync: newInitialSync()}
	if config.FirstStart {
		a.initialSync.finish()
	}
	return a
}

// Digests returns the digests of the node's copies, to be sent along with other messages. They
// name the version of the document only if the store has lost it: otherwise the document is
// among the copy's entries.
func (a *AntiEntropy) Digests() []Digest {
	digests := a.fullDigests()
	for i, c := range a.copies {
		if c.document.StoredVersion() >= digests[i].DocumentVersion {
			digests[i].DocumentVersion = 0
		}
	}
	return digests
}

func (a *AntiEntropy) fullDigests() []Digest {
	digests := make([]Digest, len(a.copies))
	for i, c := range a.copies {
		digests[i] = c.Digest()
	}
	return digests
}

// HandleCallDigests handles the digests of a peer that called. They took an unknown time to
// arrive, so they do not advance the time as of which a copy is certainly current.
func (a *AntiEntropy) HandleCallDigests(peer string, digests []Digest) {
	if peer == "" || peer == a.config.Address {
		return
	}
	a.addRecentCaller(peer)
	if a.config.OnCall != nil {
		a.config.OnCall(peer)
	}
	a.handleDigests(peer, digests, time.Time{})
}

// HandleReplyDigests handles the digests that a peer sent in reply to a message that was sent at
// sentAt.
func (a *AntiEntropy) HandleReplyDigests(peer string, digests []Digest, sentAt time.Time) {
	a.handleDigests(peer, digests, sentAt)
}

func (a *AntiEntropy) handleDigests(peer string, digests []Digest, sentAt time.Time) {
	if len(digests) != len(a.copies) {
		return
	}
	now := a.config.Now()
	a.lastContact.Store(int64(now.Sub(a.created)))
	for i, c := range a.copies {
		c.confirmByDigest(digests[i], sentAt)
	}
	a.reportConfirmed(digests, now)
	a.reportEpochs(digests, peer)
	if a.isBehind(digests) {
		a.fetch(peer)
	}
}

// AnswerQuery returns the response to a peer's query, and handles the digests in the query.
func (a *AntiEntropy) AnswerQuery(query *Query) *Answer {
	answer := &Answer{Deltas: make([]Delta, len(a.copies)), Synced: a.Synced()}
	for i, c := range a.copies {
		if i < len(query.Digests) {
			answer.Deltas[i] = c.DeltaSince(query.Digests[i])
		}
	}
	a.HandleCallDigests(query.From, query.Digests)
	return answer
}

// Run queries random peers until the context ends: while copies are empty or close to stale,
// and whenever no digests of peers have been received for queryAfter.
func (a *AntiEntropy) Run(ctx context.Context) {
	queries := make(chan struct{}, maxQueries)
	for ctx.Err() == nil {
		if a.sinceLastContact() > queryAfter || a.nearlyStale() || a.overdue() || !a.Synced() {
			a.queryRandomPeer(ctx, queries)
		}
		period := a.period()
		pause.For(ctx, period/2+rand.N(period))
	}
}

// queryRandomPeer starts a query to a random peer unless too many are in progress.
func (a *AntiEntropy) queryRandomPeer(ctx context.Context, queries chan struct{}) {
	peer := a.pickPeer()
	if peer == "" {
		return
	}
	select {
	case queries <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-queries }()
		a.query(ctx, peer)
	}()
}

// period returns the mean time until the next query.
func (a *AntiEntropy) period() time.Duration {
	switch {
	case !a.initialized() || !a.Synced():
		return uninitializedPeriod
	case a.recentlyStale() || a.overdue():
		return stalePeriod
	default:
		return queryPeriod
	}
}

// recentlyStale reports whether a copy has been stale for less than staleDuration.
func (a *AntiEntropy) recentlyStale() bool {
	for _, c := range a.copies {
		if age, known := c.Age(); known && age > c.staleAfter && age < c.staleAfter+staleDuration {
			return true
		}
	}
	return false
}

func (a *AntiEntropy) initialized() bool {
	for _, c := range a.copies {
		if !c.Initialized() {
			return false
		}
	}
	return true
}

// sinceLastContact returns the time since digests of a peer were last received.
func (a *AntiEntropy) sinceLastContact() time.Duration {
	return a.config.Now().Sub(a.created) - time.Duration(a.lastContact.Load())
}

// nearlyStale reports whether a copy is empty or has reached half the age at which it is stale.
func (a *AntiEntropy) nearlyStale() bool {
	for _, c := range a.copies {
		if age, known := c.Age(); !known || age > c.staleAfter/2 {
			return true
		}
	}
	return false
}

func (a *AntiEntropy) overdue() bool { return a.config.Overdue != nil && a.config.Overdue() }

func (a *AntiEntropy) isBehind(digests []Digest) bool {
	for i, c := range a.copies {
		if c.isBehind(digests[i]) {
			return true
		}
	}
	return false
}

// reportConfirmed reports when a peer's copies, whose digests were received by now, were known to be
// current.
func (a *AntiEntropy) reportConfirmed(digests []Digest, now time.Time) {
	if a.config.OnConfirmed == nil {
		return
	}
	for _, digest := range digests {
		if digest.Age >= 0 {
			a.config.OnConfirmed(now.Add(-digest.Age))
		}
	}
}

// reportEpochs reports the store epochs of a peer's copies. An empty copy has none.
func (a *AntiEntropy) reportEpochs(digests []Digest, peer string) {
	if a.config.OnEpoch == nil {
		return
	}
	for _, digest := range digests {
		if digest.Revision != 0 {
			a.config.OnEpoch(digest.Revision.Epoch(), peer)
		}
	}
}

// fetch queries a peer that has newer state, unless a fetch is already in progress.
func (a *AntiEntropy) fetch(peer string) {
	if !a.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer a.fetching.Store(false)
		a.query(context.Background(), peer)
		time.Sleep(fetchPause)
	}()
}

func (a *AntiEntropy) query(ctx context.Context, peer string) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sentAt := a.config.Now()
	answer, err := a.config.SendQuery(ctx, peer, &Query{From: a.config.Address, Digests: a.fullDigests()})
	if err != nil || len(answer.Deltas) != len(a.copies) {
		return
	}
	a.lastContact.Store(int64(a.config.Now().Sub(a.created)))
	digests := make([]Digest, len(a.copies))
	for i, c := range a.copies {
		c.applyDelta(answer.Deltas[i], peer, sentAt)
		digests[i] = answer.Deltas[i].Digest
	}
	a.reportConfirmed(digests, a.config.Now())
	a.reportEpochs(digests, peer)
	a.initialSync.recordAnswer(peer, answer.Synced, a.countPeers())
}

// countPeers returns the number of peers with a record, at least 1.
func (a *AntiEntropy) countPeers() int {
	known := 0
	for _, peer := range a.config.Peers() {
		if peer != a.config.Address {
			known++
		}
	}
	return max(known, 1)
}

// pickPeer returns a random peer, out of those with a record and those that called recently.
// Every other time, a node whose copies are still empty picks a watcher of the store.
func (a *AntiEntropy) pickPeer() string {
	a.mutex.Lock()
	candidates := slices.Clone(a.recentCallers[:])
	a.mutex.Unlock()
	peers := a.config.Peers()
	if len(peers) > watchers && !a.initialized() && rand.IntN(2) == 0 {
		candidates, peers = nil, peers[:watchers]
	}
	candidates = append(candidates, peers...)
	candidates = slices.DeleteFunc(candidates, func(peer string) bool { return peer == "" || peer == a.config.Address })
	if len(candidates) == 0 {
		return ""
	}
	return candidates[rand.IntN(len(candidates))]
}

func (a *AntiEntropy) addRecentCaller(peer string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if slices.Contains(a.recentCallers[:], peer) {
		return
	}
	a.recentCallers[a.nextCaller] = peer
	a.nextCaller = (a.nextCaller + 1) % maxRecentCallers
}
