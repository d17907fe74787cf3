package platformstub

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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
	// Work is how long each request takes.
	Work time.Duration

	sequence atomic.Uint64
	draining atomic.Bool
	silent   atomic.Bool
	mutex    sync.Mutex
	runs     map[string]int
	server   *http.Server
}

const targetSlots = 16

// Start listens and sends heartbeats until the context ends.
func (t *Target) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	t.runs = make(map[string]int)
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(listener) }()
	go t.beat(ctx)
	context.AfterFunc(ctx, func() { _ = t.server.Close() })
	return nil
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Lugspur-Attempt-Id")
	w.Header().Set("Lugspur-Attempt-Id", id)
	w.Header().Set("Lugspur-Instance-Id", t.ID)
	if expected := r.Header.Get("Lugspur-Expect-Instance"); expected != t.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	t.mutex.Lock()
	t.runs[id]++
	t.mutex.Unlock()
	select {
	case <-time.After(t.Work):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Lugspur-Response-Signature", "signed-by-"+t.ID)
	_, _ = fmt.Fprintf(w, "%s %s %s %d", t.Service, r.Method, r.URL.Path, len(body))
}

// Runs returns how often each request ran, by its id.
func (t *Target) Runs() map[string]int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	runs := make(map[string]int, len(t.runs))
	for id, count := range t.runs {
		runs[id] = count
	}
	return runs
}

// Count returns the number of requests that ran.
func (t *Target) Count() int {
	total := 0
	for _, count := range t.Runs() {
		total += count
	}
	return total
}

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
}

func (t *Target) sendBeat(ctx context.Context) error {
	state := "ready"
	if t.draining.Load() {
		state = "draining"
	}
	body, err := json.Marshal(heartbeat{Service: t.Service, Address: t.Address, Zone: t.Zone, Version: "v1", Slots: targetSlots,
		State: state, Sequence: t.sequence.Add(1)})
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

// Leave says that the target is about to end.
func (t *Target) Leave(ctx context.Context) error { return t.send(ctx, http.MethodDelete, nil) }
