package replay

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

func recordedRun() Recording {
	start := time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	call := func(kind, zone string, ms int, request string, verdict load.Verdict) judge.Call {
		attempt := load.Attempt{Start: at(ms), End: at(ms + 50), RequestID: request, Verdict: verdict}
		return judge.Call{Call: load.Call{Kind: kind, Caller: "c", Zone: zone, Intended: at(ms), Attempts: []load.Attempt{attempt}}}
	}
	record := func(request, service string, from, to int, outcome emulator.Outcome) emulator.Record {
		return emulator.Record{RequestID: request, Service: service, Start: at(from), End: at(to), Outcome: outcome}
	}
	envelope := func(kind resource.Kind, name string) resource.Envelope {
		return resource.Envelope{ID: resource.ID{Kind: kind, Name: name}}
	}
	service, target := envelope(resource.KindService, "view"), envelope(resource.KindTarget, "view-1")
	policy := envelope(resource.KindPolicy, "view")
	service.Service = &resource.Service{Calls: []string{"deep"}}
	policy.Policy = &resource.Policy{Rank: `"critical"`, Retry: `1`}
	target.Target = &resource.Target{Service: "view", Zone: "a", Address: "127.0.0.1:1", Slots: 8, Connections: 8}
	return Recording{
		Mesh:    &mesh.Mesh{Kinds: []mesh.Kind{{Name: "look", Service: "view", Method: "GET", Path: "/x", Criticality: "critical", DeadlineMs: 500}}},
		Objects: []resource.Envelope{service, policy, target},
		Calls: []judge.Call{
			call("look", "a", 300, "third", load.VerdictTimeout),
			call("look", "a", 0, "before", load.VerdictComplete),
			call("look", "a", 110, "first", load.VerdictComplete),
			call("look", "b", 120, "elsewhere", load.VerdictComplete),
			call("look", "a", 200, "second", load.VerdictComplete),
			call("look", "a", 900, "after", load.VerdictComplete),
		},
		Records: []emulator.Record{
			record("second", "view", 230, 245, emulator.OutcomeComplete),
			record("second", "view", 205, 220, emulator.OutcomeFault),
			record("first", "view", 115, 140, emulator.OutcomeComplete),
			record("first", "deep", 120, 130, emulator.OutcomeFault),
			record("third", "view", 310, 800, emulator.OutcomeCancelled),
		},
	}
}

func TestBuildTrace(t *testing.T) {
	built, err := BuildTrace(recordedRun(), Selection{Name: "r", Zone: "a", Offset: 100 * time.Millisecond, Duration: 500 * time.Millisecond})
	assert.NilError(t, err)
	var text strings.Builder
	assert.NilError(t, built.Write(&text))
	trace, err := Read(strings.NewReader(text.String()))
	assert.NilError(t, err)

	assert.Equal(t, len(trace.Events), 3)
	first, second, third := trace.Events[0], trace.Events[1], trace.Events[2]
	assert.Equal(t, first.At, Millis(10))
	assert.Equal(t, first.Call.ID, "look-1")
	assert.DeepEqual(t, first.Call.Responses, []Response{{Latency: 25}})
	assert.Equal(t, first.Call.Expect.Result, resultAnswered)
	assert.DeepEqual(t, second.Call.Responses, []Response{{Latency: 15, Outcome: OutcomeFailedSent}, {Latency: 15}})
	assert.Equal(t, second.Call.Expect.Result, "")
	assert.DeepEqual(t, third.Call.Responses, []Response{{Latency: 501}})

	report, err := Play(trace)
	assert.NilError(t, err)
	assert.Assert(t, report.Passed(), "%s", reportText(t, report))
	assert.Equal(t, trace.Header.Targets["view-1"].Slots, 8)
}

func TestBuildTraceWithoutCallsFails(t *testing.T) {
	_, err := BuildTrace(recordedRun(), Selection{Zone: "c", Duration: time.Second})
	assert.ErrorIs(t, err, ErrNoCalls)
}
