package replay

import (
	"flag"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/virtualtime"
)

var traceFile = flag.String("file", "", "play only the trace in this `file`, relative to lab/replay")

// synctestClock is the clock of a testing/synctest bubble.
type synctestClock struct{}

func (synctestClock) now() time.Time     { return time.Now() }
func (synctestClock) waitIdle()          { synctest.Wait() }
func (synctestClock) drivesTimers() bool { return true }

func (synctestClock) sleep(until time.Time, wake <-chan struct{}) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-wake:
	}
}

// playInSynctest plays a trace in a testing/synctest bubble, where calls can be
// queued.
func playInSynctest(t *testing.T, trace *Trace) (report Report) {
	t.Helper()
	virtualtime.Run(t, func(t *testing.T) {
		var err error
		report, err = play(trace, synctestClock{})
		assert.NilError(t, err)
	})
	return report
}

func reportText(t *testing.T, report Report) string {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, report.WriteText(&text, true))
	return text.String()
}

func traceFiles(t *testing.T) []string {
	t.Helper()
	if *traceFile != "" {
		return []string{*traceFile}
	}
	files, err := filepath.Glob("testdata/*.jsonl")
	assert.NilError(t, err)
	assert.Assert(t, len(files) >= 10, "%d traces", len(files))
	return files
}

func forEachTrace(t *testing.T, test func(t *testing.T, path string, trace *Trace)) {
	t.Helper()
	for _, path := range traceFiles(t) {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".jsonl"), func(t *testing.T) {
			trace, err := ReadFile(path)
			assert.NilError(t, err)
			test(t, path, trace)
		})
	}
}

func TestTraces(t *testing.T) {
	forEachTrace(t, func(t *testing.T, path string, trace *Trace) {
		first := playInSynctest(t, trace)
		text := reportText(t, first)
		t.Log("\n" + text)
		assert.Assert(t, len(first.Comparisons) > 0, "the trace has no expectations")
		assert.Assert(t, first.Passed(), "%d comparisons failed", first.Failures())

		reread, err := ReadFile(path)
		assert.NilError(t, err)
		assert.Equal(t, reportText(t, playInSynctest(t, reread)), text)
	})
}

// maxMutationsPerKind bounds the mutations of one kind in one trace, because a
// recorded trace has hundreds of similar expectations.
const maxMutationsPerKind = 12

// TestMutatedExpectationsFail changes the expectations of each trace one at a time.
// Playing the trace must fail each time. This guards against expectations that are
// read but never compared.
func TestMutatedExpectationsFail(t *testing.T) {
	kinds := map[string]int{}
	forEachTrace(t, func(t *testing.T, path string, trace *Trace) {
		mutated := map[string]int{}
		for i := range trace.Events {
			for _, mutation := range mutationsOf(&trace.Events[i]) {
				if mutated[mutation.kind]++; mutated[mutation.kind] > maxMutationsPerKind {
					continue
				}
				undo := mutation.apply()
				report := playInSynctest(t, trace)
				assert.Assert(t, !report.Passed(), "line %d: a mutated %s was not detected", trace.Events[i].Line, mutation.kind)
				undo()
				kinds[mutation.kind]++
			}
		}
	})
	if *traceFile == "" {
		for _, kind := range expectationKinds() {
			assert.Assert(t, kinds[kind] > 0, "no trace has an expectation of kind %s", kind)
		}
	}
	t.Logf("detected mutations by kind: %v", kinds)
}

func TestPlayMatchesSynctestWithoutQueueing(t *testing.T) {
	played := 0
	forEachTrace(t, func(t *testing.T, _ string, trace *Trace) {
		report, err := Play(trace)
		if err != nil {
			assert.ErrorIs(t, err, ErrCallQueued)
			return
		}
		played++
		assert.Equal(t, reportText(t, report), reportText(t, playInSynctest(t, trace)))
	})
	if *traceFile == "" {
		assert.Assert(t, played >= 8, "%d traces were played", played)
	}
}

func TestReadRejectsInvalidTraces(t *testing.T) {
	header := `{"trace":"x","services":{"s":{}}}` + "\n"
	tests := []struct{ name, content, want string }{
		{"nothing", "# just a comment\n", "header"},
		{"an unknown member", header + `{"at_ms":1,"calls":{}}`, "line 2"},
		{"two members of an event", header + `{"at_ms":1,"restart":{},"rejoin":{}}`, "exactly one member"},
		{"an empty event", header + `{"at_ms":1}`, "exactly one member"},
		{"an empty check", header + `{"at_ms":1,"check":{}}`, "a check must have exactly one member"},
		{"decreasing time", header + `{"at_ms":2,"restart":{}}` + "\n" + `{"at_ms":1,"restart":{}}`, "earlier"},
		{"an unknown outcome", header + `{"at_ms":1,"call":{"id":"a","service":"s","does":[{"outcome":"maybe"}]}}`, "unknown outcome"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read(strings.NewReader(test.content))
			assert.ErrorContains(t, err, test.want)
		})
	}
}

func TestChecksOfUnknownNamesFail(t *testing.T) {
	checks := []string{
		`{"limit":{"target":"no","min":0}}`, `{"threshold":{"target":"no","min":0}}`, `{"overloaded":{"target":"no","is":false}}`,
		`{"revision":{"kind":"policy","name":"no","equals":0}}`, `{"spent":{"call":"no","max":0}}`, `{"order":{"calls":["no","nor"]}}`,
		`{"count":{"calls":["no"],"max":0}}`, `{"claim":{"attempt":"no","outcome":"pending"}}`, `{"claimed":{"key":"no","equals":0}}`,
		`{"threshold":{"service":"s"}}`,
	}
	for _, check := range checks {
		trace, err := Read(strings.NewReader(`{"trace":"x"}` + "\n" + `{"at_ms":1,"check":` + check + `}`))
		assert.NilError(t, err)
		report, err := Play(trace)
		assert.NilError(t, err)
		assert.Equal(t, report.Failures(), 1, "%s", check)
	}
}
