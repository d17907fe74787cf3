package replica

// Documents are the versions of a document that somebody else writes to the store, such as
// the operator's configuration. Its versions only rise, whatever the store says: one that
// came back from a copy may hold an older version than nodes do. Until its writer has
// written the newest again, nodes tell it to each other beside what the store holds.
//
// Its methods are called under the copy's lock and must not call the copy.
type Documents interface {
	// Version returns the newest version that the node holds, zero if there is none.
	Version() uint64
	// Stored returns the version that the node's copy of the store holds, zero if none.
	Stored() uint64
	// Newest returns the newest version as written.
	Newest() []byte
	// Offer takes the newest version of a peer.
	Offer(document []byte, peer string)
}

// noDocuments is for copies of which nobody numbers the versions.
type noDocuments struct{}

// Version implements Documents.
func (noDocuments) Version() uint64 { return 0 }

// Stored implements Documents.
func (noDocuments) Stored() uint64 { return 0 }

// Newest implements Documents.
func (noDocuments) Newest() []byte { return nil }

// Offer implements Documents.
func (noDocuments) Offer([]byte, string) {}

// SetDocument has the copy tell peers of documents. It is called before the copy is used.
func (c *Copy) SetDocument(documents Documents) { c.documents = documents }

// lacksDocument reports whether a peer's newest version is newer and may be of use.
func (c *Copy) lacksDocument(newest uint64) bool {
	return newest > c.documents.Version() && newest > c.useless
}

// beyond returns the newest version if the other copy lacks it and does not get it with the
// entries that it lacks.
func (c *Copy) beyond(other Digest) []byte {
	newest := c.documents.Version()
	if other.DocumentVersion >= newest {
		return nil
	}
	if c.filled && other.Revision < c.through && c.documents.Stored() == newest {
		return nil
	}
	return c.documents.Newest()
}

// takeDocument takes what a peer holds beyond the entries that it tells. A version that can't
// be taken is not asked for again.
func (c *Copy) takeDocument(delta Delta, peer string) {
	if delta.Beyond == nil {
		return
	}
	c.documents.Offer(delta.Beyond, peer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if delta.DocumentVersion > c.documents.Version() {
		c.useless = max(c.useless, delta.DocumentVersion)
	}
}
