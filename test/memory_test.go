package test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	mebibyte = 1 << 20
	// memoryLimit is the default of resources.memory-mb, in bytes.
	memoryLimit = 256 * mebibyte
	// maxBodyBytes is the max-body-bytes of largeBodiesConfiguration.
	maxBodyBytes = 64 * mebibyte
)

const largeBodiesConfiguration = `{"version":"r5","resources":[
 {"resource-type":"routes","metadata":{"name":"read"},"spec":{"host":"a.example","path-prefix":"/read/","route-type":"idempotent","timeout-s":5,"aim-s":2,"priority":1,"service":"one","max-attempts":2}},
 {"resource-type":"routes","metadata":{"name":"download"},"spec":{"host":"a.example","path-prefix":"/download/","route-type":"download","timeout-s":5,"aim-s":2,"priority":1,"service":"one","max-attempts":2}},
 {"resource-type":"routes","metadata":{"name":"upload"},"spec":{"host":"a.example","path-prefix":"/upload/","route-type":"non_idempotent","timeout-s":5,"aim-s":2,"priority":0,"service":"one","max-attempts":2}},
 {"resource-type":"services","metadata":{"name":"one"},"spec":{"health-path":"/health","max-connections":100}},
 {"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}`

// startMemoryPlatform starts two nodes with largeBodiesConfiguration. The target of the first runs all
// requests, so that those at the second pass through both.
func startMemoryPlatform(t *testing.T) *platform {
	t.Helper()
	p := startPlatform(t, "east", "west")
	entry, err := p.store.Get(context.Background(), "op/config")
	assert.NilError(t, err)
	p.configure(entry.Revision, largeBodiesConfiguration)
	assert.NilError(t, p.nodes[1].target.Drain(context.Background()))
	for _, n := range p.nodes {
		p.awaitHomes(n, 1)
		p.awaitServed(n, "/download/x")
	}
	return p
}

// residentBytes returns the resident memory of a node's process, 0 if it has ended.
func residentBytes(n *platformNode) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.process.Process.Pid))
	if err != nil {
		return 0
	}
	pages, err := strconv.ParseInt(strings.Fields(string(content))[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// watchMemory reads the memory of all nodes until the returned function is called, which checks that
// no node used more than it has and that small requests were served all the time.
func (p *platform) watchMemory() (finish func()) {
	done := make(chan struct{})
	peaks := make([]int64, len(p.nodes))
	var watching sync.WaitGroup
	for i, n := range p.nodes {
		watching.Go(func() {
			for {
				peaks[i] = max(peaks[i], residentBytes(n))
				select {
				case <-done:
					return
				case <-time.After(2 * time.Millisecond):
				}
			}
		})
	}
	load := p.startLoad("/read/x", p.nodes...)
	return func() {
		p.t.Helper()
		statuses := load.stopAndCount()
		close(done)
		watching.Wait()
		for i, n := range p.nodes {
			p.t.Logf("%s: at most %d MiB; small requests by status: %v", n.name, peaks[i]/mebibyte, statuses)
			assert.Check(p.t, peaks[i] > 0 && peaks[i] < memoryLimit, "%s used %d MiB", n.name, peaks[i]/mebibyte)
			assert.Check(p.t, len(n.exited) == 0, "%s has exited", n.name)
		}
		assert.Check(p.t, statuses[http.StatusOK] > 0 && len(statuses) == 1, "small requests by status: %v", statuses)
	}
}

func isDownload(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/download/") }

// endlessBody writes until the connection is closed.
func endlessBody(w io.Writer) {
	chunk := make([]byte, 256<<10)
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
	}
}

func respondWithoutEnd(w http.ResponseWriter, r *http.Request) bool {
	if !isDownload(r) {
		return false
	}
	switch r.URL.Path {
	case "/download/length":
		w.Header().Set("Content-Length", strconv.Itoa(900<<30))
	case "/download/close":
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return true
		}
		defer func() { _ = connection.Close() }()
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(connection)
		_, _ = io.WriteString(connection, "Connection: close\r\n\r\n")
		endlessBody(connection)
		return true
	}
	endlessBody(w)
	return true
}

func TestResponsesWithoutEndStayInMemory(t *testing.T) {
	p := startMemoryPlatform(t)
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Respond: respondWithoutEnd})
	}
	for _, form := range []string{"chunks", "close", "length"} {
		t.Run(form, func(t *testing.T) {
			finish := p.watchMemory()
			var sending sync.WaitGroup
			for i := range 8 {
				sending.Go(func() {
					time.Sleep(time.Duration(i) * 50 * time.Millisecond)
					request, _ := p.request(p.nodes[i%2], http.MethodGet, "/download/"+form)
					status, _, _ := doRequest(request)
					assert.Check(t, status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout, "status %d", status)
				})
			}
			sending.Wait()
			finish()
		})
	}
}

// respondWith returns a response to downloads with the content.
func respondWith(content []byte) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		if isDownload(r) {
			w.Header().Set("Content-Length", strconv.Itoa(len(content)))
			_, _ = w.Write(content)
		}
		return isDownload(r)
	}
}

// readSlowly sends a request and reads its response at the pace for the time. It returns the status.
func (p *platform) readSlowly(n *platformNode, path string, bytesPerSecond int, limit time.Duration) int {
	request, _ := p.request(n, http.MethodGet, path)
	request.Body, request.ContentLength = nil, 0
	dialer := &net.Dialer{}
	transport := &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		connection, err := dialer.DialContext(ctx, network, address)
		if err == nil {
			err = connection.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
		return connection, err
	}}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	buffer := make([]byte, 64<<10)
	for end := time.Now().Add(limit); time.Now().Before(end); {
		n, err := response.Body.Read(buffer)
		if err != nil {
			break
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
	}
	return response.StatusCode
}

func TestSlowReadersOfLargeResponsesStayInMemory(t *testing.T) {
	p := startMemoryPlatform(t)
	content := make([]byte, 24*mebibyte)
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Respond: respondWith(content)})
	}
	finish := p.watchMemory()
	var served, refused atomic.Int64
	var reading sync.WaitGroup
	for i := range 48 {
		reading.Go(func() {
			time.Sleep(time.Duration(i/2) * 50 * time.Millisecond)
			switch status := p.readSlowly(p.nodes[i%2], "/download/x", 13*mebibyte, 2*time.Second); status {
			case http.StatusOK:
				served.Add(1)
			case http.StatusServiceUnavailable:
				refused.Add(1)
			case http.StatusBadGateway:
			default:
				t.Errorf("status %d", status)
			}
		})
	}
	reading.Wait()
	t.Logf("%d of 48 served, %d refused", served.Load(), refused.Load())
	finish()
	assert.Check(t, served.Load() >= 4, "%d served", served.Load())
}

func TestLargeRequestBodiesStayInMemory(t *testing.T) {
	p := startMemoryPlatform(t)
	body := make([]byte, maxBodyBytes)
	finish := p.watchMemory()
	var statuses sync.Map
	var sending sync.WaitGroup
	for i := range 6 {
		sending.Go(func() {
			time.Sleep(time.Duration(i/2) * 100 * time.Millisecond)
			request, id := p.request(p.nodes[i%2], http.MethodPost, "/upload/x")
			request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), maxBodyBytes
			status, header, _ := doRequest(request)
			statuses.Store(id, status)
			if status == http.StatusServiceUnavailable {
				assert.Check(t, header.Get("Retry-After") != "", "a refusal without Retry-After")
				assert.Equal(t, header.Get("Lugspur-Executed"), "no")
				assert.Check(t, len(p.runsOf(id)) == 0, "a refused request has run")
			}
		})
	}
	sending.Wait()
	finish()
	count := map[int]int{}
	statuses.Range(func(_, status any) bool { count[status.(int)]++; return true })
	t.Logf("large requests by status: %v", count)
	assert.Check(t, count[http.StatusOK] >= 1 && count[http.StatusOK]+count[http.StatusServiceUnavailable] == 6, "large requests by status: %v", count)
}

// runsOf returns the runs of a request at all targets.
func (p *platform) runsOf(id string) (runs []platformstub.Run) {
	for _, n := range p.nodes {
		for _, run := range n.target.Log() {
			if run.ID == id {
				runs = append(runs, run)
			}
		}
	}
	return runs
}

func TestAnnouncedBodiesThatDoNotArriveLeaveMemoryToOthers(t *testing.T) {
	p := startMemoryPlatform(t)
	n := p.nodes[0]
	finish := p.watchMemory()
	var stalled []net.Conn
	for i := range 40 {
		connection, err := net.Dial("tcp", n.calls)
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		stalled = append(stalled, connection)
		_, err = fmt.Fprintf(connection, "POST /upload/x HTTP/1.1\r\nHost: a.example\r\nLugspur-Attempt-Id: stalled-%d\r\nLugspur-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\nbegin", i, maxBodyBytes)
		assert.NilError(t, err)
	}
	request, _ := p.request(n, http.MethodPost, "/upload/x")
	body := make([]byte, 32*mebibyte)
	request.Body, request.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	status, _, _ := doRequest(request)
	assert.Equal(t, status, http.StatusOK)
	finish()
	for _, connection := range stalled {
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(15*time.Second)))
		answer, err := io.ReadAll(connection)
		assert.NilError(t, err)
		assert.Check(t, strings.HasPrefix(string(answer), "HTTP/1.1 504 "), "answer %q", answer)
	}
	p.awaitNothingHeld(n, "request")
}

// awaitNothingHeld waits until a node holds no message for the purpose.
func (p *platform) awaitNothingHeld(n *platformNode, purpose string) {
	p.t.Helper()
	eventually(p.t, 20*time.Second, "no "+purpose+" is held", func() bool {
		_, text := p.get(n.metrics + "/metrics")
		return strings.Contains(text, fmt.Sprintf("lugspur_message_bytes{purpose=%q} 0\n", purpose))
	})
}

func TestLargeResponseThatNobodyReadsIsCutOff(t *testing.T) {
	p := startMemoryPlatform(t)
	const size = 24 * mebibyte
	for _, n := range p.nodes {
		n.target.SetFaults(platformstub.TargetFaults{Respond: respondWith(make([]byte, size))})
	}
	n := p.nodes[0]
	connection, err := net.Dial("tcp", n.calls)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	runs := n.target.RunCount() + p.nodes[1].target.RunCount()
	_, err = io.WriteString(connection, "GET /download/x HTTP/1.1\r\nHost: a.example\r\nLugspur-Attempt-Id: unread\r\nLugspur-Deadline-Ms: 1000\r\n\r\n")
	assert.NilError(t, err)
	eventually(t, 20*time.Second, "a target runs the request", func() bool { return n.target.RunCount()+p.nodes[1].target.RunCount() > runs })
	time.Sleep(5 * time.Second)
	assert.NilError(t, connection.SetReadDeadline(time.Now().Add(15*time.Second)))
	received, _ := io.Copy(io.Discard, connection)
	assert.Check(t, received < size, "received %d bytes", received)
	p.awaitNothingHeld(n, "response")
}
