package platformstub

import (
	"bytes"
	"cmp"
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

// Target is the stub of a node's target. Its response to each request includes the
// request's ID. It sends heartbeats to the node.
type Target struct {
	// ID and Service identify the target; Address is its listener and Control the
	// receiver of its heartbeats.
	ID, Service, Address, Control, Zone string
	// Advertised is the address in its heartbeats, which the node's settings name; empty means
	// Address.
	Advertised string
	// StartedAt is the target's start time in Unix milliseconds; zero means the time of Start.
	StartedAt int64
	// ServiceTime is the service time of each request.
	ServiceTime time.Duration
	// ReportsPace makes responses report the target's load with its pace, which follows
	// TargetFaults.Delay. Every malformedReportEvery-th report is malformed.
	ReportsPace bool
	// LargePrefix is the path prefix of requests whose responses have LargeBytes more bytes; empty
	// means that no request does.
	LargePrefix string
	LargeBytes  int
	// Nested are the calls that the target makes while it runs a request; if one fails, so
	// does the request.
	Nested NestedCalls
	// Long and Large are requests that differ from the others.
	Long  LongRuns
	Large LargeResponses
	// OnCrash is called once, after the target has crashed; it may be nil.
	OnCrash func()

	sequence          atomic.Uint64
	draining          atomic.Bool
	heartbeatsStopped atomic.Bool
	crashed           atomic.Bool
	crashOnce         sync.Once
	mutex             sync.Mutex
	faults            TargetFaults
	rateLimits        []string
	announcements     []RateAnnouncement
	leaving           bool
	requests          uint64
	runs              []Run
	arrivals          []Arrival
	running           atomic.Int64
	server            *http.Server
	stop              context.CancelFunc
}

// Run is a request that a target began to execute.
type Run struct {
	// ID, Path and Caller are as the target received them.
	ID, Path, Caller string
	Method           string
	// Tenant is the received tenant and Key the received API key, which nodes must not
	// forward.
	Tenant, Key string
	// Remaining is the received time until the deadline; negative if there was none.
	Remaining time.Duration
	At        time.Time
}

// LongRuns are requests that take longer than the service time. The target ends them at the deadline
// that it receives, with status 504.
type LongRuns struct {
	// PathPart is a part of their path; empty means that there are none.
	PathPart string
	Time     time.Duration
}

// LargeResponses are responses that the target pads to a size.
type LargeResponses struct {
	// PathPart is a part of their requests' path; empty means that there are none.
	PathPart string
	Bytes    int
}

// TargetFaults are the faults of a target.
type TargetFaults struct {
	// Delay is added to the service time of each request.
	Delay time.Duration
	// DropEvery closes the connection instead of sending the response of every n-th
	// request; zero disables it.
	DropEvery uint64
	// TruncateEvery truncates the body of every n-th response; zero disables it.
	TruncateEvery uint64
	// RejectEvery rejects every n-th request as not executed; zero disables it.
	RejectEvery uint64
	// EndlessEvery sends a response without end to every n-th request, and InvalidStatusEvery one
	// whose status is not valid; zero disables them.
	EndlessEvery, InvalidStatusEvery uint64
	// StatusLine replaces the status line of each response, which is sent as raw bytes; empty
	// disables it. The connection stays open.
	StatusLine string
	// CrashPrefix is the path prefix of requests that crash the target at the end of their
	// service time; empty means that no request does.
	CrashPrefix string
	// Respond writes the response to a request in place of the target if it returns true; it may
	// be nil. The identifying header fields are set.
	Respond func(w http.ResponseWriter, r *http.Request) bool
}

const targetSlots = 16

// Start listens and sends heartbeats until the context ends.
func (t *Target) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	if t.StartedAt == 0 {
		t.StartedAt = time.Now().UnixMilli()
	}
	ctx, t.stop = context.WithCancel(ctx)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	go t.sendHeartbeats(ctx)
	context.AfterFunc(ctx, func() { _ = t.server.Close() })
	return nil
}

// Close closes the target's listener and connections.
func (t *Target) Close() { _ = t.server.Close() }

// SetFaults replaces the faults.
func (t *Target) SetFaults(faults TargetFaults) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.faults = faults
}

// countRequest counts a request and returns the current faults and the count.
func (t *Target) countRequest() (TargetFaults, uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.requests++
	return t.faults, t.requests
}

func isNth(every, count uint64) bool { return every > 0 && count%every == 0 }

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Lugspur-Attempt-Id")
	w.Header().Set("Lugspur-Attempt-Id", id)
	w.Header().Set("Lugspur-Instance-Id", t.ID)
	w.Header().Set(StartHeader, strconv.FormatInt(t.StartedAt, 10))
	if expected := r.Header.Get("Lugspur-Expect-Instance"); expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	faults, count := t.countRequest()
	t.recordArrival(id)
	if isNth(faults.RejectEvery, count) {
		t.setAnnouncements(w.Header())
		w.Header().Set("Lugspur-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.recordRun(r, id)
	t.running.Add(1)
	defer t.running.Add(-1)
	deadlinePassed := make(<-chan time.Time)
	serviceTime := t.ServiceTime + faults.Delay
	if hasPart(r, t.Long.PathPart) {
		serviceTime = t.Long.Time
		deadlinePassed = time.After(remainingTime(r))
	}
	select {
	case <-time.After(serviceTime):
	case <-deadlinePassed:
		w.Header().Set("Lugspur-Response-Signature", "signed-by-"+t.ID)
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	t.setAnnouncements(w.Header())
	t.setLoadReport(w.Header(), faults, count)
	if faults.CrashPrefix != "" && strings.HasPrefix(r.URL.Path, faults.CrashPrefix) {
		t.crash()
		panic(http.ErrAbortHandler)
	}
	if !hasPart(r, t.Nested.ExceptPathPart) && !t.Nested.run(r, id) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	if isNth(faults.DropEvery, count) {
		panic(http.ErrAbortHandler)
	}
	if isNth(faults.EndlessEvery, count) {
		t.sendEndless(w, id, count/faults.EndlessEvery)
		return
	}
	if isNth(faults.InvalidStatusEvery, count) {
		t.sendInvalidStatus(w, id, count/faults.InvalidStatusEvery)
		return
	}
	w.Header().Set("Lugspur-Response-Signature", "signed-by-"+t.ID)
	if faults.Respond != nil && faults.Respond(w, r) {
		return
	}
	response := fmt.Sprintf("%s %s %s %d %s", t.Service, r.Method, r.URL.Path, len(body), id)
	if faults.StatusLine != "" {
		writeRaw(w, faults.StatusLine, response)
		return
	}
	if hasPart(r, t.Large.PathPart) {
		response += strings.Repeat(" ", max(t.Large.Bytes-len(response), 0))
	}
	if isNth(faults.TruncateEvery, count) {
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
		_, _ = io.WriteString(w, response[:len(response)/2])
		panic(http.ErrAbortHandler)
	}
	if t.LargePrefix != "" && strings.HasPrefix(r.URL.Path, t.LargePrefix) {
		w.Header().Set("Content-Length", strconv.Itoa(t.LargeBytes+len(response)))
		writePadded(w, t.LargeBytes, response)
		return
	}
	_, _ = io.WriteString(w, response)
}

// writeRaw writes a response with the status line and leaves the connection open until the client
// closes it.
func writeRaw(w http.ResponseWriter, statusLine, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	connection, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer connection.Close()
	var response bytes.Buffer
	response.WriteString(statusLine + "\r\n")
	_ = w.Header().Write(&response)
	response.WriteString("\r\n" + body)
	if _, err := connection.Write(response.Bytes()); err == nil {
		_, _ = io.Copy(io.Discard, connection)
	}
}

// hasPart reports whether a request's path contains the part, unless that is empty.
func hasPart(r *http.Request, part string) bool {
	return part != "" && strings.Contains(r.URL.Path, part)
}

// remainingTime returns the time until the deadline that the target received, negative if there was
// none.
func remainingTime(r *http.Request) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("Lugspur-Deadline-Ms"))
	if err != nil {
		return -1
	}
	return time.Duration(millis) * time.Millisecond
}

// crash simulates a crash of the target: it closes the listener and all connections and
// stops the heartbeats.
func (t *Target) crash() {
	t.stop()
	_ = t.server.Close()
	t.crashed.Store(true)
	if t.OnCrash != nil {
		t.crashOnce.Do(t.OnCrash)
	}
}

// Crashed reports whether a request has crashed the target.
func (t *Target) Crashed() bool { return t.crashed.Load() }

func (t *Target) recordRun(r *http.Request, id string) {
	run := Run{ID: id, Path: r.URL.Path, Caller: r.Header.Get("Lugspur-Caller-Service"), Method: r.Method, Remaining: remainingTime(r), At: time.Now(),
		Tenant: r.Header.Get("Lugspur-Tenant"), Key: r.Header.Get("X-Api-Key")}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append(t.runs, run)
}

// Log returns the executed requests in the order of their start.
func (t *Target) Log() []Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Run(nil), t.runs...)
}

// SetLog replaces the log, for tests of code that reads it.
func (t *Target) SetLog(runs []Run) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.runs = append([]Run(nil), runs...)
}

// Runs returns the number of executions of each request ID.
func (t *Target) Runs() map[string]int {
	runs := make(map[string]int)
	for _, run := range t.Log() {
		runs[run.ID]++
	}
	return runs
}

// RunCount returns the number of executions.
func (t *Target) RunCount() int { return len(t.Log()) }

const heartbeatInterval = 100 * time.Millisecond

func (t *Target) sendHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if !t.heartbeatsStopped.Load() {
			_ = t.sendHeartbeat(ctx)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// StopHeartbeats stops the heartbeats.
func (t *Target) StopHeartbeats() { t.heartbeatsStopped.Store(true) }

type heartbeat struct {
	Service   string `json:"service"`
	Address   string `json:"address"`
	Zone      string `json:"zone"`
	Version   string `json:"version"`
	Slots     int    `json:"slots"`
	State     string `json:"state"`
	Sequence  uint64 `json:"seq"`
	StartedAt int64  `json:"born"`
}

func (t *Target) sendHeartbeat(ctx context.Context) error {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(heartbeat{Service: t.Service, Address: cmp.Or(t.Advertised, t.Address), Zone: t.Zone, Version: "v1", Slots: targetSlots,
		State: state, Sequence: t.sequence.Add(1), StartedAt: t.StartedAt})
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
		return fmt.Errorf("heartbeat got status %d", response.StatusCode)
	}
	return nil
}

// Drain sends a heartbeat that reports the target as draining. A nil error means
// that it was acknowledged.
func (t *Target) Drain(ctx context.Context) error {
	t.draining.Store(true)
	return t.sendHeartbeat(ctx)
}

// SendStaleHeartbeat sends a "ready" heartbeat with the first sequence number, like one
// that was delayed in the network.
func (t *Target) SendStaleHeartbeat(ctx context.Context) error {
	body, err := json.Marshal(heartbeat{Service: t.Service, Address: cmp.Or(t.Advertised, t.Address), Zone: t.Zone, Version: "v1", Slots: targetSlots, State: "ready", Sequence: 1, StartedAt: t.StartedAt})
	if err != nil {
		return err
	}
	return t.send(ctx, http.MethodPut, body)
}

// Deregister deregisters the target.
func (t *Target) Deregister(ctx context.Context) error {
	return t.send(ctx, http.MethodDelete, fmt.Appendf(nil, `{"born":%d}`, t.StartedAt))
}
