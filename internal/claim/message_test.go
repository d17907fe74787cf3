package claim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testRoster(t testing.TB) Roster {
	var members []Member
	for _, name := range []string{"a", "b", "c"} {
		members = append(members, Member{Identity: Identity{Name: name, Boot: NewBootID()}, Zone: name, Address: "127.0.0.1:1"})
	}
	roster, err := NewGenesis(time.Minute, members)
	assert.NilError(t, err)
	return roster
}

func TestRosterRoundTrip(t *testing.T) {
	roster := testRoster(t)
	roster, err := roster.NextReplace(roster.Seats[1].Holder.Identity, Member{Identity: Identity{Name: "d", Boot: NewBootID()}})
	assert.NilError(t, err)
	body, err := EncodeRoster(roster)
	assert.NilError(t, err)
	read, err := DecodeRoster(body)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, roster)
}

func TestFullPageFitsInMessage(t *testing.T) {
	page := Page{Claims: make([]CopiedClaim, maximumPageClaims)}
	for i := range page.Claims {
		page.Claims[i] = CopiedClaim{Key: KeyHash(NewBootID()), Attempt: NewAttemptID(), Contested: true}
	}
	body, err := encode(page)
	assert.NilError(t, err)
	read, err := decode[Page](body)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, page)
}

func TestHashKeySeparatesScopes(t *testing.T) {
	assert.Assert(t, HashKey("ab", "c") != HashKey("a", "bc"))
	assert.Equal(t, HashKey("ab", "c"), HashKey("ab", "c"))
}

func TestKeyExpired(t *testing.T) {
	roster := testRoster(t)
	roster.Retention = 10 * time.Minute
	issued := time.UnixMilli(0x017F22E279B0) // example from RFC 9562
	tests := []struct {
		key   string
		after time.Duration
		want  bool
	}{
		{"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", time.Minute, false},
		{"017F22E2-79B0-7CC3-98C4-DC0C0C07398F", 10 * time.Minute, true},
		{"017F22E2-79B0-4CC3-98C4-DC0C0C07398F", 10 * time.Minute, false},
		{"order-17", time.Hour, false},
	}
	for _, test := range tests {
		assert.Equal(t, keyExpired(test.key, roster, issued.Add(test.after)), test.want, test.key)
	}
}

// FuzzMessages passes every decodable message to a replica and a coordinator.
func FuzzMessages(f *testing.F) {
	roster := testRoster(f)
	self := roster.Seats[0].Holder.Identity
	request, err := encode(Request{To: self, Epoch: 1, Roster: &roster})
	assert.NilError(f, err)
	response, err := encode(Response{From: self, Epoch: 1, Answer: AnswerGranted})
	assert.NilError(f, err)
	page, err := encode(Page{From: self, Epoch: 1, Claims: []CopiedClaim{{}}, Last: true})
	assert.NilError(f, err)
	for _, seed := range [][]byte{request, response, page} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		now := time.Unix(0, 0)
		replica := NewReplica(self, 10)
		if req, err := decode[Request](body); err == nil {
			assert.Assert(t, replica.Handle(req, now).Answer < answerCount)
		}
		if req, err := decode[PageRequest](body); err == nil {
			replica.Page(req, now)
		}
		if req, err := decode[ReleaseRequest](body); err == nil {
			replica.Release(req, now)
		}
		if p, err := decode[Page](body); err == nil {
			replica.ReceivePage(p, now)
		}
		coordinator := NewCoordinator(roster, KeyHash{}, AttemptID{}, now)
		if r, err := decode[Response](body); err == nil {
			assert.Assert(t, coordinator.Receive(r, now) != Granted, "one answer is no majority")
		}
		if r, err := DecodeRoster(body); err == nil {
			assert.Assert(t, r.Majority() > len(r.Seats)/2)
		}
		assert.Assert(t, replica.Len() <= 10)
	})
}
