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
	// maxAnswerBytes bounds an answer, in bytes.
	maxAnswerBytes = 1 << 20
	// acrossRuns is the run of an operation during which the node's process
	// changed. It is nobody's run.
	acrossRuns = -1
)

// Node is a node whose API clients use. It is safe for concurrent use.
type Node struct {
	Name, Address string

	run atomic.Int64
}

// Ended tells that the node's process has ended. Call it before the next one
// is started.
func (n *Node) Ended() { n.run.Add(1) }

// Client is one client of the administration API. Every operation is recorded
// with what the client was told. One goroutine at a time may use it.
type Client struct {
	// ID numbers the client from zero.
	ID int
	// HTTP makes the requests; its timeout bounds each.
	HTTP *http.Client
	// Token is what writes show.
	Token    string
	Recorder *Recorder
}

// contentOf is the policy's admit expression that a change puts.
func contentOf(change string) string { return fmt.Sprintf("call.caller != %q", change) }

// Put writes an object of kind policy. The change's id must be new.
func (c *Client) Put(ctx context.Context, node *Node, object, change string, expected store.Revision) (Write, error) {
	write := Write{Object: object, Change: change, Expected: expected, Content: contentOf(change)}
	body, err := json.Marshal(resource.Policy{Admit: write.Content})
	if err != nil {
		return write, err
	}
	return c.write(ctx, node, http.MethodPut, string(body), write)
}

// Delete deletes an object. The change's id must be new.
func (c *Client) Delete(ctx context.Context, node *Node, object, change string, expected store.Revision) (Write, error) {
	write := Write{Object: object, Change: change, Expected: expected, Deletes: true}
	return c.write(ctx, node, http.MethodDelete, "", write)
}

func (c *Client) write(ctx context.Context, node *Node, method, body string, write Write) (Write, error) {
	path := objectPath(write.Object) + "?" + admin.ExpectedRevisionParameter + "=" + strconv.FormatInt(int64(write.Expected), 10)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.Address+path, strings.NewReader(body))
	if err != nil {
		return write, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	request.Header.Set(admin.ChangeIDHeader, write.Change)
	asked := c.ask(node, request)
	write.Source, write.Interval = asked.Source, asked.Interval
	if err := write.learn(asked); err != nil {
		return write, failure("write", node, err)
	}
	c.Recorder.AddWrite(write)
	return write, nil
}

// learn takes over what the node said. A request that was never sent counts as
// refused, and any other without an answer as unknown.
func (w *Write) learn(asked asked) error {
	if asked.err != nil {
		w.Outcome = admin.OutcomeUnknown
		if neverSent(asked.err) {
			w.Outcome = admin.OutcomeRefused
		}
		return nil
	}
	if asked.status == http.StatusOK {
		var answer admin.WriteResponse
		err := json.Unmarshal(asked.body, &answer)
		w.Outcome, w.Revision = answer.Outcome, answer.Revision
		if err == nil && (answer.Outcome != admin.OutcomeAccepted || answer.ChangeID != w.Change) {
			err = oops.Errorf("status 200 with outcome %q of change %q", answer.Outcome, answer.ChangeID)
		}
		return err
	}
	var problem admin.Problem
	if err := json.Unmarshal(asked.body, &problem); err != nil {
		return err
	}
	w.Outcome, w.AskURL = problem.Outcome, problem.ResolveURL
	w.Conflict = problem.Status == http.StatusConflict
	switch w.Outcome {
	case admin.OutcomeRefused, admin.OutcomeUnknown:
		return unlessFault(problem)
	}
	return oops.Errorf("status %d with outcome %q", problem.Status, problem.Outcome)
}

// unlessFault returns an error for refusals that mean a fault of the client.
func unlessFault(problem admin.Problem) error {
	switch problem.Status {
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return nil
	}
	return &problem
}

// neverSent reports whether the connection was not made.
func neverSent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// Read reads an object and reports the version, and whether there was an
// answer.
func (c *Client) Read(ctx context.Context, node *Node, object string) (Version, bool, error) {
	return c.read(ctx, node, object, "")
}

// ReadHistory reads an object's last changes and reports the newest, and
// whether there was an answer.
func (c *Client) ReadHistory(ctx context.Context, node *Node, object string) (Version, bool, error) {
	return c.read(ctx, node, object, "/history")
}

func (c *Client) read(ctx context.Context, node *Node, object, suffix string) (Version, bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Address+objectPath(object)+suffix, nil)
	if err != nil {
		return Version{}, false, err
	}
	asked := c.ask(node, request)
	if asked.err != nil {
		return Version{}, false, nil
	}
	read := Read{Source: asked.Source, Interval: asked.Interval, Object: object}
	switch {
	case asked.status == http.StatusNotFound:
	case asked.status != http.StatusOK:
		err = oops.Errorf("status %d: %s", asked.status, asked.body)
	case suffix == "":
		read.Versions, err = versionOf(asked.body)
	default:
		read.Versions, err = versionsOf(asked.body)
	}
	if err != nil {
		return Version{}, false, failure("read", node, err)
	}
	c.Recorder.AddRead(read)
	if len(read.Versions) == 0 {
		return Version{}, true, nil
	}
	return read.Versions[0], true, nil
}

func versionOf(body []byte) ([]Version, error) {
	var object admin.Object
	if err := json.Unmarshal(body, &object); err != nil {
		return nil, err
	}
	var policy resource.Policy
	if err := json.Unmarshal(object.Spec, &policy); err != nil {
		return nil, err
	}
	if object.LastChange == nil {
		return nil, oops.Errorf("revision %d has no change", object.Revision)
	}
	return []Version{{Revision: object.Revision, Change: object.LastChange.ID, Deleted: object.Deleted, Content: policy.Admit}}, nil
}

func versionsOf(body []byte) ([]Version, error) {
	var history admin.History
	if err := json.Unmarshal(body, &history); err != nil {
		return nil, err
	}
	versions := make([]Version, 0, len(history.Changes))
	for _, change := range history.Changes {
		versions = append(versions, Version{Revision: change.Revision, Change: change.ID, Deleted: change.Deleted})
	}
	return versions, nil
}

// Resolve asks a node for the outcome of a write.
func (c *Client) Resolve(ctx context.Context, node *Node, write Write) (admin.Outcome, error) {
	path := write.AskURL
	if path == "" {
		path = admin.ResolveURL(policyID(write.Object), write.Change, write.Expected)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Address+path, nil)
	if err != nil {
		return admin.OutcomeUnknown, err
	}
	asked := c.ask(node, request)
	if asked.err != nil || asked.status == http.StatusServiceUnavailable {
		return admin.OutcomeUnknown, nil
	}
	var answer admin.ChangeResponse
	if err := json.Unmarshal(asked.body, &answer); err != nil || asked.status != http.StatusOK {
		return admin.OutcomeUnknown, failure("resolve", node, oops.Wrapf(err, "status %d", asked.status))
	}
	if answer.Outcome == admin.OutcomeRefused && !refusalCertain(write, asked.Return) {
		answer.Outcome = admin.OutcomeUnknown
	}
	c.Recorder.AddResolution(Resolution{
		Source:   asked.Source,
		Interval: asked.Interval,
		Change:   write.Change,
		Outcome:  answer.Outcome,
		Revision: answer.Revision,
	})
	return answer.Outcome, nil
}

// refusalCertain reports whether the API promises that a refusal is final. That
// of a creation whose answer never came is so only when no node can still be
// working on it.
func refusalCertain(write Write, now time.Duration) bool {
	return write.AskURL != "" || write.Expected != 0 || now > write.Return+admin.DefaultWriteTimeout
}

// asked is a request's answer, or that there was none.
type asked struct {
	Source
	Interval
	status int
	body   []byte
	err    error
}

func (c *Client) ask(node *Node, request *http.Request) asked {
	run := node.run.Load()
	answer := asked{Source: Source{Client: c.ID, Node: node.Name, Run: int(run)}}
	answer.Call = c.Recorder.Now()
	answer.status, answer.body, answer.err = c.exchange(request)
	answer.Return = c.Recorder.Now()
	if node.run.Load() != run {
		answer.Run = acrossRuns
	}
	return answer
}

func (c *Client) exchange(request *http.Request) (int, []byte, error) {
	response, err := c.HTTP.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	return response.StatusCode, body, err
}

func policyID(object string) resource.ID {
	return resource.ID{Kind: resource.KindPolicy, Name: object}
}

func objectPath(object string) string {
	return "/v1/" + admin.Plural(resource.KindPolicy) + "/" + object
}

func failure(step string, node *Node, err error) error {
	return oops.In("linear").With("step", step).With("peer", node.Name).Wrapf(err, "%s at %s", step, node.Name)
}
