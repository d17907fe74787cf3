package load

import (
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/mesh"
)

// router forwards /<service>/<path> to the service's targets in round-robin order.
func router(targets []emulator.TargetInfo) http.Handler {
	addresses := make(map[string][]string)
	for _, target := range targets {
		addresses[target.Service] = append(addresses[target.Service], target.Address)
	}
	var requests atomic.Uint64
	return &httputil.ReverseProxy{
		Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true},
		Rewrite: func(r *httputil.ProxyRequest) {
			service, path, _ := strings.Cut(strings.TrimPrefix(r.In.URL.Path, "/"), "/")
			candidates := addresses[service]
			r.Out.URL.Scheme = "http"
			r.Out.URL.Host = candidates[requests.Add(1)%uint64(len(candidates))]
			r.Out.URL.Path = "/" + path
		},
	}
}

// deadlineFactor multiplies the deadlines of the example meshes. The test checks
// that answers are complete; on a busy machine they may exceed those deadlines.
const deadlineFactor = 20

func TestExampleMeshesAnswerCompletely(t *testing.T) {
	for _, name := range []string{"naidu", "ppba"} {
		t.Run(name, func(t *testing.T) {
			loaded, err := mesh.Load("../../examples/" + name + "/mesh.toml")
			assert.NilError(t, err)
			for i := range loaded.Kinds {
				loaded.Kinds[i].DeadlineMs *= deadlineFactor
			}
			targets, err := emulator.Start(emulator.Config{Mesh: loaded, Seed: 1, WarmStart: true})
			assert.NilError(t, err)
			defer func() { assert.NilError(t, targets.Close()) }()
			server := httptest.NewServer(router(targets.Targets()))
			defer server.Close()
			address := strings.TrimPrefix(server.URL, "http://")
			edges, meshAddresses := mesh.ZoneAddresses{}, map[string]string{}
			for _, zone := range loaded.Zones {
				edges[zone.Name] = []string{address}
				meshAddresses[zone.Name] = address
			}
			assert.NilError(t, targets.SetMeshAddresses(meshAddresses))
			result := run(t, Plan{
				Mesh:                 loaded,
				Edges:                edges,
				Rate:                 150,
				Phases:               []Phase{{Name: "steady", Duration: 500 * time.Millisecond, Multiplier: 1}},
				Seed:                 2,
				EmulateClientLatency: true,
				KeepHistory:          true,
			})
			assert.Assert(t, result.AllComplete(), "%+v", result.Total)
			assert.NilError(t, targets.WaitIdle(t.Context()))
			checkExecutions(t, loaded, result.History, targets.Records())
		})
	}
}

// checkExecutions checks, by nonce, that the executions of each call are complete
// and that none is missing or repeated.
func checkExecutions(t *testing.T, loaded *mesh.Mesh, calls []Call, records []emulator.Record) {
	t.Helper()
	executions := make(map[string]int)
	for _, record := range records {
		assert.Equal(t, record.Outcome, emulator.OutcomeComplete)
		executions[record.Nonce]++
	}
	for _, call := range calls {
		kind, _ := loaded.Kind(call.Kind)
		service, _ := loaded.Service(kind.Service)
		work, _ := service.Work(kind.Method, kind.Path)
		assert.Equal(t, executions[call.Nonce], 1+len(work.Calls), call.Kind)
		assert.Assert(t, call.Latency() >= 2*loaded.ClientLatency())
	}
}
