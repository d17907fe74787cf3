package judge

import (
	"bytes"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/load"
	"github.com/lugspur/lugspur/lab/mesh"
)

// testMesh has an order that requires one lookup call and a view that requires
// two.
const testMesh = `
name = "test"
[[zones]]
name = "north"
region = "one"
[[services]]
name = "orders"
time = { distribution = "lognormal", median_ms = 1 }
calls = [{ service = "lookup", method = "GET", path = "/x" }]
[[services]]
name = "views"
time = { distribution = "lognormal", median_ms = 1 }
calls = [{ service = "lookup", method = "GET", path = "/x" }, { service = "lookup", method = "GET", path = "/y" }]
[[services]]
name = "lookup"
time = { distribution = "lognormal", median_ms = 1 }
%s
[[kinds]]
name = "order"
service = "orders"
method = "POST"
path = "/orders"
callers = ["a"]
callers_each = 1
criticality = "critical-plus"
keyed = true
share = 1
deadline_ms = 1000
[[kinds]]
name = "view"
service = "views"
method = "GET"
path = "/views"
callers = ["a"]
callers_each = 1
criticality = "sheddable"
repeatable = true
share = 1
deadline_ms = 1000
`

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is the given number of milliseconds after the start of
// the recorded run.
func at(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }

func loadMesh(t *testing.T) *mesh.Mesh {
	t.Helper()
	targets := ""
	for _, service := range []string{"orders", "views", "lookup"} {
		targets += fmt.Sprintf("[[targets]]\nname = \"%s-1\"\nservice = \"%s\"\nzone = \"north\"\naddress = \"127.0.0.1:0\"\nslots = 1\nconnections = 1\n", service, service)
	}
	loaded, err := mesh.Parse(fmt.Appendf(nil, testMesh, targets))
	assert.NilError(t, err)
	return loaded
}

func execution(request, service, path, key string, from int) emulator.Record {
	method := "GET"
	if service == "orders" {
		method = "POST"
	}
	return emulator.Record{
		RequestID: request, Target: service + "-1", Service: service, Method: method, Path: path,
		IdempotencyKey: key, Start: at(from), End: at(from + 5), Outcome: emulator.OutcomeComplete,
	}
}

func call(kind, edge, key string, attempts ...load.Attempt) Call {
	return Call{Call: load.Call{Kind: kind, Caller: "a-0", IdempotencyKey: key, Zone: "north", Edge: edge, Attempts: attempts}}
}

func attempt(request string, from, until int, verdict load.Verdict) load.Attempt {
	return load.Attempt{RequestID: request, Start: at(from), End: at(until), Verdict: verdict}
}

func refused(request string, from, until int, reason problem.Reason) load.Attempt {
	attempted := attempt(request, from, until, load.VerdictRefused)
	attempted.Reason, attempted.Executed = reason, problem.ExecutedNo
	return attempted
}

func observed(node string, milliseconds int, revision int64) Event {
	return Event{Kind: RevisionObserved, At: at(milliseconds + 1), QueriedAt: at(milliseconds), Node: node, Object: "policy/views", Revision: revision}
}

func accepted(milliseconds int, revision int64, id string) Event {
	return Event{Kind: ChangeAccepted, At: at(milliseconds), Node: "n1", Object: "policy/views", Revision: revision, ChangeID: id}
}

func nodeEvent(kind EventKind, node string, milliseconds int) Event {
	return Event{Kind: kind, At: at(milliseconds), Node: node, Edge: "edge-" + node}
}

// cleanInput returns the recording of a run with faults in which all guarantees
// held.
func cleanInput(t *testing.T) Input {
	dialError := attempt("", 2_000, 2_050, load.VerdictError)
	dialError.Error = "dial tcp 127.0.0.1:1: connect: connection refused"
	chainRefusal := call("order", "edge-n1", "k4", attempt("r13", 700, 900, load.VerdictError))
	chainRefusal.RefusedBy, chainRefusal.Attempts[0].Status = "lookup", 503
	return Input{
		Mesh:     loadMesh(t),
		Settings: DefaultSettings(),
		Calls: []Call{
			call("order", "edge-n1", "k1", refused("r1", 0, 5, problem.NotReady)),
			call("order", "edge-n2", "k1", attempt("r2", 6, 40, load.VerdictComplete)),
			call("view", "edge-n1", "", attempt("r3", 0, 60, load.VerdictComplete)),
			call("order", "edge-n1", "k2", refused("r4", 100, 200, problem.Overloaded)),
			call("view", "edge-n1", "", refused("r5", 110, 120, problem.Overloaded)),
			call("view", "edge-n1", "", dialError),
			// Sent before the order reached the service that refused it.
			call("view", "edge-n1", "", attempt("r12", 720, 790, load.VerdictComplete)),
			chainRefusal,
		},
		Records: []emulator.Record{
			execution("r2", "orders", "/orders", "k1", 10),
			execution("r2", "lookup", "/x", "", 12),
			execution("r3", "views", "/views", "", 10),
			execution("r3", "views", "/views", "", 20), // one retry, with two lookups of its own
			execution("r3", "lookup", "/x", "", 12),
			execution("r3", "lookup", "/y", "", 13),
			execution("r3", "lookup", "/x", "", 22),
			execution("r3", "lookup", "/y", "", 23),
			execution("r12", "lookup", "/x", "", 725),
			execution("r13", "orders", "/orders", "k4", 750),
			execution("r9", "lookup", "/x", "", 9_000), // within the DrainAllowance
			execution("r9", "lookup", "/x", "", 30_000),
		},
		Events: []Event{
			nodeEvent(NodeStarted, "n1", -100), nodeEvent(NodeStarted, "n2", -100),
			nodeEvent(StopRequested, "n1", 1_000), nodeEvent(StopEnded, "n1", 3_000), nodeEvent(NodeStarted, "n1", 4_000),
			{Kind: DrainAccepted, At: at(5_000), Target: "lookup-1"},
			{Kind: JoinRequested, At: at(29_000), Target: "lookup-1"},
			observed("n2", 5_100, 7), accepted(6_000, 9, "c1"),
			nodeEvent(NetworkFaultBegan, "n2", 6_500), observed("n2", 15_000, 7), nodeEvent(NetworkFaultEnded, "n2", 16_000),
			observed("n2", 20_000, 7), observed("n2", 23_000, 9), observed("n1", 14_500, 9),
			{Kind: ChangeRefused, At: at(6_001), Object: "policy/views", ChangeID: "c2"},
			{Kind: HistoryEntry, At: at(40_000), Node: "n1", Object: "policy/views", Revision: 9, ChangeID: "c1"},
		},
	}
}

func TestCleanRunHasNoBreaches(t *testing.T) {
	report := Judge(cleanInput(t))
	assert.DeepEqual(t, report.Breaches, []Breach{})
	assert.Equal(t, report.Attempts, 8)
	assert.DeepEqual(t, report.Coverage, Coverage{
		RetriedRequests: 2, MaxRetries: 1, ShedCriticalCalls: 2, ReportedNotExecuted: 3, ReusedKeys: 1,
		Drains: 1, GracefulStops: 1, AcceptedChanges: 1,
	})
}

func TestEachBreachIsDetected(t *testing.T) {
	wrong := attempt("r10", 0, 10, load.VerdictWrong)
	interrupted := attempt("", 900, 1_500, load.VerdictError)
	interrupted.Error = "unexpected EOF"
	cases := []struct {
		name   string
		kind   BreachKind
		inject func(*Input)
	}{
		{"retries at one service", RetriesOverBound, func(i *Input) {
			for n := range 5 {
				i.Records = append(i.Records, execution("r10", "views", "/views", "", n*10))
			}
		}},
		{"retries at several services", RetriesOverBound, func(i *Input) {
			i.Records = append(i.Records, execution("r10", "views", "/views", "", 0), execution("r10", "views", "/views", "", 50))
			for n := range 7 { // two executions of views make four lookup calls
				i.Records = append(i.Records, execution("r10", "lookup", "/x", "", n*10+1))
			}
		}},
		{"order refused while a later view was executed", CriticalityInversion, func(i *Input) {
			i.Calls = append(i.Calls, call("view", "edge-n2", "", attempt("r10", 130, 190, load.VerdictComplete)))
			i.Records = append(i.Records, execution("r10", "views", "/views", "", 131), execution("r10", "lookup", "/x", "", 140))
		}},
		{"order refused immediately while the same edge admitted a view", CriticalityInversion, func(i *Input) {
			order := call("order", "edge-n1", "k3", refused("r11", 500, 501, problem.Overloaded))
			order.RefusedBy = "lookup"
			i.Calls = append(i.Calls, order, call("view", "edge-n1", "", attempt("r10", 510, 590, load.VerdictComplete)))
			i.Records = append(i.Records, execution("r10", "lookup", "/x", "", 520))
		}},
		{"order refused by a downstream call while a later view was executed", CriticalityInversion, func(i *Input) {
			order := call("order", "edge-n1", "k3", attempt("r11", 500, 700, load.VerdictError))
			order.RefusedBy, order.Attempts[0].Status = "lookup", 503
			i.Calls = append(i.Calls, order, call("view", "edge-n2", "", attempt("r10", 590, 690, load.VerdictComplete)))
			i.Records = append(i.Records, execution("r11", "orders", "/orders", "k3", 560), execution("r10", "lookup", "/x", "", 600))
		}},
		{"incorrect response", IncorrectResponse, func(i *Input) { i.Calls = append(i.Calls, call("view", "edge-n1", "", wrong)) }},
		{"executed although reported as not executed", ExecutedDespiteRefusal, func(i *Input) {
			i.Records = append(i.Records, execution("r1", "lookup", "/x", "", 2))
		}},
		{"idempotency key executed twice", ExecutedTwice, func(i *Input) {
			i.Records = append(i.Records, execution("r1b", "orders", "/orders", "k1", 2))
		}},
		{"work after drain", WorkAfterDrain, func(i *Input) {
			i.Records = append(i.Records, execution("r10", "lookup", "/x", "", 10_500))
		}},
		{"aborted by graceful stop", AbortedByStop, func(i *Input) { i.Calls = append(i.Calls, call("view", "edge-n1", "", interrupted)) }},
		{"graceful stop failed", StopFailed, func(i *Input) {
			i.Events = append(i.Events, nodeEvent(StopRequested, "n2", 30_000), Event{Kind: StopEnded, At: at(60_000), Node: "n2", Detail: "killed"})
		}},
		{"change not in effect in time", ChangeNotInEffect, func(i *Input) { i.Events = append(i.Events, observed("n3", 14_100, 7)) }},
		{"change not in effect after a network fault ended", ChangeNotInEffect, func(i *Input) {
			i.Events = append(i.Events, accepted(16_500, 12, "c3"), observed("n2", 25_000, 9),
				Event{Kind: HistoryEntry, At: at(40_000), Node: "n1", Object: "policy/views", Revision: 12, ChangeID: "c3"})
		}},
		{"revision reverted", RevisionReverted, func(i *Input) { i.Events = append(i.Events, observed("n2", 23_100, 7)) }},
		{"accepted change missing from history", HistoryMismatch, func(i *Input) { i.Events = append(i.Events, accepted(39_000, 12, "c3")) }},
		{"refused change in history", HistoryMismatch, func(i *Input) {
			i.Events = append(i.Events, Event{Kind: HistoryEntry, At: at(40_000), Node: "n1", Object: "policy/views", Revision: 11, ChangeID: "c2"})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			input := cleanInput(t)
			c.inject(&input)
			report := Judge(input)
			assert.DeepEqual(t, report.Counts, map[BreachKind]int{c.kind: 1})
			assert.Assert(t, len(report.Breaches) == 1 && len(report.Breaches[0].Evidence) > 1, "%v", report.Breaches)
		})
	}
}

func TestNoNodeIsConnectedDuringStoreFaultWithNodeDown(t *testing.T) {
	input := cleanInput(t)
	input.Events = append(input.Events,
		nodeEvent(NodeKilled, "n1", 18_000),
		Event{Kind: StoreFaultBegan, At: at(18_001)},
		accepted(17_999, 12, "c3"),
		observed("n2", 27_000, 9),
		Event{Kind: StoreFaultEnded, At: at(28_000)},
		observed("n2", 35_000, 9),
		Event{Kind: HistoryEntry, At: at(40_000), Node: "n1", Object: "policy/views", Revision: 12, ChangeID: "c3"})
	assert.DeepEqual(t, Judge(input).Breaches, []Breach{})
	input.Events = append(input.Events, observed("n2", 36_100, 9))
	assert.DeepEqual(t, Judge(input).Counts, map[BreachKind]int{ChangeNotInEffect: 1})
}

func TestBreachWithLeastEvidenceComesFirst(t *testing.T) {
	input := cleanInput(t)
	for n := range 9 {
		input.Records = append(input.Records, execution("long", "views", "/views", "", n))
	}
	for n := range 5 {
		input.Records = append(input.Records, execution("short", "views", "/views", "", 100+n))
	}
	report := Judge(input)
	assert.Equal(t, report.Counts[RetriesOverBound], 2)
	assert.Equal(t, report.Breaches[0].RequestID, "short")
	var text bytes.Buffer
	assert.NilError(t, report.WriteText(&text))
	assert.Assert(t, bytes.Contains(text.Bytes(), []byte("BROKEN retries-over-bound: 2")))
}

func TestFileRoundTrip(t *testing.T) {
	input := cleanInput(t)
	directory := t.TempDir()
	calls, events := filepath.Join(directory, "history.jsonl"), filepath.Join(directory, "events.jsonl")
	assert.NilError(t, WriteLines(calls, input.Calls))
	assert.NilError(t, WriteLines(events, input.Events))
	readCalls, err := ReadLines[Call](calls)
	assert.NilError(t, err)
	readEvents, err := ReadLines[Event](events)
	assert.NilError(t, err)
	assert.DeepEqual(t, readCalls, input.Calls)
	assert.DeepEqual(t, readEvents, input.Events)
}
