package configuration

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxHops limits how many times a push is forwarded.
	maxHops = 12
	// maxConcurrentPushes limits the pushes in flight; further pushes are dropped.
	maxConcurrentPushes = 16
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

// push sends a batch to a few random live peers without waiting for them.
func (s *Syncer) push(ctx context.Context, inFlight *sync.WaitGroup, batch pushBatch) {
	targets := s.pushTargets(batch.hops)
	for _, message := range s.pushMessages(batch) {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			s.options.Log.WithError(err).Error("cannot encode a push")
			continue
		}
		for _, target := range targets {
			s.send(ctx, inFlight, target, encoded)
		}
	}
}

// pushTargets chooses the peers of a push. The node where a change originates
// prefers one peer in each other zone; forwarding nodes choose any peers.
func (s *Syncer) pushTargets(hops int) []Member {
	peers := livePeers(s.options.Self.Name, s.options.Membership.Members())
	if hops == 0 {
		peers = otherZonesFirst(s.options.Self.Zone, peers)
	}
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

// send posts one message, or drops it if too many are in flight; the peer then
// gets the versions by comparing digests.
func (s *Syncer) send(ctx context.Context, inFlight *sync.WaitGroup, target Member, encoded []byte) {
	select {
	case s.pushSlots <- struct{}{}:
	default:
		s.counters.pushesDropped.Add(1)
		return
	}
	inFlight.Go(func() {
		defer func() { <-s.pushSlots }()
		s.counters.pushes.Add(1)
		if err := s.post(ctx, target.PeerAddress, PathPush, encoded, nil); err != nil {
			s.options.Log.WithError(err).Debug("push of configuration failed")
		}
	})
}
