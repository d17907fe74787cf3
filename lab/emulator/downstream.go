package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/lab/answer"
	"github.com/lugspur/lugspur/lab/mesh"
)

var errNoMeshAddress = errors.New("no mesh address is set for the zone")

// copiedHeaders are copied unchanged from a call that a target received to its
// downstream calls.
var copiedHeaders = []string{callcontext.BaggageHeader, "Traceparent", callcontext.CallerHeader, answer.NonceHeader}

// downstream makes the downstream calls of one zone's targets through the zone's
// mesh address. It is safe for concurrent use.
type downstream struct {
	zone     string
	attempts int
	client   *http.Client

	mutex   sync.RWMutex
	address string
}

func newDownstream(zone string, attempts int) *downstream {
	transport := &http.Transport{
		DisableCompression:  true,
		MaxIdleConns:        maxMeshIdleConnections,
		MaxIdleConnsPerHost: maxMeshIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
	return &downstream{zone: zone, attempts: max(attempts, 1), client: &http.Client{Transport: transport}}
}

func (d *downstream) setAddress(address string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.address = address
}

func (d *downstream) currentAddress() string {
	d.mutex.RLock()
	defer d.mutex.RUnlock()
	return d.address
}

// callFailure is the failure of a required downstream call.
type callFailure struct {
	status     int
	retryAfter string
	executed   string
	err        error
}

// callAll makes the sequential calls in order, then the parallel ones, and
// returns the answers received. It stops at the first failure of a required
// call.
func (d *downstream) callAll(ctx context.Context, header http.Header, calls []mesh.Call) ([]answer.Answer, *callFailure) {
	answers := make([]*answer.Answer, len(calls))
	for i, call := range calls {
		if call.Parallel {
			continue
		}
		received, failure := d.call(ctx, header, call)
		if failure != nil && !call.Optional {
			return nil, failure
		}
		answers[i] = received
	}
	if failure := d.callParallel(ctx, header, calls, answers); failure != nil {
		return nil, failure
	}
	parts := make([]answer.Answer, 0, len(answers))
	for _, received := range answers {
		if received != nil {
			parts = append(parts, *received)
		}
	}
	return parts, nil
}

func (d *downstream) callParallel(ctx context.Context, header http.Header, calls []mesh.Call, answers []*answer.Answer) *callFailure {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	failures := make([]*callFailure, len(calls))
	var running sync.WaitGroup
	for i, call := range calls {
		if !call.Parallel {
			continue
		}
		running.Go(func() {
			answers[i], failures[i] = d.call(ctx, header, call)
			if failures[i] != nil && !call.Optional {
				cancel()
			}
		})
	}
	running.Wait()
	return firstRequiredFailure(calls, failures)
}

// firstRequiredFailure returns the first failure of a required call. Failures
// that aren't cancellations take precedence, as a failed call cancels the
// others.
func firstRequiredFailure(calls []mesh.Call, failures []*callFailure) *callFailure {
	var first *callFailure
	for i, failure := range failures {
		if failure == nil || calls[i].Optional {
			continue
		}
		if first == nil || errors.Is(first.err, context.Canceled) {
			first = failure
		}
	}
	return first
}

func (d *downstream) call(ctx context.Context, header http.Header, call mesh.Call) (*answer.Answer, *callFailure) {
	var failure *callFailure
	for range d.attempts {
		var received *answer.Answer
		received, failure = d.attempt(ctx, header, call)
		if failure == nil {
			return received, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, failure
}

func (d *downstream) attempt(ctx context.Context, header http.Header, call mesh.Call) (*answer.Answer, *callFailure) {
	ctx, cancel := context.WithTimeout(ctx, defaultDownstreamTimeout)
	defer cancel()
	request, err := d.request(ctx, header, call)
	if err != nil {
		return nil, d.newFailure(call, "make request", err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return nil, d.newFailure(call, "send request", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, d.newFailure(call, "read answer", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, d.statusFailure(call, response, body)
	}
	var received answer.Answer
	if err := json.Unmarshal(body, &received); err != nil {
		return nil, d.newFailure(call, "decode answer", err)
	}
	return &received, nil
}

func (d *downstream) request(ctx context.Context, header http.Header, call mesh.Call) (*http.Request, error) {
	address := d.currentAddress()
	if address == "" {
		return nil, errNoMeshAddress
	}
	url := "http://" + address + "/" + call.Service + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, url, nil)
	if err != nil {
		return nil, err
	}
	for _, name := range copiedHeaders {
		if values := header.Values(name); len(values) > 0 {
			request.Header[http.CanonicalHeaderKey(name)] = values
		}
	}
	key := header.Get(callcontext.IdempotencyKeyHeader)
	if key != "" && call.Method != http.MethodGet {
		request.Header.Set(callcontext.IdempotencyKeyHeader, key+"/"+call.Service)
	}
	return request, nil
}

func (d *downstream) newFailure(call mesh.Call, step string, cause error) *callFailure {
	err := oops.In("emulator").With("step", step).With("peer", call.Service).Wrapf(cause, "call %s in zone %s", call.Service, d.zone)
	return &callFailure{status: http.StatusBadGateway, err: err}
}

func (d *downstream) statusFailure(call mesh.Call, response *http.Response, body []byte) *callFailure {
	document, parseErr := problem.Parse(body)
	cause := fmt.Errorf("status %d", response.StatusCode)
	if parseErr == nil {
		cause = fmt.Errorf("status %d at %s of %s, %s", response.StatusCode, document.Step, document.Peer, document.Reason)
	}
	failure := d.newFailure(call, "answer", cause)
	failure.retryAfter = response.Header.Get("Retry-After")
	failure.executed = response.Header.Get(problem.ExecutedHeader)
	if parseErr == nil && document.Executed != "" {
		failure.executed = string(document.Executed)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		failure.status = http.StatusServiceUnavailable
	}
	return failure
}
