package configuration

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

func TestWriteRetriesAfterLostResponses(t *testing.T) {
	cases := map[string][]swapFault{
		"effect":                    {lostAfterApply},
		"no effect":                 {lostBeforeApply},
		"late effect":               {appliedLate},
		"several faults":            {lostBeforeApply, appliedLate, lostAfterApply},
		"effect, then unavailable":  {lostAfterApply, notSent},
		"late effect, effect twice": {appliedLate, lostAfterApply, lostAfterApply},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			backing := newFaultyStore()
			writer, replica := newTestWriter(backing)
			backing.injectFaults(faults...)
			written := mustWrite(t, writer, "a", 0, resource.Change{ID: "c1"})
			backing.runDelayedSwaps()
			entry, err := backing.Get(t.Context(), serviceID("a").Key())
			assert.NilError(t, err)
			assert.Equal(t, entry.Revision, written.Revision)
			current, _ := replica.Get(serviceID("a"))
			assert.Equal(t, current.Revision, written.Revision)
			assert.Equal(t, len(written.History), 1)
		})
	}
}

// writeUntilDeadline returns the error of a write that ends at its deadline: the
// fault is injected into every attempt and the object cannot be read.
func writeUntilDeadline(t *testing.T, backing *faultyStore, writer *Writer, fault swapFault, expected store.Revision) *UnknownError {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	for range 20 {
		backing.injectFaults(fault)
	}
	backing.setFailGets(true)
	_, err := writer.Write(ctx, service("a", 7), expected, resource.Change{ID: "lost"})
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	backing.setFailGets(false)
	backing.mu.Lock()
	backing.faults = nil
	backing.mu.Unlock()
	return unknown
}

func TestResolveAfterUnknownOutcome(t *testing.T) {
	cases := []struct {
		name  string
		fault swapFault
		// beforeResolve runs after the write and before the change is resolved.
		beforeResolve func(t *testing.T, backing *faultyStore, other *Writer, base store.Revision)
		expected      Resolution
	}{
		{"effect", lostAfterApply, nil, Accepted},
		{"no effect", lostBeforeApply, nil, Undetermined},
		{"late effect pending", appliedLate, nil, Undetermined},
		{"late effect applied", appliedLate, applyDelayed, Accepted},
		{"another change accepted, then late effect conflicts", appliedLate, overwriteThenApplyDelayed, Refused},
		{"effect, then replaced", lostAfterApply, replaceAccepted, Accepted},
		{"history truncated", lostBeforeApply, overwriteUntilTruncated, Undetermined},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			backing := newFaultyStore()
			writer, _ := newTestWriter(backing)
			first := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
			unknown := writeUntilDeadline(t, backing, writer, test.fault, first.Revision)
			other, _ := newTestWriter(backing)
			if test.beforeResolve != nil {
				test.beforeResolve(t, backing, other, first.Revision)
			}
			resolution, revision, err := other.Resolve(t.Context(), serviceID("a"), "lost", unknown.Expected)
			assert.NilError(t, err)
			assert.Equal(t, resolution, test.expected)
			if test.expected == Accepted {
				assert.Equal(t, revision, first.Revision+1)
			}
		})
	}
}

func applyDelayed(_ *testing.T, backing *faultyStore, _ *Writer, _ store.Revision) {
	backing.runDelayedSwaps()
}

func overwriteThenApplyDelayed(t *testing.T, backing *faultyStore, other *Writer, base store.Revision) {
	mustWrite(t, other, "a", base, resource.Change{ID: "other"})
	backing.runDelayedSwaps()
}

func replaceAccepted(t *testing.T, _ *faultyStore, other *Writer, base store.Revision) {
	mustWrite(t, other, "a", base+1, resource.Change{ID: "other"})
}

func overwriteUntilTruncated(t *testing.T, _ *faultyStore, other *Writer, base store.Revision) {
	for i := range resource.HistoryLength + 1 {
		base = mustWrite(t, other, "a", base, resource.Change{ID: fmt.Sprint("other", i)}).Revision
	}
}

func TestResolveCreationWithTruncatedHistory(t *testing.T) {
	writer, _ := newTestWriter(newFaultyStore())
	created := mustWrite(t, writer, "a", 0, resource.Change{ID: "create"})
	resolution, _, err := writer.Resolve(t.Context(), created.ID, "rival", 0)
	assert.NilError(t, err)
	assert.Equal(t, resolution, Refused)
	overwriteUntilTruncated(t, nil, writer, created.Revision)
	resolution, _, err = writer.Resolve(t.Context(), created.ID, "create", 0)
	assert.NilError(t, err)
	assert.Equal(t, resolution, Undetermined)
}

func TestRecreateAfterDeletionWithLostRequest(t *testing.T) {
	backing := newFaultyStore()
	writer, _ := newTestWriter(backing)
	created := mustWrite(t, writer, "a", 0, resource.Change{ID: "create"})
	deleted := mustWrite(t, writer, "a", created.Revision, resource.Change{ID: "delete", Deleted: true})
	backing.injectFaults(lostBeforeApply)
	backing.setFailGets(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := writer.Write(ctx, service("a", 2), 0, resource.Change{ID: "again"})
	assert.ErrorIs(t, err, ErrUnavailable)
	backing.setFailGets(false)

	again := mustWrite(t, writer, "a", 0, resource.Change{ID: "again"})
	assert.Equal(t, again.History[0].Replaces, deleted.Revision)
	resolution, _, err := writer.Resolve(t.Context(), serviceID("a"), "unheard", 0)
	assert.NilError(t, err)
	assert.Equal(t, resolution, Refused)
}

func TestWriteErrors(t *testing.T) {
	backing := newFaultyStore()
	writer, _ := newTestWriter(backing)
	first := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
	second := mustWrite(t, writer, "a", first.Revision, resource.Change{ID: "second"})
	stale, staleReplica := newTestWriter(backing)
	staleReplica.Apply(first)

	var conflict *ConflictError
	for _, expected := range []store.Revision{0, first.Revision, second.Revision + 5} {
		_, err := stale.Write(t.Context(), service("a", 3), expected, resource.Change{ID: "third"})
		assert.Assert(t, errors.As(err, &conflict), "expected %d: %v", expected, err)
		assert.Equal(t, conflict.Current.Revision, second.Revision)
	}
	_, err := writer.Write(t.Context(), service("a", 9), second.Revision, resource.Change{ID: "second"})
	assert.ErrorIs(t, err, ErrChangeIDReused)
	var invalid *InvalidError
	_, err = writer.Write(t.Context(), service("A", 1), 0, resource.Change{ID: "x"})
	assert.Assert(t, errors.As(err, &invalid))
	_, err = writer.Write(t.Context(), service("a", 1), 0, resource.Change{ID: "x", Deleted: true})
	assert.Assert(t, errors.As(err, &invalid))
	_, err = writer.Write(t.Context(), service("a", 1), 0, resource.Change{})
	assert.Assert(t, errors.As(err, &invalid))

	backing.setDown(true)
	_, err = writer.Write(t.Context(), service("a", 3), second.Revision, resource.Change{ID: "third"})
	assert.ErrorIs(t, err, ErrUnavailable)
	_, err = writer.Write(t.Context(), service("a", 3), first.Revision, resource.Change{ID: "third"})
	assert.Assert(t, errors.As(err, &conflict), "a higher revision in the replica is a conflict even without the store: %v", err)
}

func TestRepeatedWriteReturnsAcceptedVersion(t *testing.T) {
	backing := newFaultyStore()
	writer, _ := newTestWriter(backing)
	first := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
	swaps := backing.swaps.Load()
	repeated := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
	assert.DeepEqual(t, repeated, first)
	mustWrite(t, writer, "a", first.Revision, resource.Change{ID: "second"})
	other, _ := newTestWriter(backing)
	repeated = mustWrite(t, other, "a", 0, resource.Change{ID: "first"})
	assert.DeepEqual(t, repeated, first)
	assert.Equal(t, backing.swaps.Load(), swaps+1)
}

func TestRepeatedWriteAfterLostResponseWithStaleReplica(t *testing.T) {
	backing := newFaultyStore()
	writer, _ := newTestWriter(backing)
	first := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
	writeUntilDeadline(t, backing, writer, lostAfterApply, first.Revision)
	backing.setFailGets(true)
	_, err := writer.Write(t.Context(), service("a", 7), first.Revision, resource.Change{ID: "lost"})
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown), "a change accepted before must not be a conflict: %v", err)
	backing.setFailGets(false)
	written, err := writer.Write(t.Context(), service("a", 7), first.Revision, resource.Change{ID: "lost"})
	assert.NilError(t, err)
	assert.Equal(t, written.Revision, first.Revision+1)
}
