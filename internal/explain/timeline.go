// Package explain reconstructs the timeline of a request from the logs of all nodes.
package explain

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
)

// line holds the fields of a log line that are used in a timeline.
type line struct {
	Time        time.Time `json:"time"`
	Node        string    `json:"node"`
	Message     string    `json:"msg"`
	Request     string    `json:"request"`
	Route       string    `json:"route"`
	Service     string    `json:"service"`
	Target      string    `json:"target"`
	Peer        string    `json:"peer"`
	Fingerprint string    `json:"fingerprint"`
	Reason      string    `json:"reason"`
	Outcome     string    `json:"outcome"`
	Status      int       `json:"status"`
	Attempt     int       `json:"attempt"`
	Count       int       `json:"count"`
	Version     uint64    `json:"version"`
	WaitMillis  int64     `json:"wait_ms"`
	Duration    int64     `json:"duration_ms"`
	AgeMillis   int64     `json:"age_ms"`
}

// Timeline collects the log lines related to a request: those of the request, of the calls
// that it made, and of state changes around that time.
type Timeline struct {
	request      string
	requestLines []line
	stateLines   []line
	// lostEvents is the number of events that the logs report as lost.
	lostEvents int
}

// ErrNotFound means that the logs contain no line of the request.
var ErrNotFound = errors.New("no log line of the request found: its lines may have been dropped, or be in another file")

// NewTimeline returns an empty timeline of the request.
func NewTimeline(request string) *Timeline { return &Timeline{request: request} }

// eventsLostMessage is the message of lines that report lost events.
var eventsLostMessage = eventlog.EventsLost.String()

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Read reads the log lines of one or more nodes. It ignores any text before the JSON object of
// a line, such as a time or a node name, and lines without a JSON object.
func (t *Timeline) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Message == "" {
			continue
		}
		t.add(l)
	}
	return scanner.Err()
}

// add adds a line if it is of the request or of its calls, or belongs to no request.
func (t *Timeline) add(l line) {
	if l.Message == eventsLostMessage {
		t.lostEvents += l.Count
	}
	switch {
	case l.Request == t.request || strings.HasPrefix(l.Request, t.request+"."):
		t.requestLines = append(t.requestLines, l)
	case l.Request == "":
		t.stateLines = append(t.stateLines, l)
	}
}

// contextPeriod is how long before the start of the request state changes are included.
const contextPeriod = 2 * time.Second

// Print writes the timeline ordered by time.
func (t *Timeline) Print(out io.Writer) error {
	if len(t.requestLines) == 0 {
		return fmt.Errorf("request %s: %w (these logs dropped %d events; under load, the hash of the request id selects which requests are kept)",
			t.request, ErrNotFound, t.lostEvents)
	}
	byTime := func(a, b line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(t.requestLines, byTime)
	begin := t.requestLines[0].start()
	end := t.requestLines[len(t.requestLines)-1].Time
	nodes := make(map[string]bool)
	for _, l := range t.requestLines {
		nodes[l.Node] = true
	}
	lines := slices.Clone(t.requestLines)
	for _, l := range t.stateLines {
		if nodes[l.Node] && l.Time.After(begin.Add(-contextPeriod)) && !l.start().After(end) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l.describe(begin)); err != nil {
			return err
		}
	}
	return nil
}

// start returns when the logged activity started. A process that stalled may log the stall
// after it has answered the requests that waited meanwhile.
func (l *line) start() time.Time {
	return l.Time.Add(-time.Duration(l.Duration) * time.Millisecond)
}

// describe formats the line, with its time relative to the start of the request.
func (l *line) describe(begin time.Time) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%+9.3f s  %-18s %-22s", l.Time.Sub(begin).Seconds(), l.Node, l.Message)
	add := func(name string, value any, present bool) {
		if present {
			fmt.Fprintf(&text, " %s=%v", name, value)
		}
	}
	add("request", l.Request, l.Request != "")
	add("route", l.Route, l.Route != "")
	add("service", l.Service, l.Service != "")
	add("target", l.Target, l.Target != "")
	add("peer", l.Peer, l.Peer != "")
	add("status", l.Status, l.Status != 0)
	add("attempt", l.Attempt, l.Attempt != 0)
	add("count", l.Count, l.Count != 0)
	add("version", l.Version, l.Version != 0)
	add("wait_ms", l.WaitMillis, l.WaitMillis != 0)
	add("age_ms", l.AgeMillis, l.AgeMillis != 0)
	add("duration_ms", l.Duration, l.Duration != 0)
	add("outcome", l.Outcome, l.Outcome != "")
	add("fingerprint", l.Fingerprint, l.Fingerprint != "")
	add("reason", fmt.Sprintf("%q", l.Reason), l.Reason != "")
	return text.String()
}
