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

// replyCrashed replies like a home whose target crashed, with one crash more than the call
// reported.
func replyCrashed(ctx context.Context, call *peering.Call) *peering.Reply {
	reply := replyFailed(ctx, call)
	reply.Reason, reply.Crashes = peering.TargetCrashed, call.Crashes+1
	return reply
}

// recordCrashes records in the quarantine that the given number of targets crashed while
// running requests to the path.
func (f *fixture) recordCrashes(path string, crashes int) {
	hash := (&peering.Call{Method: http.MethodGet, Host: "a.example", URI: path}).Fingerprint()
	f.quarantine.RecordCrash("earlier", []quarantine.Call{{Fingerprint: hash, Crashes: crashes}})
}

func (f *fixture) reasonOf(t *testing.T, body []byte) problem.Reason {
	t.Helper()
	document, err := problem.Parse(body)
	assert.NilError(t, err)
	return document.Reason
}

func TestQuarantinedRequestIsRefusedAtEntryNode(t *testing.T) {
	f := newFixture(t, replyOK)
	f.recordCrashes("/read/deadly", 3)
	response := f.do("GET", "/read/deadly", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.reasonOf(t, response.Body.Bytes()), problem.Quarantined)
	wait, err := strconv.ParseFloat(response.Header().Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, wait > 30, "the retry delay lasts until a trial run is due: %g s", wait)
	assert.Equal(t, f.calls(), 0)
	assert.Equal(t, f.do("GET", "/read/harmless", "b", "").Code, http.StatusOK)
}

// TestQuarantineRefusalByHomeIsFinal covers a quarantine that is known only to the homes:
// after the first refusal no other home must get the request.
func TestQuarantineRefusalByHomeIsFinal(t *testing.T) {
	f := newFixture(t, replyRefused(peering.Quarantined), replyRefused(peering.Quarantined))
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, response.Code, http.StatusServiceUnavailable)
	assert.Equal(t, f.reasonOf(t, response.Body.Bytes()), problem.Quarantined)
	assert.Equal(t, f.calls(), 1)
}

// TestRequestCrashesAtMostTwoTargets sends a request that crashes every target, to a route
// that allows more than two attempts.
func TestRequestCrashesAtMostTwoTargets(t *testing.T) {
	f := newFixture(t, replyCrashed, replyCrashed, replyCrashed, replyCrashed)
	f.forwarder.routes.Current().Match("a.example", "/read/x").Attempts = 4
	for range 4 * testRequestsPerRetry {
		f.forwarder.budget("s").CountRequest()
	}
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, response.Code, http.StatusBadGateway, "the request may have been executed")
	assert.Equal(t, f.calls(), 2)
}

// TestQuarantineAfterCrashIsNotReportedAsNotExecuted sends a request that crashes the first
// target and is refused as quarantined by the next home.
func TestQuarantineAfterCrashIsNotReportedAsNotExecuted(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		if call.Crashes == 0 {
			return replyCrashed(ctx, call)
		}
		return replyRefused(peering.Quarantined)(ctx, call)
	}, func(ctx context.Context, call *peering.Call) *peering.Reply {
		if call.Crashes == 0 {
			return replyCrashed(ctx, call)
		}
		return replyRefused(peering.Quarantined)(ctx, call)
	})
	response := f.do("GET", "/read/x", "a", "")
	assert.Equal(t, response.Code, http.StatusBadGateway)
	assert.Equal(t, f.calls(), 2)
}

// TestSuspectsAreHashedToOneHome checks that nodes with the same directory send a suspect to
// the same home, and to another one only after that home has failed.
func TestSuspectsAreHashedToOneHome(t *testing.T) {
	f := newFixture(t, replyOK, replyOK, replyOK)
	other := newForwarder(t, f, f.addresses)
	chosen := func(forwarder *Forwarder, path string) string {
		q := &request{route: forwarder.routes.Current().Match("a.example", path), service: "s", deadline: time.Now().Add(time.Second),
			call: &peering.Call{Method: http.MethodGet, Host: "a.example", URI: path, Crashes: 1}}
		return forwarder.chooseByRendezvousHash(q).home.Address
	}
	homes := make(map[string]bool)
	for i := range 30 {
		path := "/read/" + strconv.Itoa(i)
		assert.Equal(t, chosen(f.forwarder, path), chosen(other, path))
		homes[chosen(other, path)] = true
	}
	assert.Equal(t, len(homes), 3, "different suspects go to different homes")
	suspectedHome := chosen(other, "/read/0")
	other.suspect(other.homes.state(suspectedHome), "gone")
	assert.Assert(t, chosen(other, "/read/0") != suspectedHome)
}

func TestResponseClearsSuspectAtEntryNode(t *testing.T) {
	f := newFixture(t, replyOK)
	f.recordCrashes("/read/x", 1)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusOK)
	assert.Equal(t, f.homes[0].calls[0].Crashes, 1, "the call reports the crashes")
	assert.Assert(t, f.quarantine.Empty())
}
