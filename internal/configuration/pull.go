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

// maxPullPages bounds the pages of one pull.
const maxPullPages = 2048

// errFullRequired means that the peer cannot serve a delta from this floor.
var errFullRequired = errors.New("peer has forgotten tombstones above the floor")

// HandleDigest compares a peer's digest, received with its gossip, with the own
// one and has the difference fetched if the peer has something to offer. It
// does not block.
func (s *Syncer) HandleDigest(from Member, digest Digest) {
	if from.Name == s.options.Self.Name || from.PeerAddress == "" {
		return
	}
	s.replica.Adopt(digest)
	if s.Digest().wants(digest) {
		s.sources.add(from, digest)
	}
}

// pullLoop fetches from peers, one at a time and paced.
func (s *Syncer) pullLoop(ctx context.Context) {
	for s.awaitReason(ctx) {
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

// awaitReason waits for a source or, while the node has no configuration, for
// the time of the next attempt. It returns false when the context ends.
func (s *Syncer) awaitReason(ctx context.Context) bool {
	var retry <-chan time.Time
	if !s.replica.Ready() {
		timer := time.NewTimer(s.options.PullInterval / 2)
		defer timer.Stop()
		retry = timer.C
	}
	select {
	case <-ctx.Done():
		return false
	case <-s.sources.signal:
	case <-retry:
	}
	return true
}

func (s *Syncer) pullPause(bytes int64) time.Duration {
	pause := time.Duration(bytes) * time.Second / time.Duration(s.options.PullBytesPerSecond)
	return max(s.options.PullInterval, min(pause, MaxPullPause))
}

func (s *Syncer) pullOnce(ctx context.Context) error {
	address, found := s.choosePeer()
	if !found {
		return nil
	}
	full := !s.replica.Ready()
	result, err := s.fetch(ctx, address, full)
	if errors.Is(err, errFullRequired) {
		if !s.mayPullAll() {
			return nil
		}
		full = true
		result, err = s.fetch(ctx, address, full)
	}
	if err != nil {
		return err
	}
	if full {
		s.takeComplete(result)
		return nil
	}
	s.takeDelta(result)
	if s.diverged(result) {
		return s.repair(ctx, address)
	}
	return nil
}

// choosePeer returns the peer to pull from: a source, or while the node has no
// configuration any peer or seed.
func (s *Syncer) choosePeer() (address string, found bool) {
	if chosen, ok := s.sources.choose(s.Digest()); ok {
		if s.sources.pending() {
			s.sources.wake()
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

// pulled is what a pull brought, in one or more pages.
type pulled struct {
	// since is the floor that was asked from.
	since    store.Revision
	versions []resource.Versioned
	// digest is the peer's at the first page. Versions that the peer learnt
	// below a later page's start are missing, so only the first floor holds.
	digest Digest
	// ready says that the peer's floor means anything.
	ready bool
	pages int
}

// fetch asks a peer for all versions or those above the own floor.
func (s *Syncer) fetch(ctx context.Context, address string, full bool) (pulled, error) {
	s.counters.pulls.Add(1)
	if full {
		s.counters.fullPulls.Add(1)
	}
	result := pulled{since: s.replica.Floor()}
	request := sinceRequest{Floor: result.since, Full: full, Max: maxPageEntries}
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

func (s *Syncer) fetchPage(ctx context.Context, address string, request sinceRequest) (sinceResponse, error) {
	request.Drains = encodeMarks(s.drains.Marks())
	var page sinceResponse
	encoded, err := cbor.Marshal(request)
	if err != nil {
		return page, err
	}
	if err := s.post(ctx, address, PathSince, encoded, &page); err != nil {
		return page, err
	}
	s.mergeDrains(page.Drains, 0)
	return page, nil
}

func (p *pulled) add(page sinceResponse) error {
	versions, err := decodeEntries(page.Entries)
	if err != nil {
		return err
	}
	if page.More && len(versions) == 0 {
		return oops.Errorf("page without entries before the last")
	}
	if p.pages == 0 {
		p.digest = page.Digest
		p.ready = page.Ready
	}
	p.pages++
	if p.pages > maxPullPages || len(p.versions)+len(versions) > 4*MaxObjects {
		return oops.Errorf("answer too long")
	}
	p.digest.Collected = max(p.digest.Collected, page.Digest.Collected)
	p.versions = append(p.versions, versions...)
	return nil
}

// takeDelta applies what a peer held above the own floor. The peer's floor
// holds for this node as well then.
func (s *Syncer) takeDelta(result pulled) {
	changed := s.replica.Apply(result.versions...)
	if result.ready {
		s.replica.SetFloor(result.digest.Floor)
	}
	s.passOn(changed)
}

// takeComplete applies all that a peer held.
func (s *Syncer) takeComplete(result pulled) {
	if !result.ready {
		s.replica.Apply(result.versions...)
		return
	}
	first := !s.replica.Ready()
	s.replica.ForgetTombstonesBelow(result.digest.Collected)
	changed := s.replica.ApplyComplete(result.versions, result.digest.Floor)
	if !first {
		s.passOn(changed)
	}
}

// passOn tells peers what a pull brought, which carries news over the border
// of a cut that has healed.
func (s *Syncer) passOn(changed []resource.Versioned) {
	if len(changed) <= maxAnnouncedList {
		s.news.addVersions(changed, 1)
	}
}

// mayPullAll spaces complete pulls out.
func (s *Syncer) mayPullAll() bool {
	now := s.options.Now()
	if s.replica.Ready() && now.Sub(s.lastFullPull) < s.options.FullPullInterval {
		return false
	}
	s.lastFullPull = now
	return true
}

// diverged reports, after a delta was applied, whether this replica and the
// peer's are complete up to the same floor and hold the same versions above
// the floor that was asked from, and yet differ below it.
func (s *Syncer) diverged(result pulled) bool {
	own := s.replica.Since(result.since, 0)
	if !result.ready || result.pages != 1 || own.Digest.Floor != result.digest.Floor || own.Digest.sameObjects(result.digest) {
		return false
	}
	return slices.EqualFunc(own.Versions, result.versions, func(a, b resource.Versioned) bool {
		return compareVersions(a, b) == 0
	})
}

// repair takes over whatever the peer holds and this replica lacks, and has
// the store listed anew if this node watches it.
func (s *Syncer) repair(ctx context.Context, address string) error {
	if !s.mayPullAll() {
		return nil
	}
	s.options.Log.WithField("peer", address).Error("replicas of the same floor differ; fetching all objects")
	result, err := s.fetch(ctx, address, true)
	if err != nil {
		return err
	}
	s.passOn(s.replica.Repair(result.versions))
	s.signalRelist()
	return nil
}
