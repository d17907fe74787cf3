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

// Timing of the operators.
const (
	// operatorTimeout limits one action of an operator.
	operatorTimeout = 30 * time.Second
	// joinAttempts is the maximum number of attempts to rejoin a target, and
	// joinRetryDelay the delay between them.
	joinAttempts   = 5
	joinRetryDelay = time.Second
)

// operators changes policies and drains targets through the administration API
// and records the reported outcomes. It is safe for concurrent use.
type operators struct {
	adminAddresses map[string]string // by node
	recorder       *recorder
	changes        atomic.Int64
}

func (o *operators) client(addresses []string, author string) (*adminclient.Client, error) {
	return adminclient.New(adminclient.Options{Addresses: addresses, Token: cluster.Token, Author: author})
}

// race has one operator at each of the nodes change the service's policy, all of
// them concurrently.
func (o *operators) race(ctx context.Context, service string, nodes []string) {
	var racing sync.WaitGroup
	for _, node := range nodes {
		racing.Go(func() { o.change(ctx, node, resource.ID{Kind: resource.KindPolicy, Name: service}) })
	}
	racing.Wait()
}

// change reads a policy from a node and writes it back with a different refuse
// expression.
func (o *operators) change(ctx context.Context, node string, id resource.ID) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	client, err := o.client([]string{o.adminAddresses[node]}, "operator-at-"+node)
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
	response, err := client.Put(ctx, id, specification, object.Revision)
	o.recordChange(node, id, response, err)
}

// edit sets the policy's refuse expression to one that no other edit uses.
func (o *operators) edit(specification json.RawMessage) (json.RawMessage, error) {
	var policy resource.Policy
	if err := json.Unmarshal(specification, &policy); err != nil {
		return nil, err
	}
	policy.Refuse = "min(2, " + strconv.FormatInt(1+o.changes.Add(1), 10) + ")"
	return json.Marshal(policy)
}

func (o *operators) recordChange(node string, id resource.ID, response admin.WriteResponse, err error) {
	event := judge.Event{Node: node, Object: id.String(), Revision: int64(response.Revision), ChangeID: response.ChangeID}
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
	o.recorder.record(event)
}

func (o *operators) allAddresses() []string {
	var addresses []string
	for _, address := range o.adminAddresses {
		addresses = append(addresses, address)
	}
	return addresses
}

// drain drains the target through any node.
func (o *operators) drain(ctx context.Context, target string) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	client, err := o.client(o.allAddresses(), "operator")
	if err != nil {
		return
	}
	_, err = client.Drain(ctx, adminclient.DrainSubject{Collection: "targets", Name: target}, resource.Drain{Reason: "chaos"}, false)
	if err == nil {
		o.recorder.record(judge.Event{Kind: judge.DrainAccepted, Target: target})
	}
}

// join lets a drained target take calls again.
func (o *operators) join(ctx context.Context, target string) {
	o.recorder.record(judge.Event{Kind: judge.JoinRequested, Target: target})
	client, err := o.client(o.allAddresses(), "operator")
	if err != nil {
		return
	}
	for range joinAttempts {
		bounded, cancel := context.WithTimeout(ctx, operatorTimeout)
		_, err = client.Join(bounded, adminclient.DrainSubject{Collection: "targets", Name: target})
		cancel()
		if err == nil || !pause.For(ctx, joinRetryDelay) {
			return
		}
	}
}

// recordHistories records the change histories of the policies from all nodes
// that respond.
func (o *operators) recordHistories(ctx context.Context, services []string) {
	for node, address := range o.adminAddresses {
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
				o.recorder.record(judge.Event{
					Kind: judge.HistoryEntry, Node: node, Object: id.String(),
					Revision: int64(entry.Revision), ChangeID: entry.ID,
				})
			}
		}
	}
}
