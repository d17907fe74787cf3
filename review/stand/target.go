//go:build review

package stand

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is one run of a request by a target.
type Run struct {
	ID     string
	Target string
	At     time.Time
}

// Target is a target beside a node. It serves one request at a time on a connection, keeps
// connections, and answers with the request's id.
type Target struct {
	ID, Service, Address, Control, Zone string
	Slots                               int
	Work                                time.Duration
	// Grey is the share of requests that it rejects as not executed (srv_grey, shed), and Extra
	// the share of its answers that it sends a second time, late: in the place where the next
	// answer on the connection is due (garble, extra late).
	Grey, Extra float64
	// Stray is the share of its answers after which it sends more bytes, late: an answer without an
	// id that belongs to no request (garble, extra late).
	Stray float64
	// StrayStatus is the status of that answer.
	StrayStatus int
	// LongShare is the share of requests that take LongWork in place of Work.
	LongShare float64
	LongWork  time.Duration

	mutex    sync.Mutex
	random   *rand.Rand
	running  int
	arrivals int
	runs     []Run
	sequence int
	born     int64
	// Rejected, Surplus, Strays and Answers count what it sent.
	Rejected, Surplus, Strays, Answers int
	listener                           net.Listener
}

// Start listens, and sends heartbeats until the context ends.
func (t *Target) Start(ctx context.Context, seed uint64) error {
	listener, err := net.Listen("tcp", t.Address)
	if err != nil {
		return err
	}
	t.listener, t.random, t.born = listener, rand.New(rand.NewPCG(seed, 7)), time.Now().UnixMilli()
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go t.serve(connection)
		}
	}()
	go t.heartbeats(ctx)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	return nil
}

// Runs returns the runs in their order.
func (t *Target) Runs() []Run {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Run(nil), t.runs...)
}

// Trouble sets the shares of rejected requests and of surplus answers.
func (t *Target) Trouble(grey, extra float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.Grey, t.Extra = grey, extra
}

// SendStray sets the share of answers after which the target sends more bytes, and their status.
func (t *Target) SendStray(share float64, status int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.Stray, t.StrayStatus = share, status
}

// serve serves the requests of one connection, one after the other.
func (t *Target) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	var surplus []byte
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if surplus != nil {
			// The second answer to the request before comes where this one is due.
			if _, err := connection.Write(surplus); err != nil {
				return
			}
			surplus = nil
		}
		answer := t.answer(request, body)
		if _, err := connection.Write(answer); err != nil {
			return
		}
		t.mutex.Lock()
		t.Answers++
		switch {
		case t.draw(t.Extra, t.Surplus, t.Answers):
			surplus = answer
			t.Surplus++
		case t.draw(t.Stray, t.Strays, t.Answers):
			surplus = t.stray()
			t.Strays++
		}
		t.mutex.Unlock()
	}
}

// stray is an answer without an id, as if spoiled. Pages: "Every target answer repeats
// Lugspur-Attempt-Id"; a faulty target "may [...] send more after a whole answer. Such bytes belong
// to no request."
func (t *Target) stray() []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nLugspur-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", t.StrayStatus, http.StatusText(t.StrayStatus))
}

// draw decides by chance, but never lets more than the share of all be taken.
func (t *Target) draw(share float64, taken, all int) bool {
	return share > 0 && float64(taken+1) <= share*float64(all) && t.random.Float64() < share
}

// begin admits a request and records its run.
func (t *Target) begin(id string) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.arrivals++
	if t.running >= t.Slots || t.draw(t.Grey, t.Rejected, t.arrivals) {
		t.Rejected++
		return false
	}
	t.running++
	t.runs = append(t.runs, Run{ID: id, Target: t.ID, At: time.Now()})
	return true
}

func (t *Target) answer(request *http.Request, body []byte) []byte {
	id := request.Header.Get("Lugspur-Attempt-Id")
	switch {
	case request.Header.Get("Lugspur-Expect-Instance") != t.ID:
		return response(http.StatusMisdirectedRequest, id, map[string]string{"Lugspur-Not-Executed": "1"}, "")
	case !t.begin(id):
		return response(http.StatusServiceUnavailable, id, map[string]string{"Lugspur-Not-Executed": "1"}, "")
	}
	time.Sleep(t.workOf())
	t.mutex.Lock()
	t.running--
	load := fmt.Sprintf("%d,0,%d", t.running, t.Slots)
	t.mutex.Unlock()
	return response(http.StatusOK, id, map[string]string{"Lugspur-Response-Signature": "signed-by-" + t.ID, "Lugspur-Server-Load": load},
		fmt.Sprintf("%s %s %s %d %s", t.Service, request.Method, request.URL.Path, len(body), id))
}

// workOf returns how long the next request takes.
func (t *Target) workOf() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.random.Float64() < t.LongShare {
		return t.LongWork
	}
	return t.Work
}

func response(status int, id string, header map[string]string, body string) []byte {
	var answer bytes.Buffer
	fmt.Fprintf(&answer, "HTTP/1.1 %d %s\r\nLugspur-Attempt-Id: %s\r\n", status, http.StatusText(status), id)
	for name, value := range header {
		fmt.Fprintf(&answer, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&answer, "Content-Length: %d\r\n\r\n%s", len(body), body)
	return answer.Bytes()
}

// heartbeatInterval is heartbeat-s of the settings.
const heartbeatInterval = 1500 * time.Millisecond

func (t *Target) heartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		pause := heartbeatInterval
		if t.Heartbeat(ctx, "ready") != http.StatusOK {
			pause = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// Heartbeat sends a heartbeat with the state and returns the status of its answer, 0 for none.
func (t *Target) Heartbeat(ctx context.Context, state string) int {
	t.mutex.Lock()
	t.sequence++
	body, _ := json.Marshal(map[string]any{"service": t.Service, "address": t.Address, "zone": t.Zone, "version": "v1", "slots": t.Slots,
		"state": state, "warmup-left-s": 0, "seq": t.sequence, "born": t.born})
	t.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+t.Control+"/instances/"+t.ID, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	_ = answer.Body.Close()
	return answer.StatusCode
}

// Millis is a helper for headers that hold milliseconds.
func Millis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
