package registry

import (
	"errors"

	"github.com/lugspur/lugspur/internal/store"
)

// StartNotice tells peers, while the store cannot be written, of the record that a node would
// publish there. It follows each change of the local target's incarnation or state.
type StartNotice struct {
	Record Record `cbor:"1,keyasint"`
	// Base is the latest revision of the node's stored record that the node knows. A stored record
	// with a higher revision is newer than the notice.
	Base store.Revision `cbor:"2,keyasint"`
	// Sequence increases with each change at one process, starting at 1.
	Sequence uint64 `cbor:"3,keyasint"`
}

// errInvalidStartNotice means that a notice lacks a field without which it cannot be used.
var errInvalidStartNotice = errors.New("incomplete notice of a started target")

// Validate checks a notice that was received from a peer.
func (n *StartNotice) Validate() error {
	if n.Sequence == 0 {
		return errInvalidStartNotice
	}
	return n.Record.Validate()
}

// supersedes reports whether the notice is newer than what is known of the home. Late and repeated
// notices, and those of an earlier incarnation or process, are not.
func (n *StartNotice) supersedes(known *Home) bool {
	switch {
	case n.Record.Process == known.Process && known.Sequence > 0:
		// The sender may not know the revision of its own record, if the store did not confirm a write.
		return n.Sequence > known.Sequence
	case n.Base < known.Revision || n.precedes(known):
		return false
	case n.Base > known.Revision || known.NoticeSequence == 0:
		// The node had written or read a newer stored record, or sent the notice after it had
		// written the one that is known.
		return true
	case n.Record.Process == known.Process:
		return n.Sequence > known.NoticeSequence
	default:
		return n.Record.Process != known.previousProcess
	}
}

// precedes reports whether the notice names an earlier incarnation than the known one of the same
// target ID.
func (n *StartNotice) precedes(known *Home) bool {
	noticed, current := parseIncarnation(n.Record.Instance), parseIncarnation(known.Instance)
	return noticed.ID == current.ID && noticed.StartMillis < current.StartMillis
}
