package linear

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
)

// newStubNode starts a node that always returns the given response. If the status
// is zero, it closes the connection without a response.
func newStubNode(t *testing.T, status int, body string) *Node {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if status == 0 {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return &Node{Name: "a", Address: server.Listener.Addr().String()}
}

func newClient(t *testing.T) *Client {
	t.Helper()
	client := &Client{HTTP: &http.Client{Transport: &http.Transport{}}, Recorder: NewRecorder()}
	t.Cleanup(client.HTTP.CloseIdleConnections)
	return client
}

func TestWriteOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		status   int
		body     string
		outcome  admin.Outcome
		conflict bool
	}{
		"accepted":    {200, `{"outcome":"accepted","change_id":"x","revision":7}`, admin.OutcomeAccepted, false},
		"conflict":    {409, `{"status":409,"outcome":"refused"}`, admin.OutcomeRefused, true},
		"unavailable": {503, `{"status":503,"outcome":"refused"}`, admin.OutcomeRefused, false},
		"unknown":     {504, `{"status":504,"outcome":"unknown","ask_url":"/v1/changes"}`, admin.OutcomeUnknown, false},
		"no response": {0, "", admin.OutcomeUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t)
			write, err := client.Put(t.Context(), newStubNode(t, c.status, c.body), object, "x", 3)
			assert.NilError(t, err)
			assert.Equal(t, write.Outcome, c.outcome)
			assert.Equal(t, write.Conflict, c.conflict)
			assert.DeepEqual(t, client.Recorder.History().Writes, []Write{write})
		})
	}
}

func TestInvalidWriteResponsesAreErrors(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
	}{
		"other change ID":     {200, `{"outcome":"accepted","change_id":"y","revision":7}`},
		"refused, status 200": {200, `{"outcome":"refused","change_id":"x"}`},
		"no outcome":          {503, `{"status":503}`},
		"invalid request":     {400, `{"status":400,"outcome":"refused"}`},
		"no JSON":             {500, `oops`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t).Put(t.Context(), newStubNode(t, c.status, c.body), object, "x", 3)
			assert.Assert(t, err != nil)
		})
	}
}

func TestWriteIsRefusedIfDialFails(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	node := &Node{Name: "a", Address: server.Listener.Addr().String()}
	server.Close()
	write, err := newClient(t).Delete(t.Context(), node, object, "x", 3)
	assert.NilError(t, err)
	assert.Equal(t, write.Outcome, admin.OutcomeRefused)
}

func TestReadsAreRecorded(t *testing.T) {
	client := newClient(t)
	node := newStubNode(t, 200, `{"revision":7,"spec":{"admit":"true"},"last_change":{"id":"x"}}`)
	version, answered, err := client.Read(t.Context(), node, object)
	assert.NilError(t, err)
	assert.Assert(t, answered)
	assert.Equal(t, version, Version{Revision: 7, ChangeID: "x", Content: "true"})
	node.RecordExit()
	_, _, err = client.ReadHistory(t.Context(), newStubNode(t, 200, `{"changes":[{"revision":8,"id":"y","deleted":true},{"revision":7,"id":"x"}]}`), object)
	assert.NilError(t, err)
	_, answered, err = client.Read(t.Context(), newStubNode(t, 404, `{}`), object)
	assert.NilError(t, err)
	assert.Assert(t, answered)
	reads := client.Recorder.History().Reads
	assert.DeepEqual(t, reads[1].Versions, []Version{{Revision: 8, ChangeID: "y", Deleted: true}, {Revision: 7, ChangeID: "x"}})
	assert.Equal(t, len(reads[2].Versions), 0)
	client.Recorder.MarkFresh(client.ID, reads[1].Call)
	reads = client.Recorder.History().Reads
	assert.Assert(t, !reads[0].Fresh && reads[1].Fresh && reads[2].Fresh)
}

func TestReadDuringRestartHasUnknownRun(t *testing.T) {
	node := &Node{Name: "a"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		node.RecordExit()
		w.WriteHeader(http.StatusNotFound)
	}))
	t.Cleanup(server.Close)
	node.Address = server.Listener.Addr().String()
	client := newClient(t)
	_, _, err := client.Read(t.Context(), node, object)
	assert.NilError(t, err)
	assert.Equal(t, client.Recorder.History().Reads[0].Run, unknownRun)
}

func TestResolveTrustsOnlyFinalRefusals(t *testing.T) {
	node := newStubNode(t, 200, `{"outcome":"refused"}`)
	unanswered := put("x", interval(1, 2), 0).unknown()
	answered, replacing := unanswered, put("x", interval(1, 2), 5).unknown()
	answered.ResolveURL = "/v1/changes/policy/back/x?expected_revision=4"
	for _, c := range []struct {
		write   Write
		outcome admin.Outcome
	}{{unanswered, admin.OutcomeUnknown}, {answered, admin.OutcomeRefused}, {replacing, admin.OutcomeRefused}} {
		outcome, err := newClient(t).Resolve(t.Context(), node, c.write)
		assert.NilError(t, err)
		assert.Equal(t, outcome, c.outcome)
	}
	assert.Assert(t, refusalIsFinal(unanswered, unanswered.Return+admin.DefaultWriteTimeout+1))
}
