package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// callDeadline is the deadline that callers send. After it they wait for
	// responseGrace before they record that no response arrived.
	callDeadline  = 2 * time.Second
	responseGrace = 1500 * time.Millisecond
	// readinessInterval is the period of the readiness checks. After
	// maxReadinessFailures consecutive failures a machine gets no more requests.
	readinessInterval    = time.Second
	maxReadinessFailures = 2
	// maxOutstanding limits the open requests of one machine's callers.
	maxOutstanding = 256
	// Shares of the requests that are non-idempotent, and that require a version.
	nonIdempotentShare = 0.35
	versionShare       = 0.2
	// newConnectionShare is the share of the requests that open a new connection.
	newConnectionShare = 0.3
)

// callers send requests to all machines.
type callers struct {
	deployment *deployment
	recorder   *recorder
	rate       float64
	seed       uint64
	requests   atomic.Uint64
}

// run sends requests until the context ends, then waits for all responses.
func (c *callers) run(ctx context.Context) {
	var running sync.WaitGroup
	for machine := range c.deployment.machines {
		running.Go(func() { c.callMachine(ctx, machine) })
	}
	running.Wait()
}

// callMachine sends requests to one machine at exponentially distributed intervals.
func (c *callers) callMachine(ctx context.Context, machine int) {
	var ready atomic.Bool
	ready.Store(true)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.pollReadiness(ctx, machine, &ready) })
	random := rand.New(rand.NewPCG(c.seed, uint64(machine)))
	pooled := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOutstanding}, Timeout: callDeadline + responseGrace}
	unpooled := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callDeadline + responseGrace}
	defer pooled.CloseIdleConnections()
	slots := make(chan struct{}, maxOutstanding)
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(random.ExpFloat64()/c.rate*float64(time.Second)))
		if !ready.Load() {
			continue
		}
		request := c.newRequest(random, machine)
		client := pooled
		if random.Float64() < newConnectionShare {
			client = unpooled
		}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		running.Go(func() {
			c.send(client, request)
			<-slots
		})
	}
}

// pollReadiness checks whether the machine is ready, as the platform does.
func (c *callers) pollReadiness(ctx context.Context, machine int, ready *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readinessInterval}
	failures := 0
	for ctx.Err() == nil {
		pause.For(ctx, readinessInterval)
		response, err := client.Get("http://" + c.deployment.machines[machine].readyAddress + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			failures = 0
		} else {
			failures++
		}
		ready.Store(failures < maxReadinessFailures)
	}
}

// newRequest returns a random request. One that requires a version uses the newest
// or the previous one.
func (c *callers) newRequest(random *rand.Rand, machine int) Request {
	number := c.requests.Add(1)
	request := Request{ID: fmt.Sprintf("%016x", number), Machine: machine, Method: http.MethodGet, Deadline: callDeadline}
	service := services[random.IntN(len(services))]
	switch roll := random.Float64(); {
	case roll < versionShare:
		request.Version = max(c.recorder.newestVersion()-random.IntN(2), 1)
		request.Path = versionPath(request.Version) + "x"
	case roll < versionShare+nonIdempotentShare:
		request.Method = http.MethodPost
		request.Path = oncePath(service) + "x"
	default:
		request.Path = readPath(service) + "x"
	}
	if request.Version == 0 {
		chooseTenant(random, c.recorder.newestVersion(), &request)
	}
	return request
}

// newCrashingRequest returns a request that crashes its target, for the machines in turn.
func (c *callers) newCrashingRequest(path string) Request {
	number := c.requests.Add(1)
	return Request{ID: fmt.Sprintf("%016x", number), Machine: int(number) % len(c.deployment.machines), Method: http.MethodGet, Deadline: callDeadline, Path: path, CrashesTarget: true, Tenant: steadyTenant}
}

// send sends a request and records the result. GetBody is cleared so that the
// HTTP client can't retry the request.
func (c *callers) send(client *http.Client, request Request) {
	c.sendBody(client, request, []byte("body"), io.ReadAll)
}

// sendBody is like send, with the given body and a function that reads the response's body.
func (c *callers) sendBody(client *http.Client, request Request, body []byte, read func(io.Reader) ([]byte, error)) {
	request.Incarnation = c.recorder.incarnation(request.Machine)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { request.Connected, request.Reused = true, info.Reused }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	address := c.deployment.machines[request.Machine].callAddress
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, bytes.NewReader(body))
	if err != nil {
		c.recorder.addFailure(err.Error())
		return
	}
	outgoing.GetBody = nil
	outgoing.Host = host
	outgoing.Header.Set("Lugspur-Attempt-Id", request.ID)
	outgoing.Header.Set("Lugspur-Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	request.setTenantHeaders(outgoing.Header)
	request.Sent = time.Now()
	if err := receive(client, outgoing, &request, read); err != nil {
		request.Status = 0
		request.Failure = err.Error()
	}
	request.Ended = time.Now()
	c.recorder.addRequest(request)
}

func receive(client *http.Client, outgoing *http.Request, request *Request, read func(io.Reader) ([]byte, error)) error {
	response, err := client.Do(outgoing)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := read(response.Body)
	if err != nil {
		return err
	}
	if id := response.Header.Get("Lugspur-Attempt-Id"); id != "" && id != request.ID {
		return errors.New("answer to " + id)
	}
	request.Status = response.StatusCode
	request.Signature = response.Header.Get("Lugspur-Response-Signature")
	request.Body = string(body)
	if request.Signature != "" {
		request.Target = response.Header.Get("Lugspur-Instance-Id") + "@" + response.Header.Get(platformstub.StartHeader)
	}
	request.RateLimited = len(response.Header["Server-Limit"]) > 0
	request.Leaving = response.Header.Get("Server-Leaving") == "1"
	return nil
}
