package test

import (
	"bufio"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	stopGrace       = 6 * time.Second
	stopDeadline    = 5 * time.Second
	largeResponse   = 8 << 20
	slowReaderPace  = 6 << 20
	longRun         = 3 * time.Second
	minServedInStop = 100
)

// mixedRoutes are routes on which a few requests take much longer than the others.
const mixedRoutes = `,
 {"resource-type":"routes","metadata":{"name":"mixed"},"spec":{"host":"a.example","path-prefix":"/mixed/","route-type":"idempotent","timeout-s":5,"aim-s":2,"priority":1,"service":"one","max-attempts":2}},
 {"resource-type":"routes","metadata":{"name":"mixed-once"},"spec":{"host":"a.example","path-prefix":"/mixed-once/","route-type":"non_idempotent","timeout-s":5,"aim-s":2,"priority":0,"service":"one","max-attempts":2}}`

var plannedStopSeed = flag.Uint64("planned-stop-seed", 1, "seed of the clients and the order of planned stops")

// stopCall is one attempt of a client during planned stops.
type stopCall struct {
	id, path   string
	status     int
	complete   bool
	err        error
	sent, ends time.Time
}

func (c *stopCall) String() string {
	return fmt.Sprintf("%s %s: status %d, complete %v, %v, sent %s, took %s", c.id, c.path, c.status, c.complete, c.err, c.sent.Format("05.000"), c.ends.Sub(c.sent))
}

// stopClients send requests to a node until it is gone.
type stopClients struct {
	p     *platform
	group sync.WaitGroup
	mutex sync.Mutex
	calls []stopCall
}

// stopClient is one client. It uses a connection for as long as the node leaves it open, unless it
// opens a new one for each request.
type stopClient struct {
	clients *stopClients
	node    *platformNode
	random  *rand.Rand
	renew   bool
	// request sends one request over a connection and reads its response.
	request func(c *stopClient, connection net.Conn, call *stopCall)
	path    string
	// pause is the longest time between two requests.
	pause time.Duration
}

// start starts a client of each kind at the node.
func (s *stopClients) start(n *platformNode, seed uint64) {
	const often, seldom = 10 * time.Millisecond, 300 * time.Millisecond
	for number, client := range []*stopClient{
		{path: "/read/x", request: sendWhole, pause: often},
		{path: "/once/x", request: sendWhole, pause: often},
		{path: "/once/x", request: sendWhole, pause: often, renew: true},
		{path: "/read/leaf/x", request: sendWhole, pause: often, renew: true},
		{path: "/mixed/x", request: sendWhole, pause: often},
		{path: "/mixed/x", request: sendWhole, pause: often, renew: true},
		{path: "/mixed/long/x", request: sendWhole, pause: seldom, renew: true},
		{path: "/mixed-once/x", request: sendWhole, pause: often, renew: true},
		{path: "/mixed-once/x", request: sendWhole, pause: often, renew: true},
		{path: "/mixed-once/long/x", request: sendWhole, pause: seldom, renew: true},
		{path: "/once/leaf/slow", request: sendSlowly, pause: often},
		{path: "/once/leaf/slow", request: sendSlowly, pause: often, renew: true},
		{path: "/read/leaf/slow", request: sendSlowly, pause: often, renew: true},
		{path: "/read/leaf/slow", request: sendSlowly, pause: often, renew: true},
		{path: "/added/leaf/x", request: sendWhole, pause: often, renew: true},
		{path: "/added/leaf/large", request: readSlowly, pause: seldom, renew: true},
		{path: "/added/leaf/large", request: readSlowly, pause: seldom, renew: true},
	} {
		client.clients, client.node = s, n
		client.random = rand.New(rand.NewPCG(seed, uint64(number)))
		s.group.Go(client.run)
	}
}

func (c *stopClient) run() {
	var connection net.Conn
	for {
		if connection == nil {
			opened, err := net.DialTimeout("tcp", c.node.calls, time.Second)
			if err != nil {
				return
			}
			connection = opened
		}
		call := stopCall{id: fmt.Sprintf("request-%d", c.clients.p.requests.Add(1)), path: c.path, sent: time.Now()}
		_ = connection.SetDeadline(call.sent.Add(2 * stopDeadline))
		c.request(c, connection, &call)
		call.ends = time.Now()
		c.clients.record(call)
		if c.renew || call.err != nil {
			_ = connection.Close()
			connection = nil
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(c.pause))))
	}
}

func (s *stopClients) record(call stopCall) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls = append(s.calls, call)
}

func writeHeader(connection net.Conn, call *stopCall) error {
	_, err := fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: a.example\r\nLugspur-Attempt-Id: %s\r\nLugspur-Deadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n",
		call.path, call.id, stopDeadline.Milliseconds())
	return err
}

const (
	bodyPart = "4\r\npart\r\n"
	bodyEnd  = "0\r\n\r\n"
)

// read reads the response, at the pace in bytes per second, zero for no limit. An open connection is
// used further, whatever the response says.
func (c *stopCall) read(connection io.Reader, pace int) {
	response, err := http.ReadResponse(bufio.NewReaderSize(connection, 512), nil)
	if c.err = err; err != nil {
		return
	}
	c.status = response.StatusCode
	buffer := make([]byte, 64<<10)
	for err == nil {
		var read int
		read, err = response.Body.Read(buffer)
		if pace > 0 {
			time.Sleep(time.Duration(read) * time.Second / time.Duration(pace))
		}
	}
	if c.complete = errors.Is(err, io.EOF); !c.complete {
		c.err = err
	}
}

func sendWhole(_ *stopClient, connection net.Conn, call *stopCall) {
	if call.err = writeHeader(connection, call); call.err == nil {
		_, _ = io.WriteString(connection, bodyPart+bodyEnd)
	}
	call.read(connection, 0)
}

// sendSlowly sends the body in parts until a response arrives.
func sendSlowly(c *stopClient, connection net.Conn, call *stopCall) {
	if call.err = writeHeader(connection, call); call.err != nil {
		return
	}
	const parts = 20
	pause := time.Duration(c.random.Int64N(int64(2500*time.Millisecond))) / parts
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		call.read(connection, 0)
	}()
	for range parts {
		select {
		case <-answered:
			return
		case <-time.After(pause):
		}
		_, _ = io.WriteString(connection, bodyPart)
	}
	_, _ = io.WriteString(connection, bodyEnd)
	<-answered
}

func readSlowly(_ *stopClient, connection net.Conn, call *stopCall) {
	_ = connection.(*net.TCPConn).SetReadBuffer(64 << 10)
	if call.err = writeHeader(connection, call); call.err == nil {
		_, _ = io.WriteString(connection, bodyPart+bodyEnd)
	}
	call.read(connection, slowReaderPace)
}

// TestRequestsAreNotCutInPlannedStops guards against requests that run and whose connection ends
// without a complete response, because a node exits at the end of its planned stop.
func TestRequestsAreNotCutInPlannedStops(t *testing.T) {
	for _, test := range []struct {
		name string
		// stopped is the number of nodes that are stopped, up to a second apart.
		stopped                int
		storeDown, signalTwice bool
	}{
		{name: "one", stopped: 1},
		{name: "one, two signals", stopped: 1, signalTwice: true},
		{name: "all at once", stopped: 3},
		{name: "one without store", stopped: 1, storeDown: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := startPlatform(t, "west", "east", "east")
			entry, err := p.store.Get(t.Context(), "op/config")
			assert.NilError(t, err)
			p.configure(entry.Revision, fmt.Sprintf(configurationTemplate, 2, addedRoute+mixedRoutes))
			for _, n := range p.nodes {
				p.awaitServed(n, "/added/x")
				n.target.Nested = platformstub.NestedCalls{Count: 1, Node: n.calls, Host: "a.example", Path: "/read/leaf/x", ExceptPathPart: "/leaf/"}
				n.target.ServiceTime = 50 * time.Millisecond
				n.target.Long = platformstub.LongRuns{PathPart: "/long/", Time: longRun}
				n.target.Large = platformstub.LargeResponses{PathPart: "/large", Bytes: largeResponse}
			}
			playStops(p, *plannedStopSeed, test.stopped, test.storeDown, test.signalTwice)
		})
	}
}

func playStops(p *platform, seed uint64, count int, storeDown, signalTwice bool) {
	random := rand.New(rand.NewPCG(seed, 0))
	clients := &stopClients{p: p}
	for i, n := range p.nodes[:count] {
		clients.start(n, seed+uint64(i))
	}
	time.Sleep(2 * time.Second)
	p.stub.SetFaults(platformstub.Faults{Down: storeDown})
	stopped := time.Now()
	var stops sync.WaitGroup
	for _, n := range p.nodes[:count] {
		delay := time.Duration(random.Int64N(int64(time.Second)))
		stops.Go(func() {
			time.Sleep(delay)
			p.stopNode(n, signalTwice)
		})
	}
	stops.Wait()
	clients.group.Wait()
	p.judgeStops(clients.calls, stopped)
}

// stopNode stops a node and checks that it exits by itself in time.
func (p *platform) stopNode(n *platformNode, signalTwice bool) {
	signaled := time.Now()
	assert.Check(p.t, n.process.Process.Signal(syscall.SIGTERM))
	if signalTwice {
		time.Sleep(time.Second)
		assert.Check(p.t, n.process.Process.Signal(syscall.SIGTERM))
	}
	assert.Check(p.t, <-n.exited)
	assert.Check(p.t, time.Since(signaled) < stopGrace, "%s took %s", n.name, time.Since(signaled))
}

// judgeStops checks what became of each request.
func (p *platform) judgeStops(calls []stopCall, stopped time.Time) {
	runs := make(map[string]int)
	for _, n := range p.nodes {
		for id, count := range n.target.Runs() {
			runs[id] += count
		}
	}
	served := 0
	outcomes := make(map[string]int)
	for i := range calls {
		call := &calls[i]
		outcomes[fmt.Sprintf("%s %d", call.path, call.status)]++
		if call.status == http.StatusOK && call.sent.After(stopped) {
			served++
		}
		once := strings.Contains(call.path, "once/")
		assert.Check(p.t, call.complete || runs[call.id] == 0, "cut: %s", call)
		assert.Check(p.t, !once || runs[call.id] <= 1, "run twice: %s", call)
		assert.Check(p.t, !once || call.status != http.StatusServiceUnavailable || runs[call.id] == 0, "run and refused: %s", call)
	}
	p.t.Log(outcomes)
	assert.Check(p.t, served >= minServedInStop, "served %d", served)
}
