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
	// caseTimeout bounds each case.
	caseTimeout = 20 * time.Second
	// pollInterval is the pause between looks at something awaited.
	pollInterval = 20 * time.Millisecond
)

// Run checks a store against the promises of the interface. Open returns an
// empty store each time; it registers what must be closed with t.Cleanup.
// Watches of the store must report progress within seconds.
func Run(t *testing.T, open func(t *testing.T) store.Store) {
	cases := []struct {
		name  string
		check func(ctx context.Context, t *testing.T, tested store.Store)
	}{
		{"get of a missing key", getMissing},
		{"create and get", createAndGet},
		{"create of an existing key conflicts", createExisting},
		{"swap at an old revision conflicts", swapOld},
		{"swap of a missing key conflicts", swapMissing},
		{"values are copied", valuesAreCopied},
		{"binary and empty values", binaryValues},
		{"revisions grow across keys", revisionsGrow},
		{"delete", deleteKey},
		{"delete conflicts", deleteConflicts},
		{"recreate after delete", recreate},
		{"list by prefix", listByPrefix},
		{"list of many entries", listMany},
		{"one of many racing writers wins", racingWriters},
		{"watch order", watchOrder},
		{"watch resumes", watchResumes},
		{"watch by prefix", watchPrefix},
		{"watch progress", watchProgress},
		{"watch ends with its context", watchEnds},
		{"lease expiry removes keys", leaseExpiry},
		{"renewed lease lives", leaseRenewed},
		{"revoked lease removes keys", leaseRevoked},
		{"lost lease", leaseLost},
		{"overwriting detaches the lease", leaseDetached},
		{"ended context", endedContext},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
			defer cancel()
			c.check(ctx, t, open(t))
		})
	}
}

// RunCompaction checks that a watch from a forgotten revision returns
// ErrCompacted. Forget makes the store forget its history up to its newest
// revision.
func RunCompaction(t *testing.T, tested store.Store, forget func()) {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	first := create(ctx, t, tested, "compact/a", "1")
	second := swap(ctx, t, tested, "compact/a", first, "2")
	third := swap(ctx, t, tested, "compact/a", second, "3")
	forget()
	err := tested.Watch(ctx, "compact/", first, func([]store.Entry, store.Revision) {})
	assert.ErrorIs(t, err, store.ErrCompacted)

	snapshot, err := tested.List(ctx, "compact/")
	assert.NilError(t, err)
	assert.Equal(t, len(snapshot.Entries), 1)
	assert.Equal(t, snapshot.Entries[0].Revision, third)
	watch := startWatch(ctx, tested, "compact/", snapshot.Revision)
	fourth := swap(ctx, t, tested, "compact/a", third, "4")
	assert.DeepEqual(t, watch.take(t, 1), []store.Entry{{Key: "compact/a", Value: []byte("4"), Revision: fourth}})
}

func create(ctx context.Context, t *testing.T, tested store.Store, key, value string) store.Revision {
	t.Helper()
	return swap(ctx, t, tested, key, 0, value)
}

func swap(ctx context.Context, t *testing.T, tested store.Store, key string, expected store.Revision, value string) store.Revision {
	t.Helper()
	revision, err := tested.CompareAndSwap(ctx, key, expected, []byte(value), store.NoLease)
	assert.NilError(t, err)
	return revision
}

func key(i int) string {
	return fmt.Sprintf("many/%04d", i)
}
