package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// change is a write with the parameters needed to resolve its outcome.
type change struct {
	method   string
	path     string
	body     []byte
	id       resource.ID
	changeID string
	expected store.Revision
}

// Put writes an object's specification if the object has the expected revision;
// zero creates the object.
func (c *Client) Put(ctx context.Context, id resource.ID, specification json.RawMessage, expected store.Revision) (admin.WriteResponse, error) {
	return c.write(ctx, change{
		method:   http.MethodPut,
		path:     objectPath(id) + expectedQuery(expected),
		body:     specification,
		id:       id,
		expected: expected,
	})
}

// Delete deletes an object if it has the expected revision.
func (c *Client) Delete(ctx context.Context, id resource.ID, expected store.Revision) (admin.WriteResponse, error) {
	return c.write(ctx, change{
		method:   http.MethodDelete,
		path:     objectPath(id) + expectedQuery(expected),
		id:       id,
		expected: expected,
	})
}

// DrainSubject identifies a target or a machine to drain.
type DrainSubject struct {
	// Collection is "targets" or "machines".
	Collection string
	Name       string
}

func (l DrainSubject) id() resource.ID {
	prefix := resource.DrainTargetPrefix
	if l.Collection == "machines" {
		prefix = resource.DrainMachinePrefix
	}
	return resource.ID{Kind: resource.KindDrain, Name: prefix + l.Name}
}

// Drain drains a target or a machine. If emergency is set, the nodes propagate
// the drain themselves if the store can't accept it.
func (c *Client) Drain(ctx context.Context, leaving DrainSubject, drain resource.Drain, emergency bool) (admin.WriteResponse, error) {
	body, err := json.Marshal(drain)
	if err != nil {
		return admin.WriteResponse{}, newError("encode drain", "", err)
	}
	path := "/v1/drain/" + leaving.Collection + "/" + url.PathEscape(leaving.Name)
	if emergency {
		path += "?" + admin.EmergencyParameter + "=true"
	}
	return c.write(ctx, change{method: http.MethodPost, path: path, body: body, id: leaving.id()})
}

// Join removes a drain.
func (c *Client) Join(ctx context.Context, leaving DrainSubject) (admin.WriteResponse, error) {
	path := "/v1/join/" + leaving.Collection + "/" + url.PathEscape(leaving.Name)
	return c.write(ctx, change{method: http.MethodPost, path: path, id: leaving.id()})
}

func objectPath(id resource.ID) string {
	return "/v1/" + admin.Plural(id.Kind) + "/" + url.PathEscape(id.Name)
}

func expectedQuery(expected store.Revision) string {
	return "?" + admin.ExpectedRevisionParameter + "=" + strconv.FormatInt(int64(expected), 10)
}

// write sends the change once, to a reachable node, and resolves its outcome if
// the response is lost.
func (c *Client) write(ctx context.Context, change change) (admin.WriteResponse, error) {
	change.changeID = admin.NewChangeID()
	address, err := c.reachableAddress(ctx)
	if err != nil {
		return admin.WriteResponse{}, err
	}
	response, err := c.writeAt(ctx, address, change)
	if !isOutcomeUnknown(err) {
		return response, err
	}
	return c.resolve(ctx, address, change, err)
}

// reachableAddress returns the address of a reachable node. It is determined
// before a write, as a write that failed isn't sent to another node.
func (c *Client) reachableAddress(ctx context.Context) (string, error) {
	if len(c.options.Addresses) > 1 {
		if _, err := read[struct{}](ctx, c, "/livez"); err != nil {
			return "", err
		}
	}
	return c.options.Addresses[c.preferred.Load()], nil
}

func (c *Client) writeAt(ctx context.Context, address string, change change) (admin.WriteResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.WriteTimeout)
	defer cancel()
	var response admin.WriteResponse
	request, err := http.NewRequestWithContext(ctx, change.method, address+change.path, bytes.NewReader(change.body))
	if err != nil {
		return response, newError("make request", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	request.Header.Set(admin.ChangeIDHeader, change.changeID)
	if c.options.Author != "" {
		request.Header.Set(admin.AuthorHeader, c.options.Author)
	}
	err = c.do(request, "write", address, &response)
	var failed *Error
	if errors.As(err, &failed) {
		failed.Unknown = mayTakeEffect(failed)
	}
	return response, err
}

// mayTakeEffect reports whether a failed write may still take effect: it may
// unless it was never sent or the node reported its outcome.
func mayTakeEffect(failed *Error) bool {
	if failed.Problem == nil {
		return !neverSent(failed.Cause)
	}
	return failed.Problem.Status >= http.StatusInternalServerError && failed.Problem.Outcome != admin.OutcomeRefused
}

// neverSent reports whether no byte of the request was sent, because the
// connection could not be established.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

func isOutcomeUnknown(err error) bool { return errors.Is(err, ErrUnknownOutcome) }

// resolve polls the change until its outcome is conclusive or ResolveTimeout has
// passed. It ignores cancellation of the caller's context, which may be the
// reason why the write failed.
func (c *Client) resolve(ctx context.Context, address string, change change, writeErr error) (admin.WriteResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.ResolveTimeout)
	defer cancel()
	query := newOutcomeQuery(change, writeErr, time.Now().Add(c.options.NodeWriteTimeout))
	for {
		response, err := read[admin.ChangeResponse](ctx, c, query.path)
		if err == nil && query.isConclusive(response, time.Now()) {
			return resolvedResult(address, change, response)
		}
		if !pause.For(ctx, resolveInterval) {
			return admin.WriteResponse{}, unresolvedError(address, change, query.path, writeErr)
		}
	}
}

// outcomeQuery is a query for the unknown outcome of a write.
type outcomeQuery struct {
	path string
	// refusalFinalAt is the time from which a refusal is conclusive: one node may
	// report a creation as refused while another, whose response was lost, is
	// still processing it. Other refusals are conclusive immediately.
	refusalFinalAt time.Time
}

func newOutcomeQuery(change change, writeErr error, nodeDeadline time.Time) outcomeQuery {
	query := outcomeQuery{path: admin.ResolveURL(change.id, change.changeID, change.expected)}
	var failed *Error
	if errors.As(writeErr, &failed) && failed.Problem != nil && strings.HasPrefix(failed.Problem.ResolveURL, "/") {
		query.path = failed.Problem.ResolveURL
		return query
	}
	if change.expected == 0 {
		query.refusalFinalAt = nodeDeadline
	}
	return query
}

func (q outcomeQuery) isConclusive(response admin.ChangeResponse, now time.Time) bool {
	switch response.Outcome {
	case admin.OutcomeAccepted:
		return true
	case admin.OutcomeRefused:
		return !now.Before(q.refusalFinalAt)
	}
	return false
}

func resolvedResult(address string, change change, response admin.ChangeResponse) (admin.WriteResponse, error) {
	if response.Outcome == admin.OutcomeAccepted {
		return admin.WriteResponse{
			Outcome:  admin.OutcomeAccepted,
			Kind:     response.Kind,
			Name:     response.Name,
			Revision: response.Revision,
			ChangeID: response.ChangeID,
		}, nil
	}
	return admin.WriteResponse{}, &Error{Step: "resolve", Address: address, Problem: &admin.Problem{
		Title:    http.StatusText(http.StatusConflict),
		Status:   http.StatusConflict,
		Detail:   "the answer was lost; another change has won, and this one never takes effect",
		Outcome:  admin.OutcomeRefused,
		ChangeID: change.changeID,
	}}
}

func unresolvedError(address string, change change, path string, writeErr error) error {
	return &Error{Step: "resolve", Address: address, Unknown: true, Cause: writeErr, Problem: &admin.Problem{
		Title:      http.StatusText(http.StatusGatewayTimeout),
		Status:     http.StatusGatewayTimeout,
		Detail:     "the change may or may not take effect",
		Outcome:    admin.OutcomeUnknown,
		ChangeID:   change.changeID,
		ResolveURL: path,
	}}
}
