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

// crashTarget replies like a home whose target crashed, with one more crash than the call
// reported.
func crashTarget(ctx context.Context, call *peering.Call) *peering.Reply {
	reply := failCall(ctx, call)
	reply.Reason, reply.Crashes = peering.TargetCrashed, call.Crashes+1
	return reply
}

// recordCrashes records at the node that the given number of targets crashed while running
// requests to the path.
func (f *fixture) recordCrashes(path string, crashes int) {
	hash := (&peering.Call{Method: http.MethodGet, Host: "a.example", URI: path}).Fingerprint()
	f.quarantine.RecordCrash("earlier", []quarantine.Call{{Fingerprint: hash, Crashes: crashes}})
}

func (f *fixture) reasonOf(t *testing.T, body []byte) problem.Reason {
	t.Helper()
	answer, err := problem.Parse(body)
	assert.NilError(t, err)
	return answer.Reason
}

func TestQuarantinedRequestIsRefusedAtEntryNode(t *testing.T) {
	f := newFixture(t, answerOK)
	f.recordCrashes("/read/deadly", 3)
	answer := f.do("GET", "/read/deadly", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.reasonOf(t, answer.Body.Bytes()), problem.Quarantined)
	wait, err := strconv.ParseFloat(answer.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 30, "the retry delay lasts until a trial run is due: %g s", wait)
	assert.Equal(t, f.calls(), 0)
	assert.Equal(t, f.do("GET", "/read/harmless", "b", "").Code, http.StatusOK)
}

// TestQuarantineRefusalByHomeIsFinal covers a quarantine that only the homes
// have recorded: after the first refusal no other home gets the request.
func TestQuarantineRefusalByHomeIsFinal(t *testing.T) {
	f := newFixture(t, refuseWith(peering.Quarantined), refuseWith(peering.Quarantined))
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.reasonOf(t, answer.Body.Bytes()), problem.Quarantined)
	assert.Equal(t, f.calls(), 1)
}

// TestRequestCrashesAtMostTwoTargets has every target crash under the request, with a
// route that allows more attempts.
func TestRequestCrashesAtMostTwoTargets(t *testing.T) {
	f := newFixture(t, crashTarget, crashTarget, crashTarget, crashTarget)
	f.forwarder.routes.Current().Match("a.example", "/read/x").Attempts = 4
	for range 4 * testRequestsPerRetry {
		f.forwarder.budget("s").CountRequest()
	}
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusBadGateway, "the request may have been executed")
	assert.Equal(t, f.calls(), 2)
}

// TestQuarantineAfterCrashIsNotReportedAsNotExecuted has the first target crash, while
// the next home has already recorded that the request is quarantined.
func TestQuarantineAfterCrashIsNotReportedAsNotExecuted(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		if call.Crashes == 0 {
			return crashTarget(ctx, call)
		}
		return refuseWith(peering.Quarantined)(ctx, call)
	}, func(ctx context.Context, call *peering.Call) *peering.Reply {
		if call.Crashes == 0 {
			return crashTarget(ctx, call)
		}
		return refuseWith(peering.Quarantined)(ctx, call)
	})
	answer := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, answer.Code, http.StatusBadGateway)
	assert.Equal(t, f.calls(), 2)
}

// TestSuspectsAreHashedToOneHome checks that nodes with the same information send a
// suspect to the same home, and to another one only after that home failed.
func TestSuspectsAreHashedToOneHome(t *testing.T) {
	f := newFixture(t, answerOK, answerOK, answerOK)
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

func TestAnswerClearsSuspectAtEntryNode(t *testing.T) {
	f := newFixture(t, answerOK)
	f.recordCrashes("/read/x", 1)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusOK)
	assert.Equal(t, f.homes[0].calls[0].Crashes, 1, "the call reports the crashes")
	assert.Assert(t, f.quarantine.Empty())
}
