package kvstore

import (
	"fmt"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/keyspan"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

func span(key, rangeEnd []byte) keyspan.Span {
	return keyspan.Span{From: string(key), End: string(rangeEnd)}
}

func (s *Server) rangeKeys(request wire.RangeRequest) (operationResult[wire.RangeResponse], error) {
	view, err := s.store.Range(span(request.Key, request.RangeEnd), store.Revision(request.Revision))
	if err != nil {
		return operationResult[wire.RangeResponse]{}, err
	}
	response := wire.RangeResponse{Header: header(view.Current), Count: wire.Int64(len(view.Entries))}
	entries := view.Entries
	if limit := int(request.Limit); limit > 0 && len(entries) > limit {
		entries = entries[:limit]
		response.More = true
	}
	for _, entry := range entries {
		response.KVs = append(response.KVs, keyValue(entry))
	}
	return operationResult[wire.RangeResponse]{body: response}, nil
}

func (s *Server) put(request wire.PutRequest) (operationResult[wire.PutResponse], error) {
	result, err := s.store.Commit(mvcc.Transaction{Success: []mvcc.Operation{putOperation(request)}})
	if err != nil {
		return operationResult[wire.PutResponse]{}, err
	}
	response := wire.PutResponse{Header: header(result.Revision)}
	return operationResult[wire.PutResponse]{body: response, changed: true}, nil
}

func (s *Server) deleteRange(request wire.DeleteRangeRequest) (operationResult[wire.DeleteRangeResponse], error) {
	result, err := s.store.Commit(mvcc.Transaction{Success: []mvcc.Operation{deleteOperation(request)}})
	if err != nil {
		return operationResult[wire.DeleteRangeResponse]{}, err
	}
	response := wire.DeleteRangeResponse{Header: header(result.Revision), Deleted: wire.Int64(result.Deleted[0])}
	return operationResult[wire.DeleteRangeResponse]{body: response, changed: result.Changed}, nil
}

func (s *Server) transact(request wire.TxnRequest) (operationResult[wire.TxnResponse], error) {
	transaction, err := decodeTransaction(request)
	if err != nil {
		return operationResult[wire.TxnResponse]{}, err
	}
	result, err := s.store.Commit(transaction)
	if err != nil {
		return operationResult[wire.TxnResponse]{}, err
	}
	response := wire.TxnResponse{Header: header(result.Revision), Succeeded: result.Succeeded}
	for i, operation := range result.Operations {
		response.Responses = append(response.Responses, responseOp(operation, result.Deleted[i], result.Revision))
	}
	return operationResult[wire.TxnResponse]{body: response, changed: result.Changed}, nil
}

func (s *Server) compact(request wire.CompactRequest) (operationResult[wire.CompactResponse], error) {
	if err := s.store.Compact(store.Revision(request.Revision)); err != nil {
		return operationResult[wire.CompactResponse]{}, err
	}
	return operationResult[wire.CompactResponse]{body: wire.CompactResponse{Header: header(s.store.Revision())}}, nil
}

func decodeTransaction(request wire.TxnRequest) (mvcc.Transaction, error) {
	var transaction mvcc.Transaction
	for _, compare := range request.Compare {
		comparison, err := decodeComparison(compare)
		if err != nil {
			return transaction, err
		}
		transaction.Compare = append(transaction.Compare, comparison)
	}
	var err error
	if transaction.Success, err = decodeOperations(request.Success); err != nil {
		return transaction, err
	}
	transaction.Failure, err = decodeOperations(request.Failure)
	return transaction, err
}

func decodeComparison(compare wire.Compare) (mvcc.Comparison, error) {
	if compare.Result != "" && compare.Result != wire.CompareEqual {
		return mvcc.Comparison{}, fmt.Errorf("%w: comparison result %q", errUnimplemented, compare.Result)
	}
	comparison := mvcc.Comparison{Key: string(compare.Key)}
	value := compare.Version
	switch compare.Target {
	case "", wire.TargetVersion:
		comparison.Field = mvcc.FieldVersion
	case wire.TargetMod:
		comparison.Field, value = mvcc.FieldModRevision, compare.ModRevision
	case wire.TargetCreate:
		comparison.Field, value = mvcc.FieldCreateRevision, compare.CreateRevision
	default:
		return mvcc.Comparison{}, fmt.Errorf("%w: comparison target %q", errUnimplemented, compare.Target)
	}
	if value != nil {
		comparison.Value = int64(*value)
	}
	return comparison, nil
}

func decodeOperations(requests []wire.RequestOp) ([]mvcc.Operation, error) {
	operations := make([]mvcc.Operation, 0, len(requests))
	written := make(map[string]struct{})
	for _, request := range requests {
		switch {
		case request.Put != nil:
			if _, duplicate := written[string(request.Put.Key)]; duplicate {
				return nil, fmt.Errorf("%w: duplicate key given in txn request", errInvalid)
			}
			written[string(request.Put.Key)] = struct{}{}
			operations = append(operations, putOperation(*request.Put))
		case request.DeleteRange != nil:
			operations = append(operations, deleteOperation(*request.DeleteRange))
		default:
			return nil, fmt.Errorf("%w: operation of transaction", errUnimplemented)
		}
	}
	return operations, nil
}

func putOperation(request wire.PutRequest) mvcc.Operation {
	return mvcc.Operation{Key: string(request.Key), Value: request.Value, Lease: mvcc.LeaseID(request.Lease)}
}

func deleteOperation(request wire.DeleteRangeRequest) mvcc.Operation {
	return mvcc.Operation{Delete: true, Span: span(request.Key, request.RangeEnd)}
}

func responseOp(operation mvcc.Operation, deleted int, revision store.Revision) wire.ResponseOp {
	if operation.Delete {
		response := &wire.DeleteRangeResponse{Header: header(revision), Deleted: wire.Int64(deleted)}
		return wire.ResponseOp{DeleteRange: response}
	}
	return wire.ResponseOp{Put: &wire.PutResponse{Header: header(revision)}}
}

func keyValue(entry mvcc.KeyValue) wire.KeyValue {
	return wire.KeyValue{
		Key:            []byte(entry.Key),
		CreateRevision: wire.Int64(entry.CreateRevision),
		ModRevision:    wire.Int64(entry.ModRevision),
		Version:        wire.Int64(entry.Version),
		Value:          entry.Value,
		Lease:          wire.Int64(entry.Lease),
	}
}
