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

// PeerHandler serves calls that other nodes forward to this node as the home of their
// target, and passes all other requests of the peer listener to next. Forwarded calls
// bypass next, because its http.ServeMux would redirect paths that are not clean.
func (g *Gateway) PeerHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forwarded, ok := strings.CutPrefix(r.URL.EscapedPath(), home.PathPrefix); ok {
			target, _, _ := strings.Cut(forwarded, "/")
			g.serveForwarded(w, r, target)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (g *Gateway) serveForwarded(w http.ResponseWriter, r *http.Request, name string) {
	g.setBodyDeadline(w, r)
	callContext, err := callcontext.FromHeader(r.Header)
	if err != nil {
		discardBody(w, r)
		home.WriteProblem(w, home.Load{}, g.newProblem(problem.BadContext, "home", err.Error()).WithCause(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), callContext.Deadline)
	defer cancel()
	reply, failure := g.runForwarded(ctx, w, r, callContext, name)
	if failure != nil {
		home.WriteProblem(w, g.homes.LoadOf(name), failure)
		return
	}
	home.WriteReply(w, reply, callContext.Deadline)
}

func (g *Gateway) runForwarded(ctx context.Context, w http.ResponseWriter, r *http.Request, callContext callcontext.Context, name string) (*home.Reply, *problem.Problem) {
	snapshot := g.router.current.Load()
	target := snapshot.view.Targets[name]
	if target == nil || snapshot.view.Services[target.Service] == nil {
		discardBody(w, r)
		return nil, g.newProblem(problem.NoTarget, "home", "the home does not know the target").WithRetryAfter(defaultRetryAfter)
	}
	body, failure := g.readBody(w, r)
	if failure != nil {
		discardBody(w, r)
		return nil, failure
	}
	home.StripHopHeaders(r.Header)
	forwarded := &home.Call{Context: callContext, Call: transport.Call{
		Method:     r.Method,
		RequestURI: strings.TrimPrefix(r.RequestURI, home.PathPrefix+name),
		Header:     r.Header,
		Body:       body,
	}}
	owner := snapshot.placement.Owns(g.settings.Node, name)
	return g.homes.Run(ctx, snapshot.view.Services[target.Service], target, owner, forwarded)
}
