package mvcc

import (
	"maps"

	"github.com/lugspur/lugspur/internal/store"
)

// Backup is a copy of what a store held at one moment. It is never changed.
type Backup struct {
	revision   store.Revision
	keys       map[string]*KeyValue
	totalBytes int
	leases     map[LeaseID]*lease
	lastLease  LeaseID
}

// Backup copies what the store holds now, leases with the ends that they have now.
func (s *Store) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	return &Backup{revision: s.revision, keys: maps.Clone(s.keys), totalBytes: s.totalBytes, leases: cloneLeases(s.leases), lastLease: s.lastLease}
}

// Restore goes back to a backup and forgets all history. Revisions and leases are given out
// again from there; leases of the backup whose time is over end.
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
	for id, held := range leases {
		cloned[id] = &lease{duration: held.duration, expires: held.expires, keys: maps.Clone(held.keys)}
	}
	return cloned
}
