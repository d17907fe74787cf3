package home

import (
	"context"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/transport"
)

// The path of a forwarded call on the peer listener is PathPrefix followed by
// the target's name and the call's own path.
const (
	// PathPrefix starts the path of forwarded calls.
	PathPrefix = "/peer/call/"
	// LoadHeader carries the target's load in every response of a home. A
	// response without it was not sent by a home.
	LoadHeader = "Lugspur-Home-Load"
	// ResultHeader distinguishes a target's response from a problem of the home.
	ResultHeader = "Lugspur-Home-Result"
	// ProblemHeader carries the home's problem document in base64, because an
	// response to HEAD has no body.
	ProblemHeader = "Lugspur-Home-Problem"

	resultTargetResponse = "answer"
	resultProblem        = "problem"
)

// String returns the value of LoadHeader: calls in flight, limit, calls queued,
// queueing delay in microseconds, threshold, version.
func (l Load) String() string {
	return fmt.Sprintf("%d %d %d %d %d %d", l.InFlight, l.Limit, l.Queued, l.QueueDelay.Microseconds(), l.Threshold, l.Version)
}

const loadFields = 6

// parseLoad parses the format written by String.
func parseLoad(text string) (Load, error) {
	fields := strings.Fields(text)
	if len(fields) != loadFields {
		return Load{}, fmt.Errorf("home load has %d fields, not %d", len(fields), loadFields)
	}
	var numbers [loadFields]int
	for i, field := range fields {
		number, err := strconv.Atoi(field)
		if err != nil || number < 0 {
			return Load{}, fmt.Errorf("home load field %d: %q", i+1, field)
		}
		numbers[i] = number
	}
	return Load{
		InFlight:   numbers[0],
		Limit:      numbers[1],
		Queued:     numbers[2],
		QueueDelay: time.Duration(numbers[3]) * time.Microsecond,
		Threshold:  uint16(min(numbers[4], criticality.RankCount)),
		Version:    uint64(numbers[5]),
	}, nil
}

// WriteReply responds to a forwarded call with the target's response. If that
// response is truncated, the connection is aborted so that the forwarding node
// detects it.
func WriteReply(w http.ResponseWriter, reply *Reply, deadline time.Time) {
	defer reply.Close()
	w.Header().Set(ResultHeader, resultTargetResponse)
	w.Header().Set(LoadHeader, reply.Load.String())
	reply.WriteTo(w, deadline)
}

// WriteProblem responds to a forwarded call with a problem of the home.
func WriteProblem(w http.ResponseWriter, load Load, failure *problem.Problem) {
	w.Header().Set(ResultHeader, resultProblem)
	w.Header().Set(LoadHeader, load.String())
	w.Header().Set(ProblemHeader, base64.StdEncoding.EncodeToString(failure.Document()))
	w.WriteHeader(failure.Status)
}

// LoadOf returns the target's load, or zero if there is no state for it.
func (m *Manager) LoadOf(target string) Load {
	m.mutex.RLock()
	s := m.targets[target]
	m.mutex.RUnlock()
	if s == nil {
		return Load{}
	}
	return s.load(m.now())
}

// Client forwards calls to homes on other nodes. It is safe for concurrent use.
type Client struct {
	maxBuffered int64

	mutex sync.RWMutex
	pools map[string]*transport.Pool
}

// NewClient returns a client that fully buffers responses of up to maxBuffered
// bytes.
func NewClient(maxBuffered int64) *Client {
	return &Client{maxBuffered: maxBuffered, pools: map[string]*transport.Pool{}}
}

// maxIdlePerPeer is the maximum number of idle connections to one peer.
const maxIdlePerPeer = 256

func (c *Client) pool(peer string) *transport.Pool {
	c.mutex.RLock()
	pool := c.pools[peer]
	c.mutex.RUnlock()
	if pool != nil {
		return pool
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if pool = c.pools[peer]; pool == nil {
		pool = transport.NewPool(transport.Config{Address: peer, MaxIdle: maxIdlePerPeer, MaxBuffered: c.maxBuffered})
		c.pools[peer] = pool
	}
	return pool
}

// Retain closes the connection pools of all peers except the given ones.
func (c *Client) Retain(peers map[string]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for peer, pool := range c.pools {
		if !peers[peer] {
			pool.Close()
			delete(c.pools, peer)
		}
	}
}

// Run forwards the call to the home at the peer address.
func (c *Client) Run(ctx context.Context, peer, target string, call *Call) (*Reply, *problem.Problem) {
	if err := call.Context.SetHeader(call.Header); err != nil {
		return nil, problem.New(problem.Internal, problem.ExecutedNo, "forward", peer, err.Error()).WithCause(err)
	}
	forwarded := call.Call
	forwarded.RequestURI = PathPrefix + target + call.RequestURI
	response, err := c.pool(peer).Exchange(ctx, &forwarded)
	if err != nil {
		return nil, forwardingProblem(ctx, peer, err)
	}
	load, err := parseLoad(response.Header.Get(LoadHeader))
	if err != nil {
		response.Close()
		return nil, problem.New(problem.TargetFailed, problem.ExecutedUnknown, "forward", peer, err.Error()).
			WithRetryAfter(time.Second)
	}
	return parseReply(peer, load, response)
}

func parseReply(peer string, load Load, response *transport.Response) (*Reply, *problem.Problem) {
	result := response.Header.Get(ResultHeader)
	document := response.Header.Get(ProblemHeader)
	for _, name := range []string{ResultHeader, LoadHeader, ProblemHeader} {
		response.Header.Del(name)
	}
	reply := &Reply{Response: response, Load: load}
	if result == resultTargetResponse {
		return reply, nil
	}
	defer response.Close()
	failure, err := parseProblem(document)
	if err != nil {
		failure = problem.New(problem.TargetFailed, problem.ExecutedUnknown, "forward", peer, err.Error())
	}
	return &Reply{Load: load}, failure
}

func parseProblem(encoded string) (*problem.Problem, error) {
	document, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil {
		return nil, err
	}
	return problem.Parse(document)
}

func forwardingProblem(ctx context.Context, peer string, err error) *problem.Problem {
	executed := problem.ExecutedUnknown
	reason := problem.TargetFailed
	var failure *transport.Failure
	if errors.As(err, &failure) && !failure.Sent {
		executed = problem.ExecutedNo
		reason = problem.NoTarget
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = problem.DeadlineExceeded
	case ctx.Err() != nil:
		reason = problem.CallerGone
	}
	return problem.New(reason, executed, "forward", peer, "no answer from the home").
		WithRetryAfter(time.Second).WithCause(err)
}

// serverBufferBytes is the size up to which net/http buffers a response, so that
// writing it doesn't wait for the client to read.
const serverBufferBytes = 2 << 10

// WriteTo writes the response. The connection is aborted if the remainder of a
// large response is truncated or can't be written before the deadline.
func (r *Reply) WriteTo(w http.ResponseWriter, deadline time.Time) {
	header := w.Header()
	for name, values := range r.Header {
		header[name] = values
	}
	if r.Remainder == nil && !r.NoBody {
		header.Set("Content-Length", strconv.Itoa(len(r.Body)))
	}
	if r.Remainder != nil || len(r.Body) > serverBufferBytes {
		// If setting the deadline fails, the server's own write timeout applies.
		controller := http.NewResponseController(w)
		_ = controller.SetWriteDeadline(deadline)
		defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	}
	w.WriteHeader(r.Status)
	_, err := w.Write(r.Body)
	if r.Remainder == nil {
		return
	}
	if err == nil {
		_, err = io.Copy(w, r.Remainder)
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// StripHopHeaders removes hop-by-hop headers and the headers that are reserved for
// nodes, which callers or targets could forge.
func StripHopHeaders(header http.Header) {
	for _, listed := range header.Values("Connection") {
		for name := range strings.SplitSeq(listed, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range strippedHeaders {
		header.Del(name)
	}
}

var strippedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
	problem.ExecutedHeader, LoadHeader, ResultHeader, ProblemHeader, callcontext.TimeoutHeader,
}
