package configuration

import (
	"context"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxHops bounds how many nodes news passes.
	maxHops = 12
	// maxSending bounds the pushes in flight; a push beyond it is dropped.
	maxSending = 16
)

// pushLoop passes news on as it arises.
func (s *Syncer) pushLoop(ctx context.Context) {
	var sending sync.WaitGroup
	defer sending.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.news.signal:
			s.push(ctx, &sending, s.news.take())
		}
	}
}

// push sends news to a few random live peers without waiting for them.
func (s *Syncer) push(ctx context.Context, sending *sync.WaitGroup, taken news) {
	targets := s.pushTargets(taken.hops)
	for _, message := range s.pushMessages(taken) {
		encoded, err := cbor.Marshal(message)
		if err != nil {
			s.options.Log.WithError(err).Error("cannot encode a push")
			continue
		}
		for _, target := range targets {
			s.send(ctx, sending, target, encoded)
		}
	}
}

// pushTargets chooses the peers: the first node of a change takes one in each
// other zone first, the nodes after it any.
func (s *Syncer) pushTargets(hops int) []Member {
	peers := livePeers(s.options.Self.Name, s.options.Membership.Members())
	if hops == 0 {
		peers = spreadOverZones(s.options.Self.Zone, peers)
	}
	return peers[:min(len(peers), s.options.Fanout)]
}

// pushMessages splits news into messages of bounded size.
func (s *Syncer) pushMessages(taken news) []pushMessage {
	drains := encodeMarks(s.drains.Marks())
	var messages []pushMessage
	for versions := taken.versions; len(versions) > 0; {
		entries, count, err := encodeVersions(versions)
		if err != nil {
			s.options.Log.WithError(err).Error("cannot encode a version")
			versions = versions[1:]
			continue
		}
		versions = versions[count:]
		messages = append(messages, pushMessage{Entries: entries, Hops: taken.hops, Drains: drains})
	}
	if len(messages) == 0 && taken.drains {
		messages = append(messages, pushMessage{Hops: taken.hops, Drains: drains})
	}
	return messages
}

// send posts one message, or drops it when too many are in flight already; the
// peer then finds out by comparing digests.
func (s *Syncer) send(ctx context.Context, sending *sync.WaitGroup, target Member, encoded []byte) {
	select {
	case s.sending <- struct{}{}:
	default:
		s.counters.dropped.Add(1)
		return
	}
	sending.Go(func() {
		defer func() { <-s.sending }()
		s.counters.pushes.Add(1)
		if err := s.post(ctx, target.PeerAddress, PathPush, encoded, nil); err != nil {
			s.options.Log.WithError(err).Debug("push of configuration failed")
		}
	})
}
