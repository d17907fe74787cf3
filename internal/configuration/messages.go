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
	PathSince = "/peer/configuration/since"
	PathPush  = "/peer/configuration/push"
)

// Bounds of the messages between nodes.
const (
	// MaxMessageSize bounds a message's body, in bytes.
	MaxMessageSize = 512 << 10
	// maxPageSize bounds the encoded envelopes in one message, in bytes, except
	// that one envelope always fits.
	maxPageSize = 192 << 10
	// maxPageEntries bounds the envelopes in one message.
	maxPageEntries = 512

	contentType = "application/cbor"
)

// entry is a version on its way between nodes, encoded as in the store.
type entry struct {
	Revision store.Revision `cbor:"1,keyasint"`
	Envelope []byte         `cbor:"2,keyasint"`
}

// mark is an emergency drain on its way between nodes.
type mark struct {
	Name string `cbor:"1,keyasint"`
	// Expiry is in milliseconds since the Unix epoch.
	Expiry int64 `cbor:"2,keyasint"`
}

// sinceRequest asks for what a replica lacks.
type sinceRequest struct {
	// Floor is the asking replica's floor.
	Floor store.Revision `cbor:"1,keyasint"`
	// After and AfterKey are the revision and key that the last page ended with.
	After    store.Revision `cbor:"2,keyasint"`
	AfterKey string         `cbor:"6,keyasint,omitempty"`
	// Full asks for everything, whatever the floor.
	Full bool `cbor:"3,keyasint,omitempty"`
	// Max bounds the entries of the answer; zero leaves it to the peer.
	Max    int    `cbor:"4,keyasint,omitempty"`
	Drains []mark `cbor:"5,keyasint,omitempty"`
}

// sinceResponse is one page of an answer.
type sinceResponse struct {
	Entries []entry `cbor:"1,keyasint,omitempty"`
	Digest  Digest  `cbor:"2,keyasint"`
	Ready   bool    `cbor:"3,keyasint"`
	More    bool    `cbor:"4,keyasint,omitempty"`
	// FullRequired says that a delta cannot bring the asking replica up to date.
	FullRequired bool   `cbor:"5,keyasint,omitempty"`
	Drains       []mark `cbor:"6,keyasint,omitempty"`
}

// pushMessage passes news on.
type pushMessage struct {
	Entries []entry `cbor:"1,keyasint,omitempty"`
	// Hops counts the nodes that the news has passed.
	Hops   int    `cbor:"2,keyasint,omitempty"`
	Drains []mark `cbor:"3,keyasint,omitempty"`
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

// decodeMessage reads a bounded body into a message.
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

// writeMessage answers with a message and returns its size.
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
// returns how many.
func encodeVersions(versions []resource.Versioned) (entries []entry, count int, err error) {
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
		entries = append(entries, entry{Revision: version.Revision, Envelope: encoded})
		count++
	}
	return entries, count, nil
}

// decodeEntries validates what a peer sent; one bad entry spoils all.
func decodeEntries(entries []entry) ([]resource.Versioned, error) {
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

// decodeEntry reads a version from an entry of the store.
func decodeEntry(stored store.Entry) (resource.Versioned, error) {
	envelope, err := resource.DecodeEnvelope(stored.Value)
	if err == nil && envelope.ID.Key() != stored.Key {
		err = oops.Errorf("envelope of %s", envelope.ID)
	}
	if err != nil {
		return resource.Versioned{}, oops.In("configuration").With("step", "decode stored object").With("key", stored.Key).Wrap(err)
	}
	return resource.Versioned{Envelope: envelope, Revision: stored.Revision}, nil
}

func encodeMarks(marks map[string]time.Time) []mark {
	encoded := make([]mark, 0, len(marks))
	for name, expiry := range marks {
		encoded = append(encoded, mark{Name: name, Expiry: expiry.UnixMilli()})
	}
	return encoded
}

func decodeMarks(encoded []mark) map[string]time.Time {
	marks := make(map[string]time.Time, len(encoded))
	for _, received := range encoded {
		marks[received.Name] = time.UnixMilli(received.Expiry)
	}
	return marks
}
