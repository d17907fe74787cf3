package linear

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
)

// answering starts a node that always gives the answer; status zero closes the
// connection without one.
func answering(t *testing.T, status int, body string) *Node {
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
		"no answer":   {0, "", admin.OutcomeUnknown, false},
	} {
		t.Run(name, func(t *testing.T) {
			client := newClient(t)
			write, err := client.Put(t.Context(), answering(t, c.status, c.body), object, "x", 3)
			assert.NilError(t, err)
			assert.Equal(t, write.Outcome, c.outcome)
			assert.Equal(t, write.Conflict, c.conflict)
			assert.DeepEqual(t, client.Recorder.History().Writes, []Write{write})
		})
	}
}

func TestAnswersThatBreakTheFormAreErrors(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   string
	}{
		"another change":      {200, `{"outcome":"accepted","change_id":"y","revision":7}`},
		"refused with 200":    {200, `{"outcome":"refused","change_id":"x"}`},
		"no outcome":          {503, `{"status":503}`},
		"fault of the client": {400, `{"status":400,"outcome":"refused"}`},
		"no JSON":             {500, `oops`},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t).Put(t.Context(), answering(t, c.status, c.body), object, "x", 3)
			assert.Assert(t, err != nil)
		})
	}
}

func TestWriteThatWasNeverSentIsRefused(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	node := &Node{Name: "a", Address: server.Listener.Addr().String()}
	server.Close()
	write, err := newClient(t).Delete(t.Context(), node, object, "x", 3)
	assert.NilError(t, err)
	assert.Equal(t, write.Outcome, admin.OutcomeRefused)
}

func TestReads(t *testing.T) {
	client := newClient(t)
	node := answering(t, 200, `{"revision":7,"spec":{"admit":"true"},"last_change":{"id":"x"}}`)
	version, answered, err := client.Read(t.Context(), node, object)
	assert.NilError(t, err)
	assert.Assert(t, answered)
	assert.Equal(t, version, Version{Revision: 7, Change: "x", Content: "true"})
	node.Ended()
	_, _, err = client.ReadHistory(t.Context(), answering(t, 200, `{"changes":[{"revision":8,"id":"y","deleted":true},{"revision":7,"id":"x"}]}`), object)
	assert.NilError(t, err)
	_, answered, err = client.Read(t.Context(), answering(t, 404, `{}`), object)
	assert.NilError(t, err)
	assert.Assert(t, answered)
	reads := client.Recorder.History().Reads
	assert.DeepEqual(t, reads[1].Versions, []Version{{Revision: 8, Change: "y", Deleted: true}, {Revision: 7, Change: "x"}})
	assert.Equal(t, len(reads[2].Versions), 0)
	client.Recorder.MarkFresh(client.ID, reads[1].Call)
	reads = client.Recorder.History().Reads
	assert.Assert(t, !reads[0].Fresh && reads[1].Fresh && reads[2].Fresh)
}

func TestReadAcrossARestartIsNobodys(t *testing.T) {
	node := &Node{Name: "a"}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		node.Ended()
		w.WriteHeader(http.StatusNotFound)
	}))
	t.Cleanup(server.Close)
	node.Address = server.Listener.Addr().String()
	client := newClient(t)
	_, _, err := client.Read(t.Context(), node, object)
	assert.NilError(t, err)
	assert.Equal(t, client.Recorder.History().Reads[0].Run, acrossRuns)
}

func TestRefusedCreationIsBelievedOnlyWhenItIsCertain(t *testing.T) {
	refusing := answering(t, 200, `{"outcome":"refused"}`)
	lost := put("x", during(1, 2), 0).unknown()
	answered, replacing := lost, put("x", during(1, 2), 5).unknown()
	answered.AskURL = "/v1/changes/policy/back/x?expected_revision=4"
	for _, c := range []struct {
		write   Write
		outcome admin.Outcome
	}{{lost, admin.OutcomeUnknown}, {answered, admin.OutcomeRefused}, {replacing, admin.OutcomeRefused}} {
		outcome, err := newClient(t).Resolve(t.Context(), refusing, c.write)
		assert.NilError(t, err)
		assert.Equal(t, outcome, c.outcome)
	}
	assert.Assert(t, refusalCertain(lost, lost.Return+admin.DefaultWriteTimeout+1))
}
