package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
)

// maxListEntries bounds the entries of one list.
const maxListEntries = 100_000

// errNoRevision means that a response has no revision and is therefore invalid.
var errNoRevision = errors.New("answer has no revision")

// Get implements store.Store.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, error) {
	response, err := c.readRange(ctx, "get", wire.RangeRequest{Key: []byte(key)})
	if err != nil {
		return store.Entry{}, err
	}
	if len(response.KVs) == 0 {
		return store.Entry{}, wrap("get", c.endpoint(), store.ErrNotFound)
	}
	return toEntry(response.KVs[0]), nil
}

// List implements store.Store. It reads in pages, all at the revision of the
// first page; store.ErrCompacted means that this revision was compacted meanwhile.
func (c *Client) List(ctx context.Context, prefix string) (store.Snapshot, error) {
	keys := keyspan.Prefix(prefix)
	request := wire.RangeRequest{
		Key:      []byte(keys.From),
		RangeEnd: []byte(keys.End),
		Limit:    wire.Int64(c.config.PageEntries),
	}
	var snapshot store.Snapshot
	for {
		page, err := c.readRange(ctx, "list", request)
		if err != nil {
			return store.Snapshot{}, err
		}
		if request.Revision == 0 {
			snapshot.Revision = store.Revision(page.Header.Revision)
			request.Revision = page.Header.Revision
		}
		for _, kv := range page.KVs {
			snapshot.Entries = append(snapshot.Entries, toEntry(kv))
		}
		if !page.More || len(page.KVs) == 0 {
			return snapshot, nil
		}
		if len(snapshot.Entries) > maxListEntries {
			return store.Snapshot{}, wrap("list", c.endpoint(), fmt.Errorf("%w: more than %d entries", errRejected, maxListEntries))
		}
		request.Key = nextKey(page.KVs[len(page.KVs)-1].Key)
	}
}

func nextKey(key []byte) []byte {
	return append(key[:len(key):len(key)], 0)
}

func (c *Client) readRange(ctx context.Context, step string, request wire.RangeRequest) (wire.RangeResponse, error) {
	var response wire.RangeResponse
	err := c.do(ctx, call{step: step, path: wire.PathRange, request: request, decode: func(body []byte) error {
		response = wire.RangeResponse{}
		if err := json.Unmarshal(body, &response); err != nil {
			return err
		}
		return checkRevision(response.Header)
	}})
	return response, err
}

// CompareAndSwap implements store.Store.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expected store.Revision, value []byte, lease store.LeaseID) (store.Revision, error) {
	put := &wire.PutRequest{Key: []byte(key), Value: value, Lease: wire.Int64(lease.Number)}
	return c.transact(ctx, "compare-and-swap", compare(key, expected), wire.RequestOp{Put: put})
}

// CompareAndDelete implements store.Store.
func (c *Client) CompareAndDelete(ctx context.Context, key string, expected store.Revision) (store.Revision, error) {
	if expected == 0 {
		return 0, wrap("compare-and-delete", c.endpoint(), store.ErrConflict)
	}
	remove := &wire.DeleteRangeRequest{Key: []byte(key)}
	return c.transact(ctx, "compare-and-delete", compare(key, expected), wire.RequestOp{DeleteRange: remove})
}

func compare(key string, expected store.Revision) wire.Compare {
	revision := wire.Int64(expected)
	condition := wire.Compare{Result: wire.CompareEqual, Key: []byte(key)}
	if expected == 0 {
		condition.Target = wire.TargetCreate
		condition.CreateRevision = &revision
		return condition
	}
	condition.Target = wire.TargetMod
	condition.ModRevision = &revision
	return condition
}

func (c *Client) transact(ctx context.Context, step string, condition wire.Compare, operation wire.RequestOp) (store.Revision, error) {
	request := wire.TxnRequest{Compare: []wire.Compare{condition}, Success: []wire.RequestOp{operation}}
	var revision store.Revision
	err := c.do(ctx, call{step: step, path: wire.PathTxn, write: true, request: request, decode: func(body []byte) error {
		var response wire.TxnResponse
		if err := json.Unmarshal(body, &response); err != nil {
			return err
		}
		if err := checkRevision(response.Header); err != nil {
			return err
		}
		if !response.Succeeded {
			return store.ErrConflict
		}
		revision = store.Revision(response.Header.Revision)
		return nil
	}})
	return revision, err
}

func checkRevision(header wire.Header) error {
	if header.Revision <= 0 {
		return errNoRevision
	}
	return nil
}

func toEntry(kv wire.KeyValue) store.Entry {
	return store.Entry{Key: string(kv.Key), Value: kv.Value, Revision: store.Revision(kv.ModRevision), Lease: store.LeaseID{Number: int64(kv.Lease)}}
}
