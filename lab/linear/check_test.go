package linear

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/store"
)

const object = "back"

func interval(call, ret int) Interval {
	return Interval{Call: time.Duration(call), Return: time.Duration(ret)}
}

func put(changeID string, interval Interval, expected store.Revision) Write {
	return Write{
		Source: Source{Node: "a"}, Interval: interval, Object: object,
		ChangeID: changeID, ExpectedRevision: expected, Content: admitExpression(changeID),
	}
}

func remove(changeID string, interval Interval, expected store.Revision) Write {
	write := put(changeID, interval, expected)
	write.Deletes, write.Content = true, ""
	return write
}

func (w Write) accepted(revision store.Revision) Write {
	w.Outcome, w.Revision = admin.OutcomeAccepted, revision
	return w
}

func (w Write) conflict() Write {
	w.Outcome, w.Conflict = admin.OutcomeRefused, true
	return w
}

func (w Write) unavailable() Write {
	w.Outcome = admin.OutcomeRefused
	return w
}

func (w Write) unknown() Write {
	w.Outcome = admin.OutcomeUnknown
	return w
}

func read(node string, interval Interval, versions ...Version) Read {
	return Read{Source: Source{Node: node}, Interval: interval, Object: object, Versions: versions}
}

func (r Read) fresh() Read {
	r.Fresh = true
	return r
}

func (r Read) withRun(run int) Read {
	r.Run = run
	return r
}

func versionAt(changeID string, revision store.Revision) Version {
	return Version{Revision: revision, ChangeID: changeID, Content: admitExpression(changeID)}
}

func resolution(changeID string, interval Interval, outcome admin.Outcome, revision store.Revision) Resolution {
	return Resolution{Source: Source{Node: "b"}, Interval: interval, ChangeID: changeID, Outcome: outcome, Revision: revision}
}

var validHistories = map[string]History{
	"empty": {},
	"sequential writes with a deletion": {
		Writes: []Write{
			put("x", interval(1, 2), 0).accepted(5),
			put("y", interval(3, 4), 5).accepted(6),
			remove("z", interval(5, 6), 6).accepted(8),
			put("w", interval(7, 8), 0).accepted(9),
		},
		Reads: []Read{read("a", interval(9, 10), versionAt("w", 9)).fresh()},
	},
	"one of two concurrent creations is refused": {
		Writes: []Write{put("x", interval(1, 9), 0).accepted(5), put("y", interval(1, 9), 0).conflict()},
	},
	"an unavailable store implies nothing about the object": {
		Writes: []Write{put("x", interval(1, 2), 0).unavailable()},
		Reads:  []Read{read("a", interval(3, 4)).fresh()},
	},
	"stale reads at another node": {
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).accepted(6)},
		Reads: []Read{
			read("a", interval(5, 6), versionAt("y", 6)),
			read("b", interval(7, 8)),
			read("b", interval(9, 10), versionAt("x", 5)),
		},
	},
	"concurrent reads at a node return different versions": {
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).accepted(6)},
		Reads:  []Read{read("b", interval(5, 9), versionAt("y", 6)), read("b", interval(6, 8), versionAt("x", 5))},
	},
	"a restarted node returns an older version": {
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5)},
		Reads:  []Read{read("a", interval(3, 4), versionAt("x", 5)), read("a", interval(5, 6)).withRun(1)},
	},
	"reads during a restart have an unknown run": {
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5)},
		Reads:  []Read{read("a", interval(3, 4), versionAt("x", 5)).withRun(unknownRun), read("a", interval(5, 6)).withRun(unknownRun)},
	},
	"absent after a deletion": {
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), remove("y", interval(3, 4), 5).accepted(6)},
		Reads: []Read{
			read("b", interval(5, 6), versionAt("x", 5)),
			read("b", interval(7, 8)),
			read("b", interval(9, 10)),
			read("a", interval(9, 10)),
		},
	},
	"an unknown write never takes effect": {
		Writes: []Write{put("x", interval(1, 2), 0).unknown(), put("y", interval(3, 4), 0).accepted(5)},
		Reads:  []Read{read("a", interval(5, 6), versionAt("y", 5)).fresh()},
	},
	"an unknown write takes effect after the deletion of its object": {
		Writes: []Write{
			put("x", interval(1, 2), 0).accepted(5),
			put("late", interval(1, 2), 0).unknown(),
			remove("y", interval(3, 4), 5).accepted(6),
		},
		Reads: []Read{
			read("a", interval(5, 6)).fresh(),
			read("a", interval(7, 8), versionAt("late", 7)).fresh(),
		},
	},
	"an unknown write is resolved as accepted": {
		Writes:      []Write{put("x", interval(1, 2), 0).unknown(), put("y", interval(5, 6), 4).accepted(7)},
		Resolutions: []Resolution{resolution("x", interval(3, 4), admin.OutcomeAccepted, 4)},
	},
	"a conflict with an unseen version": {
		Writes: []Write{put("x", interval(1, 2), 0).unknown(), put("y", interval(3, 4), 0).conflict()},
	},
}

func TestValidHistoriesPass(t *testing.T) {
	for name, history := range validHistories {
		t.Run(name, func(t *testing.T) {
			checked := Check(history)
			assert.Assert(t, checked.OK(), "order %s, faults %q", checked.Linearizability, checked.Violations)
		})
	}
}

// invalidHistories map names to histories with the expected violation, which is
// "order" if the writes have no linearization.
var invalidHistories = map[string]struct {
	violation string
	history   History
}{
	"an accepted write is lost": {"order", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 0).accepted(6)},
	}},
	"the last accepted write is lost": {"order", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).accepted(6)},
		Reads:  []Read{read("b", interval(5, 6), versionAt("x", 5)).fresh()},
	}},
	"a refused write takes effect": {"was refused, but a read at b shows it applied", History{
		Writes: []Write{put("x", interval(1, 2), 0).unavailable()},
		Reads:  []Read{read("b", interval(3, 4), versionAt("x", 5))},
	}},
	"a refused write causes a conflict": {"order", History{
		Writes: []Write{put("x", interval(1, 2), 0).unavailable(), put("y", interval(3, 4), 0).conflict()},
	}},
	"a conflict at the expected revision": {"order", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).conflict()},
	}},
	"two writes with the same expected revision are accepted": {"order", History{
		Writes: []Write{
			put("x", interval(1, 2), 0).accepted(5),
			put("y", interval(3, 8), 5).accepted(6),
			put("z", interval(3, 8), 5).accepted(7),
		},
	}},
	"two writes are accepted at the same revision": {"both accepted at revision 5", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(1, 2), 0).accepted(5)},
	}},
	"revisions decrease": {"order", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).accepted(4)},
	}},
	"an older version after a newer one at a node": {"went back to revision 5", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(1, 9), 5).accepted(6)},
		Reads:  []Read{read("b", interval(3, 4), versionAt("y", 6)), read("b", interval(5, 6), versionAt("x", 5))},
	}},
	"a node returns an object that it has deleted": {"went back to revision 5", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), remove("y", interval(3, 4), 5).accepted(6)},
		Reads:  []Read{read("a", interval(5, 6), versionAt("x", 5))},
	}},
	"a node returns an older version than it has accepted": {"went back to revision 5", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).accepted(6)},
		Reads:  []Read{read("a", interval(5, 6), versionAt("x", 5))},
	}},
	"an object disappears without a deletion": {"went back to revision 0", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5)},
		Reads:  []Read{read("b", interval(3, 4), versionAt("x", 5)), read("b", interval(5, 6))},
	}},
	"an object reappears after a deletion": {"went back to revision 5", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), remove("y", interval(3, 4), 5).accepted(6)},
		Reads: []Read{
			read("b", interval(3, 4), versionAt("x", 5)),
			read("b", interval(5, 6)),
			read("b", interval(7, 8), versionAt("x", 5)),
		},
	}},
	"an unknown write is resolved as refused but takes effect": {"was refused, but a read at b shows it applied", History{
		Writes:      []Write{put("x", interval(1, 2), 0).unknown(), put("y", interval(1, 2), 0).accepted(5)},
		Reads:       []Read{read("b", interval(5, 6), versionAt("x", 7))},
		Resolutions: []Resolution{resolution("x", interval(3, 4), admin.OutcomeRefused, 0)},
	}},
	"an unknown write is resolved as refused and as accepted": {"was refused, but a response from b shows it applied", History{
		Writes: []Write{put("x", interval(1, 2), 0).unknown(), put("y", interval(1, 2), 0).accepted(5)},
		Resolutions: []Resolution{
			resolution("x", interval(3, 4), admin.OutcomeRefused, 0),
			resolution("x", interval(5, 6), admin.OutcomeAccepted, 7),
		},
	}},
	"an accepted write is resolved as refused": {"but b reported it as refused", History{
		Writes:      []Write{put("x", interval(1, 2), 0).accepted(5)},
		Resolutions: []Resolution{resolution("x", interval(3, 4), admin.OutcomeRefused, 0)},
	}},
	"an unknown write is resolved as refused without a conflict": {"order", History{
		Writes:      []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).unknown()},
		Resolutions: []Resolution{resolution("y", interval(5, 6), admin.OutcomeRefused, 0)},
	}},
	"an unknown write is resolved as accepted before a conflicting write": {"order", History{
		Writes: []Write{
			put("x", interval(1, 2), 0).unknown(),
			put("y", interval(5, 6), 0).accepted(5),
		},
		Resolutions: []Resolution{resolution("x", interval(3, 4), admin.OutcomeAccepted, 4)},
	}},
	"a write is accepted at two revisions": {"at revision 5, but a read at b shows it applied at revision 6", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5)},
		Reads:  []Read{read("b", interval(3, 4), versionAt("x", 6))},
	}},
	"a read returns a change before it was requested": {"before it was requested", History{
		Writes: []Write{put("x", interval(5, 6), 0).accepted(5)},
		Reads:  []Read{read("b", interval(1, 2), versionAt("x", 5))},
	}},
	"a read returns a change that was never requested": {"which no client requested", History{
		Reads: []Read{read("b", interval(1, 2), versionAt("x", 5))},
	}},
	"a read returns different content": {"with different content", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5)},
		Reads:  []Read{read("b", interval(3, 4), Version{Revision: 5, ChangeID: "x", Content: admitExpression("y")})},
	}},
	"a change history is not newest first": {"listed revision 6", History{
		Writes: []Write{put("x", interval(1, 2), 0).accepted(5), put("y", interval(3, 4), 5).accepted(6)},
		Reads:  []Read{read("b", interval(5, 6), versionAt("x", 5), versionAt("y", 6))},
	}},
}

func TestInvalidHistoriesFail(t *testing.T) {
	for name, invalid := range invalidHistories {
		t.Run(name, func(t *testing.T) {
			checked := Check(invalid.history)
			assert.Assert(t, !checked.OK())
			if invalid.violation == "order" {
				assert.Equal(t, checked.Linearizability, porcupine.Illegal)
				assert.Equal(t, len(checked.Violations), 0, "%q", checked.Violations)
				return
			}
			assert.Assert(t, strings.Contains(strings.Join(checked.Violations, "\n"), invalid.violation), "%q", checked.Violations)
		})
	}
}

func TestVisualizationDescribesOperations(t *testing.T) {
	file := filepath.Join(t.TempDir(), "history.html")
	assert.NilError(t, Check(invalidHistories["an accepted write is lost"].history).Visualize(file))
	content, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), "put back expecting 0: accepted 6 (y)"))
}

func TestUnresolvedWrites(t *testing.T) {
	history := History{
		Writes: []Write{put("x", interval(1, 2), 0).unknown(), put("y", interval(1, 2), 0).unknown(), put("z", interval(1, 2), 0).conflict()},
		Resolutions: []Resolution{
			resolution("x", interval(3, 4), admin.OutcomeUnknown, 0),
			resolution("y", interval(3, 4), admin.OutcomeAccepted, 5),
		},
	}
	unresolved := history.Unresolved()
	assert.Equal(t, len(unresolved), 1)
	assert.Equal(t, unresolved[0].ChangeID, "x")
}
