package configuration

import (
	"io"
	"net/http"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Paths of the peer endpoints.
const (
	PathPull = "/peer/configuration/since"
	PathPush = "/peer/configuration/push"
)

// Limits of the messages between nodes.
const (
	// MaxMessageSize limits a message's body, in bytes.
	MaxMessageSize = 512 << 10
	// maxPageSize limits the encoded envelopes in one message, in bytes; a
	// single envelope may exceed it.
	maxPageSize = 192 << 10
	// maxPageEntries limits the number of envelopes in one message.
	maxPageEntries = 512

	contentType = "application/cbor"
)

// wireEntry is the wire form of a version. The envelope is encoded as in the
// store.
type wireEntry struct {
	Revision store.Revision `cbor:"1,keyasint"`
	Envelope []byte         `cbor:"2,keyasint"`
}

// wireDrain is the wire form of an emergency drain.
type wireDrain struct {
	Name string `cbor:"1,keyasint"`
	// Expiry is in milliseconds since the Unix epoch.
	Expiry int64 `cbor:"2,keyasint"`
}

// pullRequest requests one page of the versions that a replica lacks.
type pullRequest struct {
	// Floor is the requesting replica's floor.
	Floor store.Revision `cbor:"1,keyasint"`
	// After and AfterKey are the revision and key of the last entry of the
	// previous page.
	After    store.Revision `cbor:"2,keyasint"`
	AfterKey string         `cbor:"6,keyasint,omitempty"`
	// Full requests all versions, regardless of the floor.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Max limits the entries of the response; zero leaves the limit to the peer.
	Max    int         `cbor:"4,keyasint,omitempty"`
	Drains []wireDrain `cbor:"5,keyasint,omitempty"`
}

// pullResponse is one page of versions.
type pullResponse struct {
	Entries []wireEntry `cbor:"1,keyasint,omitempty"`
	Digest  Digest      `cbor:"2,keyasint"`
	Ready   bool        `cbor:"3,keyasint"`
	More    bool        `cbor:"4,keyasint,omitempty"`
	// FullRequired is set if a delta cannot bring the requesting replica up to
	// date.
	FullRequired bool        `cbor:"5,keyasint,omitempty"`
	Drains       []wireDrain `cbor:"6,keyasint,omitempty"`
}

// pushMessage carries new versions and drains to a peer.
type pushMessage struct {
	Entries []wireEntry `cbor:"1,keyasint,omitempty"`
	// Hops counts the nodes that have forwarded the message.
	Hops   int         `cbor:"2,keyasint,omitempty"`
	Drains []wireDrain `cbor:"3,keyasint,omitempty"`
}

var messageDecoder = newMessageDecoder()

func newMessageDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  8,
		MaxArrayElements: 4096,
		MaxMapPairs:      64,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// decodeMessage decodes a body of at most MaxMessageSize bytes and returns the
// number of bytes read.
func decodeMessage(body io.Reader, message any) (size int, err error) {
	encoded, err := io.ReadAll(io.LimitReader(body, MaxMessageSize+1))
	if err != nil {
		return len(encoded), err
	}
	if len(encoded) > MaxMessageSize {
		return len(encoded), oops.Errorf("message exceeds %d bytes", MaxMessageSize)
	}
	return len(encoded), messageDecoder.Unmarshal(encoded, message)
}

// writeMessage writes a message as the response and returns its size.
func writeMessage(w http.ResponseWriter, message any) (size int) {
	encoded, err := cbor.Marshal(message)
	if err != nil {
		http.Error(w, "cannot encode answer", http.StatusInternalServerError)
		return 0
	}
	w.Header().Set("Content-Type", contentType)
	_, _ = w.Write(encoded)
	return len(encoded)
}

// encodeVersions encodes as many versions as fit in a message, in order, and
// returns their number.
func encodeVersions(versions []resource.Versioned) (entries []wireEntry, count int, err error) {
	size := 0
	for _, version := range versions {
		encoded, err := version.Encode()
		if err != nil {
			return nil, 0, err
		}
		size += len(encoded)
		if len(entries) > 0 && (size > maxPageSize || len(entries) >= maxPageEntries) {
			break
		}
		entries = append(entries, wireEntry{Revision: version.Revision, Envelope: encoded})
		count++
	}
	return entries, count, nil
}

// decodeEntries decodes and validates the entries of a peer's message. One
// invalid entry rejects the whole message.
func decodeEntries(entries []wireEntry) ([]resource.Versioned, error) {
	versions := make([]resource.Versioned, 0, len(entries))
	for _, received := range entries {
		if received.Revision <= 0 {
			return nil, oops.Errorf("revision %d out of range", received.Revision)
		}
		envelope, err := resource.DecodeEnvelope(received.Envelope)
		if err != nil {
			return nil, err
		}
		versions = append(versions, resource.Versioned{Envelope: envelope, Revision: received.Revision})
	}
	return versions, nil
}

// decodeStoreEntry decodes an entry of the store and checks that its key is that
// of the object.
func decodeStoreEntry(stored store.Entry) (resource.Versioned, error) {
	envelope, err := resource.DecodeEnvelope(stored.Value)
	if err == nil && envelope.ID.Key() != stored.Key {
		err = oops.Errorf("envelope of %s", envelope.ID)
	}
	if err != nil {
		return resource.Versioned{}, oops.In("configuration").With("step", "decode stored object").With("key", stored.Key).Wrap(err)
	}
	return resource.Versioned{Envelope: envelope, Revision: stored.Revision}, nil
}

func encodeDrains(expiries map[string]time.Time) []wireDrain {
	encoded := make([]wireDrain, 0, len(expiries))
	for name, expiry := range expiries {
		encoded = append(encoded, wireDrain{Name: name, Expiry: expiry.UnixMilli()})
	}
	return encoded
}

func decodeDrains(encoded []wireDrain) map[string]time.Time {
	expiries := make(map[string]time.Time, len(encoded))
	for _, received := range encoded {
		expiries[received.Name] = time.UnixMilli(received.Expiry)
	}
	return expiries
}
