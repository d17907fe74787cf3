package scale

import (
	"context"
	"runtime"

	"github.com/lugspur/lugspur/internal/store"
)

// NodeState is what one hollow node knows and has done since its start.
type NodeState struct {
	Name     string         `json:"name"`
	Present  int            `json:"present"`
	Ready    bool           `json:"ready"`
	Floor    store.Revision `json:"floor"`
	Watching bool           `json:"watching"`
	// Queued is the number of membership changes still to be passed on.
	Queued   int      `json:"queued"`
	Counters Counters `json:"counters"`
}

// Counters count a node's control traffic since its start. Bytes are those of
// UDP contents and of TCP streams, without the headers of IP, UDP and TCP and
// without requests to the store.
type Counters struct {
	DatagramsSent     int64 `json:"datagrams_sent"`
	DatagramsReceived int64 `json:"datagrams_received"`
	GossipSent        int64 `json:"gossip_sent_bytes"`
	GossipReceived    int64 `json:"gossip_received_bytes"`
	StreamSent        int64 `json:"stream_sent_bytes"`
	StreamReceived    int64 `json:"stream_received_bytes"`
	Dials             int64 `json:"dials"`
	Exchanges         int64 `json:"exchanges"`
	Pushes            int64 `json:"pushes"`
	Pulls             int64 `json:"pulls"`
	FullPulls         int64 `json:"full_pulls"`
	Suspicions        int64 `json:"suspicions"`
	Refutations       int64 `json:"refutations"`
	Lost              int64 `json:"datagrams_lost"`
}

// ProcessState is the state of the nodes of one process.
type ProcessState struct {
	Nodes []NodeState `json:"nodes"`
	// HeapBytes is the live heap of the process after a collection, zero if
	// none was asked for.
	HeapBytes  int64 `json:"heap_bytes"`
	Goroutines int   `json:"goroutines"`
}

// stateRequest asks for the state, after a garbage collection if so said.
type stateRequest struct {
	Collect bool `json:"collect"`
}

func (g *group) state(_ context.Context, request stateRequest) (ProcessState, error) {
	state := ProcessState{Goroutines: runtime.NumGoroutine()}
	for _, node := range g.all() {
		state.Nodes = append(state.Nodes, node.state())
	}
	if request.Collect {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		state.HeapBytes = int64(memory.HeapAlloc)
	}
	return state, nil
}

func (h *hollow) state() NodeState {
	stats := h.members.Stats()
	status := h.spreader.Status()
	return NodeState{
		Name:     h.config.Name,
		Present:  stats.Present,
		Ready:    status.Ready,
		Floor:    status.Floor,
		Watching: status.Watching,
		Queued:   stats.QueuedUpdates,
		Counters: Counters{
			DatagramsSent:     int64(stats.DatagramsSent),
			DatagramsReceived: int64(stats.DatagramsReceived),
			GossipSent:        int64(stats.BytesSent),
			GossipReceived:    int64(stats.BytesReceived),
			StreamSent:        h.traffic.sent.Load(),
			StreamReceived:    h.traffic.received.Load(),
			Dials:             h.traffic.dials.Load(),
			Exchanges:         int64(stats.Exchanges),
			Pushes:            status.Traffic.Pushes,
			Pulls:             status.Traffic.Pulls,
			FullPulls:         status.Traffic.FullPulls,
			Suspicions:        int64(stats.Suspicions),
			Refutations:       int64(stats.Refutations),
			Lost:              int64(h.packets.Dropped()),
		},
	}
}
