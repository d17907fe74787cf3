package mvcc

import (
	"maps"

	"github.com/lugspur/lugspur/internal/store"
)

// Backup is an immutable copy of the content of a store at one moment.
type Backup struct {
	revision   store.Revision
	keys       map[string]*KeyValue
	totalBytes int
	leases     map[LeaseID]*lease
	lastLease  LeaseID
}

// Backup copies the current content of the store; leases keep their expiry times.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return &Backup{revision: s.revision, keys: maps.Clone(s.keys), totalBytes: s.totalBytes, leases: cloneLeases(s.leases), lastLease: s.lastLease}
}

// Restore replaces the content with a backup and discards all history. Revisions and lease
// IDs assigned since the backup are assigned again. Leases of the backup that have expired
// meanwhile end at the next method call.
func (s *Store) Restore(backup *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.keys, s.totalBytes = backup.revision, maps.Clone(backup.keys), backup.totalBytes
	s.leases, s.lastLease = cloneLeases(backup.leases), backup.lastLease
	s.history, s.historyBytes, s.compacted = nil, 0, backup.revision
	s.nextExpiry = s.config.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

func cloneLeases(leases map[LeaseID]*lease) map[LeaseID]*lease {
	cloned := make(map[LeaseID]*lease, len(leases))
	for id, l := range leases {
		cloned[id] = &lease{duration: l.duration, expires: l.expires, keys: maps.Clone(l.keys)}
	}
	return cloned
}
