package linear

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// maxResponseBytes limits the size of a response body.
	maxResponseBytes = 1 << 20
	// unknownRun is the run of an operation during which the node's process exited,
	// because it is unknown whether that process or the next one responded.
	unknownRun = -1
)

// Node is a node whose administration API the clients call. It is safe for
// concurrent use.
type Node struct {
	Name, Address string

	run atomic.Int64
}

// RecordExit records that the node's process has exited. It must be called before
// the next process is started.
func (n *Node) RecordExit() { n.run.Add(1) }

// Client is a client of the administration API that records every operation
// with its response. It must not be used by several goroutines at a time.
type Client struct {
	// ID is the zero-based number of the client.
	ID int
	// HTTP sends the requests; its timeout limits the duration of each.
	HTTP *http.Client
	// Token is the bearer token of writes.
	Token    string
	Recorder *Recorder
}

// admitExpression returns the admit expression that a change gives the policy.
// It is unique to the change.
func admitExpression(changeID string) string { return fmt.Sprintf("call.caller != %q", changeID) }

// Put writes an object of kind policy. The change ID must be new.
func (c *Client) Put(ctx context.Context, node *Node, object, changeID string, expected store.Revision) (Write, error) {
	write := Write{Object: object, ChangeID: changeID, ExpectedRevision: expected, Content: admitExpression(changeID)}
	body, err := json.Marshal(resource.Policy{Admit: write.Content})
	if err != nil {
		return write, err
	}
	return c.write(ctx, node, http.MethodPut, string(body), write)
}

// Delete deletes an object. The change ID must be new.
func (c *Client) Delete(ctx context.Context, node *Node, object, changeID string, expected store.Revision) (Write, error) {
	write := Write{Object: object, ChangeID: changeID, ExpectedRevision: expected, Deletes: true}
	return c.write(ctx, node, http.MethodDelete, "", write)
}

func (c *Client) write(ctx context.Context, node *Node, method, body string, write Write) (Write, error) {
	path := objectPath(write.Object) + "?" + admin.ExpectedRevisionParameter + "=" + strconv.FormatInt(int64(write.ExpectedRevision), 10)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.Address+path, strings.NewReader(body))
	if err != nil {
		return write, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set(admin.ChangeIDHeader, write.ChangeID)
	response := c.send(node, request)
	write.Source, write.Interval = response.Source, response.Interval
	if err := write.recordResponse(response); err != nil {
		return write, wrapError("write", node, err)
	}
	c.Recorder.AddWrite(write)
	return write, nil
}

// recordResponse sets the outcome from the response. If there is none, a request
// that was never sent counts as refused, and any other as unknown.
func (w *Write) recordResponse(response nodeResponse) error {
	if response.err != nil {
		w.Outcome = admin.OutcomeUnknown
		if dialFailed(response.err) {
			w.Outcome = admin.OutcomeRefused
		}
		return nil
	}
	if response.status == http.StatusOK {
		var decoded admin.WriteResponse
		err := json.Unmarshal(response.body, &decoded)
		w.Outcome, w.Revision = decoded.Outcome, decoded.Revision
		if err == nil && (decoded.Outcome != admin.OutcomeAccepted || decoded.ChangeID != w.ChangeID) {
			err = oops.Errorf("status 200 with outcome %q for change ID %q", decoded.Outcome, decoded.ChangeID)
		}
		return err
	}
	var problem admin.Problem
	if err := json.Unmarshal(response.body, &problem); err != nil {
		return err
	}
	w.Outcome, w.ResolveURL = problem.Outcome, problem.ResolveURL
	w.Conflict = problem.Status == http.StatusConflict
	switch w.Outcome {
	case admin.OutcomeRefused, admin.OutcomeUnknown:
		return checkProblemStatus(problem)
	}
	return oops.Errorf("status %d with outcome %q", problem.Status, problem.Outcome)
}

// checkProblemStatus returns the problem as an error unless a valid request can
// receive its status.
func checkProblemStatus(problem admin.Problem) error {
	switch problem.Status {
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return nil
	}
	return &problem
}

// dialFailed reports whether the connection could not be established, so that
// the request was never sent.
func dialFailed(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial"
}

// Read reads an object. It returns the version, which is zero if the object
// doesn't exist, and whether there was a response.
func (c *Client) Read(ctx context.Context, node *Node, object string) (Version, bool, error) {
	return c.read(ctx, node, object, "")
}

// ReadHistory reads the recent changes of an object. It returns the newest
// version, and whether there was a response.
func (c *Client) ReadHistory(ctx context.Context, node *Node, object string) (Version, bool, error) {
	return c.read(ctx, node, object, "/history")
}

func (c *Client) read(ctx context.Context, node *Node, object, suffix string) (Version, bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Address+objectPath(object)+suffix, nil)
	if err != nil {
		return Version{}, false, err
	}
	response := c.send(node, request)
	if response.err != nil {
		return Version{}, false, nil
	}
	read := Read{Source: response.Source, Interval: response.Interval, Object: object}
	switch {
	case response.status == http.StatusNotFound:
	case response.status != http.StatusOK:
		err = oops.Errorf("status %d: %s", response.status, response.body)
	case suffix == "":
		read.Versions, err = decodeObject(response.body)
	default:
		read.Versions, err = decodeHistory(response.body)
	}
	if err != nil {
		return Version{}, false, wrapError("read", node, err)
	}
	c.Recorder.AddRead(read)
	if len(read.Versions) == 0 {
		return Version{}, true, nil
	}
	return read.Versions[0], true, nil
}

func decodeObject(body []byte) ([]Version, error) {
	var object admin.Object
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, err
	}
	var policy resource.Policy
	if err := json.Unmarshal(object.Spec, &policy); err != nil {
		return nil, err
	}
	if object.LastChange == nil {
		return nil, oops.Errorf("revision %d has no last change", object.Revision)
	}
	return []Version{{Revision: object.Revision, ChangeID: object.LastChange.ID, Deleted: object.Deleted, Content: policy.Admit}}, nil
}

func decodeHistory(body []byte) ([]Version, error) {
	var history admin.History
	if err := json.Unmarshal(body, &history); err != nil {
		return nil, err
	}
	versions := make([]Version, 0, len(history.Changes))
	for _, change := range history.Changes {
		versions = append(versions, Version{Revision: change.Revision, ChangeID: change.ID, Deleted: change.Deleted})
	}
	return versions, nil
}

// Resolve queries a node for the outcome of a write. A refusal that may not be
// final is recorded and returned as unknown.
func (c *Client) Resolve(ctx context.Context, node *Node, write Write) (admin.Outcome, error) {
	path := write.ResolveURL
	if path == "" {
		path = admin.ResolveURL(policyID(write.Object), write.ChangeID, write.ExpectedRevision)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Address+path, nil)
	if err != nil {
		return admin.OutcomeUnknown, err
	}
	response := c.send(node, request)
	if response.err != nil || response.status == http.StatusServiceUnavailable {
		return admin.OutcomeUnknown, nil
	}
	var decoded admin.ChangeResponse
	if err := json.Unmarshal(response.body, &decoded); err != nil || response.status != http.StatusOK {
		return admin.OutcomeUnknown, wrapError("resolve", node, oops.Wrapf(err, "status %d", response.status))
	}
	if decoded.Outcome == admin.OutcomeRefused && !refusalIsFinal(write, response.Return) {
		decoded.Outcome = admin.OutcomeUnknown
	}
	c.Recorder.AddResolution(Resolution{
		Source:   response.Source,
		Interval: response.Interval,
		ChangeID: write.ChangeID,
		Outcome:  decoded.Outcome,
		Revision: decoded.Revision,
	})
	return decoded.Outcome, nil
}

// refusalIsFinal reports whether the API guarantees that a refusal is final. If
// the creation of an object got no response, its refusal is final only once no
// node can still be processing it.
func refusalIsFinal(write Write, resolvedAt time.Duration) bool {
	return write.ResolveURL != "" || write.ExpectedRevision != 0 || resolvedAt > write.Return+admin.DefaultWriteTimeout
}

// nodeResponse is the response to a request, or the error if there was none.
type nodeResponse struct {
	Source
	Interval
	status int
	body   []byte
	err    error
}

func (c *Client) send(node *Node, request *http.Request) nodeResponse {
	run := node.run.Load()
	response := nodeResponse{Source: Source{Client: c.ID, Node: node.Name, Run: int(run)}}
	response.Call = c.Recorder.Elapsed()
	response.status, response.body, response.err = c.roundTrip(request)
	response.Return = c.Recorder.Elapsed()
	if node.run.Load() != run {
		response.Run = unknownRun
	}
	return response
}

func (c *Client) roundTrip(request *http.Request) (int, []byte, error) {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	return response.StatusCode, body, err
}

func policyID(object string) resource.ID {
	return resource.ID{Kind: resource.KindPolicy, Name: object}
}

func objectPath(object string) string {
	return "/v1/" + admin.Plural(resource.KindPolicy) + "/" + object
}

func wrapError(step string, node *Node, err error) error {
	return oops.In("linear").With("step", step).With("peer", node.Name).Wrapf(err, "%s at %s", step, node.Name)
}
