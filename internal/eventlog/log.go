package eventlog

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// Defaults of Config.
const (
	DefaultBuffer           = 512
	DefaultSuccessPerSecond = 2
	DefaultRefusalPerSecond = 10
	DefaultFailurePerSecond = 50
)

// Config configures a Log. Zero fields have the default value.
type Config struct {
	// Buffer is the capacity of the event queue in front of the writer.
	Buffer int
	// SuccessPerSecond, RefusalPerSecond and FailurePerSecond limit the events of each
	// class. State changes have a separate limit of FailurePerSecond.
	SuccessPerSecond, RefusalPerSecond, FailurePerSecond int
	// RootOf returns the id of the root request to which the request with the given id
	// belongs; nil means that each request is its own root.
	RootOf func(id string) string
}

// record is an event with its time.
type record struct {
	at    time.Time
	event Event
}

// Log records events. It is safe for concurrent use; a nil *Log records
// nothing.
type Log struct {
	rootOf   func(id string) string
	samplers [classCount]sampler
	events   chan record
	counts   [kindCount]atomic.Uint64
	lost     [kindCount]atomic.Uint64
	written  atomic.Uint64
	entry    *logrus.Entry
	out      *bufio.Writer
	now      func() time.Time
}

// New returns a log that writes to out. Each line contains the node's name unless it is empty.
func New(config Config, node string, out io.Writer, now func() time.Time) *Log {
	buffered := bufio.NewWriterSize(out, writeBufferBytes)
	logger := &logrus.Logger{Out: buffered, Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, Level: logrus.InfoLevel, Hooks: logrus.LevelHooks{}}
	l := &Log{
		rootOf: config.RootOf,
		events: make(chan record, positiveOr(config.Buffer, DefaultBuffer)),
		entry:  entryOf(logger, node),
		out:    buffered,
		now:    now,
	}
	if l.rootOf == nil {
		l.rootOf = func(id string) string { return id }
	}
	l.samplers[success].perSecond = positiveOr(config.SuccessPerSecond, DefaultSuccessPerSecond)
	l.samplers[refusal].perSecond = positiveOr(config.RefusalPerSecond, DefaultRefusalPerSecond)
	l.samplers[failure].perSecond = positiveOr(config.FailurePerSecond, DefaultFailurePerSecond)
	l.samplers[stateChange].perSecond = positiveOr(config.FailurePerSecond, DefaultFailurePerSecond)
	return l
}

func entryOf(logger *logrus.Logger, node string) *logrus.Entry {
	if node == "" {
		return logrus.NewEntry(logger)
	}
	return logger.WithField("node", node)
}

// writeBufferBytes is the size of the write buffer.
const writeBufferBytes = 8 << 10

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// Record records an event. It never blocks.
func (l *Log) Record(event Event) {
	if l == nil {
		return
	}
	l.counts[event.Kind].Add(1)
	now := l.now()
	root := l.rootOf(event.Request)
	if !l.samplers[event.classFor(root)].allow(now.Unix(), root) {
		l.lost[event.Kind].Add(1)
		return
	}
	select {
	case l.events <- record{at: now, event: event}:
	default:
		l.lost[event.Kind].Add(1)
	}
}

// classFor returns the sampling class of an event whose request belongs to the given root
// request.
func (e *Event) classFor(root string) class {
	answeredFailure := e.Kind == RequestAnswered && e.Status >= http.StatusInternalServerError
	refusedNested := (e.Kind == RequestRefused || e.Kind == CallRefused) && e.Request != root
	if answeredFailure || refusedNested {
		return failure
	}
	return kinds[e.Kind].class
}

// Counts calls visit with the number of events of each kind.
func (l *Log) Counts(visit func(kind Kind, count uint64)) {
	for kind := range kindCount {
		visit(kind, l.counts[kind].Load())
	}
}

// Lost returns the number of events that were dropped.
func (l *Log) Lost() uint64 {
	total := uint64(0)
	for kind := range l.lost {
		total += l.lost[kind].Load()
	}
	return total
}

// Run writes events until the context ends, then the queued ones, and returns.
func (l *Log) Run(ctx context.Context) {
	reported := lossReport{}
	for {
		select {
		case r := <-l.events:
			l.write(r)
		case <-ctx.Done():
			l.drain()
			return
		}
		if len(l.events) > 0 {
			continue
		}
		reported = l.reportLost(reported)
		_ = l.out.Flush()
	}
}

// drain writes the queued events. It blocks as long as the output does.
func (l *Log) drain() {
	for {
		select {
		case r := <-l.events:
			l.write(r)
		default:
			_ = l.out.Flush()
			return
		}
	}
}

// lossReport holds the numbers of lost events by kind at the time of the last report.
type lossReport struct {
	lost [kindCount]uint64
	at   time.Time
}

// lossReportInterval is the shortest time between two events-lost lines.
const lossReportInterval = time.Second

// reportLost writes an event with the number of events lost since the previous report, and
// returns the new report. It writes nothing if none were lost or the interval has not passed.
func (l *Log) reportLost(previous lossReport) lossReport {
	now := l.now()
	if now.Sub(previous.at) < lossReportInterval {
		return previous
	}
	next := lossReport{at: now}
	total := 0
	var parts []string
	for kind := range kindCount {
		next.lost[kind] = l.lost[kind].Load()
		if more := next.lost[kind] - previous.lost[kind]; more > 0 {
			total += int(more)
			parts = append(parts, fmt.Sprintf("%s %d", kind, more))
		}
	}
	if total == 0 {
		return previous
	}
	l.write(record{at: now, event: Event{Kind: EventsLost, Count: total, Outcome: strings.Join(parts, ", ")}})
	return next
}

func (l *Log) write(r record) {
	l.written.Add(1)
	l.entry.WithTime(r.at).WithFields(fieldsOf(&r.event)).Info(r.event.Kind.String())
}

// fullReason returns the reason with its detail.
func (e *Event) fullReason() string {
	if e.Detail == "" {
		return e.Reason
	}
	return e.Reason + ": " + e.Detail
}

// fieldsOf returns the non-zero fields of the event.
func fieldsOf(e *Event) logrus.Fields {
	fields := make(logrus.Fields, 8)
	text := func(name, value string) {
		if value != "" {
			fields[name] = value
		}
	}
	number := func(name string, value uint64) {
		if value != 0 {
			fields[name] = value
		}
	}
	span := func(name string, value time.Duration) {
		if value != 0 {
			fields[name] = value.Milliseconds()
		}
	}
	text("request", e.Request)
	text("route", e.Route)
	text("service", e.Service)
	text("target", e.Target)
	text("peer", e.Peer)
	text("fingerprint", e.Fingerprint)
	text("reason", e.fullReason())
	text("outcome", e.Outcome)
	number("status", uint64(e.Status))
	number("attempt", uint64(e.Attempt))
	number("count", uint64(e.Count))
	number("version", e.Version)
	number("previous", e.Previous)
	span("age_ms", e.Age)
	span("wait_ms", e.Wait)
	span("duration_ms", e.Duration)
	return fields
}
