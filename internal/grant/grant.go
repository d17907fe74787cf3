// Package grant gives out a request's retries. The node that a request entered
// holds its budget; every node on the chain asks it for a grant before it
// sends a call again. A grant that gets lost on the way counts as spent, so
// that the bound holds whatever the network does.
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

// maxMessageBytes bounds a message of this package.
const maxMessageBytes = 256

// askTimeout bounds one grant request; a retry that waits longer is of no use.
const askTimeout = 100 * time.Millisecond

// Token names one grant, so that a repeated message spends one retry only.
type Token [8]byte

// NewToken returns a random token.
func NewToken() Token {
	var token Token
	_, _ = rand.Read(token[:])
	return token
}

// Ledger holds the budgets of the requests that entered by this node.
type Ledger interface {
	// Grant spends one retry of the request, once for each token, and reports
	// whether there was one left.
	Grant(request callcontext.RequestID, token Token) bool
}

// question asks for one retry of a request.
type question struct {
	_       struct{} `cbor:",toarray"`
	Request callcontext.RequestID
	Token   Token
}

// received is a question before the lengths of its parts were checked; arrays
// would be filled up from shorter ones.
type received struct {
	_       struct{} `cbor:",toarray"`
	Request []byte
	Token   []byte
}

// read returns the question's parts, or false if they don't have their lengths.
func (q received) read() (request callcontext.RequestID, token Token, ok bool) {
	ok = len(q.Request) == len(request) && len(q.Token) == len(token)
	copy(request[:], q.Request)
	copy(token[:], q.Token)
	return request, token, ok
}

// reply tells whether the retry was granted.
type reply struct {
	_       struct{} `cbor:",toarray"`
	Granted bool
}

// Register adds the handler that answers other nodes to the peer listener.
func Register(mux *http.ServeMux, ledger Ledger) {
	mux.HandleFunc("POST "+Path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxMessageBytes))
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var asked received
		if err := cbor.Unmarshal(body, &asked); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		request, token, ok := asked.read()
		if !ok {
			http.Error(w, "malformed grant request", http.StatusBadRequest)
			return
		}
		answer, err := cbor.Marshal(reply{Granted: ledger.Grant(request, token)})
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		_, _ = w.Write(answer)
	})
}

// Client asks for grants. It is safe for concurrent use.
type Client struct {
	self   netip.AddrPort
	ledger Ledger
	http   *http.Client
}

// NewClient returns a client of the node at the peer address self.
func NewClient(self netip.AddrPort, ledger Ledger, client *http.Client) *Client {
	return &Client{self: self, ledger: ledger, http: client}
}

// RequestRetry asks the request's ingress node for one retry. An error means that no
// answer came: the retry is not granted, and may be spent.
func (c *Client) RequestRetry(ctx context.Context, ingress netip.AddrPort, request callcontext.RequestID) (bool, error) {
	token := NewToken()
	if ingress == c.self {
		return c.ledger.Grant(request, token), nil
	}
	granted, err := c.ask(ctx, ingress, question{Request: request, Token: token})
	if err != nil {
		return false, oops.In("grant").With("step", "ask").With("peer", ingress.String()).
			Wrapf(err, "ask %s for a retry", ingress)
	}
	return granted, nil
}

func (c *Client) ask(ctx context.Context, ingress netip.AddrPort, asked question) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := cbor.Marshal(asked)
	if err != nil {
		return false, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ingress.String()+Path, bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", response.StatusCode)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes))
	if err != nil {
		return false, err
	}
	var answer reply
	if err := cbor.Unmarshal(content, &answer); err != nil {
		return false, err
	}
	return answer.Granted, nil
}
