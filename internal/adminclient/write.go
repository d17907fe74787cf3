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

// change is one write with what is needed to ask for its outcome.
type change struct {
	method   string
	path     string
	body     []byte
	id       resource.ID
	changeID string
	expected store.Revision
}

// Put writes an object's specification if the object is at the expected
// revision; zero creates it.
func (c *Client) Put(ctx context.Context, id resource.ID, specification json.RawMessage, expected store.Revision) (admin.WriteResponse, error) {
	return c.write(ctx, change{
		method:   http.MethodPut,
		path:     objectPath(id) + expectedQuery(expected),
		body:     specification,
		id:       id,
		expected: expected,
	})
}

// Delete removes an object if it is at the expected revision.
func (c *Client) Delete(ctx context.Context, id resource.ID, expected store.Revision) (admin.WriteResponse, error) {
	return c.write(ctx, change{
		method:   http.MethodDelete,
		path:     objectPath(id) + expectedQuery(expected),
		id:       id,
		expected: expected,
	})
}

// DrainSubject names what can be drained: the collection and the name in it.
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

// Drain marks a target or a machine as leaving. With emergency the nodes tell
// each other if the store can't accept it.
func (c *Client) Drain(ctx context.Context, leaving DrainSubject, drain resource.Drain, emergency bool) (admin.WriteResponse, error) {
	body, err := json.Marshal(drain)
	if err != nil {
		return admin.WriteResponse{}, failure("encode drain", "", err)
	}
	path := "/v1/drain/" + leaving.Collection + "/" + url.PathEscape(leaving.Name)
	if emergency {
		path += "?" + admin.EmergencyParameter + "=true"
	}
	return c.write(ctx, change{method: http.MethodPost, path: path, body: body, id: leaving.id()})
}

// Join takes a drain back.
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

// write sends the change once, to a node that answers, and finds out about its
// outcome if the answer was lost.
func (c *Client) write(ctx context.Context, change change) (admin.WriteResponse, error) {
	change.changeID = admin.NewChangeID()
	address, err := c.reachable(ctx)
	if err != nil {
		return admin.WriteResponse{}, err
	}
	answer, err := c.writeAt(ctx, address, change)
	if !isUnknown(err) {
		return answer, err
	}
	return c.resolve(ctx, address, change, err)
}

// reachable returns the address of a node that answers now: a write is not
// sent to a second one after the first has failed.
func (c *Client) reachable(ctx context.Context) (string, error) {
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
	var answer admin.WriteResponse
	request, err := http.NewRequestWithContext(ctx, change.method, address+change.path, bytes.NewReader(change.body))
	if err != nil {
		return answer, failure("make request", address, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	request.Header.Set(admin.ChangeIDHeader, change.changeID)
	if c.options.Author != "" {
		request.Header.Set(admin.AuthorHeader, c.options.Author)
	}
	err = c.do(request, "write", address, &answer)
	var failed *Error
	if errors.As(err, &failed) {
		failed.Unknown = leavesUnknown(failed)
	}
	return answer, err
}

// leavesUnknown reports whether a write that failed so may take effect: it may
// unless it was never sent or the node has said what became of it.
func leavesUnknown(failed *Error) bool {
	if failed.Problem == nil {
		return !neverSent(failed.Cause)
	}
	return failed.Problem.Status >= http.StatusInternalServerError && failed.Problem.Outcome != admin.OutcomeRefused
}

// neverSent reports whether no byte of the request left: the connection was
// not made.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

func isUnknown(err error) bool { return errors.Is(err, ErrUnknownOutcome) }

// resolve asks for the change until its outcome is certain or the time is up.
// The caller's context may be what ended the write, so that asking has its own
// time.
func (c *Client) resolve(ctx context.Context, address string, change change, lost error) (admin.WriteResponse, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.options.ResolveTimeout)
	defer cancel()
	question := newQuestion(change, lost, time.Now().Add(c.options.NodeWriteTimeout))
	for {
		answer, err := read[admin.ChangeResponse](ctx, c, question.path)
		if err == nil && question.certain(answer, time.Now()) {
			return resolved(address, change, answer)
		}
		if !pause.For(ctx, resolvePause) {
			return admin.WriteResponse{}, unresolved(address, change, question.path, lost)
		}
	}
}

// question is how to ask for a lost outcome.
type question struct {
	path string
	// refusalCertainAt is when a refusal can be believed: a creation may be
	// refused at one node while another, whose answer was lost, still works on
	// it. Any other refusal is certain at once.
	refusalCertainAt time.Time
}

func newQuestion(change change, lost error, nodeDeadline time.Time) question {
	asked := question{path: admin.ResolveURL(change.id, change.changeID, change.expected)}
	var failed *Error
	if errors.As(lost, &failed) && failed.Problem != nil && strings.HasPrefix(failed.Problem.ResolveURL, "/") {
		asked.path = failed.Problem.ResolveURL
		return asked
	}
	if change.expected == 0 {
		asked.refusalCertainAt = nodeDeadline
	}
	return asked
}

func (q question) certain(answer admin.ChangeResponse, now time.Time) bool {
	switch answer.Outcome {
	case admin.OutcomeAccepted:
		return true
	case admin.OutcomeRefused:
		return !now.Before(q.refusalCertainAt)
	}
	return false
}

func resolved(address string, change change, answer admin.ChangeResponse) (admin.WriteResponse, error) {
	if answer.Outcome == admin.OutcomeAccepted {
		return admin.WriteResponse{
			Outcome:  admin.OutcomeAccepted,
			Kind:     answer.Kind,
			Name:     answer.Name,
			Revision: answer.Revision,
			ChangeID: answer.ChangeID,
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

func unresolved(address string, change change, path string, lost error) error {
	return &Error{Step: "resolve", Address: address, Unknown: true, Cause: lost, Problem: &admin.Problem{
		Title:      http.StatusText(http.StatusGatewayTimeout),
		Status:     http.StatusGatewayTimeout,
		Detail:     "the change may or may not take effect",
		Outcome:    admin.OutcomeUnknown,
		ChangeID:   change.changeID,
		ResolveURL: path,
	}}
}
