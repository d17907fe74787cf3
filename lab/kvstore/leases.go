package kvstore

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

// maxLeaseSeconds is the maximum TTL of a lease, in seconds, as in etcd.
const maxLeaseSeconds = 9_000_000_000

func (s *Server) grantLease(request wire.LeaseGrantRequest) (operationResult[wire.LeaseGrantResponse], error) {
	if request.TTL <= 0 || request.TTL > maxLeaseSeconds || request.ID != 0 {
		return operationResult[wire.LeaseGrantResponse]{}, fmt.Errorf("%w: lease of %d s", errInvalid, request.TTL)
	}
	id, err := s.store.Grant(time.Duration(request.TTL) * time.Second)
	if err != nil {
		return operationResult[wire.LeaseGrantResponse]{}, err
	}
	response := wire.LeaseGrantResponse{Header: header(s.store.Revision()), ID: wire.Int64(id), TTL: request.TTL}
	return operationResult[wire.LeaseGrantResponse]{body: response, changed: true}, nil
}

// renewLease returns one message of the response stream; the TTL of a lost lease is zero.
func (s *Server) renewLease(request wire.LeaseRequest) (operationResult[wire.LeaseRenewMessage], error) {
	remaining, err := s.store.Renew(mvcc.LeaseID(request.ID))
	if err != nil && !errors.Is(err, store.ErrLeaseLost) {
		return operationResult[wire.LeaseRenewMessage]{}, err
	}
	seconds := wire.Int64(math.Ceil(remaining.Seconds()))
	response := wire.LeaseRenewResponse{Header: header(s.store.Revision()), ID: request.ID, TTL: seconds}
	return operationResult[wire.LeaseRenewMessage]{body: wire.LeaseRenewMessage{Result: response}, changed: err == nil}, nil
}

func (s *Server) revokeLease(request wire.LeaseRequest) (operationResult[wire.LeaseRevokeResponse], error) {
	if err := s.store.Revoke(mvcc.LeaseID(request.ID)); err != nil {
		return operationResult[wire.LeaseRevokeResponse]{}, err
	}
	response := wire.LeaseRevokeResponse{Header: header(s.store.Revision())}
	return operationResult[wire.LeaseRevokeResponse]{body: response, changed: true}, nil
}
