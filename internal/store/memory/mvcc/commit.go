package mvcc

import (
	"bytes"
	"slices"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
)

// Field is the field of a key that a comparison reads.
type Field int

// Fields of a key. All are zero for a key that does not exist.
const (
	FieldModRevision Field = iota
	FieldCreateRevision
	FieldVersion
)

// Comparison holds when the field of the key equals the value.
type Comparison struct {
	Key   string
	Field Field
	Value int64
}

// Operation is a put, or a removal of all keys in a span.
type Operation struct {
	// Delete makes the operation a removal of Span; all other fields are then unused.
	Delete bool
	Span   keyspan.Span
	Key    string
	Value  []byte
	Lease  LeaseID
}

// Transaction runs Success when all comparisons hold and Failure otherwise.
type Transaction struct {
	Compare []Comparison
	Success []Operation
	Failure []Operation
}

// Result is the result of a transaction.
type Result struct {
	Succeeded bool
	// Revision is the store's revision after the transaction.
	Revision store.Revision
	// Changed reports whether the transaction wrote or removed a key.
	Changed bool
	// Operations are the executed operations; Deleted has the number of keys
	// that each of them removed.
	Operations []Operation
	Deleted    []int
}

// Commit runs a transaction atomically.
// It returns store.ErrLeaseLost for a put with an unknown lease.
func (s *Store) Commit(transaction Transaction) (Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases()
	succeeded := s.allHold(transaction.Compare)
	operations := transaction.Failure
	if succeeded {
		operations = transaction.Success
	}
	if err := s.validate(operations); err != nil {
		return Result{}, err
	}
	result := Result{Succeeded: succeeded, Operations: operations}
	before := len(s.history)
	for _, operation := range operations {
		result.Deleted = append(result.Deleted, s.apply(operation))
	}
	result.Changed = len(s.history) > before
	if result.Changed {
		s.publish()
	}
	result.Revision = s.revision
	return result, nil
}

func (s *Store) allHold(comparisons []Comparison) bool {
	for _, comparison := range comparisons {
		if s.fieldValue(comparison) != comparison.Value {
			return false
		}
	}
	return true
}

func (s *Store) fieldValue(comparison Comparison) int64 {
	current, found := s.keys[comparison.Key]
	if !found {
		return 0
	}
	switch comparison.Field {
	case FieldCreateRevision:
		return int64(current.CreateRevision)
	case FieldVersion:
		return current.Version
	default:
		return int64(current.ModRevision)
	}
}

func (s *Store) validate(operations []Operation) error {
	added := 0
	for _, operation := range operations {
		if operation.Delete {
			continue
		}
		if len(operation.Value) > s.config.MaxValueBytes {
			return ErrValueTooLarge
		}
		if _, found := s.leases[operation.Lease]; operation.Lease != 0 && !found {
			return store.ErrLeaseLost
		}
		added += len(operation.Key) + len(operation.Value) - s.keys[operation.Key].size()
	}
	if added > 0 && s.totalBytes+added > s.config.MaxTotalBytes {
		return ErrNoSpace
	}
	return nil
}

// apply executes one operation at the next revision and returns the number of
// keys removed.
func (s *Store) apply(operation Operation) int {
	if !operation.Delete {
		s.put(operation)
		return 0
	}
	return s.removeKeys(s.keysIn(operation.Span))
}

func (s *Store) put(operation Operation) {
	previous := s.keys[operation.Key]
	written := &KeyValue{
		Key:            operation.Key,
		Value:          bytes.Clone(operation.Value),
		CreateRevision: s.revision + 1,
		ModRevision:    s.revision + 1,
		Version:        1,
		Lease:          operation.Lease,
	}
	if previous != nil {
		written.CreateRevision = previous.CreateRevision
		written.Version = previous.Version + 1
	}
	s.detachLease(previous)
	s.attachLease(written)
	s.keys[written.Key] = written
	s.totalBytes += written.size() - previous.size()
	s.appendEvent(Event{KeyValue: *written, previous: previous})
}

func (s *Store) keysIn(span keyspan.Span) []string {
	var keys []string
	for key := range s.keys {
		if span.Contains(key) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *Store) removeKeys(keys []string) int {
	for _, key := range keys {
		previous := s.keys[key]
		s.detachLease(previous)
		delete(s.keys, key)
		s.totalBytes -= previous.size()
		removed := KeyValue{Key: key, ModRevision: s.revision + 1}
		s.appendEvent(Event{Deleted: true, KeyValue: removed, previous: previous})
	}
	return len(keys)
}
