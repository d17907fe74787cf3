package replica

// Document is a versioned document that an external writer stores, such as the operator's
// configuration. A node never returns to an older version, even if the store does: a store that
// was restored from a backup may hold an older version than the nodes. Until the writer has
// written the newest version again, nodes send it to each other in addition to the entries of
// the store.
//
// Its methods are called under the copy's lock and must not call the copy.
type Document interface {
	// Version returns the newest version that the node holds, zero if there is none.
	Version() uint64
	// StoredVersion returns the version in the node's copy of the store, zero if there is none.
	StoredVersion() uint64
	// Encoded returns the newest version in its encoded form.
	Encoded() []byte
	// Offer passes the newest version of a peer to the document, which may reject it.
	Offer(document []byte, peer string)
}

// noDocument is the Document of copies without one.
type noDocument struct{}

// Version implements Document.
func (noDocument) Version() uint64 { return 0 }

// StoredVersion implements Document.
func (noDocument) StoredVersion() uint64 { return 0 }

// Encoded implements Document.
func (noDocument) Encoded() []byte { return nil }

// Offer implements Document.
func (noDocument) Offer([]byte, string) {}

// SetDocument sets the document that the copy exchanges with peers. It must be called before
// the copy is used.
func (c *Copy) SetDocument(document Document) { c.document = document }

// needsDocument reports whether a peer's version is newer and was not rejected before.
func (c *Copy) needsDocument(version uint64) bool {
	return version > c.document.Version() && version > c.rejectedVersion
}

// documentFor returns the newest version if the other copy lacks it and does not receive it
// with the entries that it lacks.
func (c *Copy) documentFor(other Digest) []byte {
	version := c.document.Version()
	if other.DocumentVersion >= version {
		return nil
	}
	if c.initialized && other.Revision < c.revision && c.document.StoredVersion() == version {
		return nil
	}
	return c.document.Encoded()
}

// applyDocument offers the document that a peer sent beside its entries. A version that is
// rejected is not requested again.
func (c *Copy) applyDocument(delta Delta, peer string) {
	if delta.Document == nil {
		return
	}
	c.document.Offer(delta.Document, peer)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if delta.DocumentVersion > c.document.Version() {
		c.rejectedVersion = max(c.rejectedVersion, delta.DocumentVersion)
	}
}
