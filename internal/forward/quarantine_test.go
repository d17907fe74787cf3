package forward

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/quarantine"
)

// crashing answers as a home does whose target crashed, one more than its caller knew of.
func crashing(ctx context.Context, call *peering.Call) *peering.Reply {
	reply := failing(ctx, call)
	reply.Reason, reply.Crashes = peering.TargetCrashed, call.Crashes+1
	return reply
}

// suspect has the node know of so many crashes under the request.
func (f *fixture) suspect(path string, crashes int) {
	hash := (&peering.Call{Method: http.MethodGet, Host: "a.example", URI: path}).Fingerprint()
	f.suspects.Crashed("earlier", []quarantine.OpenCall{{Fingerprint: hash, Crashes: crashes}})
}

func (f *fixture) reasonOf(t *testing.T, body []byte) problem.Reason {
	t.Helper()
	answer, err := problem.Parse(body)
	assert.NilError(t, err)
	return answer.Reason
}

func TestAQuarantinedRequestIsRefusedWhereItBegins(t *testing.T) {
	f := newFixture(t, answered)
	f.suspect("/read/deadly", 3)
	answer := f.do("GET", "/read/deadly", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.reasonOf(t, answer.Body.Bytes()), problem.Quarantined)
	wait, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 30, "callers are told when a trial run is due: %g s", wait)
	assert.Equal(t, f.calls(), 0)
	assert.Equal(t, f.do("GET", "/read/harmless", "b", "").Code, http.StatusOK)
}

// TestARefusalBesideTheTargetIsTheAnswer has only the home know that the request is
// quarantined: no other home is asked.
func TestARefusalBesideTheTargetIsTheAnswer(t *testing.T) {
	f := newFixture(t, refusing(peering.Quarantined), refusing(peering.Quarantined))
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.reasonOf(t, answer.Body.Bytes()), problem.Quarantined)
	assert.Equal(t, f.calls(), 1)
}

// TestOneTryEndsNoMoreThanTwoTargets has every target crash under the request, however many
// targets its route allows.
func TestOneTryEndsNoMoreThanTwoTargets(t *testing.T) {
	f := newFixture(t, crashing, crashing, crashing, crashing)
	f.forwarder.routes.Current().Match("a.example", "/read/x").Attempts = 4
	for range 4 * testRequestsForARepetition {
		f.forwarder.budget("s").CountRequest()
	}
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusBadGateway, "it has run")
	assert.Equal(t, f.calls(), 2)
}

// TestARequestThatRanIsNotToldOtherwise has the first target crash and the next home know
// by then that the request is quarantined.
func TestARequestThatRanIsNotToldOtherwise(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		if call.Crashes == 0 {
			return crashing(ctx, call)
		}
		return refusing(peering.Quarantined)(ctx, call)
	}, func(ctx context.Context, call *peering.Call) *peering.Reply {
		if call.Crashes == 0 {
			return crashing(ctx, call)
		}
		return refusing(peering.Quarantined)(ctx, call)
	})
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusBadGateway)
	assert.Equal(t, f.calls(), 2)
}

// TestSuspectsGoToOneHome has nodes that know the same send a suspect to the same home, and
// to the next one only once that is gone.
func TestSuspectsGoToOneHome(t *testing.T) {
	f := newFixture(t, answered, answered, answered)
	other := newForwarder(t, f, f.addresses)
	chosen := func(forwarder *Forwarder, path string) string {
		q := &request{route: forwarder.routes.Current().Match("a.example", path), service: "s", deadline: time.Now().Add(time.Second),
			call: &peering.Call{Method: http.MethodGet, Host: "a.example", URI: path, Crashes: 1}}
		return forwarder.chooseByHash(q).home.Address
	}
	homes := make(map[string]bool)
	for i := range 30 {
		path := "/read/" + strconv.Itoa(i)
		assert.Equal(t, chosen(f.forwarder, path), chosen(other, path))
		homes[chosen(other, path)] = true
	}
	assert.Equal(t, len(homes), 3, "different suspects go to different homes")
	gone := chosen(other, "/read/0")
	other.suspect(other.homes.state(gone), "gone")
	assert.Assert(t, chosen(other, "/read/0") != gone)
}

func TestAnAnswerClearsASuspectWhereItBegan(t *testing.T) {
	f := newFixture(t, answered)
	f.suspect("/read/x", 1)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusOK)
	assert.Equal(t, f.homes[0].calls[0].Crashes, 1, "the home is told")
	assert.Assert(t, f.suspects.Empty())
}
