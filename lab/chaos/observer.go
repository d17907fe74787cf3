package chaos

import (
	"context"
	"net/http"
	"time"

	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/judge"
)

const (
	// observeInterval is the interval at which each node is queried for its
	// policies.
	observeInterval = 250 * time.Millisecond
	// observeTimeout limits one query.
	observeTimeout = 2 * time.Second
)

// observer periodically records the revision of each policy at one node. It is
// not safe for concurrent use.
type observer struct {
	node, admin string
	recorder    *recorder
	client      *adminclient.Client
	http        *http.Client
}

func newObserver(node, address string, recorder *recorder) (*observer, error) {
	client := &http.Client{Timeout: observeTimeout, Transport: &http.Transport{MaxIdleConns: 4}}
	admin, err := adminclient.New(adminclient.Options{Addresses: []string{address}, HTTP: client, ReadTimeout: observeTimeout})
	return &observer{node: node, admin: address, recorder: recorder, client: admin, http: client}, err
}

// run observes until the context ends.
func (o *observer) run(ctx context.Context) {
	defer o.http.CloseIdleConnections()
	for pause.For(ctx, observeInterval) {
		o.observe(ctx)
	}
}

// observe records the policies of the node if it was ready both before and after
// it reported them.
func (o *observer) observe(ctx context.Context) {
	if !o.ready(ctx) {
		return
	}
	asked := time.Now()
	list, err := o.client.List(ctx, resource.KindPolicy)
	at := time.Now()
	if err != nil || !o.ready(ctx) {
		return
	}
	for _, item := range list.Items {
		o.recorder.record(judge.Event{
			Kind: judge.RevisionObserved, At: at, QueriedAt: asked, Node: o.node,
			Object: resource.ID{Kind: item.Kind, Name: item.Name}.String(), Revision: int64(item.Revision),
		})
	}
}

func (o *observer) ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+o.admin+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := o.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
