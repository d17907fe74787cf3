package quarantine

import (
	"context"
	"fmt"
	"strings"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/store"
)

// Entry is a verdict as an operator sees it.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	Record
}

// List returns the verdicts that the store holds, those that were lifted left out.
func List(ctx context.Context, held store.Store, prefix string) ([]Entry, error) {
	snapshot, err := held.List(ctx, prefix)
	if err != nil {
		return nil, fmt.Errorf("list verdicts: %w", err)
	}
	var listed []Entry
	for _, entry := range snapshot.Entries {
		hash, err := fingerprint.Parse(strings.TrimPrefix(entry.Key, prefix))
		if err != nil {
			return nil, fmt.Errorf("verdict %s: %w", entry.Key, err)
		}
		record, err := DecodeRecord(entry.Value)
		if err != nil {
			return nil, fmt.Errorf("verdict %s: %w", entry.Key, err)
		}
		if !record.Lifted {
			listed = append(listed, Entry{Fingerprint: hash, Record: record})
		}
	}
	return listed, nil
}

// Lift writes that a verdict has ended, which all nodes then learn. One that is not there
// is an error that wraps store.ErrNotFound; one that changes meanwhile wraps
// store.ErrConflict.
func Lift(ctx context.Context, held store.Store, prefix string, hash fingerprint.Fingerprint) error {
	key := prefix + hash.String()
	entry, err := held.Get(ctx, key)
	if err != nil {
		return fmt.Errorf("read verdict %s: %w", hash, err)
	}
	record, err := DecodeRecord(entry.Value)
	if err != nil {
		return fmt.Errorf("read verdict %s: %w", hash, err)
	}
	record.Lifted = true
	// It goes with the lease of the verdict.
	if _, err := held.CompareAndSwap(ctx, key, entry.Revision, record.Encode(), entry.Lease); err != nil {
		return fmt.Errorf("lift verdict %s: %w", hash, err)
	}
	return nil
}
