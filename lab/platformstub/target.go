package platformstub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Target is the stand-in of a target beside a node. It answers every request
// with its id and sends heartbeats.
type Target struct {
	// ID and Service name the target; Address is where it listens, Control where
	// its heartbeats go.
	ID, Service, Address, Control, Zone string
	// Born is when the target started, in Unix milliseconds; zero is the moment of Start.
	Born int64
	// Work is how long each request takes.
	Work time.Duration
	// OnEnd is called once the target has ended under a request; it may be nil.
	OnEnd func()

	sequence atomic.Uint64
	draining atomic.Bool
	silent   atomic.Bool
	ended    atomic.Bool
	told     sync.Once
	mutex    sync.Mutex
	faults   TargetFaults
	arrivals uint64
	runs     []Run
	server   *http.Server
	stop     context.CancelFunc
}

// Run is a request that a target began to work on.
type Run struct {
	// ID, Path and Caller are as the target received them.
	ID, Path, Caller string
	Method           string
	// Tenant is the tenant that the target was told, and Key the API key that it must not
	// be told.
	Tenant, Key string
	// Remaining is the time that the target was given; negative if it was told
	// none.
	Remaining time.Duration
	At        time.Time
}

// TargetFaults are what goes wrong at a target.
type TargetFaults struct {
	// Slow is added to the work of each request.
	Slow time.Duration
	// LoseEvery closes the connection after each so many-th run in place of an
	// answer; zero loses none.
	LoseEvery uint64
	// SpoilEvery breaks each so many-th answer off in its body; zero spoils none.
	SpoilEvery uint64
	// RejectEvery answers each so many-th request with "not executed"; zero
	// rejects none.
	RejectEvery uint64
	// EndsUnder begins the paths of requests that end the target at the end of their
	// work; empty means that none does.
	EndsUnder string
}

const targetSlots = 16

// Start listens and sends heartbeats until the context ends.
func (t *Target) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	if t.Born == 0 {
		t.Born = time.Now().UnixMilli()
	}
	ctx, t.stop = context.WithCancel(ctx)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	go t.beat(ctx)
	context.AfterFunc(ctx, func() { _ = t.server.Close() })
	return nil
}

// Close closes the target's listener and connections.
func (t *Target) Close() { _ = t.server.Close() }

// SetFaults puts faults in force.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// arrive counts a request and returns the faults that befall it.
func (t *Target) arrive() (TargetFaults, uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.arrivals++
	return t.faults, t.arrivals
}

func hits(every, count uint64) bool { return every > 0 && count%every == 0 }

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Lugspur-Attempt-Id")
	w.Header().Set("Lugspur-Attempt-Id", id)
	w.Header().Set("Lugspur-Instance-Id", t.ID)
	if expected := r.Header.Get("Lugspur-Expect-Instance"); expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	faults, count := t.arrive()
	if hits(faults.RejectEvery, count) {
		w.Header().Set("Lugspur-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.note(r, id)
	select {
	case <-time.After(t.Work + faults.Slow):
	case <-r.Context().Done():
		return
	}
	if faults.EndsUnder != "" && strings.HasPrefix(r.URL.Path, faults.EndsUnder) {
		t.end()
		panic(http.ErrAbortHandler)
	}
	if hits(faults.LoseEvery, count) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Lugspur-Response-Signature", "signed-by-"+t.ID)
	answer := fmt.Sprintf("%s %s %s %d %s", t.Service, r.Method, r.URL.Path, len(body), id)
	if hits(faults.SpoilEvery, count) {
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

// end ends the target as a crash does: its listener and all connections close, and it
// says nothing more.
func (t *Target) end() {
	t.stop()
	_ = t.server.Close()
	t.ended.Store(true)
	if t.OnEnd != nil {
		t.told.Do(t.OnEnd)
	}
}

// Ended reports whether the target has ended under a request.
func (t *Target) Ended() bool { return t.ended.Load() }

func (t *Target) note(r *http.Request, id string) {
	run := Run{ID: id, Path: r.URL.Path, Caller: r.Header.Get("Lugspur-Caller-Service"), Method: r.Method, Remaining: -1, At: time.Now(),
		Tenant: r.Header.Get("Lugspur-Tenant"), Key: r.Header.Get("X-Api-Key")}
	if millis, err := strconv.Atoi(r.Header.Get("Lugspur-Deadline-Ms")); err == nil {
		run.Remaining = time.Duration(millis) * time.Millisecond
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append(t.runs, run)
}

// Log returns the requests that ran, in the order of their beginning.
func (t *Target) Log() []Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Run(nil), t.runs...)
}

// Replay sets the log, for checks of those who read it.
func (t *Target) Replay(runs []Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append([]Run(nil), runs...)
}

// Runs returns how often each request ran, by its id.
func (t *Target) Runs() map[string]int {
	runs := make(map[string]int)
	for _, run := range t.Log() {
		runs[run.ID]++
	}
	return runs
}

// Count returns the number of requests that ran.
func (t *Target) Count() int { return len(t.Log()) }

const beatEvery = 100 * time.Millisecond

func (t *Target) beat(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !t.silent.Load() {
			_ = t.sendBeat(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Silence ends the heartbeats.
func (t *Target) Silence() { t.silent.Store(true) }

type heartbeat struct {
	Service  string `json:"service"`
	Address  string `json:"address"`
	Zone     string `json:"zone"`
	Version  string `json:"version"`
	Slots    int    `json:"slots"`
	State    string `json:"state"`
	Sequence uint64 `json:"seq"`
	Born     int64  `json:"born"`
}

func (t *Target) sendBeat(ctx context.Context) error {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(heartbeat{Service: t.Service, Address: t.Address, Zone: t.Zone, Version: "v1", Slots: targetSlots,
		State: state, Sequence: t.sequence.Add(1), Born: t.Born})
	if err != nil {
		return err
	}
	return t.send(ctx, http.MethodPut, body)
}

func (t *Target) send(ctx context.Context, method string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.Control+"/instances/"+t.ID, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("heartbeat answered with %d", response.StatusCode)
	}
	return nil
}

// Drain says that the target leaves. A nil error means that this was
// acknowledged.
func (t *Target) Drain(ctx context.Context) error {
	t.draining.Store(true)
	return t.sendBeat(ctx)
}

// Late sends a heartbeat again that said "ready" before all others, as one that
// was held up on its way.
func (t *Target) Late(ctx context.Context) error {
	body, err := json.Marshal(heartbeat{Service: t.Service, Address: t.Address, Zone: t.Zone, Version: "v1", Slots: targetSlots, State: "ready", Sequence: 1, Born: t.Born})
	if err != nil {
		return err
	}
	return t.send(ctx, http.MethodPut, body)
}

// Leave says that the target is about to end.
func (t *Target) Leave(ctx context.Context) error {
	return t.send(ctx, http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, t.Born))
}
