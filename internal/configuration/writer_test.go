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

func TestWriteUnderLostAnswers(t *testing.T) {
	cases := map[string][]lostAnswer{
		"effect":                    {lostWithEffect},
		"no effect":                 {lostWithoutEffect},
		"late effect":               {lostWithLateEffect},
		"several of them":           {lostWithoutEffect, lostWithLateEffect, lostWithEffect},
		"effect, then an outage":    {lostWithEffect, refusedUnavailable},
		"late effect, effect twice": {lostWithLateEffect, lostWithEffect, lostWithEffect},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			backing := newFaultyStore()
			writer, replica := newTestWriter(backing)
			backing.lose(faults...)
			written := mustWrite(t, writer, "a", 0, resource.Change{ID: "c1"})
			backing.runLate()
			entry, err := backing.Get(t.Context(), serviceID("a").Key())
			assert.NilError(t, err)
			assert.Equal(t, entry.Revision, written.Revision)
			held, _ := replica.Get(serviceID("a"))
			assert.Equal(t, held.Revision, written.Revision)
			assert.Equal(t, len(written.History), 1)
		})
	}
}

// lostUntilDeadline returns the error of a write of which every answer is lost
// and whose object cannot be read.
func lostUntilDeadline(t *testing.T, backing *faultyStore, writer *Writer, fault lostAnswer, expected store.Revision) *UnknownError {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	for range 20 {
		backing.lose(fault)
	}
	backing.setLoseGets(true)
	_, err := writer.Write(ctx, service("a", 7), expected, resource.Change{ID: "lost"})
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	backing.setLoseGets(false)
	backing.mu.Lock()
	backing.faults = nil
	backing.mu.Unlock()
	return unknown
}

func TestResolveAfterUnknown(t *testing.T) {
	cases := []struct {
		name  string
		fault lostAnswer
		// between is what happens before the change is resolved.
		between func(t *testing.T, backing *faultyStore, other *Writer, base store.Revision)
		want    Resolution
	}{
		{"effect", lostWithEffect, nil, Accepted},
		{"no effect stays open", lostWithoutEffect, nil, Undetermined},
		{"late effect pending", lostWithLateEffect, nil, Undetermined},
		{"late effect came", lostWithLateEffect, runLate, Accepted},
		{"another won, then late effect fails", lostWithLateEffect, overtakeThenLate, Refused},
		{"effect, then replaced", lostWithEffect, replaceAccepted, Accepted},
		{"history too short", lostWithoutEffect, overtakeOften, Undetermined},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			backing := newFaultyStore()
			writer, _ := newTestWriter(backing)
			first := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
			unknown := lostUntilDeadline(t, backing, writer, test.fault, first.Revision)
			other, _ := newTestWriter(backing)
			if test.between != nil {
				test.between(t, backing, other, first.Revision)
			}
			resolution, revision, err := other.Resolve(t.Context(), serviceID("a"), "lost", unknown.Expected)
			assert.NilError(t, err)
			assert.Equal(t, resolution, test.want)
			if test.want == Accepted {
				assert.Equal(t, revision, first.Revision+1)
			}
		})
	}
}

func runLate(_ *testing.T, backing *faultyStore, _ *Writer, _ store.Revision) { backing.runLate() }

func overtakeThenLate(t *testing.T, backing *faultyStore, other *Writer, base store.Revision) {
	mustWrite(t, other, "a", base, resource.Change{ID: "other"})
	backing.runLate()
}

func replaceAccepted(t *testing.T, _ *faultyStore, other *Writer, base store.Revision) {
	mustWrite(t, other, "a", base+1, resource.Change{ID: "other"})
}

func overtakeOften(t *testing.T, _ *faultyStore, other *Writer, base store.Revision) {
	for number := range resource.HistoryLength + 1 {
		base = mustWrite(t, other, "a", base, resource.Change{ID: fmt.Sprint("other", number)}).Revision
	}
}

func TestCreationIsNotJudgedByCutHistory(t *testing.T) {
	writer, _ := newTestWriter(newFaultyStore())
	created := mustWrite(t, writer, "a", 0, resource.Change{ID: "create"})
	resolution, _, err := writer.Resolve(t.Context(), created.ID, "rival", 0)
	assert.NilError(t, err)
	assert.Equal(t, resolution, Refused)
	overtakeOften(t, nil, writer, created.Revision)
	resolution, _, err = writer.Resolve(t.Context(), created.ID, "create", 0)
	assert.NilError(t, err)
	assert.Equal(t, resolution, Undetermined)
}

func TestLostCreationAfterDeletion(t *testing.T) {
	backing := newFaultyStore()
	writer, _ := newTestWriter(backing)
	created := mustWrite(t, writer, "a", 0, resource.Change{ID: "create"})
	deleted := mustWrite(t, writer, "a", created.Revision, resource.Change{ID: "delete", Deleted: true})
	backing.lose(lostWithoutEffect)
	backing.setLoseGets(true)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := writer.Write(ctx, service("a", 2), 0, resource.Change{ID: "again"})
	assert.ErrorIs(t, err, ErrUnavailable)
	backing.setLoseGets(false)

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
	assert.Assert(t, errors.As(err, &conflict), "a known higher revision is a conflict without the store: %v", err)
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

func TestRepeatAfterLostAnswerWithStaleReplica(t *testing.T) {
	backing := newFaultyStore()
	writer, _ := newTestWriter(backing)
	first := mustWrite(t, writer, "a", 0, resource.Change{ID: "first"})
	lostUntilDeadline(t, backing, writer, lostWithEffect, first.Revision)
	backing.setLoseGets(true)
	_, err := writer.Write(t.Context(), service("a", 7), first.Revision, resource.Change{ID: "lost"})
	var unknown *UnknownError
	assert.Assert(t, errors.As(err, &unknown), "accepted before, so never a conflict: %v", err)
	backing.setLoseGets(false)
	written, err := writer.Write(t.Context(), service("a", 7), first.Revision, resource.Change{ID: "lost"})
	assert.NilError(t, err)
	assert.Equal(t, written.Revision, first.Revision+1)
}
