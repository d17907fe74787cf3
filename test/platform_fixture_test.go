package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/platformstub"
)

// platform is a deployment on a stub of the platform: node processes, each with a target.
type platform struct {
	t        *testing.T
	store    *memory.Store
	stub     *platformstub.Store
	address  string
	logs     string
	nodes    []*platformNode
	requests atomic.Int64
}

// platformNode is a node process with its target.
type platformNode struct {
	name, settings             string
	calls, ready, log, metrics string
	peers                      string
	target                     *platformstub.Target
	process                    *exec.Cmd
	exited                     chan error
}

const configurationTemplate = `{"version":"r%d","resources":[
 {"resource-type":"routes","metadata":{"name":"read"},"spec":{"host":"a.example","path-prefix":"/read/","route-type":"idempotent","timeout-s":5,"aim-s":2,"priority":1,"service":"one","max-attempts":2}},
 {"resource-type":"routes","metadata":{"name":"once"},"spec":{"host":"a.example","path-prefix":"/once/","route-type":"non_idempotent","timeout-s":5,"aim-s":2,"priority":0,"service":"one","max-attempts":2}}%s,
 {"resource-type":"services","metadata":{"name":"one"},"spec":{"health-path":"/health","max-connections":100}},
 {"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":65536,"header-timeout-s":3,"idle-timeout-s":15}}]}`

const addedRoute = `,
 {"resource-type":"routes","metadata":{"name":"added"},"spec":{"host":"a.example","path-prefix":"/added/","route-type":"idempotent","timeout-s":5,"aim-s":2,"priority":1,"service":"one","max-attempts":2}}`

// startPlatform starts a stub of the store, and a node with its target in each zone.
func startPlatform(t *testing.T, zones ...string) *platform {
	t.Helper()
	p := &platform{t: t, store: memory.New(time.Now), logs: logDirectory(t)}
	p.stub = platformstub.NewStore(p.store)
	server := httptest.NewServer(p.stub.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	p.address = strings.TrimPrefix(server.URL, "http://")
	p.configure(0, fmt.Sprintf(configurationTemplate, 1, ""))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i, zone := range zones {
		n := p.newNode(i, zone, "one")
		p.nodes = append(p.nodes, n)
		p.start(n)
		assert.NilError(t, n.target.Start(ctx))
	}
	for _, n := range p.nodes {
		p.awaitReady(n)
		p.awaitHomes(n, len(zones))
		p.awaitServed(n, "/read/x")
	}
	return p
}

func (p *platform) configure(expected store.Revision, document string) store.Revision {
	p.t.Helper()
	revision, err := p.store.CompareAndSwap(context.Background(), "op/config", expected, []byte(document), store.NoLease)
	assert.NilError(p.t, err)
	return revision
}

func (p *platform) newNode(i int, zone, service string) *platformNode {
	p.t.Helper()
	addresses := make([]string, 6)
	for j := range addresses {
		address, err := cluster.FreeAddress()
		assert.NilError(p.t, err)
		addresses[j] = address
	}
	name := fmt.Sprintf("node-%d", i)
	n := &platformNode{
		name:     name,
		settings: filepath.Join(p.logs, name+".toml"),
		log:      filepath.Join(p.logs, name+".log"),
		calls:    addresses[0],
		ready:    addresses[1],
		metrics:  addresses[2],
		peers:    addresses[5],
		target: &platformstub.Target{ID: "i-" + name, Service: service, Address: addresses[3], Control: addresses[4], Zone: zone, ServiceTime: 5 * time.Millisecond,
			Nested: platformstub.NestedCalls{Node: addresses[0], Host: "a.example", Path: "/leaf/x"}},
	}
	content := fmt.Sprintf("name = %q\nzone = %q\nservice = %q\ntarget = %q\nstore = %q\n[listen]\ncalls = %q\npeers = %q\nready = %q\nheartbeats = %q\nmetrics = %q\n[stop]\ngrace-seconds = 6\n",
		name, zone, service, n.target.Address, p.address, n.calls, addresses[5], n.ready, n.target.Control, n.metrics)
	assert.NilError(p.t, os.WriteFile(n.settings, []byte(content), 0o600))
	return n
}

func (p *platform) start(n *platformNode) {
	p.t.Helper()
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	assert.NilError(p.t, err)
	p.startWithOutput(n, log)
}

// startWithOutput starts a node that writes to the file, which is closed once the node has exited.
func (p *platform) startWithOutput(n *platformNode, output *os.File) {
	p.t.Helper()
	n.process = exec.Command(program("lugspur-sidecar"), "run", "-f", n.settings)
	n.process.Stdout, n.process.Stderr = output, output
	assert.NilError(p.t, n.process.Start())
	n.exited = make(chan error, 1)
	process, exited := n.process, n.exited
	go func() {
		exited <- process.Wait()
		_ = output.Close()
	}()
	p.t.Cleanup(func() { _ = process.Process.Kill() })
}

func (p *platform) get(address string) (int, string) {
	response, err := http.Get("http://" + address)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func (p *platform) awaitReady(n *platformNode) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if status, _ := p.get(n.ready + "/ready"); status != http.StatusOK {
			return poll.Continue("%s answers %d", n.name, status)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (p *platform) awaitHomes(n *platformNode, count int) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		_, text := p.get(n.metrics + "/metrics")
		if !strings.Contains(text, fmt.Sprintf("lugspur_homes_known %d\n", count)) {
			return poll.Continue("%s has not found all homes", n.name)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

func (p *platform) awaitServed(n *platformNode, path string) {
	p.t.Helper()
	poll.WaitOn(p.t, func(poll.LogT) poll.Result {
		if status, _ := p.send(n, path); status != http.StatusOK {
			return poll.Continue("%s answers %d", n.name, status)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(50*time.Millisecond))
}

// request creates a request to the node and returns its id.
func (p *platform) request(n *platformNode, method, path string) (*http.Request, string) {
	id := fmt.Sprintf("request-%d", p.requests.Add(1))
	request, err := http.NewRequest(method, "http://"+n.calls+path, strings.NewReader("body"))
	assert.NilError(p.t, err)
	request.Host = "a.example"
	request.Header.Set("Lugspur-Attempt-Id", id)
	request.Header.Set("Lugspur-Deadline-Ms", "5000")
	return request, id
}

// send sends one request through the node and returns its status and id; status 0 means
// that there was no complete answer. A success must carry a target's signature.
func (p *platform) send(n *platformNode, path string) (int, string) {
	method := http.MethodGet
	if strings.HasPrefix(path, "/once/") {
		method = http.MethodPost
	}
	request, id := p.request(n, method, path)
	status, header, body := doRequest(request)
	if status == http.StatusOK {
		assert.Check(p.t, header.Get("Lugspur-Response-Signature") != "", "a success without signature")
		assert.Check(p.t, strings.HasPrefix(body, "one "+method+" "+path), "body %q", body)
	}
	return status, id
}

// startSlowRequest sends a request that its target runs for a second. It returns once the target runs
// it; the channel receives the status.
func (p *platform) startSlowRequest(n *platformNode) <-chan int {
	p.t.Helper()
	n.target.SetFaults(platformstub.TargetFaults{Delay: time.Second})
	answered := make(chan int, 1)
	runs := n.target.RunCount()
	go func() {
		status, _ := p.send(n, "/once/x")
		answered <- status
	}()
	eventually(p.t, 20*time.Second, "the target runs the request", func() bool { return n.target.RunCount() > runs })
	return answered
}

// doRequest sends a request; status 0 means that there was no complete answer.
func doRequest(request *http.Request) (status int, header http.Header, body string) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, ""
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, ""
	}
	return response.StatusCode, response.Header, string(content)
}

// steadyLoad sends requests through all given nodes concurrently until stopped and counts
// the answers by status.
type steadyLoad struct {
	stop     chan struct{}
	group    sync.WaitGroup
	mutex    sync.Mutex
	statuses map[int]int
}

func (p *platform) startLoad(path string, nodes ...*platformNode) *steadyLoad {
	l := &steadyLoad{stop: make(chan struct{}), statuses: make(map[int]int)}
	for _, n := range nodes {
		l.group.Go(func() {
			for {
				select {
				case <-l.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				status, _ := p.send(n, path)
				l.mutex.Lock()
				l.statuses[status]++
				l.mutex.Unlock()
			}
		})
	}
	return l
}

func (l *steadyLoad) stopAndCount() map[int]int {
	close(l.stop)
	l.group.Wait()
	return l.statuses
}

func (p *platform) target(i int) *platformstub.Target { return p.nodes[i].target }
