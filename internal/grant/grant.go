// Package grant distributes a request's retry budget. The ingress node of a
// request holds the budget. Every node on the call chain requests a grant from
// it before it retries a call. A grant that is lost in transit counts as spent,
// so that lost and duplicate messages never lead to more retries than the budget
// allows.
package grant

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/callcontext"
)

// Path is the path of grant requests on the peer listener.
const Path = "/peer/grant"

// maxMessageBytes is the maximum size of the body of a grant request or response.
const maxMessageBytes = 256

// requestTimeout is the timeout of a grant request. A retry that is delayed
// longer than this is no longer useful.
const requestTimeout = 100 * time.Millisecond

// Token identifies a grant request, so that a duplicate message spends only one
// retry.
type Token [8]byte

// NewToken returns a random token.
func NewToken() Token {
	var token Token
	_, _ = rand.Read(token[:])
	return token
}

// Ledger holds the retry budgets of the requests that entered at this node.
type Ledger interface {
	// Grant spends one retry of the request and reports whether one was left.
	// Repeated calls with the same token spend only one retry.
	Grant(request callcontext.RequestID, token Token) bool
}

// grantRequest requests one retry of a request.
type grantRequest struct {
	_       struct{} `cbor:",toarray"`
	Request callcontext.RequestID
	Token   Token
}

// rawRequest is a grantRequest with unchecked lengths. Decoding directly into
// arrays would silently pad byte strings that are too short.
type rawRequest struct {
	_       struct{} `cbor:",toarray"`
	Request []byte
	Token   []byte
}

// parse returns the request ID and the token. ok is false if one of them has
// the wrong length.
func (r rawRequest) parse() (request callcontext.RequestID, token Token, ok bool) {
	ok = len(r.Request) == len(request) && len(r.Token) == len(token)
	copy(request[:], r.Request)
	copy(token[:], r.Token)
	return request, token, ok
}

// grantResponse reports whether the retry was granted.
type grantResponse struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
}

// Register adds the handler for grant requests to the peer listener's mux.
func Register(mux *http.ServeMux, ledger Ledger) {
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) {
		requestBody, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var raw rawRequest
		if err := cbor.Unmarshal(requestBody, &raw); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request, token, ok := raw.parse()
		if !ok {
			http.Error(w, "malformed grant request", http.StatusBadRequest)
			return
		}
		responseBody, err := cbor.Marshal(grantResponse{Granted: ledger.Grant(request, token)})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(responseBody)
	})
}

// Client requests grants from ingress nodes. It is safe for concurrent use.
type Client struct {
	self       netip.AddrPort
	ledger     Ledger
	httpClient *http.Client
}

// NewClient returns a client for the node with the peer address self. For
// requests that entered at this node, the client calls the ledger directly.
func NewClient(self netip.AddrPort, ledger Ledger, client *http.Client) *Client {
	return &Client{self: self, ledger: ledger, httpClient: client}
}

// RequestRetry requests one retry from the request's ingress node. If it returns an
// error, no valid response was received: the retry is not granted, but may have
// been spent.
func (c *Client) RequestRetry(ctx context.Context, ingress netip.AddrPort, request callcontext.RequestID) (bool, error) {
	token := NewToken()
	if ingress == c.self {
		return c.ledger.Grant(request, token), nil
	}
	granted, err := c.send(ctx, ingress, grantRequest{Request: request, Token: token})
	if err != nil {
		return false, oops.In("grant").With("step", "ask").With("peer", ingress.String()).
			Wrapf(err, "request a retry from %s", ingress)
	}
	return granted, nil
}

func (c *Client) send(ctx context.Context, ingress netip.AddrPort, message grantRequest) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	requestBody, err := cbor.Marshal(message)
	if err != nil {
		return false, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ingress.String()+Path, bytes.NewReader(requestBody))
	if err != nil {
		return false, err
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", response.StatusCode)
	}
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return false, err
	}
	var decoded grantResponse
	if err := cbor.Unmarshal(responseBody, &decoded); err != nil {
		return false, err
	}
	return decoded.Granted, nil
}
