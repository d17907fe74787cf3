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

func claimsOf(name string) *claims {
	identity := claim.Identity{Name: name, Boot: claim.NewBootID()}
	return &claims{node: name, client: http.DefaultClient, service: claim.NewService(claim.ServiceConfig{Self: identity})}
}

// A node that starts while the store is down learns the roster from a peer;
// what is no roster changes nothing.
func TestRosterIsLearntFromAPeer(t *testing.T) {
	knowing, fresh := claimsOf("a"), claimsOf("b")
	server := httptest.NewServer(http.HandlerFunc(knowing.serveRoster))
	defer server.Close()
	peer := strings.TrimPrefix(server.URL, "http://")

	assert.ErrorContains(t, fresh.fetchRoster(t.Context(), peer), "404")
	assert.Equal(t, fresh.epoch(), uint64(0))

	members := []claim.Member{{Identity: claim.Identity{Name: "a", Boot: claim.NewBootID()}, Zone: "z", Address: peer}}
	roster, err := claim.NewGenesis(10*time.Minute, members)
	assert.NilError(t, err)
	assert.Assert(t, knowing.service.Adopt(roster))
	assert.NilError(t, fresh.fetchRoster(t.Context(), peer))
	assert.Equal(t, fresh.epoch(), knowing.epoch())
	assert.Assert(t, fresh.epoch() > 0)

	stranger := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("hello")) }))
	defer stranger.Close()
	assert.Assert(t, claimsOf("c").fetchRoster(t.Context(), strings.TrimPrefix(stranger.URL, "http://")) != nil)
}
