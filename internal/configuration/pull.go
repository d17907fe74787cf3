package configuration

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// maxPullPages limits the pages of one pull.
const maxPullPages = 2048

// errFullRequired means that the peer cannot serve a delta above the local floor.
var errFullRequired = errors.New("peer has collected tombstones above the floor")

// HandleDigest compares a peer's digest, received by gossip, with the local one
// and schedules a pull if the peer may have newer versions. It does not block.
func (s *Syncer) HandleDigest(from Member, digest Digest) {
	if from.Name == s.options.Self.Name || from.PeerAddress == "" {
		return
	}
	s.replica.AdoptFloor(digest)
	if s.Digest().shouldPull(digest) {
		s.pullSources.add(from, digest)
	}
}

// pullLoop pulls from one peer at a time and limits the rate of pulls.
func (s *Syncer) pullLoop(ctx context.Context) {
	for s.awaitPullTrigger(ctx) {
		if !pause.For(ctx, jitter(s.options.PullInterval/4)) {
			return
		}
		before := s.counters.receivedBytes.Load()
		if err := s.pullOnce(ctx); err != nil && ctx.Err() == nil {
			s.options.Log.WithError(err).Warn("pull of configuration failed")
		}
		if !pause.For(ctx, s.pullPause(s.counters.receivedBytes.Load()-before)) {
			return
		}
	}
}

// awaitPullTrigger waits for a pull source or, while the node has no
// configuration, for the time of the next attempt. It returns false when the
// context ends.
func (s *Syncer) awaitPullTrigger(ctx context.Context) bool {
	var retry <-chan time.Time
	if !s.replica.Ready() {
		timer := time.NewTimer(s.options.PullInterval / 2)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.pullSources.signal:
	case <-retry:
	}
	return true
}

func (s *Syncer) pullPause(bytes int64) time.Duration {
	delay := time.Duration(bytes) * time.Second / time.Duration(s.options.PullBytesPerSecond)
	return max(s.options.PullInterval, min(delay, MaxPullPause))
}

func (s *Syncer) pullOnce(ctx context.Context) error {
	address, found := s.choosePeer()
	if !found {
		return nil
	}
	full := !s.replica.Ready()
	result, err := s.fetch(ctx, address, full)
	if errors.Is(err, errFullRequired) {
		if !s.allowFullPull() {
			return nil
		}
		full = true
		result, err = s.fetch(ctx, address, full)
	}
	if err != nil {
		return err
	}
	if full {
		s.applyFull(result)
		return nil
	}
	s.applyDelta(result)
	if s.diverged(result) {
		return s.repair(ctx, address)
	}
	return nil
}

// choosePeer returns the address of the peer to pull from: a pull source or,
// while the node has no configuration, any peer or seed.
func (s *Syncer) choosePeer() (address string, found bool) {
	if chosen, ok := s.pullSources.choose(s.Digest()); ok {
		if s.pullSources.pending() {
			s.pullSources.notify()
		}
		return chosen.member.PeerAddress, true
	}
	if s.replica.Ready() {
		return "", false
	}
	addresses := slices.Clone(s.options.Seeds)
	for _, peer := range livePeers(s.options.Self.Name, s.options.Membership.Members()) {
		addresses = append(addresses, peer.PeerAddress)
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == s.options.Self.PeerAddress })
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

// pullResult is the result of a pull, which may span several pages.
type pullResult struct {
	// requestFloor is the floor that the request was sent with.
	requestFloor store.Revision
	versions     []resource.Versioned
	// digest is the peer's digest in the first page. A version that the peer
	// received later may lie below the start of a later page and be missed, so
	// only the floor of the first page is valid for the result.
	digest Digest
	// ready is set if the peer was ready, that is, if its floor is valid.
	ready bool
	pages int
}

// fetch requests all versions, or those above the local floor, from a peer.
func (s *Syncer) fetch(ctx context.Context, address string, full bool) (pullResult, error) {
	s.counters.pulls.Add(1)
	if full {
		s.counters.fullPulls.Add(1)
	}
	result := pullResult{requestFloor: s.replica.Floor()}
	request := pullRequest{Floor: result.requestFloor, Full: full, Max: maxPageEntries}
	for more := true; more; {
		page, err := s.fetchPage(ctx, address, request)
		if err != nil {
			return result, err
		}
		if page.FullRequired {
			return result, errFullRequired
		}
		if err := result.add(page); err != nil {
			return result, oops.In("configuration").With("step", "pull").With("peer", address).Wrap(err)
		}
		more = page.More
		if last := len(result.versions) - 1; last >= 0 {
			request.After = result.versions[last].Revision
			request.AfterKey = result.versions[last].ID.Key()
		}
	}
	return result, nil
}

func (s *Syncer) fetchPage(ctx context.Context, address string, request pullRequest) (pullResponse, error) {
	request.Drains = encodeDrains(s.drains.Expiries())
	var page pullResponse
	encoded, err := cbor.Marshal(request)
	if err != nil {
		return page, err
	}
	if err := s.post(ctx, address, PathPull, encoded, &page); err != nil {
		return page, err
	}
	s.mergeDrains(page.Drains, 0)
	return page, nil
}

func (p *pullResult) add(page pullResponse) error {
	versions, err := decodeEntries(page.Entries)
	if err != nil {
		return err
	}
	if page.More && len(versions) == 0 {
		return oops.Errorf("page without entries before the last page")
	}
	if p.pages == 0 {
		p.digest = page.Digest
		p.ready = page.Ready
	}
	p.pages++
	if p.pages > maxPullPages || len(p.versions)+len(versions) > 4*MaxObjects {
		return oops.Errorf("response exceeds the page or entry limit")
	}
	p.digest.Collected = max(p.digest.Collected, page.Digest.Collected)
	p.versions = append(p.versions, versions...)
	return nil
}

// applyDelta applies the versions of a peer above the local floor. Afterwards
// the peer's floor is valid for this replica too.
func (s *Syncer) applyDelta(result pullResult) {
	changed := s.replica.Apply(result.versions...)
	if result.ready {
		s.replica.SetFloor(result.digest.Floor)
	}
	s.forward(changed)
}

// applyFull applies all versions of a peer.
func (s *Syncer) applyFull(result pullResult) {
	if !result.ready {
		s.replica.Apply(result.versions...)
		return
	}
	initial := !s.replica.Ready()
	s.replica.RaiseCollected(result.digest.Collected)
	changed := s.replica.ApplyComplete(result.versions, result.digest.Floor)
	if !initial {
		s.forward(changed)
	}
}

// forward pushes the versions from a pull to peers, so that changes spread
// quickly after a network partition has healed.
func (s *Syncer) forward(changed []resource.Versioned) {
	if len(changed) <= maxForwardedVersions {
		s.pushQueue.addVersions(changed, 1)
	}
}

// allowFullPull limits the rate of full pulls.
func (s *Syncer) allowFullPull() bool {
	now := s.options.Now()
	if s.replica.Ready() && now.Sub(s.lastFullPull) < s.options.FullPullInterval {
		return false
	}
	s.lastFullPull = now
	return true
}

// diverged reports, after a delta was applied, whether this replica and the
// peer's have the same floor and the same versions above the requested floor,
// but differ below it.
func (s *Syncer) diverged(result pullResult) bool {
	local := s.replica.Since(result.requestFloor, 0)
	if !result.ready || result.pages != 1 || local.Digest.Floor != result.digest.Floor || local.Digest.sameObjects(result.digest) {
		return false
	}
	return slices.EqualFunc(local.Versions, result.versions, func(a, b resource.Versioned) bool {
		return compareVersions(a, b) == 0
	})
}

// repair fetches and applies all versions of the peer that this replica lacks.
// If this node watches the store, it also lists the store again.
func (s *Syncer) repair(ctx context.Context, address string) error {
	if !s.allowFullPull() {
		return nil
	}
	s.options.Log.WithField("peer", address).Error("replicas of the same floor differ; fetching all objects")
	result, err := s.fetch(ctx, address, true)
	if err != nil {
		return err
	}
	s.forward(s.replica.Repair(result.versions))
	s.requestRelist()
	return nil
}
