package membership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func exampleMember(number int) Member {
	return Member{
		Name: fmt.Sprintf("node-%d", number), Zone: "a", Region: "r",
		PeerAddress: "10.0.0.1:7000", MeshAddress: "10.0.0.1:8000",
		Incarnation: uint64(epoch.UnixNano()), BootID: 7,
	}
}

func TestValidateMember(t *testing.T) {
	tests := []struct {
		name    string
		modify  func(*Member)
		wantErr error
	}{
		{"valid", func(*Member) {}, nil},
		{"compact", func(m *Member) { *m = m.compact() }, nil},
		{"no name", func(m *Member) { m.Name = "" }, errInvalidName},
		{"long name", func(m *Member) { m.Name = strings.Repeat("x", maxNameLength+1) }, errInvalidName},
		{"control character", func(m *Member) { m.Name = "a\nb" }, errInvalidName},
		{"long zone", func(m *Member) { m.Zone = strings.Repeat("x", maxZoneLength+1) }, errInvalidZone},
		{"host name", func(m *Member) { m.PeerAddress = "localhost:7000" }, errInvalidAddress},
		{"no port", func(m *Member) { m.MeshAddress = "10.0.0.1:0" }, errInvalidAddress},
		{"state", func(m *Member) { m.State = stateCount }, errInvalidState},
		{"incarnation zero", func(m *Member) { m.Incarnation = 0 }, errInvalidIncarnation},
		{"incarnation ahead", func(m *Member) { m.Incarnation += uint64(25 * time.Hour) }, errInvalidIncarnation},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			record := exampleMember(1)
			test.modify(&record)
			encoded, err := encoder.Marshal(message{Kind: kindGossip, Sender: exampleMember(2), Updates: []Member{record}})
			assert.NilError(t, err)
			_, err = decodeMessage(encoded, epoch)
			assert.ErrorIs(t, err, test.wantErr)
		})
	}
}

func TestDecodeMessageRejectsInvalid(t *testing.T) {
	valid := message{Kind: kindPing, Sender: exampleMember(1)}
	encodeModified := func(modify func(*message)) []byte {
		modified := valid
		modify(&modified)
		encoded, err := encoder.Marshal(modified)
		assert.NilError(t, err)
		return encoded
	}
	indefinite := []byte{0xbf, 0x01, 0x01, 0xff}
	tests := map[string][]byte{
		"empty":        {},
		"too large":    make([]byte, MaxDatagram+1),
		"kind":         encodeModified(func(m *message) { m.Kind = kindEnd }),
		"payload":      encodeModified(func(m *message) { m.Payload = make([]byte, MaxPayload+1) }),
		"updates":      encodeModified(func(m *message) { m.Updates = slices.Repeat([]Member{{Name: "x", Incarnation: 1}}, maxUpdates+1) }),
		"trailing":     append(encodeModified(func(*message) {}), 0),
		"indefinite":   indefinite,
		"other target": encodeModified(func(m *message) { m.Target = "\x00" }),
	}
	for name, datagram := range tests {
		_, err := decodeMessage(datagram, epoch)
		assert.Assert(t, err != nil, name)
	}
}

// TestUnknownKeysAreIgnored checks that messages with the additional keys of a later version can
// be decoded.
func TestUnknownKeysAreIgnored(t *testing.T) {
	encoded, err := cbor.Marshal(map[int]any{1: 1, 4: exampleMember(1), 99: "later"})
	assert.NilError(t, err)
	decoded, err := decodeMessage(encoded, epoch)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, message{Kind: kindPing, Sender: exampleMember(1)})
}

func TestLargestDatagramFits(t *testing.T) {
	s := newSimulation(1) // Send of a simulated node panics if a datagram exceeds MaxDatagram
	s.configure = func(config *Config) {
		config.ClusterName = strings.Repeat("c", maxNameLength)
		config.Self.Zone = strings.Repeat("z", maxZoneLength)
		config.Self.Region = strings.Repeat("r", maxZoneLength)
		config.Self.Name += strings.Repeat("n", maxNameLength-len(config.Self.Name))
	}
	for _, node := range startCluster(t, s, 40) {
		assert.NilError(t, node.SetPayload(make([]byte, MaxPayload)))
	}
	s.start(40, 0)
	_, converged := s.advanceUntil(time.Minute, s.converged)
	assert.Assert(t, converged)
}

func TestForgedMembersBoundedByMaxMembers(t *testing.T) {
	s := newSimulation(2)
	s.configure = func(config *Config) { config.MaxMembers = 50 }
	node := s.start(0, 0)
	for number := range 2000 {
		encoded, err := encoder.Marshal(message{Kind: kindPing, Cluster: "test", Sender: exampleMember(number + 10)})
		assert.NilError(t, err)
		node.HandlePacket(node.clock(), Packet{From: "10.9.9.9:1", Data: encoded})
	}
	assert.Equal(t, node.Stats().Known, 50)
	assert.Assert(t, node.Stats().QueuedUpdates <= 51)
	assert.Equal(t, node.Stats().MembersRefused, uint64(1950))
}

func TestInstantSinceUsesLargerDifference(t *testing.T) {
	start := Instant{Wall: epoch, Monotonic: time.Minute}
	suspended := Instant{Wall: epoch.Add(time.Hour), Monotonic: time.Minute}
	setBack := Instant{Wall: epoch.Add(-time.Hour), Monotonic: time.Minute + 3*time.Second}
	assert.Equal(t, suspended.since(start), time.Hour)
	assert.Equal(t, setBack.since(start), 3*time.Second)
}

func TestUpdateRetransmitLimit(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(exampleMember(1), true)
	queue.add(exampleMember(2), false)
	assert.Equal(t, queue.nextBatch(MaxDatagram, 3, "node-2")[0].Name, "node-1", "the receiver's own record was not excluded")
	assert.Equal(t, queue.nextBatch(40, 3, "")[0].Name, "node-2", "the update sent least often was not first")
	sent := map[string]int{}
	for queue.len() > 0 {
		for _, record := range queue.nextBatch(MaxDatagram, 3, "") {
			sent[record.Name]++
		}
	}
	assert.DeepEqual(t, sent, map[string]int{"node-1": 2, "node-2": 2})
	queue.add(exampleMember(1), true)
	queue.add(exampleMember(1), false)
	assert.Assert(t, queue.nextBatch(MaxDatagram, 1, "")[0].full(), "the addresses of the older update were lost")
}

func TestFullEventQueueEmitsResync(t *testing.T) {
	var queue deliveryQueue
	for range maxDeliveries + 5 {
		queue.push(delivery{event: Event{Kind: EventJoined}})
	}
	drained, _ := queue.drain()
	assert.Equal(t, len(drained), maxDeliveries+1)
	assert.Equal(t, drained[maxDeliveries].event.Kind, EventResync)
}

func FuzzDecodeMessage(f *testing.F) {
	for kind := kindPing; kind < kindEnd; kind++ {
		seed, err := encoder.Marshal(message{
			Kind: kind, Cluster: "test", Sequence: 9, Sender: exampleMember(1), Target: "node-3",
			Payload: []byte("payload"), Updates: []Member{exampleMember(2), exampleMember(3).compact()},
		})
		assert.NilError(f, err)
		f.Add(seed)
	}
	f.Add([]byte{0xbf, 0x01, 0x01, 0xff})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		s := newSimulation(1)
		node := s.start(0, 0)
		s.advance(DefaultPeriod)
		node.HandlePacket(node.clock(), Packet{From: "10.9.9.9:1", Data: datagram})
		s.advance(DefaultPeriod)
		decoded, err := decodeMessage(datagram, epoch)
		if err != nil {
			return
		}
		encoded, err := encoder.Marshal(decoded)
		assert.NilError(t, err)
		redecoded, err := decodeMessage(encoded, epoch)
		if len(encoded) <= MaxDatagram {
			assert.NilError(t, err)
			assert.Equal(t, redecoded.Sender, decoded.Sender)
			assert.Equal(t, len(redecoded.Updates), len(decoded.Updates))
		}
	})
}
