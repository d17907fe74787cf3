package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/routetable"
)

// previousRequest and previousGrant are the messages as the previous build declares them.
type previousRequest struct {
	_                struct{} `cbor:",toarray"`
	Share            int
	Tenant           string
	Needed, Prefetch int
}

type previousGrant struct {
	_          struct{} `cbor:",toarray"`
	Held       bool
	Issued     int
	Validity   time.Duration
	RetryAfter time.Duration
}

// TestMessagesOfPreviousBuild guards against permit requests and grants that one of two builds
// cannot decode, which would leave tenants without permits while a deployment is updated, and
// against a demand that makes no sense.
func TestMessagesOfPreviousBuild(t *testing.T) {
	encode := func(message any) []byte {
		content, err := cbor.Marshal(message)
		assert.NilError(t, err)
		return content
	}
	oldRequest, oldGrant := previousRequest{Share: 1, Tenant: "a", Needed: 2, Prefetch: 3}, previousGrant{Held: true, Issued: 2, Validity: 4, RetryAfter: 5}
	for _, wantsDemand := range []bool{false, true} {
		request := PermitRequest{Share: 1, Tenant: "a", Needed: 2, Prefetch: 3, WantsDemand: wantsDemand}
		var atOld previousRequest
		var atNew PermitRequest
		assert.NilError(t, cbor.Unmarshal(encode(request.Wire()), &atOld))
		assert.NilError(t, atNew.Decode(encode(request.Wire())))
		assert.Equal(t, atOld, oldRequest)
		assert.Equal(t, atNew, request)
	}
	var request PermitRequest
	assert.NilError(t, request.Decode(encode(oldRequest)))
	assert.Equal(t, request, PermitRequest{Share: 1, Tenant: "a", Needed: 2, Prefetch: 3})
	var grant Grant
	assert.NilError(t, grant.Decode(encode(oldGrant)))
	assert.Equal(t, grant, Grant{Held: true, Issued: 2, Validity: 4, RetryAfter: 5})
	var atOld previousGrant
	assert.NilError(t, cbor.Unmarshal(encode(grant.Wire()), &atOld), "the answer to a request without tag")
	assert.Equal(t, atOld, oldGrant)
	for demand, want := range map[float64]float64{7.5: 7.5, -1: 0, math.Inf(1): 0, math.NaN(): 0, 1e300: 0} {
		assert.NilError(t, grant.Decode(encode((&Grant{Held: true, Demand: demand}).Wire())))
		assert.Equal(t, grant, Grant{Held: true, Demand: want})
	}
	assert.Assert(t, grant.Decode([]byte{0x83, 1, 2, 3}) != nil && grant.Decode(nil) != nil && request.Decode(nil) != nil)
}

// TestDemandIsReportedOnRequest guards against a demand that is sent to nodes that do not ask
// for it, that differs from what nodes request together, or that outlives its source.
func TestDemandIsReportedOnRequest(t *testing.T) {
	tenant := &routetable.Tenant{Name: "tenant", Rate: 1000, Burst: 1000}
	now := time.Now()
	issuer := NewIssuer(testBounds, func(string) *routetable.Tenant { return tenant }, func() time.Time { return now })
	for number := range Shards {
		issuer.Hold(number, now, now.Add(time.Hour))
	}
	p := &pool{}
	for i := range 2000 {
		now = now.Add(5 * time.Millisecond)
		request := &PermitRequest{Tenant: tenant.Name, Share: i % Shares, Needed: 1, WantsDemand: i%8 < Shares}
		grant := issuer.Issue(request)
		assert.Assert(t, request.WantsDemand || grant.Demand == 0)
		p.applyGrant(request.Share, grant, request.Needed, now, now)
	}
	demand, known := p.currentDemand(now)
	assert.Assert(t, known && math.Abs(demand-200) < 10, "%v", demand)
	_, known = p.currentDemand(now.Add(maxDemandAge + time.Second))
	assert.Assert(t, !known)
}
