package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxHops limits how many times a push is forwarded.
	maxHops = 12
	// maxConcurrentPushes limits the pushes in flight.
	maxConcurrentPushes = 16
	// pushSlotTimeout is how long the pushes of one batch wait for others to end before they are
	// dropped. Later versions are queued meanwhile and pushed together. Without waiting, a fifth
	// of the pushes was dropped when nodes with two processors made 20 changes at once.
	pushSlotTimeout = 500 * time.Millisecond
)

// pushLoop pushes queued versions and drains to peers.
func (s *Syncer) pushLoop(ctx context.Context) {
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.pushQueue.signal:
			s.push(ctx, &inFlight, s.pushQueue.takeBatch())
		}
	}
}

// push sends a batch to a few random live peers without waiting for their answers.
func (s *Syncer) push(ctx context.Context, inFlight *sync.WaitGroup, batch pushBatch) {
	targets := s.pushTargets(batch.hops)
	slotTimeout := time.NewTimer(pushSlotTimeout)
	defer slotTimeout.Stop()
	slots := slotWait{done: ctx.Done(), timeout: slotTimeout.C}
	for _, message := range s.pushMessages(batch) {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			s.options.Log.WithError(err).Error("cannot encode a push")
			continue
		}
		for _, target := range targets {
			if !s.acquirePushSlot(&slots) {
				s.counters.pushesDropped.Add(1)
				continue
			}
			s.send(ctx, inFlight, target, encoded)
		}
	}
}

// pushTargets chooses the peers of a push. The node where a change originates
// prefers one peer in each other zone; forwarding nodes choose any peers. The
// node's successor is always included: versions that are pushed as one batch
// miss the same nodes, and with 6 random peers alone that is about one node in
// 400 (1/e^6).
func (s *Syncer) pushTargets(hops int) []Member {
	peers := livePeers(s.options.Self.Name, s.options.Membership.Members())
	if hops == 0 {
		peers = otherZonesFirst(s.options.Self.Zone, peers)
	}
	includeSuccessor(s.options.Self.Name, peers, s.options.Fanout)
	return peers[:min(len(peers), s.options.Fanout)]
}

// pushMessages splits a batch into messages of bounded size.
func (s *Syncer) pushMessages(batch pushBatch) []pushMessage {
	drains := encodeDrains(s.drains.Expiries())
	var messages []pushMessage
	for versions := batch.versions; len(versions) > 0; {
		entries, count, err := encodeVersions(versions)
		if err != nil {
			s.options.Log.WithError(err).Error("cannot encode a version")
			versions = versions[1:]
			continue
		}
		versions = versions[count:]
		messages = append(messages, pushMessage{Entries: entries, Hops: batch.hops, Drains: drains})
	}
	if len(messages) == 0 && batch.drains {
		messages = append(messages, pushMessage{Hops: batch.hops, Drains: drains})
	}
	return messages
}

// slotWait is the time for which the pushes of one batch may wait for slots.
type slotWait struct {
	done    <-chan struct{}
	timeout <-chan time.Time
	expired bool
}

// acquirePushSlot waits until fewer than maxConcurrentPushes are in flight. It returns false if
// that takes too long; the peer then gets the versions by comparing digests.
func (s *Syncer) acquirePushSlot(wait *slotWait) bool {
	select {
	case s.pushSlots <- struct{}{}:
		return true
	default:
	}
	if wait.expired {
		return false
	}
	select {
	case s.pushSlots <- struct{}{}:
		return true
	case <-wait.timeout:
	case <-wait.done:
	}
	wait.expired = true
	return false
}

// send posts one message, for which a slot was acquired.
func (s *Syncer) send(ctx context.Context, inFlight *sync.WaitGroup, target Member, encoded []byte) {
	inFlight.Go(func() {
		defer func() { <-s.pushSlots }()
		s.counters.pushes.Add(1)
		if err := s.post(ctx, target.PeerAddress, PathPush, encoded, nil); err != nil {
			s.options.Log.WithError(err).Debug("push of configuration failed")
		}
	})
}
