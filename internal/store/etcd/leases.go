package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
)

var errNoLeaseID = errors.New("answer has no lease")

// GrantLease implements store.Store. Durations are rounded up to whole
// seconds. After store.ErrUnknownOutcome a lease without a holder may exist; it
// expires on its own.
func (c *Client) GrantLease(ctx context.Context, duration time.Duration) (store.LeaseID, error) {
	seconds := max((duration+time.Second-1)/time.Second, 1)
	request := wire.LeaseGrantRequest{TTL: wire.Int64(seconds)}
	var lease store.LeaseID
	err := c.do(ctx, call{step: "grant-lease", path: wire.PathLeaseGrant, write: true, request: request, decode: func(body []byte) error {
		var response wire.LeaseGrantResponse
		if err := json.Unmarshal(body, &response); err != nil {
			return err
		}
		if response.ID == 0 {
			return errNoLeaseID
		}
		lease = store.LeaseID{Number: int64(response.ID)}
		return nil
	}})
	return lease, err
}

// RenewLease implements store.Store. The remaining time is in whole seconds and
// starts at some moment during the call.
func (c *Client) RenewLease(ctx context.Context, lease store.LeaseID) (time.Duration, error) {
	request := wire.LeaseRequest{ID: wire.Int64(lease.Number)}
	var remaining time.Duration
	err := c.do(ctx, call{step: "renew-lease", path: wire.PathLeaseRenew, write: true, request: request, decode: func(body []byte) error {
		var message wire.LeaseRenewMessage
		if err := json.NewDecoder(bytes.NewReader(body)).Decode(&message); err != nil {
			return err
		}
		if message.Error != nil {
			return errors.New(message.Error.Message)
		}
		if message.Result.TTL <= 0 {
			return store.ErrLeaseLost
		}
		remaining = time.Duration(message.Result.TTL) * time.Second
		return nil
	}})
	return remaining, err
}

// RevokeLease implements store.Store.
func (c *Client) RevokeLease(ctx context.Context, lease store.LeaseID) error {
	request := wire.LeaseRequest{ID: wire.Int64(lease.Number)}
	return c.do(ctx, call{step: "revoke-lease", path: wire.PathLeaseRevoke, write: true, request: request, decode: func(body []byte) error {
		var response wire.LeaseRevokeResponse
		return json.Unmarshal(body, &response)
	}})
}
