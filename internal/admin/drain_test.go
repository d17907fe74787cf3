package admin_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/admin/admintest"
	"github.com/lugspur/lugspur/internal/resource"
)

func serve(t *testing.T, handler http.Handler) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server
}

var drainID = resource.ID{Kind: resource.KindDrain, Name: "target.ventctl-1"}

func isDrained(t *testing.T, node *admintest.Node) bool {
	t.Helper()
	version, ok := node.Replica.Get(drainID)
	return ok && !version.Deleted
}

func TestDrainAndJoin(t *testing.T) {
	node := admintest.Start(t)
	accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
	for range 2 {
		first := accepted(t, node, "POST", "/v1/drain/targets/ventctl-1", `{"reason":"moves"}`)
		assert.Equal(t, first.Outcome, admin.OutcomeAccepted)
		assert.Equal(t, len(first.Warnings), 0)
		assert.Assert(t, isDrained(t, node))
		again := accepted(t, node, "POST", "/v1/drain/targets/ventctl-1", "")
		assert.Equal(t, again.Outcome, admin.OutcomeUnchanged)
		assert.Equal(t, again.Revision, first.Revision)

		joined := accepted(t, node, "POST", "/v1/join/targets/ventctl-1", "")
		assert.Equal(t, joined.Outcome, admin.OutcomeAccepted)
		assert.Assert(t, !isDrained(t, node))
		joined = accepted(t, node, "POST", "/v1/join/targets/ventctl-1", "")
		assert.Equal(t, joined.Outcome, admin.OutcomeUnchanged)
	}
}

func TestDrainOfUnknownNameReturnsWarning(t *testing.T) {
	node := admintest.Start(t)
	for _, path := range []string{"/v1/drain/targets/ventctl-9", "/v1/drain/machines/m9"} {
		result := accepted(t, node, "POST", path, "")
		assert.Equal(t, result.Outcome, admin.OutcomeAccepted)
		assert.Equal(t, len(result.Warnings), 1)
	}
	_, ok := node.Replica.Get(resource.ID{Kind: resource.KindDrain, Name: "machine.m9"})
	assert.Assert(t, ok)
}

// TestDrainWithStaleReplica drains and joins while the replica lacks a write of
// another node: the outcome must depend on the store only.
func TestDrainWithStaleReplica(t *testing.T) {
	node := admintest.Start(t)
	drain := resource.Envelope{ID: drainID, Drain: &resource.Drain{}}
	node.WriteBypassingReplica(t, drain, 0, resource.Change{ID: "elsewhere"})
	joined := accepted(t, node, "POST", "/v1/join/targets/ventctl-1", "")
	assert.Equal(t, joined.Outcome, admin.OutcomeAccepted)

	written := node.WriteBypassingReplica(t, drain, 0, resource.Change{ID: "elsewhere-2"})
	node.Replica.Apply(written)
	node.WriteBypassingReplica(t, resource.Envelope{ID: drainID}, written.Revision, resource.Change{ID: "elsewhere-3", Deleted: true})
	result := accepted(t, node, "POST", "/v1/drain/targets/ventctl-1", "")
	assert.Equal(t, result.Outcome, admin.OutcomeAccepted)
	assert.Assert(t, isDrained(t, node))
}

func TestEmergencyDrain(t *testing.T) {
	path := "/v1/drain/targets/ventctl-1"
	for _, fault := range []admintest.Fault{admintest.Unavailable, admintest.WritesLost, admintest.ResponsesLost} {
		node := admintest.Start(t)
		accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
		accepted(t, node, "POST", path, "")
		accepted(t, node, "POST", "/v1/join/targets/ventctl-1", "")
		node.SetFault(fault)
		response, _ := call[admin.Problem](t, node, "POST", path, "")
		assert.Assert(t, response.StatusCode >= 500)
		assert.Assert(t, !node.Emergency.Drained(drainID.Name))

		result := accepted(t, node, "POST", path+"?emergency=true", "")
		assert.Equal(t, result.Outcome, admin.OutcomeEmergency)
		assert.Assert(t, node.Emergency.Drained(drainID.Name))
		assert.Equal(t, len(result.Warnings), 1)

		node.SetFault(admintest.Healthy)
		joined := accepted(t, node, "POST", "/v1/join/targets/ventctl-1", "")
		assert.Assert(t, strings.Contains(joined.Warnings[0], "ends by itself"))
	}
}

func TestHealthAndStatus(t *testing.T) {
	node := admintest.Start(t)
	accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
	accepted(t, node, "PUT", "/v1/services/cropcal?expected_revision=0", "{}")
	accepted(t, node, "PUT", "/v1/policies/payslip?expected_revision=0", "{}")
	_, status := call[admin.Status](t, node, "GET", "/v1/status", "", "Authorization", "")
	assert.Equal(t, status.Node.Name, "node-a1")
	assert.Assert(t, status.Members != nil && status.Targets != nil)
	assert.DeepEqual(t, status.Warnings, []string{
		`target/ventctl-1: this node knows no service named "ventctl"`,
		`policy/payslip: this node knows no service named "payslip"`,
		`service/cropcal: has no target`,
	})

	response, readiness := call[admin.Readiness](t, node, "GET", "/readyz", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, readiness.Ready)
	node.Status.Node.Readiness = admin.Readiness{Reasons: []string{"no configuration yet"}}
	response, readiness = call[admin.Readiness](t, node, "GET", "/readyz", "")
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.DeepEqual(t, readiness.Reasons, []string{"no configuration yet"})
	response, _ = call[struct{}](t, node, "GET", "/livez", "")
	assert.Equal(t, response.StatusCode, http.StatusOK)
}
