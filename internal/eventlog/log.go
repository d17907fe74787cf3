package eventlog

import (
	"bufio"
	"context"
	"io"
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

// Config sets a Log. A zero field takes its default.
type Config struct {
	// Buffer is the number of events that may wait for the writer.
	Buffer int
	// SuccessPerSecond, RefusalPerSecond and FailurePerSecond bound the lines of
	// each class.
	SuccessPerSecond, RefusalPerSecond, FailurePerSecond int
}

// record is an event with the time of the decision.
type record struct {
	at    time.Time
	event Event
}

// Log records events. It is safe for concurrent use; a nil *Log records
// nothing.
type Log struct {
	rates   [3]rate
	events  chan record
	counts  [kindCount]atomic.Uint64
	lost    atomic.Uint64
	written atomic.Uint64
	entry   *logrus.Entry
	out     *bufio.Writer
	now     func() time.Time
}

// New returns a log that writes to out, each line with the node's name.
func New(config Config, node string, out io.Writer, now func() time.Time) *Log {
	buffered := bufio.NewWriterSize(out, writeBufferBytes)
	logger := &logrus.Logger{Out: buffered, Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, Level: logrus.InfoLevel, Hooks: logrus.LevelHooks{}}
	l := &Log{
		events: make(chan record, positiveOr(config.Buffer, DefaultBuffer)),
		entry:  logger.WithField("node", node),
		out:    buffered,
		now:    now,
	}
	l.rates[success].perSecond = int64(positiveOr(config.SuccessPerSecond, DefaultSuccessPerSecond))
	l.rates[refusal].perSecond = int64(positiveOr(config.RefusalPerSecond, DefaultRefusalPerSecond))
	l.rates[belief].perSecond = int64(positiveOr(config.FailurePerSecond, DefaultFailurePerSecond))
	return l
}

// writeBufferBytes is how much is gathered for one write.
const writeBufferBytes = 8 << 10

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}

// Record notes an event. It never blocks.
func (l *Log) Record(event Event) {
	if l == nil {
		return
	}
	l.counts[event.Kind].Add(1)
	now := l.now()
	if !l.rates[kinds[event.Kind].class].allow(now.Unix()) {
		l.lost.Add(1)
		return
	}
	select {
	case l.events <- record{at: now, event: event}:
	default:
		l.lost.Add(1)
	}
}

// Counts calls visit with the number of events of each kind.
func (l *Log) Counts(visit func(kind Kind, count uint64)) {
	for kind := range kindCount {
		visit(kind, l.counts[kind].Load())
	}
}

// Lost returns the number of events that were not written.
func (l *Log) Lost() uint64 { return l.lost.Load() }

// Run writes events until the context ends, and then those that wait.
func (l *Log) Run(ctx context.Context) {
	told := toldLoss{}
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
		told = l.tellLost(told)
		_ = l.out.Flush()
	}
}

// drain writes what waits and ends; a blocked output is left behind with the
// process.
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

// toldLoss is the number of lost events told last, and when.
type toldLoss struct {
	lost uint64
	at   time.Time
}

// tellLossEvery bounds the lines that tell of lost events.
const tellLossEvery = time.Second

// tellLost writes how many events were lost since the count told before.
func (l *Log) tellLost(told toldLoss) toldLoss {
	lost, now := l.lost.Load(), l.now()
	if lost == told.lost || now.Sub(told.at) < tellLossEvery {
		return told
	}
	l.write(record{at: now, event: Event{Kind: EventsLost, Count: int(lost - told.lost)}})
	return toldLoss{lost: lost, at: now}
}

func (l *Log) write(r record) {
	l.written.Add(1)
	l.entry.WithTime(r.at).WithFields(fieldsOf(&r.event)).Info(r.event.Kind.String())
}

// fieldsOf returns the event's fields that are not zero.
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
	text("reason", e.Reason)
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

// rate allows a number of events in each second of the clock.
type rate struct {
	perSecond int64
	// window holds the second in the upper part and the count in the lower.
	window atomic.Int64
}

const countBits = 20

func (r *rate) allow(second int64) bool {
	for {
		old := r.window.Load()
		next := second<<countBits | 1
		if old>>countBits == second {
			if old&(1<<countBits-1) >= r.perSecond {
				return false
			}
			next = old + 1
		}
		if r.window.CompareAndSwap(old, next) {
			return true
		}
	}
}
