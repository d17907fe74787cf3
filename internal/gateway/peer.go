package gateway

import (
	"context"
	"net/http"
	"strings"

	"github.com/lugspur/lugspur/internal/callcontext"
	"github.com/lugspur/lugspur/internal/home"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/transport"
)

// RegisterPeer adds the handler of calls that other nodes forward to this one
// as the home of the target.
func (g *Gateway) RegisterPeer(mux *http.ServeMux) {
	mux.HandleFunc(home.PathPrefix+"{target}/{path...}", g.serveForwarded)
}

func (g *Gateway) serveForwarded(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("target")
	reply, failure := g.runForwarded(w, r, name)
	if failure != nil {
		home.WriteProblem(w, g.homes.LoadOf(name), failure)
		return
	}
	home.WriteReply(w, reply)
}

func (g *Gateway) runForwarded(w http.ResponseWriter, r *http.Request, name string) (*home.Reply, *problem.Problem) {
	callContext, err := callcontext.FromHeader(r.Header)
	if err != nil {
		return nil, g.problem(problem.BadContext, "home", err.Error()).WithCause(err)
	}
	routes := g.router.current.Load()
	target := routes.view.Targets[name]
	if target == nil || routes.view.Services[target.Service] == nil {
		return nil, g.problem(problem.NoTarget, "home", "the home does not know the target").WithRetryAfter(retryAfterDefault)
	}
	body, failure := g.readBody(w, r)
	if failure != nil {
		return nil, failure
	}
	ctx, cancel := context.WithDeadline(r.Context(), callContext.Deadline)
	defer cancel()
	home.StripHop(r.Header)
	forwarded := &home.Call{Context: callContext, Call: transport.Call{
		Method:     r.Method,
		RequestURI: strings.TrimPrefix(r.URL.RequestURI(), home.PathPrefix+name),
		Header:     r.Header,
		Body:       body,
	}}
	owner := routes.placement.Owns(g.settings.Node, name)
	return g.homes.Run(ctx, routes.view.Services[target.Service], target, owner, forwarded)
}
