package cluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/kvstore"
)

// controlTimeout is the timeout of a request to a control or admin listener.
const controlTimeout = 10 * time.Second

// maxControlBytes is the maximum size of a response to such a request.
const maxControlBytes = 1 << 30

// exchangeJSON sends a JSON request and decodes the JSON response into answer;
// either may be nil.
func exchangeJSON(ctx context.Context, method, url string, request, answer any) error {
	content, err := sendJSON(ctx, method, url, request)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(content, answer); err != nil {
		return oops.In("cluster").With("step", "control").With("peer", url).Wrapf(err, "%s %s", method, url)
	}
	return nil
}

// sendJSON sends a request, with a JSON body if request isn't nil, and returns the
// response body.
func sendJSON(ctx context.Context, method, url string, request any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	var body io.Reader
	if request != nil {
		encoded, err := json.Marshal(request)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(encoded)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(httpRequest)
	if err != nil {
		return nil, oops.In("cluster").With("step", "control").With("peer", url).Wrapf(err, "%s %s", method, url)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err == nil && response.StatusCode/100 != 2 {
		err = fmt.Errorf("status %d: %s", response.StatusCode, content)
	}
	if err != nil {
		return nil, oops.In("cluster").With("step", "control").With("peer", url).Wrapf(err, "%s %s", method, url)
	}
	return content, nil
}

// StoreControl sends a control request to the store.
func (c *Cluster) StoreControl(ctx context.Context, request kvstore.ControlRequest) error {
	return exchangeJSON(ctx, http.MethodPost, "http://"+c.storeAddresses.Control+kvstore.PathControl, request, nil)
}

// StoreStatus returns the status of the store.
func (c *Cluster) StoreStatus(ctx context.Context) (kvstore.Status, error) {
	var status kvstore.Status
	err := exchangeJSON(ctx, http.MethodGet, "http://"+c.storeAddresses.Control+kvstore.PathControl, nil, &status)
	return status, err
}

// SetTargetFaults replaces the faults of a target.
func (c *Cluster) SetTargetFaults(ctx context.Context, target string, faults emulator.Faults) error {
	return exchangeJSON(ctx, http.MethodPost, c.targetsURL("/targets/"+target+"/faults"), faults, nil)
}

// RestartTarget resets the target's connections and starts its cold start again.
func (c *Cluster) RestartTarget(ctx context.Context, target string) error {
	return exchangeJSON(ctx, http.MethodPost, c.targetsURL("/targets/"+target+"/restart"), nil, nil)
}

// TargetState returns the state of the targets.
func (c *Cluster) TargetState(ctx context.Context) (emulator.State, error) {
	var state emulator.State
	err := exchangeJSON(ctx, http.MethodGet, c.targetsURL("/state"), nil, &state)
	return state, err
}

// Records returns the executions of all targets that are still in memory.
func (c *Cluster) Records(ctx context.Context) ([]emulator.Record, error) {
	var records []emulator.Record
	err := exchangeJSON(ctx, http.MethodGet, c.targetsURL("/records"), nil, &records)
	return records, err
}

func (c *Cluster) targetsURL(path string) string {
	return "http://" + c.targetAddresses.Control + path
}

// Status returns the status that the node reports.
func (n *Node) Status(ctx context.Context) (admin.Status, error) {
	var status admin.Status
	err := exchangeJSON(ctx, http.MethodGet, "http://"+n.Addresses.Admin+"/v1/status", nil, &status)
	return status, err
}

func aliveMembers(members []admin.MemberStatus) int {
	alive := 0
	for _, member := range members {
		if member.State == membership.Alive.String() {
			alive++
		}
	}
	return alive
}
