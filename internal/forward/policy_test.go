package forward

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/routepolicy"
)

func (f *fixture) setPolicies(t *testing.T, sources routepolicy.Sources) {
	t.Helper()
	set, err := routepolicy.Compile(sources)
	assert.NilError(t, err)
	f.forwarder.policies.Put(set)
}

func TestPolicyAdmit(t *testing.T) {
	f := newFixture(t, replyOK)
	f.setPolicies(t, routepolicy.Sources{Repeatable: policy.Source{Admit: `call.path startsWith "/read/y"`}})
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, response.Code, http.StatusForbidden)
	assert.Equal(t, f.calls(), 0)
	assert.Equal(t, f.do("GET", "/read/y", "b", "").Code, 200)
	assert.Equal(t, f.do("GET", "/once/x", "c", "").Code, 200, "routes of the other kind have their own policy")
	assert.Equal(t, f.do("GET", "/read/x", "running.1", "").Code, 200, "a call of a running request")
}

func TestPolicyRank(t *testing.T) {
	f := newFixture(t, replyOK)
	f.setPolicies(t, routepolicy.Sources{Repeatable: policy.Source{Rank: `call.path == "/read/urgent" ? "critical-plus" : "sheddable"`}})
	// The call chain sheds everything below critical-plus.
	f.levels.Report("read", "home", pressure.Level{Threshold: 128}, 10)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.do("GET", "/read/urgent", "b", "").Code, 200)
}

func TestPolicyRetry(t *testing.T) {
	noRetries := routepolicy.Sources{Repeatable: policy.Source{Retry: `0`}, Once: policy.Source{Retry: `0`}}
	f := newFixture(t, replyFailed, replyFailed)
	f.setPolicies(t, noRetries)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusBadGateway)
	assert.Equal(t, f.calls(), 1)
	refused := newFixture(t, replyRefused(peering.QueueFull), replyRefused(peering.QueueFull), replyRefused(peering.QueueFull))
	refused.setPolicies(t, noRetries)
	assert.Equal(t, refused.do("GET", "/once/x", "a", "").Code, http.StatusServiceUnavailable)
	assert.Equal(t, refused.calls(), 1)
	// A policy can only restrict: the route allows two attempts, and a once request that
	// may have been executed is not sent again.
	manyRetries := routepolicy.Sources{Repeatable: policy.Source{Retry: `5`}, Once: policy.Source{Retry: `5`}}
	limited := newFixture(t, replyFailed, replyFailed, replyFailed)
	limited.setPolicies(t, manyRetries)
	limited.do("GET", "/read/x", "a", "")
	assert.Equal(t, limited.calls(), 2)
	limited.do("POST", "/once/x", "b", "")
	assert.Equal(t, limited.calls(), 3)
}

func TestPolicyRefuseDelay(t *testing.T) {
	f := newFixture(t, replyRefused(peering.QueueFull))
	f.setPolicies(t, routepolicy.Sources{Once: policy.Source{Refuse: `load.free_in * 2 + 1`}})
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Header().Get("Retry-After"), "1.600")
}

func TestPolicySeesShedLevel(t *testing.T) {
	f := newFixture(t, replyOK)
	f.setPolicies(t, routepolicy.Sources{Once: policy.Source{Admit: `load.shed_level == ""`}})
	f.levels.Report("once", "home", pressure.Level{Threshold: 300}, 10)
	assert.Equal(t, f.do("POST", "/once/x", "a", "").Code, http.StatusForbidden)
	unloaded := newFixture(t, replyOK)
	unloaded.setPolicies(t, routepolicy.Sources{Once: policy.Source{Admit: `load.shed_level == ""`}})
	assert.Equal(t, unloaded.do("POST", "/once/x", "a", "").Code, 200)
}
