package kvstore

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd/wire"
	"github.com/lugspur/lugspur/internal/store/memory/mvcc"
)

var (
	errInvalid       = errors.New("invalid request")
	errUnimplemented = errors.New("operation not supported by the stand-in")
)

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected, so it is ignored.
	_, _ = w.Write(encoded)
}

func writeError(w http.ResponseWriter, status, code int, message string) {
	writeJSON(w, status, wire.Error{Code: code, Message: message})
}

func writeStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrCompacted):
		writeError(w, http.StatusBadRequest, wire.CodeOutOfRange, wire.MessageCompacted)
	case errors.Is(err, mvcc.ErrFutureRevision):
		writeError(w, http.StatusBadRequest, wire.CodeOutOfRange, wire.MessageFuture)
	case errors.Is(err, store.ErrLeaseLost):
		writeError(w, http.StatusNotFound, wire.CodeNotFound, wire.MessageLeaseNotFound)
	case errors.Is(err, mvcc.ErrValueTooLarge):
		writeError(w, http.StatusBadRequest, wire.CodeInvalidArgument, wire.MessageTooLarge)
	case errors.Is(err, mvcc.ErrNoSpace):
		writeError(w, http.StatusTooManyRequests, wire.CodeResourceExhausted, wire.MessageNoSpace)
	case errors.Is(err, errInvalid):
		writeError(w, http.StatusBadRequest, wire.CodeInvalidArgument, err.Error())
	case errors.Is(err, errUnimplemented):
		writeError(w, http.StatusNotImplemented, wire.CodeUnimplemented, err.Error())
	default:
		writeError(w, http.StatusInternalServerError, wire.CodeInternal, err.Error())
	}
}
