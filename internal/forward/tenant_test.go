package forward

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/apikey"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/fairshare"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/ratelimit"
	"github.com/lugspur/lugspur/internal/routetable"
)

// fixedKeys is a Keys that returns the same decision for every key.
type fixedKeys struct {
	decision apikey.Decision
	checked  [][]string
}

func (k *fixedKeys) Check(_ context.Context, keys []string, _ time.Time) apikey.Decision {
	k.checked = append(k.checked, keys)
	return k.decision
}

const secretKey = "a-secret-key"

var testTenant = routetable.Tenant{Name: "acme", Keys: []routetable.KeyDigest{routetable.DigestKey(secretKey)}, Priority: 1}

// newTenantFixture returns a fixture whose routes require keys, except /open/.
func newTenantFixture(t *testing.T, keys *fixedKeys, replies ...func(context.Context, *peering.Call) *peering.Reply) *fixture {
	t.Helper()
	fixture := newFixture(t, replies...)
	service := []routetable.WeightedService{{Name: "s", Weight: 1}}
	fixture.forwarder.routes.Update(&routetable.Configuration{Version: 5, Tenants: []routetable.Tenant{testTenant}, Routes: []routetable.Route{
		{Name: "read", Host: "a.example", Prefix: "/read/", Kind: routetable.Repeatable, Attempts: 2, Timeout: testTimeout, Objective: time.Second, Priority: 2, Services: service},
		{Name: "open", Host: "a.example", Prefix: "/open/", Kind: routetable.Repeatable, Attempts: 2, Timeout: testTimeout, Objective: time.Second, Public: true, Services: service},
	}})
	fixture.forwarder.keys = keys
	fixture.forwarder.config.Headers.APIKey, fixture.forwarder.config.Headers.Tenant = "X-Key", "X-Tenant"
	return fixture
}

// doWithKey sends a request with a key and a forged tenant header.
func (f *fixture) doWithKey(path, id string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodGet, "http://a.example"+path, nil)
	request.RequestURI = path
	request.Header = http.Header{"X-Id": {id}, "X-Key": {secretKey}, "X-Tenant": {"forged"}, "X-Other": {"kept"}}
	response := httptest.NewRecorder()
	f.forwarder.ServeHTTP(response, request)
	return response
}

// TestTargetGetsTenantHeaderWithoutKey sends requests with a key and a forged tenant header:
// one to a route that requires keys, one to a public route, and one nested call.
func TestTargetGetsTenantHeaderWithoutKey(t *testing.T) {
	keys := &fixedKeys{decision: apikey.Decision{Tenant: &testTenant}}
	for _, test := range []struct {
		path, id string
		tenant   []string
		checked  int
	}{{"/read/x", "1", []string{"acme"}, 1}, {"/open/x", "2", nil, 0}, {"/read/x", "running.3", nil, 0}} {
		keys.checked = nil
		f := newTenantFixture(t, keys, replyOK)
		assert.Equal(t, f.doWithKey(test.path, test.id).Code, http.StatusOK)
		header := f.homes[0].calls[0].Header
		assert.DeepEqual(t, header["X-Tenant"], test.tenant)
		assert.DeepEqual(t, header["X-Other"], []string{"kept"})
		assert.Equal(t, len(header["X-Key"]), 0)
		assert.Equal(t, len(keys.checked), test.checked)
	}
}

// TestKeyHeaderIsPassedOnWithoutTenants sends a request with a key header while the
// configuration has no tenants: the header must be passed on like any other.
func TestKeyHeaderIsPassedOnWithoutTenants(t *testing.T) {
	f := newFixture(t, replyOK)
	f.forwarder.config.Headers.APIKey, f.forwarder.config.Headers.Tenant = "X-Key", "X-Tenant"
	assert.Equal(t, f.doWithKey("/read/x", "1").Code, http.StatusOK)
	header := f.homes[0].calls[0].Header
	assert.DeepEqual(t, header["X-Key"], []string{secretKey})
	assert.Equal(t, len(header["X-Tenant"]), 0)
}

// TestRefusedKeys covers keys that are refused permanently and a key that cannot be checked.
func TestRefusedKeys(t *testing.T) {
	for _, test := range []struct {
		decision   apikey.Decision
		status     int
		retryAfter string
	}{
		{apikey.Decision{Outcome: apikey.Missing}, http.StatusUnauthorized, ""},
		{apikey.Decision{Outcome: apikey.Unknown}, http.StatusUnauthorized, ""},
		{apikey.Decision{Outcome: apikey.Unverified, RetryAfter: 700 * time.Millisecond}, http.StatusServiceUnavailable, "0.700"},
	} {
		f := newTenantFixture(t, &fixedKeys{decision: test.decision}, replyOK)
		response := f.doWithKey("/read/x", "1")
		assert.Equal(t, response.Code, test.status)
		assert.Equal(t, response.Header().Get("Retry-After"), test.retryAfter)
		assert.Equal(t, f.calls(), 0)
	}
}

// TestKeysAreNotLogged checks that neither the log nor the responses contain the key of a
// request.
func TestKeysAreNotLogged(t *testing.T) {
	var written bytes.Buffer
	log := eventlog.New(eventlog.Config{RootOf: func(id string) string { return id }}, "node", &written, time.Now)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		log.Run(ctx)
	}()
	for _, decision := range []apikey.Decision{{Tenant: &testTenant}, {Outcome: apikey.Unknown}, {Outcome: apikey.Unverified}} {
		f := newTenantFixture(t, &fixedKeys{decision: decision}, replyOK)
		f.forwarder.log = log
		response := f.doWithKey("/read/x", "1")
		assert.Assert(t, !strings.Contains(response.Body.String(), secretKey))
	}
	cancel()
	<-ended
	assert.Assert(t, strings.Contains(written.String(), "key-refused"))
	assert.Assert(t, !strings.Contains(written.String(), secretKey))
}

// TestTenantPriorityPrecedesRoutePriority ranks requests of tenants with priorities 0 and 1
// and requests without a tenant, on routes with priorities 0 to 2.
func TestTenantPriorityPrecedesRoutePriority(t *testing.T) {
	f := newFixture(t, replyOK)
	rank := func(tenant *routetable.Tenant, priority int) criticality.Level {
		q := &request{route: &routetable.Route{Priority: priority, Services: []routetable.WeightedService{{Name: "s", Weight: 1}}}, tenant: tenant}
		q.policyCall = f.forwarder.policyCallOf(q, httptest.NewRequest(http.MethodGet, "/", nil))
		return f.forwarder.rankOf(q).Level
	}
	first := &routetable.Tenant{Name: "first"}
	assert.Equal(t, rank(first, 0), criticality.CriticalPlus)
	assert.Equal(t, rank(first, 2), criticality.CriticalPlus)
	assert.Equal(t, rank(&testTenant, 0), criticality.Critical)
	assert.Equal(t, rank(&testTenant, 1), criticality.SheddablePlus)
	assert.Equal(t, rank(&testTenant, 2), criticality.Sheddable)
	assert.Equal(t, rank(nil, 0), criticality.CriticalPlus)
	assert.Equal(t, rank(nil, 2), criticality.SheddablePlus)
}

// TestThresholdRefusesTenantAboveItsShare sends 300 requests a second of one tenant and one a
// second of another while a threshold admits 10 a second of each. It guards against cohorts
// that ignore the tenant's rate, that change with the request's ID, or that are assigned while
// the part is disabled.
func TestThresholdRefusesTenantAboveItsShare(t *testing.T) {
	threshold := criticality.Rank{Level: criticality.Sheddable, Cohort: fairshare.CohortOf(1, 10)}.Key()
	f := newTenantFixture(t, nil, func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := replyOK(ctx, call)
		reply.Load.Threshold = threshold
		return reply
	})
	f.forwarder.limits = &fixedLimits{}
	now := time.Now()
	status := func(tenant, path, id string) int {
		f.levels.Report("read", "home", pressure.Level{Threshold: threshold}, 10)
		f.forwarder.keys = &fixedKeys{decision: apikey.Decision{Tenant: &routetable.Tenant{Name: tenant, Priority: 1}}}
		return f.doWithKey(path, id).Code
	}
	assert.Equal(t, status("small", "/read/x", "3"), status("hot", "/read/x", "3"), "disabled")
	f.forwarder.fairShares = fairshare.New(fairshare.Config{Nodes: func() int { return 1 }, Now: func() time.Time { return now }})
	admitted, lastPath := 0, ""
	for i := range 3900 {
		now = now.Add(time.Second / 300)
		lastPath = "/read/" + strconv.Itoa(i)
		if status("hot", lastPath, strconv.Itoa(i)) == http.StatusOK && i >= 900 {
			admitted++
		}
		if i%300 == 0 {
			assert.Equal(t, status("small", lastPath, "s"+strconv.Itoa(i)), http.StatusOK)
		}
	}
	assert.Assert(t, admitted > 50 && admitted < 150, "%d in 10 s", admitted)
	for id := range 20 {
		assert.Equal(t, status("hot", lastPath, "again"+strconv.Itoa(id)), status("hot", lastPath, strconv.Itoa(id)))
	}
}

// TestFairShareDoesNotDecideOnRetries guards against tenants with low rates that use up the retry
// budget because their cohort is low.
func TestFairShareDoesNotDecideOnRetries(t *testing.T) {
	f := newFixture(t, replyOK)
	f.levels.RecordCalls("parent", "read", pressure.CallStats{Count: 8})
	urgency := func(cohort uint8) float64 {
		return f.forwarder.urgency(&request{id: "running.1", nested: true, parent: "running", parentRoute: "parent", route: &routetable.Route{Name: "read"}, call: &peering.Call{},
			rank: criticality.Rank{Cohort: cohort}})
	}
	assert.Assert(t, urgency(0) > urgency(127))
	f.forwarder.fairShares = fairshare.New(fairshare.Config{Now: time.Now})
	assert.Equal(t, urgency(0), urgency(127))
}

// fixedLimits is a Limits that returns the same decision for every request and counts the
// requests and returned permits.
type fixedLimits struct {
	decision           ratelimit.Decision
	admitted, returned int
}

func (l *fixedLimits) Admit(context.Context, *routetable.Tenant) ratelimit.Decision {
	l.admitted++
	return l.decision
}

func (l *fixedLimits) Return(*routetable.Tenant, ratelimit.Decision) { l.returned++ }

// newLimitFixture returns a fixture whose requests belong to a tenant with a rate limit.
func newLimitFixture(t *testing.T, limits *fixedLimits, replies ...func(context.Context, *peering.Call) *peering.Reply) *fixture {
	t.Helper()
	limited := testTenant
	limited.Rate, limited.Burst = 10, 10
	f := newTenantFixture(t, &fixedKeys{decision: apikey.Decision{Tenant: &limited}}, replies...)
	f.forwarder.limits = limits
	return f
}

// TestRequestOverLimitHasNoSideEffects sends a request that exceeds its tenant's limit. No
// home must receive it, and it must add nothing to the service's retry budget.
func TestRequestOverLimitHasNoSideEffects(t *testing.T) {
	for outcome, status := range map[ratelimit.Outcome]int{ratelimit.LimitReached: http.StatusTooManyRequests, ratelimit.Unavailable: http.StatusServiceUnavailable} {
		limits := &fixedLimits{decision: ratelimit.Decision{Outcome: outcome, RetryAfter: 400 * time.Millisecond}}
		f := newLimitFixture(t, limits, replyOK)
		before := f.forwarder.budget("s").Balance()
		response := f.doWithKey("/read/x", "1")
		assert.Equal(t, response.Code, status)
		assert.Equal(t, response.Header().Get("Retry-After"), "0.400")
		assert.Equal(t, f.calls(), 0)
		assert.Equal(t, limits.returned, 0)
		assert.Equal(t, f.forwarder.budget("s").Balance(), before)
	}
}

// TestPermitsOfUnexecutedRequestsAreReturned checks the permits of requests that are answered,
// fail or are refused. Offering a request to a second home must not take a second permit, and
// nested calls take none.
func TestPermitsOfUnexecutedRequestsAreReturned(t *testing.T) {
	for name, test := range map[string]struct {
		id       string
		replies  []func(context.Context, *peering.Call) *peering.Reply
		admitted int
		returned int
	}{
		"answered":                    {"1", []func(context.Context, *peering.Call) *peering.Reply{replyOK}, 1, 0},
		"failed":                      {"1", []func(context.Context, *peering.Call) *peering.Reply{replyFailed, replyFailed}, 1, 0},
		"refused":                     {"1", []func(context.Context, *peering.Call) *peering.Reply{replyRefused(peering.QueueTimeout)}, 1, 1},
		"refused by one, then run":    {"1", []func(context.Context, *peering.Call) *peering.Reply{replyRefused(peering.QueueTimeout), replyOK}, 1, 0},
		"a call of a running request": {"running.2", []func(context.Context, *peering.Call) *peering.Reply{replyRefused(peering.QueueTimeout)}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			limits := &fixedLimits{}
			f := newLimitFixture(t, limits, test.replies...)
			f.doWithKey("/read/x", test.id)
			assert.Equal(t, limits.admitted, test.admitted)
			assert.Equal(t, limits.returned, test.returned)
		})
	}
}
