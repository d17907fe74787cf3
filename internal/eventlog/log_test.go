package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEveryKindIsWrittenWithItsFields(t *testing.T) {
	for kind := range kindCount {
		var out bytes.Buffer
		log := New(Config{}, "node-1", &out, time.Now)
		log.Record(Event{Kind: kind, Request: "r1", Route: "route", Service: "s", Target: "t", Peer: "p", Reason: "why", Detail: "exactly",
			Outcome: "done", Status: 503, Attempt: 2, Count: 3, Version: 7, Previous: 6,
			Age: time.Second, Wait: 2 * time.Second, Duration: 3 * time.Second})
		canceled, cancel := context.WithCancel(context.Background())
		cancel()
		log.Run(canceled)
		var line map[string]any
		assert.NilError(t, json.Unmarshal(out.Bytes(), &line), "%s", kind)
		assert.Equal(t, line["msg"], kind.String())
		assert.Equal(t, line["node"], "node-1")
		assert.Equal(t, line["request"], "r1")
		assert.Equal(t, line["reason"], "why: exactly")
		assert.Equal(t, line["age_ms"], 1000.0)
		assert.Equal(t, line["wait_ms"], 2000.0)
		assert.Equal(t, line["version"], 7.0)
	}
}

func TestRecordDoesNotBlockOnOutput(t *testing.T) {
	reader, writer := io.Pipe()
	defer reader.Close()
	log := New(Config{Buffer: 8, FailurePerSecond: 1 << 19}, "node-1", writer, time.Now)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go log.Run(ctx)
	const events = 10000
	done := make(chan struct{})
	go func() {
		for range events {
			log.Record(Event{Kind: RequestFailed, Reason: strings.Repeat("x", 100)})
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(20 * time.Second):
		t.Fatal("recording blocked on the output")
	}
	assert.Assert(t, log.Lost() > events/2, "lost %d", log.Lost())
}

func TestSuccessesAreDroppedBeforeFailures(t *testing.T) {
	at := time.Unix(1000, 0)
	log := New(Config{SuccessPerSecond: 1, FailurePerSecond: 20}, "node-1", io.Discard, func() time.Time { return at })
	for range 10 {
		log.Record(Event{Kind: RequestAnswered})
		log.Record(Event{Kind: RequestFailed})
	}
	assert.Equal(t, len(log.events), 11)
	assert.Equal(t, log.Lost(), uint64(9))
}

// TestSamplingKeepsWholeRequests records ten times as many events as the limit at two nodes:
// for each request its own event and that of a call that it made. Once the sampling level has
// settled, both nodes must keep the same requests, and all events of each.
func TestSamplingKeepsWholeRequests(t *testing.T) {
	const perSecond, seconds, settledAfter = 40, 20, 5
	rootOf := func(id string) string {
		root, _, _ := strings.Cut(id, ".")
		return root
	}
	at := time.Unix(1000, 0)
	kept := make([]map[string]int, 2)
	logs := make([]*Log, 2)
	for node := range logs {
		kept[node] = make(map[string]int)
		logs[node] = New(Config{Buffer: 1 << 12, FailurePerSecond: perSecond, RootOf: rootOf}, "node", io.Discard, func() time.Time { return at })
	}
	lines := 0
	for second := range seconds {
		for i := range 5 * perSecond {
			root := fmt.Sprintf("%d-%d", second, i)
			for _, log := range logs {
				log.Record(Event{Kind: RequestFailed, Request: root})
				log.Record(Event{Kind: CallRefused, Request: root + ".call"})
			}
		}
		for node, log := range logs {
			for len(log.events) > 0 {
				event := (<-log.events).event
				lines++
				if second >= settledAfter {
					kept[node][rootOf(event.Request)]++
				}
			}
		}
		at = at.Add(time.Second)
	}
	assert.Assert(t, lines <= 2*perSecond*seconds, "%d lines", lines)
	assert.Assert(t, len(kept[0]) > perSecond/lowLoadDivisor, "%d requests kept", len(kept[0]))
	assert.DeepEqual(t, kept[0], kept[1])
	for request, events := range kept[0] {
		assert.Equal(t, events, 2, "events of %s", request)
	}
	assert.Equal(t, logs[0].Lost()+uint64(lines/2), uint64(10*perSecond*seconds))
}

// TestLostEventsAreReportedByKind records more refusals than the limit.
func TestLostEventsAreReportedByKind(t *testing.T) {
	var out bytes.Buffer
	at := time.Unix(1000, 0)
	log := New(Config{RefusalPerSecond: 1}, "node-1", &out, func() time.Time { return at })
	for range 4 {
		log.Record(Event{Kind: RequestRefused, Request: "a"})
	}
	log.reportLost(lossReport{})
	assert.NilError(t, log.out.Flush())
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["count"], 3.0)
	assert.Equal(t, line["outcome"], "request-refused 3")
}

func TestEveryKindIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	assert.NilError(t, err)
	for _, kind := range kinds {
		assert.Assert(t, strings.Contains(string(page), "| `"+kind.name+"` | "+kind.description+" |"), "%s is missing or differs", kind.name)
	}
}
