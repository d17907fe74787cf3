// Package explain rebuilds the story of one request from the log lines of all
// nodes.
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

// line is what explain reads of a log line.
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

// Story gathers the lines that concern a request: its own, those of the calls
// that it made, and changes of belief around it.
type Story struct {
	request string
	own     []line
	beliefs []line
	// leftOut is the number of events that the logs read left out.
	leftOut int
}

// ErrNotFound means that no line tells of the request.
var ErrNotFound = errors.New("no line tells of the request: its lines may have been left out, or lie in another file")

// NewStory returns an empty story of the request.
func NewStory(request string) *Story { return &Story{request: request} }

// leftOutMessage is that of lines which count events that were left out.
var leftOutMessage = eventlog.EventsLost.String()

// maxLine bounds a line that is read, in bytes.
const maxLine = 1 << 20

// Read takes the lines of one or more nodes. What stands before a line's JSON,
// such as a time or a node's name, is passed over, as are lines without any.
func (s *Story) Read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		if start < 0 {
			continue
		}
		var l line
		if json.Unmarshal(scanner.Bytes()[start:], &l) != nil || l.Message == "" {
			continue
		}
		s.take(l)
	}
	return scanner.Err()
}

func (s *Story) take(l line) {
	if l.Message == leftOutMessage {
		s.leftOut += l.Count
	}
	switch {
	case l.Request == s.request || strings.HasPrefix(l.Request, s.request+"."):
		s.own = append(s.own, l)
	case l.Request == "":
		s.beliefs = append(s.beliefs, l)
	}
}

// around is how long before the request's first line a change of belief still
// belongs to its story.
const around = 2 * time.Second

// Print writes the story in order of time.
func (s *Story) Print(out io.Writer) error {
	if len(s.own) == 0 {
		return fmt.Errorf("request %s: %w (these logs left out %d events; under load they keep the requests that the hash of their ids picks)",
			s.request, ErrNotFound, s.leftOut)
	}
	byTime := func(a, b line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) }
	slices.SortStableFunc(s.own, byTime)
	first := s.own[0].began()
	last := s.own[len(s.own)-1].Time
	nodes := make(map[string]bool)
	for _, l := range s.own {
		nodes[l.Node] = true
	}
	told := slices.Clone(s.own)
	for _, l := range s.beliefs {
		if nodes[l.Node] && l.Time.After(first.Add(-around)) && !l.began().After(last) {
			told = append(told, l)
		}
	}
	slices.SortStableFunc(told, byTime)
	for _, l := range told {
		if _, err := fmt.Fprintln(out, l.describe(first)); err != nil {
			return err
		}
	}
	return nil
}

// began returns when what the line tells of began. A process that stood still may tell
// of that after it has answered the requests that waited meanwhile.
func (l *line) began() time.Time {
	return l.Time.Add(-time.Duration(l.Duration) * time.Millisecond)
}

func (l *line) describe(first time.Time) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%+9.3f s  %-18s %-22s", l.Time.Sub(first).Seconds(), l.Node, l.Message)
	add := func(name string, value any, given bool) {
		if given {
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
