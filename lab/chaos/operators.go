package chaos

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/cluster"
	"github.com/lugspur/lugspur/lab/judge"
)

// Times of the operators.
const (
	// operatorTimeout bounds one action of an operator.
	operatorTimeout = 30 * time.Second
	// joinTries and joinPause are how often, and after which pause, an operator
	// tries to let a target join.
	joinTries = 5
	joinPause = time.Second
)

// operators change policies and drain targets by the administration API, and
// note what they were told. They are safe for concurrent use.
type operators struct {
	admins   map[string]string // by node
	recorder *recorder
	changes  atomic.Int64
}

func (o *operators) client(addresses []string, author string) (*adminclient.Client, error) {
	return adminclient.New(adminclient.Options{Addresses: addresses, Token: cluster.Token, Author: author})
}

// race has one operator at each node change the service's policy at once.
func (o *operators) race(ctx context.Context, service string, nodes []string) {
	var racing sync.WaitGroup
	for _, node := range nodes {
		racing.Go(func() { o.change(ctx, node, resource.ID{Kind: resource.KindPolicy, Name: service}) })
	}
	racing.Wait()
}

// change reads a policy at a node and writes it back with another refusal time.
func (o *operators) change(ctx context.Context, node string, id resource.ID) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	client, err := o.client([]string{o.admins[node]}, "operator-at-"+node)
	if err != nil {
		return
	}
	object, err := client.Get(ctx, id)
	if err != nil {
		return
	}
	specification, err := o.edit(object.Spec)
	if err != nil {
		return
	}
	answer, err := client.Put(ctx, id, specification, object.Revision)
	o.noteChange(node, id, answer, err)
}

// edit sets the refusal time to a number that no other edit has.
func (o *operators) edit(specification json.RawMessage) (json.RawMessage, error) {
	var policy resource.Policy
	if err := json.Unmarshal(specification, &policy); err != nil {
		return nil, err
	}
	policy.Refuse = "min(2, " + strconv.FormatInt(1+o.changes.Add(1), 10) + ")"
	return json.Marshal(policy)
}

func (o *operators) noteChange(node string, id resource.ID, answer admin.WriteResponse, err error) {
	event := judge.Event{Node: node, Object: id.String(), Revision: int64(answer.Revision), ChangeID: answer.ChangeID}
	var failed *adminclient.Error
	if errors.As(err, &failed) && failed.Problem != nil {
		event.ChangeID = failed.Problem.ChangeID
	}
	switch {
	case err == nil:
		event.Kind = judge.ChangeAccepted
	case errors.Is(err, adminclient.ErrUnknownOutcome):
		event.Kind = judge.ChangeUnknown
	default:
		event.Kind = judge.ChangeRefused
	}
	if err != nil {
		event.Detail = err.Error()
	}
	o.recorder.note(event)
}

func (o *operators) anyNode() []string {
	var addresses []string
	for _, address := range o.admins {
		addresses = append(addresses, address)
	}
	return addresses
}

// drain has an operator drain the target at some node.
func (o *operators) drain(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	client, err := o.client(o.anyNode(), "operator")
	if err != nil {
		return
	}
	_, err = client.Drain(ctx, adminclient.DrainSubject{Collection: "targets", Name: target}, resource.Drain{Reason: "chaos"}, false)
	if err == nil {
		o.recorder.note(judge.Event{Kind: judge.DrainAccepted, Target: target})
	}
}

// join has an operator let the target take calls again.
func (o *operators) join(ctx context.Context, target string) {
	o.recorder.note(judge.Event{Kind: judge.JoinRequested, Target: target})
	client, err := o.client(o.anyNode(), "operator")
	if err != nil {
		return
	}
	for range joinTries {
		bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
		_, err = client.Join(bounded, adminclient.DrainSubject{Collection: "targets", Name: target})
		cancel()
		if err == nil || !pause.For(ctx, joinPause) {
			return
		}
	}
}

// noteHistories records the histories of the policies at all nodes that answer.
func (o *operators) noteHistories(ctx context.Context, services []string) {
	for node, address := range o.admins {
		client, err := o.client([]string{address}, "judge")
		if err != nil {
			continue
		}
		for _, service := range services {
			id := resource.ID{Kind: resource.KindPolicy, Name: service}
			history, err := client.History(ctx, id)
			if err != nil {
				continue
			}
			for _, entry := range history.Changes {
				o.recorder.note(judge.Event{
					Kind: judge.HistoryEntry, Node: node, Object: id.String(),
					Revision: int64(entry.Revision), ChangeID: entry.ID,
				})
			}
		}
	}
}
