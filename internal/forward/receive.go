package forward

import (
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/callheader"
	"github.com/lugspur/lugspur/internal/guard"
	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/routetable"
)

// rawPath returns the path of the request in the encoding that the caller used.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

func requestURI(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// notReadyDelay is the retry delay sent to callers while the node has no configuration.
const notReadyDelay = 200 * time.Millisecond

// shedDelay is the retry delay sent to callers whose requests are refused because their rank
// is shed further down the call chain, or because their parent was abandoned.
const shedDelay = time.Second

// receive reads a complete request and decides whether to admit it.
func (f *Forwarder) receive(w http.ResponseWriter, r *http.Request, started time.Time) (*request, *problem.Problem) {
	q := &request{id: r.Header.Get(f.config.Headers.RequestID), arrived: started}
	table := f.routes.Current()
	if table == nil {
		return q, f.problem(problem.NotReady, problem.ExecutedNo, "receive", "no configuration yet").WithRetryDelay(notReadyDelay)
	}
	if maxBytes := table.Limits().MaxHeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		return q, f.problem(problem.HeaderTooLarge, problem.ExecutedNo, "receive", "the header is too large")
	}
	q.route = table.Match(r.Host, rawPath(r))
	if q.route == nil {
		return q, f.problem(problem.UnknownService, problem.ExecutedNo, "route", "no route matches")
	}
	if q.id == "" {
		return q, f.problem(problem.BadRequest, problem.ExecutedNo, "receive", "no request id")
	}
	q.deadline = started.Add(f.timeoutOf(q.route, r.Header))
	q.callerTimeout, _ = f.callerTimeout(r.Header)
	parent, failure := f.parentOf(q)
	if failure != nil {
		return q, failure
	}
	if failure := f.reserveRequest(q); failure != nil {
		return q, failure
	}
	if !f.endsBeforeShutdown(q) {
		return q, f.shutdownProblem(q, "receive")
	}
	if failure := f.identify(r, q, table); failure != nil {
		return q, failure
	}
	q.rank = parent.Rank
	q.policyCall = f.policyCallOf(q, r)
	q.content = contentOf(q, r)
	if failure := f.admit(q, r.Header); failure != nil {
		return q, failure
	}
	if failure := f.checkLimit(r.Context(), q); failure != nil {
		return q, failure
	}
	body, failure := f.readBodyInTime(w, r, q, table.Limits().MaxBodyBytes)
	if failure != nil {
		return q, failure
	}
	f.countAdmitted(q)
	callheader.StripConnection(r.Header)
	r.Header.Del("Content-Length")
	f.config.Headers.StripInternal(r.Header)
	f.setTenantHeader(r.Header, q, table)
	q.service = f.splitter.Choose(q.route)
	f.recordNestedCall(q)
	q.call = &peering.Call{
		Service:    q.service,
		RequestID:  q.id,
		Method:     r.Method,
		URI:        requestURI(r),
		Host:       r.Host,
		Header:     r.Header,
		Body:       body,
		Caller:     f.config.Service,
		Route:      q.route.Name,
		Rank:       q.rank.Key(),
		AtMostOnce: q.route.Kind != routetable.Repeatable,
		Nested:     q.nested,
		PriorCalls: max(q.callNumber-1, 0),
		Retried:    parent.Retried,
		MaxWait:    f.maxWait(q),
	}
	return q, f.checkQuarantine(q)
}

// headerBytes returns the size in bytes of the request's URI, host and header fields.
func headerBytes(r *http.Request) int64 {
	const separators = 4
	size := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

// maxWait returns how long a request may be queued for a target.
func (f *Forwarder) maxWait(q *request) time.Duration {
	share := f.config.WaitShare
	if q.nested {
		share = f.config.NestedWaitShare
	}
	return time.Duration(float64(q.route.Objective) * share)
}

// parentOf finds the request at the local target that made the call. If there is one, the
// call is a nested call. A call of an abandoned request is refused: the target may continue
// to execute the request although the connection of its caller was closed.
func (f *Forwarder) parentOf(q *request) (guard.Running, *problem.Problem) {
	id, isCall := f.config.ParentOf(q.id)
	if !isCall {
		return guard.Running{}, nil
	}
	parent, found := f.local.Running(id)
	if !found {
		if f.local.Abandoned(id) {
			return guard.Running{}, f.problem(problem.NotReady, problem.ExecutedNo, "receive", "the request that made the call was given up").WithRetryDelay(shedDelay)
		}
		return guard.Running{}, nil
	}
	q.nested, q.parent, q.parentRoute, q.parentContext = true, id, parent.Route, parent.Context
	q.callNumber = f.local.CountCall(id, q.route.Name)
	return parent, nil
}

// recordNestedCall records the number of calls that a request of the parent route makes, and
// whether this node's retry budget is low for retries of these calls.
func (f *Forwarder) recordNestedCall(q *request) {
	if !q.nested {
		return
	}
	expected := max(f.levels.ExpectedCalls(q.parentRoute, q.route.Name), q.callNumber)
	f.local.RecordCallSent(q.parent, q.route.Name, q.service)
	f.levels.RecordCalls(q.parentRoute, q.route.Name, pressure.CallStats{Count: q.callNumber, RetryBudgetLow: !f.budget(q.service).HasHeadroom(expected)})
}

// admit ranks a request that enters at this node. It refuses the request if the policy does
// not admit it, or if its rank is shed further down the call chain, or by a service that it needs,
// and it doesn't return to a place. A nested call keeps the rank of its parent and is always admitted.
func (f *Forwarder) admit(q *request, header http.Header) *problem.Problem {
	if q.nested {
		return nil
	}
	if !f.policyAdmits(q) {
		return f.problem(problem.NotAdmitted, problem.ExecutedNo, "admit", "the policy does not admit the request")
	}
	q.rank = f.rankOf(q)
	limit := f.admissionLimitOf(q.route)
	if f.takePlace(q) || q.rank.Key() < limit.threshold {
		return nil
	}
	detail := limit.String() + ": rank " + strconv.Itoa(int(q.rank.Key())) + ", threshold " + strconv.Itoa(int(limit.threshold))
	return f.refuseWithPlace(q, header, detail)
}

// timeoutOf returns the timeout of the route, or the default if it has none, limited by the
// timeout that the caller sent.
func (f *Forwarder) timeoutOf(route *routetable.Route, header http.Header) time.Duration {
	timeout := f.config.DefaultTimeout
	if route.Timeout > 0 {
		timeout = route.Timeout
	}
	if callerTimeout, sent := f.callerTimeout(header); sent {
		timeout = min(timeout, callerTimeout)
	}
	return timeout
}

// callerTimeout returns the timeout that the caller sent, and false if it sent none.
func (f *Forwarder) callerTimeout(header http.Header) (time.Duration, bool) {
	millis, err := strconv.ParseInt(header.Get(f.config.Headers.DeadlineMillis), 10, 64)
	if err != nil || millis < 0 {
		return 0, false
	}
	return time.Duration(millis) * time.Millisecond, true
}

func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, q *request, maxBytes int64) ([]byte, *problem.Problem) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	tooLarge := func() *problem.Problem {
		return f.problem(problem.BodyTooLarge, problem.ExecutedNo, "receive", "the body is too large")
	}
	if maxBytes > 0 {
		if r.ContentLength > maxBytes {
			return nil, tooLarge()
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxBytes)
	}
	body, err := f.readBodyInMemory(w, r, q)
	var limitError *http.MaxBytesError
	switch {
	case errors.As(err, &limitError):
		w.Header().Set("Connection", "close")
		answerBeforeBody(w)
		return nil, tooLarge()
	case errors.Is(err, memorybudget.ErrTooLarge):
		return nil, f.problem(problem.BodyTooLarge, problem.ExecutedNo, "receive", "the body is larger than the node's memory for bodies")
	case errors.Is(err, memorybudget.ErrExceeded):
		return nil, f.refuseForMemory(q, "no memory left for the body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, f.problem(problem.DeadlineExceeded, problem.ExecutedNo, "receive", "the body did not arrive before the deadline")
	case err != nil:
		return nil, f.problem(problem.BadRequest, problem.ExecutedNo, "receive", "the body ended early")
	}
	return body, nil
}
