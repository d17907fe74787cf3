package explain

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const logs = `
  1.2 node-b {"msg":"call-failed","node":"node-b","request":"a","reason":"broken","time":"2026-01-01T00:00:02.2Z","duration_ms":100}
  1.0 node-a {"msg":"home-suspected","node":"node-a","peer":"10.0.0.2:1","time":"2026-01-01T00:00:01.5Z"}
  1.0 node-c {"msg":"home-suspected","node":"node-c","peer":"10.0.0.2:1","time":"2026-01-01T00:00:01.5Z"}
  0.1 node-a {"msg":"home-suspected","node":"node-a","peer":"old","time":"2026-01-01T00:00:00Z"}
  1.3 node-a {"msg":"request-failed","node":"node-a","request":"a","status":502,"time":"2026-01-01T00:00:02.3Z","duration_ms":300}
  1.3 node-b {"msg":"request-refused","node":"node-b","request":"a.x","status":503,"time":"2026-01-01T00:00:02.1Z"}
  1.3 node-b {"msg":"request-refused","node":"node-b","request":"b","status":503,"time":"2026-01-01T00:00:02.1Z"}
not a line
{"broken
`

func TestTimelineIsInOrder(t *testing.T) {
	timeline := NewTimeline("a")
	assert.NilError(t, timeline.Read(strings.NewReader(logs)))
	var out strings.Builder
	assert.NilError(t, timeline.Print(&out))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 4, out.String())
	for i, part := range []string{"home-suspected", "request=a.x", "call-failed", "request-failed"} {
		assert.Assert(t, strings.Contains(lines[i], part), "line %d: %s", i, lines[i])
	}
}

func TestUnknownRequest(t *testing.T) {
	timeline := NewTimeline("none")
	assert.NilError(t, timeline.Read(strings.NewReader(logs)))
	var out strings.Builder
	assert.ErrorIs(t, timeline.Print(&out), ErrNotFound)
}

// TestRefusalsByKeyAndLimitAreExplained checks that the timelines of a request refused because
// of its API key and of one refused by its tenant's rate limit contain the cause.
func TestRefusalsByKeyAndLimitAreExplained(t *testing.T) {
	const refused = `
{"msg":"key-refused","node":"node-a","request":"k","reason":"unknown API key","age_ms":420,"version":7,"time":"2026-01-01T00:00:02Z"}
{"msg":"limit-refused","node":"node-a","request":"l","outcome":"acme","reason":"the tenant's limit is reached","count":2,"wait_ms":240,"time":"2026-01-01T00:00:02Z"}
`
	for request, parts := range map[string][]string{"k": {"age_ms=420", "version=7", `"unknown API key"`}, "l": {"outcome=acme", "count=2", "wait_ms=240"}} {
		timeline := NewTimeline(request)
		assert.NilError(t, timeline.Read(strings.NewReader(refused)))
		var out strings.Builder
		assert.NilError(t, timeline.Print(&out))
		for _, part := range parts {
			assert.Assert(t, strings.Contains(out.String(), part), "%s in %s", part, out.String())
		}
	}
}

// TestTimelineIncludesStallLoggedAfterAnswer checks that a stall logged after the request's
// last line is included: a stalled process may answer waiting requests before it detects the
// stall.
func TestTimelineIncludesStallLoggedAfterAnswer(t *testing.T) {
	const stalled = `
{"msg":"request-failed","node":"node-a","request":"a","status":504,"time":"2026-01-01T00:00:02Z","duration_ms":1200}
{"msg":"process-stalled","node":"node-a","time":"2026-01-01T00:00:02.1Z","duration_ms":1000}
{"msg":"process-stalled","node":"node-a","time":"2026-01-01T00:00:09Z","duration_ms":1000}
`
	timeline := NewTimeline("a")
	assert.NilError(t, timeline.Read(strings.NewReader(stalled)))
	var out strings.Builder
	assert.NilError(t, timeline.Print(&out))
	assert.Equal(t, strings.Count(out.String(), "process-stalled"), 1, out.String())
}
