package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/cluster"
)

// Limits of the node in this file, and how much its memory may grow above the usage
// before the attack: 64 bodies of 64 KiB, as many headers and answers, and the garbage
// between collections.
const (
	maxBody         = 64 << 10
	maxMemoryGrowth = 150 << 20
)

func TestHostileInput(t *testing.T) {
	running := startCluster(t, 1, "-limits-read-header-timeout-ms", "500", "-limits-read-body-timeout-ms", "500",
		"-limits-max-body-bytes", fmt.Sprint(maxBody), "-limits-max-concurrent-calls", "64")
	node := running.Nodes[0]
	before, err := node.Usage(t.Context())
	assert.NilError(t, err)
	t.Run("statuses", func(t *testing.T) { testStatuses(t, node) })
	t.Run("forged context", func(t *testing.T) { testForgedContext(t, running, node) })
	t.Run("slow senders", func(t *testing.T) { testSlowSenders(t, node) })
	t.Run("flood", func(t *testing.T) { testFlood(t, node) })
	got := call(t, "GET", node.Addresses.Edge, "/front/x")
	assert.Assert(t, got.complete("front", "back"), "%s", got)
	after, err := node.Usage(t.Context())
	assert.NilError(t, err)
	t.Logf("resident memory: %.0f MiB before, %.0f MiB after", before.Resident/(1<<20), after.Resident/(1<<20))
	assert.Assert(t, after.Resident < before.Resident+maxMemoryGrowth)
}

// sendRaw writes raw bytes and returns the status of the answer, or 0 if the connection
// was closed without one.
func sendRaw(t *testing.T, address, text string, limit time.Duration) (status int, closed bool) {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	assert.NilError(t, connection.SetDeadline(time.Now().Add(limit)))
	_, _ = io.WriteString(connection, text) // the node may close the connection before it has read everything
	reader := bufio.NewReader(connection)
	response, err := http.ReadResponse(reader, nil)
	if err == nil {
		status = response.StatusCode
		_, _ = io.Copy(io.Discard, response.Body)
	}
	_, err = reader.ReadByte()
	var timeout net.Error
	return status, !(asTimeout(err, &timeout) && timeout.Timeout())
}

func asTimeout(err error, target *net.Error) bool {
	timeout, ok := err.(net.Error)
	*target = timeout
	return ok
}

func testStatuses(t *testing.T, node *cluster.Node) {
	const start = "GET /back/x HTTP/1.1\r\nHost: h\r\n"
	for name, c := range map[string]struct {
		text   string
		status int
	}{
		"header too large":      {start + "X: " + strings.Repeat("x", 100_000) + "\r\n\r\n", 431},
		"no HTTP":               {"hello\r\n\r\n", 400},
		"two lengths":           {"POST /back/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400},
		"negative length":       {"POST /back/x HTTP/1.1\r\nHost: h\r\nContent-Length: -5\r\n\r\n", 400},
		"no host":               {"GET /back/x HTTP/1.1\r\n\r\n", 400},
		"malformed header":      {start + "no colon\r\n\r\n", 400},
		"length and chunks":     {"POST /back/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: gzip\r\n\r\nhello", 501},
		"malformed chunk":       {"POST /back/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
		"unknown service":       {"GET /nobody/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 404},
		"no service":            {"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 404},
		"body too large":        {"POST /back/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n", 413},
		"body too large, chunk": {"POST /back/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + strings.Repeat("x", 100_000) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(name, func(t *testing.T) {
			status, _ := sendRaw(t, node.Addresses.Edge, c.text, 3*time.Second)
			assert.Equal(t, status, c.status)
		})
	}
}

func testForgedContext(t *testing.T, running *cluster.Cluster, node *cluster.Node) {
	forged := callcontext.Context{
		RequestID: callcontext.NewRequestID(),
		Ingress:   netip.MustParseAddrPort("127.0.0.1:1"),
		Deadline:  time.Now().Add(time.Hour),
		Rank:      criticality.Rank{},
		Caller:    "president",
	}
	value, err := forged.Encode()
	assert.NilError(t, err)
	runCommand(t, running, "apply", "-f", policyFile(t, "back", `admit = 'call.caller != "president" && call.incoming_rank != "critical-plus"'`))
	eventually(t, 8*time.Second, "policy", func() bool {
		return call(t, "GET", node.Addresses.Edge, "/back/x", header(callcontext.CallerHeader, "president")).status == 403
	})
	baggage := header(callcontext.BaggageHeader, callcontext.MemberName+"="+value)
	got := call(t, "GET", node.Addresses.Edge, "/back/x", baggage, header(problem.ExecutedHeader, "no"))
	assert.Assert(t, got.complete("back"), "the edge accepted a forged context: %s", got)
	for _, record := range executions(t, running)[got.nonce] {
		assert.Assert(t, record.RequestID != forged.RequestID.String())
	}
	assert.Equal(t, call(t, "GET", node.Addresses.Mesh, "/back/x", baggage).status, 403, "the mesh listener does not accept contexts, so the test is inconclusive")
}

func testSlowSenders(t *testing.T, node *cluster.Node) {
	for name, text := range map[string]string{
		"nothing":                 "",
		"half a header":           "GET /back/x HTTP/1.1\r\nHo",
		"no body":                 "POST /back/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n",
		"half a chunk":            "POST /back/x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nabc",
		"no body, other service":  "POST /nobody/x HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n",
		"no body, too large":      "POST /back/x HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\n",
		"no body, not admitted":   "POST /back/x HTTP/1.1\r\nHost: h\r\nLugspur-Caller: president\r\nContent-Length: 100\r\n\r\n",
		"no body, with a timeout": "POST /back/x HTTP/1.1\r\nHost: h\r\nLugspur-Timeout-Ms: 100\r\nContent-Length: 100\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			_, closed := sendRaw(t, node.Addresses.Edge, text, 5*time.Second)
			assert.Assert(t, closed, "the connection was not closed")
		})
	}
}

// testFlood has many senders occupy the maximum of resources concurrently.
func testFlood(t *testing.T, node *cluster.Node) {
	body := strings.Repeat("x", maxBody)
	text := fmt.Sprintf("POST /back/x HTTP/1.1\r\nHost: h\r\nX: %s\r\nContent-Length: %d\r\n\r\n%s", strings.Repeat("h", 20_000), len(body), body)
	statuses := make(chan int, 400)
	var senders sync.WaitGroup
	for i := range cap(statuses) {
		message := text
		if i%2 == 0 {
			message = text[:len(text)-1]
		}
		senders.Go(func() {
			status, _ := sendRaw(t, node.Addresses.Edge, message, 3*time.Second)
			statuses <- status
		})
	}
	senders.Wait()
	close(statuses)
	counts := map[int]int{}
	for status := range statuses {
		counts[status]++
	}
	t.Logf("statuses: %v", counts)
	for status := range counts {
		assert.Check(t, status == 0 || status == 200 || status == 400 || status == 503, "status %d", status)
	}
}
