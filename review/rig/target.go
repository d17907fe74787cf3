//go:build review

package rig

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is heartbeat-s of the pages' example.
const heartbeatInterval = 1500 * time.Millisecond

// Target is a stand-in of a machine's target. One Target is one start.
type Target struct {
	ID string
	// Born is the start's moment by the time of day of the target's machine.
	Born int64
	Node *Node
	// Work is how long a request runs, and LongWork how long one whose path begins with LongPrefix.
	Work, LongWork time.Duration
	LongPrefix     string
	// AnswerBytes is the size of an answer; zero stands for a short one.
	AnswerBytes int
	// AnswerPrefix limits AnswerBytes to paths that begin with it.
	AnswerPrefix string

	mutex    sync.Mutex
	sequence uint64
	draining bool
	arrivals []Arrival
	server   *http.Server
	stop     context.CancelFunc
}

// Arrival is a request that the target began to run.
type Arrival struct {
	ID string
	At time.Time
}

// Start listens and sends heartbeats.
func (t *Target) Start() error {
	listener, err := net.Listen("tcp", t.Node.Target)
	if err != nil {
		return err
	}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	var ctx context.Context
	ctx, t.stop = context.WithCancel(context.Background())
	go t.sendHeartbeats(ctx)
	return nil
}

// End ends the target at once, as a crash does: its connections break and it says nothing.
func (t *Target) End() {
	t.stop()
	_ = t.server.Close()
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Lugspur-Attempt-Id")
	w.Header().Set("Lugspur-Attempt-Id", id)
	w.Header().Set("Lugspur-Instance-Id", t.ID)
	if expected := r.Header.Get("Lugspur-Expect-Instance"); expected != "" && expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mutex.Lock()
	t.arrivals = append(t.arrivals, Arrival{ID: id, At: time.Now()})
	t.mutex.Unlock()
	work := t.Work
	if t.LongPrefix != "" && strings.HasPrefix(r.URL.Path, t.LongPrefix) {
		work = t.LongWork
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Lugspur-Response-Signature", "signed-by-"+t.ID)
	if t.AnswerBytes > 0 && strings.HasPrefix(r.URL.Path, t.AnswerPrefix) {
		w.Header().Set("Content-Length", strconv.Itoa(t.AnswerBytes))
		_, _ = w.Write(make([]byte, t.AnswerBytes))
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %d %s", r.Method, r.RequestURI, len(body), id)
}

// Arrivals returns the requests that the target began to run.
func (t *Target) Arrivals() []Arrival {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

func (t *Target) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		_, _ = t.SendHeartbeat(ctx)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// SendHeartbeat sends one heartbeat and returns the status of the answer.
func (t *Target) SendHeartbeat(ctx context.Context) (int, error) {
	t.mutex.Lock()
	t.sequence++
	state := "ready"
	if t.draining {
		state = "draining"
	}
	body := fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":%q,"warmup-left-s":0,"seq":%d,"born":%d}`,
		t.Node.Service, t.Node.Target, t.Node.Zone, state, t.sequence, t.Born)
	t.mutex.Unlock()
	return t.call(ctx, http.MethodPut, body)
}

// Drain says that the target leaves, until that is acknowledged. It returns the moment of the
// acknowledgement.
func (t *Target) Drain(ctx context.Context) (time.Time, bool) {
	t.mutex.Lock()
	t.draining = true
	t.mutex.Unlock()
	for ctx.Err() == nil {
		if status, err := t.SendHeartbeat(ctx); err == nil && status/100 == 2 {
			return time.Now(), true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, false
}

// Leave sends the notice that the target ends.
func (t *Target) Leave(ctx context.Context) (int, error) {
	return t.call(ctx, http.MethodDelete, `{"born":`+strconv.FormatInt(t.Born, 10)+`}`)
}

// call makes one call to the machine's control address. An answer counts if it comes within a
// second.
func (t *Target) call(ctx context.Context, method, body string) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+t.Node.Heartbeats+"/instances/"+t.ID, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Node.rig.Logf("%s %s born %d: %v", method, t.ID, t.Born, err)
		return 0, err
	}
	_ = response.Body.Close()
	t.Node.rig.Logf("%s %s %s -> %d", method, t.ID, body, response.StatusCode)
	return response.StatusCode, nil
}
