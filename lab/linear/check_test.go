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

func during(call, end int) Interval {
	return Interval{Call: time.Duration(call), Return: time.Duration(end)}
}

func put(change string, interval Interval, expected store.Revision) Write {
	return Write{
		Source: Source{Node: "a"}, Interval: interval, Object: object,
		Change: change, Expected: expected, Content: contentOf(change),
	}
}

func remove(change string, interval Interval, expected store.Revision) Write {
	write := put(change, interval, expected)
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

func (r Read) inRun(run int) Read {
	r.Run = run
	return r
}

func shown(change string, revision store.Revision) Version {
	return Version{Revision: revision, Change: change, Content: contentOf(change)}
}

func resolved(change string, interval Interval, outcome admin.Outcome, revision store.Revision) Resolution {
	return Resolution{Source: Source{Node: "b"}, Interval: interval, Change: change, Outcome: outcome, Revision: revision}
}

var goodHistories = map[string]History{
	"empty": {},
	"one after the other, a deletion between": {
		Writes: []Write{
			put("x", during(1, 2), 0).accepted(5),
			put("y", during(3, 4), 5).accepted(6),
			remove("z", during(5, 6), 6).accepted(8),
			put("w", during(7, 8), 0).accepted(9),
		},
		Reads: []Read{read("a", during(9, 10), shown("w", 9)).fresh()},
	},
	"the loser of two is refused": {
		Writes: []Write{put("x", during(1, 9), 0).accepted(5), put("y", during(1, 9), 0).conflict()},
	},
	"unavailable says nothing about the object": {
		Writes: []Write{put("x", during(1, 2), 0).unavailable()},
		Reads:  []Read{read("a", during(3, 4)).fresh()},
	},
	"old reads at another node": {
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).accepted(6)},
		Reads: []Read{
			read("a", during(5, 6), shown("y", 6)),
			read("b", during(7, 8)),
			read("b", during(9, 10), shown("x", 5)),
		},
	},
	"two reads at the same time at a node": {
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).accepted(6)},
		Reads:  []Read{read("b", during(5, 9), shown("y", 6)), read("b", during(6, 8), shown("x", 5))},
	},
	"a node that was restarted starts with less": {
		Writes: []Write{put("x", during(1, 2), 0).accepted(5)},
		Reads:  []Read{read("a", during(3, 4), shown("x", 5)), read("a", during(5, 6)).inRun(1)},
	},
	"answers while a node was restarted, of nobody knows which run": {
		Writes: []Write{put("x", during(1, 2), 0).accepted(5)},
		Reads:  []Read{read("a", during(3, 4), shown("x", 5)).inRun(acrossRuns), read("a", during(5, 6)).inRun(acrossRuns)},
	},
	"absent after a deletion": {
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), remove("y", during(3, 4), 5).accepted(6)},
		Reads: []Read{
			read("b", during(5, 6), shown("x", 5)),
			read("b", during(7, 8)),
			read("b", during(9, 10)),
			read("a", during(9, 10)),
		},
	},
	"unknown never takes effect": {
		Writes: []Write{put("x", during(1, 2), 0).unknown(), put("y", during(3, 4), 0).accepted(5)},
		Reads:  []Read{read("a", during(5, 6), shown("y", 5)).fresh()},
	},
	"unknown takes effect late, after its object is deleted": {
		Writes: []Write{
			put("x", during(1, 2), 0).accepted(5),
			put("late", during(1, 2), 0).unknown(),
			remove("y", during(3, 4), 5).accepted(6),
		},
		Reads: []Read{
			read("a", during(5, 6)).fresh(),
			read("a", during(7, 8), shown("late", 7)).fresh(),
		},
	},
	"unknown is resolved as accepted": {
		Writes:      []Write{put("x", during(1, 2), 0).unknown(), put("y", during(5, 6), 4).accepted(7)},
		Resolutions: []Resolution{resolved("x", during(3, 4), admin.OutcomeAccepted, 4)},
	},
	"an unseen version is in the way": {
		Writes: []Write{put("x", during(1, 2), 0).unknown(), put("y", during(3, 4), 0).conflict()},
	},
}

func TestGoodHistories(t *testing.T) {
	for name, history := range goodHistories {
		t.Run(name, func(t *testing.T) {
			checked := Check(history)
			assert.Assert(t, checked.OK(), "order %s, faults %q", checked.Order, checked.Faults)
		})
	}
}

// badHistories have the fault that is expected, or "order" when no order of
// the writes exists.
var badHistories = map[string]struct {
	fault   string
	history History
}{
	"an accepted write is lost": {"order", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 0).accepted(6)},
	}},
	"an accepted write is lost in the end": {"order", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).accepted(6)},
		Reads:  []Read{read("b", during(5, 6), shown("x", 5)).fresh()},
	}},
	"a refused write is in force": {"was refused, but by a read at b", History{
		Writes: []Write{put("x", during(1, 2), 0).unavailable()},
		Reads:  []Read{read("b", during(3, 4), shown("x", 5))},
	}},
	"a refused write is in the way": {"order", History{
		Writes: []Write{put("x", during(1, 2), 0).unavailable(), put("y", during(3, 4), 0).conflict()},
	}},
	"refused without reason": {"order", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).conflict()},
	}},
	"two accepted with the same expected revision": {"order", History{
		Writes: []Write{
			put("x", during(1, 2), 0).accepted(5),
			put("y", during(3, 8), 5).accepted(6),
			put("z", during(3, 8), 5).accepted(7),
		},
	}},
	"two accepted at the same revision": {"both accepted at revision 5", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(1, 2), 0).accepted(5)},
	}},
	"revisions fall": {"order", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).accepted(4)},
	}},
	"older after newer at a node": {"went back to revision 5", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(1, 9), 5).accepted(6)},
		Reads:  []Read{read("b", during(3, 4), shown("y", 6)), read("b", during(5, 6), shown("x", 5))},
	}},
	"still there after the node has deleted it": {"went back to revision 5", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), remove("y", during(3, 4), 5).accepted(6)},
		Reads:  []Read{read("a", during(5, 6), shown("x", 5))},
	}},
	"older than what the node has accepted": {"went back to revision 5", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).accepted(6)},
		Reads:  []Read{read("a", during(5, 6), shown("x", 5))},
	}},
	"gone without a deletion": {"went back to revision 0", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5)},
		Reads:  []Read{read("b", during(3, 4), shown("x", 5)), read("b", during(5, 6))},
	}},
	"back after a deletion": {"went back to revision 5", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), remove("y", during(3, 4), 5).accepted(6)},
		Reads: []Read{
			read("b", during(3, 4), shown("x", 5)),
			read("b", during(5, 6)),
			read("b", during(7, 8), shown("x", 5)),
		},
	}},
	"unknown is resolved as refused but in force later": {"was refused, but by a read at b", History{
		Writes:      []Write{put("x", during(1, 2), 0).unknown(), put("y", during(1, 2), 0).accepted(5)},
		Reads:       []Read{read("b", during(5, 6), shown("x", 7))},
		Resolutions: []Resolution{resolved("x", during(3, 4), admin.OutcomeRefused, 0)},
	}},
	"unknown is resolved in two ways": {"was refused, but by an answer of b", History{
		Writes: []Write{put("x", during(1, 2), 0).unknown(), put("y", during(1, 2), 0).accepted(5)},
		Resolutions: []Resolution{
			resolved("x", during(3, 4), admin.OutcomeRefused, 0),
			resolved("x", during(5, 6), admin.OutcomeAccepted, 7),
		},
	}},
	"accepted is resolved as refused": {"but b answered that it is refused", History{
		Writes:      []Write{put("x", during(1, 2), 0).accepted(5)},
		Resolutions: []Resolution{resolved("x", during(3, 4), admin.OutcomeRefused, 0)},
	}},
	"resolved as refused without reason": {"order", History{
		Writes:      []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).unknown()},
		Resolutions: []Resolution{resolved("y", during(5, 6), admin.OutcomeRefused, 0)},
	}},
	"resolved as accepted too late": {"order", History{
		Writes: []Write{
			put("x", during(1, 2), 0).unknown(),
			put("y", during(5, 6), 0).accepted(5),
		},
		Resolutions: []Resolution{resolved("x", during(3, 4), admin.OutcomeAccepted, 4)},
	}},
	"accepted at two revisions": {"at revision 5 and, by a read at b, at 6", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5)},
		Reads:  []Read{read("b", during(3, 4), shown("x", 6))},
	}},
	"in force before it was made": {"before it was made", History{
		Writes: []Write{put("x", during(5, 6), 0).accepted(5)},
		Reads:  []Read{read("b", during(1, 2), shown("x", 5))},
	}},
	"nobody made it": {"which nobody made", History{
		Reads: []Read{read("b", during(1, 2), shown("x", 5))},
	}},
	"other contents": {"with other contents", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5)},
		Reads:  []Read{read("b", during(3, 4), Version{Revision: 5, Change: "x", Content: contentOf("y")})},
	}},
	"a history out of order": {"shows revision 6", History{
		Writes: []Write{put("x", during(1, 2), 0).accepted(5), put("y", during(3, 4), 5).accepted(6)},
		Reads:  []Read{read("b", during(5, 6), shown("x", 5), shown("y", 6))},
	}},
}

func TestBadHistories(t *testing.T) {
	for name, bad := range badHistories {
		t.Run(name, func(t *testing.T) {
			checked := Check(bad.history)
			assert.Assert(t, !checked.OK())
			if bad.fault == "order" {
				assert.Equal(t, checked.Order, porcupine.Illegal)
				assert.Equal(t, len(checked.Faults), 0, "%q", checked.Faults)
				return
			}
			assert.Assert(t, strings.Contains(strings.Join(checked.Faults, "\n"), bad.fault), "%q", checked.Faults)
		})
	}
}

func TestVisualizationShowsTheOperations(t *testing.T) {
	file := filepath.Join(t.TempDir(), "history.html")
	assert.NilError(t, Check(badHistories["an accepted write is lost"].history).Visualize(file))
	content, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), "put back expecting 0: accepted 6 (y)"))
}

func TestUnresolved(t *testing.T) {
	history := History{
		Writes: []Write{put("x", during(1, 2), 0).unknown(), put("y", during(1, 2), 0).unknown(), put("z", during(1, 2), 0).conflict()},
		Resolutions: []Resolution{
			resolved("x", during(3, 4), admin.OutcomeUnknown, 0),
			resolved("y", during(3, 4), admin.OutcomeAccepted, 5),
		},
	}
	unresolved := history.Unresolved()
	assert.Equal(t, len(unresolved), 1)
	assert.Equal(t, unresolved[0].Change, "x")
}
