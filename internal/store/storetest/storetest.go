package storetest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// caseTimeout bounds the duration of each test case.
	caseTimeout = 20 * time.Second
	// pollInterval is the pause between checks of a condition.
	pollInterval = 20 * time.Millisecond
)

// Run checks that a store conforms to the interface. Each call of open returns an
// empty store; open registers the cleanup with t.Cleanup. Watches of the store
// must report progress within seconds.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	cases := []struct {
		name  string
		check func(ctx context.Context, t *testing.T, s store.Store)
	}{
		{"get of a missing key", getMissing},
		{"create and get", createAndGet},
		{"create of an existing key conflicts", createExisting},
		{"swap at an old revision conflicts", swapAtOldRevision},
		{"swap of a missing key conflicts", swapMissing},
		{"values are copied", valuesAreCopied},
		{"binary and empty values", binaryValues},
		{"revisions increase across keys", revisionsIncrease},
		{"delete", deleteKey},
		{"delete conflicts", deleteConflicts},
		{"recreate after delete", createAfterDelete},
		{"list by prefix", listByPrefix},
		{"list of many entries", listMany},
		{"one of many racing writers wins", racingWriters},
		{"watch order", watchOrder},
		{"watch resumes after the last progress", watchResumption},
		{"watch by prefix", watchPrefix},
		{"watch progress", watchProgress},
		{"watch ends with its context", watchEndsWithContext},
		{"lease expiry removes keys", leaseExpiry},
		{"renewed lease does not expire", leaseRenewal},
		{"revoked lease removes keys", leaseRevocation},
		{"unknown lease", unknownLease},
		{"overwriting detaches the lease", overwriteDetachesLease},
		{"canceled context", canceledContext},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			c.check(ctx, t, open(t))
		})
	}
}

// RunCompaction checks that a watch from a compacted revision returns
// ErrCompacted. The function compact makes the store discard its history up to
// its newest revision.
func RunCompaction(t *testing.T, s store.Store, compact func()) {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	first := create(ctx, t, s, "compact/a", "1")
	second := swap(ctx, t, s, "compact/a", first, "2")
	third := swap(ctx, t, s, "compact/a", second, "3")
	compact()
	err := s.Watch(ctx, "compact/", first, func([]store.Entry, store.Revision) {})
	assert.ErrorIs(t, err, store.ErrCompacted)

	snapshot, err := s.List(ctx, "compact/")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), 1)
	assert.Equal(t, snapshot.Entries[0].Revision, third)
	watch := startWatch(ctx, s, "compact/", snapshot.Revision)
	fourth := swap(ctx, t, s, "compact/a", third, "4")
	assert.DeepEqual(t, watch.receive(t, 1), []store.Entry{{Key: "compact/a", Value: []byte("4"), Revision: fourth}})
}

func create(ctx context.Context, t *testing.T, s store.Store, key, value string) store.Revision {
	t.Helper()
	return swap(ctx, t, s, key, 0, value)
}

func swap(ctx context.Context, t *testing.T, s store.Store, key string, expected store.Revision, value string) store.Revision {
	t.Helper()
	revision, err := s.CompareAndSwap(ctx, key, expected, []byte(value), store.NoLease)
	assert.NilError(t, err)
	return revision
}

func key(i int) string {
	return fmt.Sprintf("many/%04d", i)
}
