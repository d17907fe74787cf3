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

// maxLeaseSeconds is the longest lease, in seconds, as in etcd.
const maxLeaseSeconds = 9_000_000_000

func (s *Server) grantLease(request wire.LeaseGrantRequest) (answer[wire.LeaseGrantResponse], error) {
	if request.TTL <= 0 || request.TTL > maxLeaseSeconds || request.ID != 0 {
		return answer[wire.LeaseGrantResponse]{}, fmt.Errorf("%w: lease of %d s", errInvalid, request.TTL)
	}
	id, err := s.versions.Grant(time.Duration(request.TTL) * time.Second)
	if err != nil {
		return answer[wire.LeaseGrantResponse]{}, err
	}
	response := wire.LeaseGrantResponse{Header: header(s.versions.Revision()), ID: wire.Int64(id), TTL: request.TTL}
	return answer[wire.LeaseGrantResponse]{body: response, changed: true}, nil
}

// renewLease answers with one message of a stream; a lost lease has no time left.
func (s *Server) renewLease(request wire.LeaseRequest) (answer[wire.LeaseRenewMessage], error) {
	left, err := s.versions.Renew(mvcc.LeaseID(request.ID))
	if err != nil && !errors.Is(err, store.ErrLeaseLost) {
		return answer[wire.LeaseRenewMessage]{}, err
	}
	seconds := wire.Int64(math.Ceil(left.Seconds()))
	response := wire.LeaseRenewResponse{Header: header(s.versions.Revision()), ID: request.ID, TTL: seconds}
	return answer[wire.LeaseRenewMessage]{body: wire.LeaseRenewMessage{Result: response}, changed: err == nil}, nil
}

func (s *Server) revokeLease(request wire.LeaseRequest) (answer[wire.LeaseRevokeResponse], error) {
	if err := s.versions.Revoke(mvcc.LeaseID(request.ID)); err != nil {
		return answer[wire.LeaseRevokeResponse]{}, err
	}
	response := wire.LeaseRevokeResponse{Header: header(s.versions.Revision())}
	return answer[wire.LeaseRevokeResponse]{body: response, changed: true}, nil
}
