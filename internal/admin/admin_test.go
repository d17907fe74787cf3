package admin_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/admin/admintest"
	"github.com/lugspur/lugspur/internal/resource"
)

const (
	targetSpec  = `{"service":"ventctl","zone":"a","address":"10.0.0.1:8080","slots":8,"connections":120}`
	updatedSpec = `{"service":"ventctl","zone":"a","address":"10.0.0.1:8080","slots":16,"connections":120}`
	targetPath  = "/v1/targets/ventctl-1"
	serviceSpec = `{"calls":["cropcal"]}`
)

// call sends a request with the token and decodes the response, whatever its
// status.
func call[T any](t *testing.T, node *admintest.Node, method, path, body string, headers ...string) (*http.Response, T) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, node.Server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+admintest.Token)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	encoded, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	var document T
	assert.NilError(t, json.Unmarshal(encoded, &document), "%s", encoded)
	return response, document
}

// refused sends a request and requires a problem with the given status.
func refused(t *testing.T, node *admintest.Node, status int, method, path, body string, headers ...string) admin.Problem {
	t.Helper()
	response, problem := call[admin.Problem](t, node, method, path, body, headers...)
	assert.Equal(t, response.StatusCode, status, "%v", problem)
	assert.Equal(t, problem.Status, status)
	assert.Equal(t, response.Header.Get("Content-Type"), "application/problem+json")
	assert.Equal(t, problem.Peer, "node-a1")
	return problem
}

func accepted(t *testing.T, node *admintest.Node, method, path, body string, headers ...string) admin.WriteResponse {
	t.Helper()
	response, result := call[admin.WriteResponse](t, node, method, path, body, headers...)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return result
}

func TestObjectLifeCycle(t *testing.T) {
	node := admintest.Start(t)
	created := accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec, "Lugspur-Change-Id", "first", "Lugspur-Author", "meera")
	assert.Equal(t, created.Outcome, admin.OutcomeAccepted)
	assert.Equal(t, created.ChangeID, "first")
	assert.DeepEqual(t, created.Warnings, []string{`target/ventctl-1: this node knows no service named "ventctl"`})

	response, object := call[admin.Object](t, node, "GET", targetPath, "")
	etag := response.Header.Get("ETag")
	assert.Equal(t, etag, `"`+response.Header.Get("X-Lugspur-Revision")+`"`)
	assert.Equal(t, object.Revision, created.Revision)
	assert.Equal(t, object.LastChange.Author, "meera")
	assert.Equal(t, string(object.Spec), targetSpec)

	changed := accepted(t, node, "PUT", targetPath, updatedSpec, "If-Match", etag)
	assert.Assert(t, changed.Revision > created.Revision)
	assert.Assert(t, changed.ChangeID != "")

	problem := refused(t, node, http.StatusConflict, "DELETE", targetPath, "", "If-Match", etag)
	assert.Equal(t, *problem.CurrentRevision, changed.Revision)
	assert.Equal(t, string(problem.Current.Spec), updatedSpec)
	assert.Equal(t, problem.Outcome, admin.OutcomeRefused)

	accepted(t, node, "PUT", "/v1/services/ventctl?expected_revision=0", serviceSpec)
	_, list := call[admin.ObjectList](t, node, "GET", "/v1/targets", "")
	assert.Equal(t, len(list.Items), 1)

	deleted := accepted(t, node, "DELETE", targetPath, "", "If-Match", `"`+itoa(changed.Revision)+`"`)
	missing := refused(t, node, http.StatusNotFound, "GET", targetPath, "")
	assert.Assert(t, strings.Contains(missing.Detail, "ventctl-1"))
	_, list = call[admin.ObjectList](t, node, "GET", "/v1/targets", "")
	assert.Equal(t, len(list.Items), 0)

	_, history := call[admin.History](t, node, "GET", targetPath+"/history", "")
	assert.Equal(t, len(history.Changes), 3)
	assert.Equal(t, history.Changes[0].Revision, deleted.Revision)
	assert.Assert(t, history.Changes[0].Deleted)
	assert.Equal(t, history.Changes[2].Revision, created.Revision)
	assert.Equal(t, history.Changes[2].ID, "first")

	again := accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
	assert.Assert(t, again.Revision > deleted.Revision)
}

func itoa[T ~int64](number T) string {
	encoded, _ := json.Marshal(number)
	return string(encoded)
}

func TestRefusedRequests(t *testing.T) {
	node := admintest.Start(t)
	zero := "?expected_revision=0"
	cases := []struct {
		name, method, path, body string
		headers                  []string
		status                   int
		text                     string
	}{
		{"no token", "PUT", targetPath + zero, targetSpec, []string{"Authorization", ""}, 401, "Bearer"},
		{"wrong token", "POST", "/v1/drain/targets/x", "", []string{"Authorization", "Bearer " + admintest.Token + "x"}, 401, "Bearer"},
		{"token without scheme", "DELETE", targetPath + "?expected_revision=1", "", []string{"Authorization", admintest.Token}, 401, "Bearer"},
		{"no revision", "PUT", targetPath, targetSpec, nil, 428, "expected_revision"},
		{"bad revision", "PUT", targetPath + "?expected_revision=-1", targetSpec, nil, 400, "whole numbers"},
		{"two revisions", "PUT", targetPath + "?expected_revision=3", targetSpec, []string{"If-Match", `"4"`}, 400, "differ"},
		{"delete nothing", "DELETE", targetPath + zero, "", nil, 400, "deletion"},
		{"bad name", "PUT", "/v1/targets/Ventctl_1" + zero, targetSpec, nil, 400, "a-z"},
		{"bad change id", "PUT", targetPath + zero, targetSpec, []string{"Lugspur-Change-Id", "a b"}, 400, "Lugspur-Change-Id"},
		{"long author", "PUT", targetPath + zero, targetSpec, []string{"Lugspur-Author", strings.Repeat("a", 101)}, 400, "Lugspur-Author"},
		{"no body", "PUT", targetPath + zero, "", nil, 400, "JSON"},
		{"unknown field", "PUT", targetPath + zero, `{"port":3}`, nil, 400, "port"},
		{"two values", "PUT", targetPath + zero, targetSpec + "{}", nil, 400, "more than one"},
		{"large body", "PUT", targetPath + zero, strings.Repeat(" ", admin.MaxBodyBytes+1), nil, 413, "65536"},
		{"drain name", "PUT", "/v1/drains/ventctl-1" + zero, "{}", nil, 400, "fault"},
		{"unknown drain field", "POST", "/v1/drain/targets/x", `{"why":"x"}`, nil, 400, "why"},
		{"unknown kind of change", "GET", "/v1/changes/node/x/c" + zero, "", nil, 400, "unknown kind"},
		{"change without revision", "GET", "/v1/changes/target/x/c", "", nil, 428, "expected_revision"},
		{"missing object", "GET", "/v1/policies/x", "", nil, 404, "policy"},
		{"missing history", "GET", "/v1/policies/x/history", "", nil, 404, "policy"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			problem := refused(t, node, c.status, c.method, c.path, c.body, c.headers...)
			assert.Assert(t, strings.Contains(problem.Detail, c.text), problem.Detail)
			if c.method != "GET" {
				assert.Equal(t, problem.Outcome, admin.OutcomeRefused)
			}
		})
	}
	for _, kind := range resource.OperatorKinds() {
		assert.Equal(t, len(node.Replica.List(kind)), 0)
	}
}

func TestFaultsOfObjects(t *testing.T) {
	node := admintest.Start(t)
	policy := `{"admit":"call.metod == \"GET\"","retry":"99"}`
	problem := refused(t, node, 400, "PUT", "/v1/policies/ventctl?expected_revision=0", policy)
	assert.Equal(t, len(problem.Faults), 2)
	assert.Equal(t, problem.Faults[0].Expression, "admit")
	assert.Equal(t, problem.Faults[0].Line, 1)
	assert.Assert(t, problem.Faults[0].Column > 0)
	assert.Assert(t, len(problem.Faults[0].Allowed) > 0)
	assert.Equal(t, problem.Faults[1].Expression, "retry")

	problem = refused(t, node, 400, "PUT", targetPath+"?expected_revision=0", `{"service":"s","slots":0,"connections":-1}`)
	assert.Equal(t, len(problem.Faults), 4, "%v", problem.Faults)
}

func TestWritesRequireConfiguredToken(t *testing.T) {
	mux := http.NewServeMux()
	admin.NewServer(admin.Options{}).Register(mux)
	node := &admintest.Node{Server: serve(t, mux)}
	response, problem := call[admin.Problem](t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
	assert.Equal(t, response.StatusCode, http.StatusForbidden)
	assert.Equal(t, problem.Outcome, admin.OutcomeRefused)
}

func TestStoreUnavailable(t *testing.T) {
	node := admintest.Start(t)
	node.SetFault(admintest.Unavailable)
	response, problem := call[admin.Problem](t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, response.Header.Get("Retry-After"), "2")
	assert.Equal(t, problem.Outcome, admin.OutcomeRefused)
	node.SetFault(admintest.Healthy)
	_, change := call[admin.ChangeResponse](t, node, "GET", admin.ResolveURL(targetID(), problem.ChangeID, 0), "")
	assert.Assert(t, change.Outcome != admin.OutcomeAccepted)
}

func targetID() resource.ID { return resource.ID{Kind: resource.KindTarget, Name: "ventctl-1"} }

func TestLostResponseCanBeResolved(t *testing.T) {
	for _, test := range []struct {
		fault   admintest.Fault
		outcome admin.Outcome
	}{
		{admintest.ResponsesLost, admin.OutcomeAccepted},
		{admintest.WritesLost, admin.OutcomeUnknown},
	} {
		node := admintest.Start(t)
		created := accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
		node.SetFault(test.fault)
		problem := refused(t, node, http.StatusGatewayTimeout, "PUT", targetPath+"?expected_revision="+itoa(created.Revision), updatedSpec, "Lugspur-Change-Id", "c2")
		assert.Equal(t, problem.Outcome, admin.OutcomeUnknown)
		assert.Equal(t, problem.ChangeID, "c2")

		unresolved := refused(t, node, http.StatusServiceUnavailable, "GET", problem.ResolveURL, "")
		assert.Equal(t, unresolved.Outcome, admin.OutcomeUnknown)

		node.SetFault(admintest.Healthy)
		_, change := call[admin.ChangeResponse](t, node, "GET", problem.ResolveURL, "")
		assert.Equal(t, change.Outcome, test.outcome)
		assert.Equal(t, change.ChangeID, "c2")
	}
}

// TestLostCreationResolvesAgainstDeletion checks that the lost creation of a
// deleted object is resolved with the revision of the deletion, which it would
// have replaced.
func TestLostCreationResolvesAgainstDeletion(t *testing.T) {
	node := admintest.Start(t)
	created := accepted(t, node, "PUT", targetPath+"?expected_revision=0", targetSpec)
	deleted := accepted(t, node, "DELETE", targetPath+"?expected_revision="+itoa(created.Revision), "")
	node.SetFault(admintest.ReadOnly)
	problem := refused(t, node, http.StatusGatewayTimeout, "PUT", targetPath+"?expected_revision=0", targetSpec)
	assert.Equal(t, problem.ResolveURL, admin.ResolveURL(targetID(), problem.ChangeID, deleted.Revision))

	node.SetFault(admintest.Healthy)
	accepted(t, node, "PUT", targetPath+"?expected_revision=0", updatedSpec)
	_, change := call[admin.ChangeResponse](t, node, "GET", problem.ResolveURL, "")
	assert.Equal(t, change.Outcome, admin.OutcomeRefused)
}

func TestRepeatedChangeIsIdempotent(t *testing.T) {
	node := admintest.Start(t)
	path := targetPath + "?expected_revision=0"
	first := accepted(t, node, "PUT", path, targetSpec, "Lugspur-Change-Id", "c1")
	second := accepted(t, node, "PUT", path, targetSpec, "Lugspur-Change-Id", "c1")
	assert.Equal(t, first.Revision, second.Revision)
	problem := refused(t, node, 400, "PUT", path, updatedSpec, "Lugspur-Change-Id", "c1")
	assert.Assert(t, strings.Contains(problem.Detail, "another change"))
	_, object := call[admin.Object](t, node, "GET", targetPath, "")
	assert.Equal(t, string(object.Spec), targetSpec)
}
