package quarantine

import (
	"context"
	"fmt"
	"strings"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/store"
)

// Entry is a quarantine record with its fingerprint.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	Record
}

// List returns the quarantine records in the store, except lifted ones. Entries of other writers are
// left out, as nodes ignore them.
func List(ctx context.Context, backend store.Store, prefix string) ([]Entry, error) {
	snapshot, err := backend.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list quarantine records: %w", err)
	}
	var listed []Entry
	for _, entry := range snapshot.Entries {
		hash, keyErr := parseKey(strings.TrimPrefix(entry.Key, prefix))
		record, err := DecodeRecord(entry.Value)
		if keyErr == nil && err == nil && !record.Lifted {
			listed = append(listed, Entry{Fingerprint: hash, Record: record})
		}
	}
	return listed, nil
}

// Lift marks a quarantine record as lifted, which ends the quarantine on all nodes. If there
// is no record, the error wraps store.ErrNotFound; if it changes concurrently, the error
// wraps store.ErrConflict.
func Lift(ctx context.Context, backend store.Store, prefix string, hash fingerprint.Fingerprint) error {
	key := prefix + hash.String()
	entry, err := backend.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read quarantine record %s: %w", hash, err)
	}
	record, err := DecodeRecord(entry.Value)
	if err != nil {
		return fmt.Errorf("read quarantine record %s: %w", hash, err)
	}
	record.Lifted = true
	record.Epoch = entry.Revision.Epoch()
	// The record keeps its lease.
	if _, err := backend.CompareAndSwap(ctx, key, entry.Revision, record.Encode(), entry.Lease); err != nil {
		return fmt.Errorf("lift quarantine %s: %w", hash, err)
	}
	return nil
}
