package node

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/claim"
)

func newTestClaims(name string) *claims {
	identity := claim.Identity{Name: name, Boot: claim.NewBootID()}
	return &claims{node: name, client: http.DefaultClient, service: claim.NewService(claim.ServiceConfig{Self: identity})}
}

// A node that starts during a store outage fetches the roster from a peer. It must
// reject a response that is not a roster.
func TestFetchRosterFromPeer(t *testing.T) {
	peerClaims, startingClaims := newTestClaims("a"), newTestClaims("b")
	server := httptest.NewServer(http.HandlerFunc(peerClaims.serveRoster))
	defer server.Close()
	peer := strings.TrimPrefix(server.URL, "http://")

	assert.ErrorContains(t, startingClaims.fetchRoster(t.Context(), peer), "404")
	assert.Equal(t, startingClaims.epoch(), uint64(0))

	members := []claim.Member{{Identity: claim.Identity{Name: "a", Boot: claim.NewBootID()}, Zone: "z", Address: peer}}
	roster, err := claim.NewGenesis(10*time.Minute, members)
	assert.NilError(t, err)
	assert.Assert(t, peerClaims.service.Adopt(roster))
	assert.NilError(t, startingClaims.fetchRoster(t.Context(), peer))
	assert.Equal(t, startingClaims.epoch(), peerClaims.epoch())
	assert.Assert(t, startingClaims.epoch() > 0)

	invalidServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }))
	defer invalidServer.Close()
	assert.Assert(t, newTestClaims("c").fetchRoster(t.Context(), strings.TrimPrefix(invalidServer.URL, "http://")) != nil)
}
