package scale

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"slices"
	"sync"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/gossip"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

var errUnknownNode = errors.New("the group has no such node")

// leavePause is how long a node that leaves as planned goes on answering.
const leavePause = time.Second

// group is the hollow nodes of one process. It is safe for concurrent use.
type group struct {
	cut      *cut
	recorder *recorder
	server   *http.Server
	serving  sync.WaitGroup

	mu       sync.Mutex
	nodes    map[string]*hollow
	reserved map[string]peerSockets
}

// startGroup serves the control of an empty group on a free port.
func startGroup() (g *group, address string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", oops.In("scale").With("step", "listen").Wrap(err)
	}
	g = &group{cut: &cut{}, recorder: newRecorder(), nodes: map[string]*hollow{}, reserved: map[string]peerSockets{}}
	mux := http.NewServeMux()
	handle(mux, "/reserve", g.reserve)
	handle(mux, "/start", g.start)
	handle(mux, "/kill", g.kill)
	handle(mux, "/leave", g.leave)
	handle(mux, "/cut", g.setCut)
	handle(mux, "/store", g.setStore)
	handle(mux, "/levels", g.setLevels)
	handle(mux, "/write", g.write)
	handle(mux, "/record", g.record)
	handle(mux, "/observations", g.observations)
	handle(mux, "/state", g.state)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	g.server = &http.Server{Handler: mux, ReadHeaderTimeout: idleTimeout}
	g.serving.Go(func() { _ = g.server.Serve(listener) })
	return g, listener.Addr().String(), nil
}

// handle serves a JSON request with a JSON answer.
func handle[Request, Answer any](mux *http.ServeMux, path string, serve func(context.Context, Request) (Answer, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		answer, err := serve(r.Context(), request)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	})
}

// close ends the nodes and the control.
func (g *group) close() {
	g.mu.Lock()
	nodes := g.nodes
	g.nodes = map[string]*hollow{}
	for _, sockets := range g.reserved {
		sockets.close()
	}
	g.mu.Unlock()
	var stopping sync.WaitGroup
	for _, node := range nodes {
		stopping.Go(node.stop)
	}
	stopping.Wait()
	_ = g.server.Close()
	g.serving.Wait()
}

// none is an empty request or answer.
type none struct{}

func (g *group) find(name string) (*hollow, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	node, found := g.nodes[name]
	if !found {
		return nil, oops.In("scale").With("peer", name).Wrap(errUnknownNode)
	}
	return node, nil
}

func (g *group) remove(name string) (*hollow, error) {
	node, err := g.find(name)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.nodes, name)
	return node, nil
}

// stopped says when a node's sockets were closed, in microseconds since 1970.
type stopped struct {
	At int64 `json:"at"`
}

func (g *group) kill(_ context.Context, name string) (stopped, error) {
	node, err := g.remove(name)
	if err != nil {
		return stopped{}, err
	}
	at := time.Now().UnixMicro()
	node.stop()
	return stopped{At: at}, nil
}

func (g *group) leave(_ context.Context, name string) (stopped, error) {
	node, err := g.remove(name)
	if err != nil {
		return stopped{}, err
	}
	node.leave(leavePause)
	return stopped{At: time.Now().UnixMicro()}, nil
}

// setCut cuts the addresses off; the nodes inside lose the store as well.
func (g *group) setCut(_ context.Context, inside []string) (none, error) {
	g.cut.set(inside)
	for _, node := range g.all() {
		node.store.setOpen(!g.cut.isInside(node.address))
	}
	return none{}, nil
}

// storeRequest opens or closes the way to the store for all but one node.
type storeRequest struct {
	Open   bool   `json:"open"`
	Except string `json:"except"`
}

func (g *group) setStore(_ context.Context, request storeRequest) (none, error) {
	for _, node := range g.all() {
		if node.config.Name != request.Except {
			node.store.setOpen(request.Open)
		}
	}
	return none{}, nil
}

// setLevels has each node report that many shed levels.
func (g *group) setLevels(_ context.Context, count int) (none, error) {
	for index, node := range g.all() {
		levels := make([]gossip.Level, 0, count)
		for offset := range count {
			hash := gateway.TargetHash(targetName((index*gossip.MaxLevels + offset) % targetCount))
			levels = append(levels, gossip.Level{Target: hash, Threshold: uint16(200 + offset)})
		}
		levels = gossip.Strictest(levels)
		node.levels.Store(&levels)
	}
	return none{}, nil
}

// writeRequest changes an object through one node.
type writeRequest struct {
	Node     string            `json:"node"`
	Object   resource.Envelope `json:"object"`
	Expected store.Revision    `json:"expected"`
	ChangeID string            `json:"change_id"`
}

// written is an accepted change. Times are in microseconds since 1970.
type written struct {
	Revision store.Revision `json:"revision"`
	Sent     int64          `json:"sent"`
	Accepted int64          `json:"accepted"`
}

func (g *group) write(ctx context.Context, request writeRequest) (written, error) {
	node, err := g.find(request.Node)
	if err != nil {
		return written{}, err
	}
	if held, found := node.replica.Get(request.Object.ID); found && request.Expected == 0 {
		request.Expected = held.Revision
	}
	sent := time.Now().UnixMicro()
	change := resource.Change{ID: request.ChangeID, Author: "lab"}
	accepted, err := node.writer.Write(ctx, request.Object, request.Expected, change)
	return written{Revision: accepted.Revision, Sent: sent, Accepted: time.Now().UnixMicro()}, err
}

func (g *group) record(context.Context, none) (none, error) {
	g.recorder.start()
	return none{}, nil
}

func (g *group) observations(context.Context, none) (Observations, error) {
	return g.recorder.take(), nil
}

// all returns the nodes by name.
func (g *group) all() []*hollow {
	g.mu.Lock()
	defer g.mu.Unlock()
	nodes := make([]*hollow, 0, len(g.nodes))
	for _, node := range g.nodes {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b *hollow) int {
		if a.config.Name < b.config.Name {
			return -1
		}
		return 1
	})
	return nodes
}
