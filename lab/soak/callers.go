package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
)

const (
	// callDeadline is what callers tell as their deadline, and callPatience how
	// much longer they wait for an answer before they note that none came.
	callDeadline = 2 * time.Second
	callPatience = 1500 * time.Millisecond
	// readyEvery is how often callers look whether a machine takes work, and
	// misses after how many failures they send it no more.
	readyEvery = time.Second
	misses     = 2
	// maxOutstanding bounds the requests of one machine's callers.
	maxOutstanding = 256
	// Parts of the requests that must not run twice, and that ask for a version.
	onceShare    = 0.35
	versionShare = 0.2
	// freshShare is the part of the requests that open a connection of their own.
	freshShare = 0.3
)

// callers send requests to all machines.
type callers struct {
	deployment *deployment
	recorder   *recorder
	rate       float64
	seed       uint64
	requests   atomic.Uint64
}

// run sends requests until the context ends and waits for all answers.
func (c *callers) run(ctx context.Context) {
	var running sync.WaitGroup
	for machine := range c.deployment.machines {
		running.Go(func() { c.callMachine(ctx, machine) })
	}
	running.Wait()
}

// callMachine sends the requests of one machine's callers.
func (c *callers) callMachine(ctx context.Context, machine int) {
	var in atomic.Bool
	in.Store(true)
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { c.watchReady(ctx, machine, &in) })
	random := rand.New(rand.NewPCG(c.seed, uint64(machine)))
	kept := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxOutstanding}, Timeout: callDeadline + callPatience}
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callDeadline + callPatience}
	defer kept.CloseIdleConnections()
	places := make(chan struct{}, maxOutstanding)
	for ctx.Err() == nil {
		pause.For(ctx, time.Duration(random.ExpFloat64()/c.rate*float64(time.Second)))
		if !in.Load() {
			continue
		}
		request := c.draw(random, machine)
		client := kept
		if random.Float64() < freshShare {
			client = fresh
		}
		select {
		case places <- struct{}{}:
		default:
			continue
		}
		running.Go(func() {
			c.send(client, request)
			<-places
		})
	}
}

// watchReady looks whether the machine takes work, as the platform does.
func (c *callers) watchReady(ctx context.Context, machine int, in *atomic.Bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: readyEvery}
	missed := 0
	for ctx.Err() == nil {
		pause.For(ctx, readyEvery)
		response, err := client.Get("http://" + c.deployment.machines[machine].ready + "/ready")
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			missed = 0
		} else {
			missed++
		}
		in.Store(missed < misses)
	}
}

// draw chooses a request. One that asks for a version takes the newest or the
// one before it.
func (c *callers) draw(random *rand.Rand, machine int) Request {
	number := c.requests.Add(1)
	request := Request{ID: fmt.Sprintf("%016x", number), Machine: machine, Method: http.MethodGet, Deadline: callDeadline}
	service := services[random.IntN(len(services))]
	switch drawn := random.Float64(); {
	case drawn < versionShare:
		request.Version = max(c.recorder.newestVersion()-random.IntN(2), 1)
		request.Path = versionPath(request.Version) + "x"
	case drawn < versionShare+onceShare:
		request.Method = http.MethodPost
		request.Path = oncePath(service) + "x"
	default:
		request.Path = readPath(service) + "x"
	}
	if request.Version == 0 {
		drawTenant(random, c.recorder.newestVersion(), &request)
	}
	return request
}

// deadly returns the next try of a request that ends targets, by the machines in turn.
func (c *callers) deadly(path string) Request {
	number := c.requests.Add(1)
	return Request{ID: fmt.Sprintf("%016x", number), Machine: int(number) % len(c.deployment.machines), Method: http.MethodGet, Deadline: callDeadline, Path: path, Deadly: true, Tenant: steadyTenant}
}

// send sends a request and notes what came of it. The client can't send it
// again by itself, as it can't read the body again.
func (c *callers) send(client *http.Client, request Request) {
	request.Life = c.recorder.life(request.Machine)
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { request.Connected, request.Reused = true, info.Reused }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	address := c.deployment.machines[request.Machine].calls
	sent, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, strings.NewReader("body"))
	if err != nil {
		c.recorder.endedByItself(err.Error())
		return
	}
	sent.GetBody = nil
	sent.Host = host
	sent.Header.Set("Lugspur-Attempt-Id", request.ID)
	sent.Header.Set("Lugspur-Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	request.sign(sent.Header)
	request.Sent = time.Now()
	if err := receive(client, sent, &request); err != nil {
		request.Status = 0
		request.Failure = err.Error()
	}
	request.Ended = time.Now()
	c.recorder.request(request)
}

func receive(client *http.Client, sent *http.Request, request *Request) error {
	response, err := client.Do(sent)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if id := response.Header.Get("Lugspur-Attempt-Id"); id != "" && id != request.ID {
		return errors.New("answer to " + id)
	}
	request.Status = response.StatusCode
	request.Signature = response.Header.Get("Lugspur-Response-Signature")
	request.Body = string(body)
	return nil
}
