package peering

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/fxamacker/cbor/v2"

	"github.com/lugspur/lugspur/internal/replica"
)

// Home runs calls at the target beside the node.
type Home interface {
	// Run runs the call and says what became of it. The context ends when the
	// caller withdraws the call.
	Run(ctx context.Context, call *Call) *Reply
}

// Handler serves the exchanges of peers.
func Handler(home Home, spread Spread, codec *Codec, maxBytes int64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pingPath, func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST "+callPath, func(w http.ResponseWriter, r *http.Request) {
		content, err := readAll(r, maxBytes)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		call, err := codec.decodeCall(content)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		spread.HeardCall(call.From, call.Digests)
		reply := home.Run(r.Context(), call)
		reply.Digests = spread.Digests()
		write(w, codec.encodeReply(reply))
	})
	mux.HandleFunc("POST "+queryPath, func(w http.ResponseWriter, r *http.Request) {
		content, err := readAll(r, maxBytes)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		var query replica.Query
		if err := cbor.Unmarshal(content, &query); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		write(w, encode(spread.Answer(&query)))
	})
	return mux
}

func readAll(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength > maxBytes {
		return nil, http.ErrContentLength
	}
	if r.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(r.Body, maxBytes))
	}
	content := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, content)
	return content, err
}

// write answers whole. The media type is set so that none is guessed.
func write(w http.ResponseWriter, content []byte) {
	header := w.Header()
	header["Content-Type"] = nil
	header["Date"] = nil
	header.Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}
