package eventlog

import (
	"bytes"
	"context"
	"encoding/json"
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
		log.Record(Event{Kind: kind, Request: "r1", Route: "route", Service: "s", Target: "t", Peer: "p", Reason: "why",
			Outcome: "done", Status: 503, Attempt: 2, Count: 3, Version: 7, Previous: 6,
			Age: time.Second, Wait: 2 * time.Second, Duration: 3 * time.Second})
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		log.Run(ended)
		var line map[string]any
		assert.NilError(t, json.Unmarshal(out.Bytes(), &line), "%s", kind)
		assert.Equal(t, line["msg"], kind.String())
		assert.Equal(t, line["node"], "node-1")
		assert.Equal(t, line["request"], "r1")
		assert.Equal(t, line["age_ms"], 1000.0)
		assert.Equal(t, line["wait_ms"], 2000.0)
		assert.Equal(t, line["version"], 7.0)
	}
}

func TestABlockedOutputBlocksNobody(t *testing.T) {
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

func TestSuccessesAreThinnedBeforeFailures(t *testing.T) {
	at := time.Unix(1000, 0)
	log := New(Config{SuccessPerSecond: 1, FailurePerSecond: 20}, "node-1", io.Discard, func() time.Time { return at })
	for range 10 {
		log.Record(Event{Kind: RequestAnswered})
		log.Record(Event{Kind: RequestFailed})
	}
	assert.Equal(t, len(log.events), 11)
	assert.Equal(t, log.Lost(), uint64(9))
}

func TestThePageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../../docs/LOGS.md")
	assert.NilError(t, err)
	for _, kind := range kinds {
		assert.Assert(t, strings.Contains(string(page), "| `"+kind.name+"` | "+kind.about+" |"), "%s is missing or differs", kind.name)
	}
}
