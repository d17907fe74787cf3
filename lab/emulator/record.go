package emulator

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// Outcome is the result of an execution.
type Outcome string

// Values of Outcome.
const (
	// OutcomeRunning is an execution that hasn't ended.
	OutcomeRunning Outcome = "running"
	// OutcomeComplete is an execution that completed and wrote its answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeCancelled is an execution that ended as the caller disconnected or
	// the deadline passed.
	OutcomeCancelled Outcome = "cancelled"
	// OutcomeChildFailed is an execution that ended as a required downstream
	// call failed.
	OutcomeChildFailed Outcome = "child-failed"
	// OutcomeTruncated is an execution that completed and wrote half of its
	// answer.
	OutcomeTruncated Outcome = "truncated"
	// OutcomeFault is an execution that completed; a fault replaced its answer.
	OutcomeFault Outcome = "fault"
)

// Record describes one execution. An execution starts when its call acquires a
// slot of a target.
type Record struct {
	RequestID      string    `json:"request_id"`
	Target         string    `json:"target"`
	Service        string    `json:"service"`
	Method         string    `json:"method"`
	Path           string    `json:"path"`
	Caller         string    `json:"caller,omitempty"`
	IdempotencyKey string    `json:"idempotency_key,omitempty"`
	Nonce          string    `json:"nonce,omitempty"`
	Start          time.Time `json:"start"`
	End            time.Time `json:"end"`
	// Effect is set once the downstream calls have completed and the target's
	// own work, such as the credit of a salary, has started.
	Effect  bool    `json:"effect"`
	Outcome Outcome `json:"outcome"`
}

// recorder stores the running and the latest finished executions and writes the
// finished ones to a stream. It is safe for concurrent use.
type recorder struct {
	mutex    sync.Mutex
	running  map[*Record]struct{}
	finished []Record
	next     int
	limit    int
	dropped  int64
	started  int64
	stream   *bufio.Writer
	encoder  *json.Encoder
	err      error
}

func newRecorder(limit int, stream io.Writer) *recorder {
	if limit <= 0 {
		limit = DefaultMaxRecords
	}
	r := &recorder{running: make(map[*Record]struct{}), limit: limit}
	if stream != nil {
		r.stream = bufio.NewWriterSize(stream, 1<<16)
		r.encoder = json.NewEncoder(r.stream)
	}
	return r
}

func (r *recorder) start(record Record) *Record {
	stored := &record
	stored.Outcome = OutcomeRunning
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running[stored] = struct{}{}
	r.started++
	return stored
}

func (r *recorder) markEffect(record *Record) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record.Effect = true
}

func (r *recorder) finish(record *Record, outcome Outcome, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	record.End = now
	record.Outcome = outcome
	delete(r.running, record)
	r.storeFinished(*record)
	if r.encoder != nil && r.err == nil {
		r.err = r.encoder.Encode(record)
	}
}

func (r *recorder) storeFinished(record Record) {
	if len(r.finished) < r.limit {
		r.finished = append(r.finished, record)
		return
	}
	r.finished[r.next] = record
	r.next = (r.next + 1) % r.limit
	r.dropped++
}

// snapshot returns the finished executions, oldest first, and then the running
// ones.
func (r *recorder) snapshot() []Record {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	records := make([]Record, 0, len(r.finished)+len(r.running))
	records = append(records, r.finished[r.next:]...)
	records = append(records, r.finished[:r.next]...)
	for record := range r.running {
		records = append(records, *record)
	}
	return records
}

func (r *recorder) counts() (started, dropped int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.started, r.dropped
}

func (r *recorder) idle() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.running) == 0
}

func (r *recorder) flush() error {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.stream == nil {
		return nil
	}
	if r.err != nil {
		return r.err
	}
	r.err = r.stream.Flush()
	return r.err
}

// ReadRecords reads records from JSON lines.
func ReadRecords(source io.Reader) ([]Record, error) {
	decoder := json.NewDecoder(source)
	var records []Record
	for {
		var record Record
		err := decoder.Decode(&record)
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", len(records)+1, err)
		}
		records = append(records, record)
	}
}
