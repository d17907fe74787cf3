package peering

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/memorybudget"
	"github.com/lugspur/lugspur/internal/replica"
)

type largeAnswer struct{ ignoringPeer }

func (largeAnswer) AnswerQuery(query *replica.Query) *replica.Answer {
	return &replica.Answer{Deltas: []replica.Delta{{Digest: query.Digests[0], Full: true, Items: []replica.Item{{Key: "op/config", Value: make([]byte, 100<<10), Revision: 4}}}}}
}

// TestConfigurationOfPeerDoesNotWaitForBodies guards against a node that large bodies keep from the
// configuration and the records of its peers.
func TestConfigurationOfPeerDoesNotWaitForBodies(t *testing.T) {
	server := httptest.NewServer(Handler(ServerConfig{Home: &echoHome{}, AntiEntropy: largeAnswer{}, Codec: testCodec, MaxMessageBytes: 80 << 20, Process: testProcess}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	memory := memorybudget.New(memorybudget.LimitsFor(184<<20), time.Now, nil)
	client := NewClient(ClientConfig{MaxMessageBytes: 80 << 20, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec, Memory: memory})
	query := func() error {
		_, err := client.Query(t.Context(), strings.TrimPrefix(server.URL, "http://"), &replica.Query{From: callerAddress, Digests: digestsAt(1)})
		return err
	}
	assert.NilError(t, query())
	bodies := memory.Reservation(memorybudget.Request)
	assert.Assert(t, bodies.Grow(memory.Limits().MaxMessage()-1000))
	assert.NilError(t, query(), "a configuration of 100 KiB must reach a node that holds bodies")
}
