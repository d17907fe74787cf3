package membership

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"
)

// ExchangePath is the HTTP path at which a node serves its member list.
const ExchangePath = "/peer/members"

// Limits of an exchange.
const (
	// exchangeTimeout limits the duration of one exchange.
	exchangeTimeout = 5 * time.Second
	// maxListBytes limits the size of an encoded list.
	maxListBytes    = 2 << 20
	listContentType = "application/cbor"
)

// listDecoder decodes full lists, which have more elements than datagrams.
var listDecoder = mustDecoder(DefaultMaxMembers + 1)

// ExchangeFunc fetches the list of the peer at an address. It returns a nil list if the digest
// of the peer's list equals the given one. It also returns the number of bytes received.
type ExchangeFunc func(ctx context.Context, address string, digest uint64) ([]Member, int, error)

// memberList is the body of a response to a list request.
type memberList struct {
	Cluster string   `cbor:"1,keyasint,omitempty"`
	Members []Member `cbor:"2,keyasint"`
}

var (
	errOtherCluster     = errors.New("the peer belongs to another cluster")
	errUnexpectedStatus = errors.New("unexpected HTTP status")
)

// Handler serves the node's list as CBOR. It answers 304 without a body if the If-None-Match
// header of the request equals the entity tag of the current digest.
func (m *Membership) Handler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Method != http.MethodGet {
			writer.Header().Set("Allow", http.MethodGet)
			http.Error(writer, "method not allowed", http.StatusMethodNotAllowed)
			return
		}
		m.serveList(writer, request.Header.Get("If-None-Match"))
	})
}

func (m *Membership) serveList(writer http.ResponseWriter, ifNoneMatch string) {
	current := m.view()
	tag := digestTag(current.digest)
	writer.Header().Set("ETag", tag)
	if ifNoneMatch == tag {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	body, err := encoder.Marshal(memberList{Cluster: m.config.ClusterName, Members: current.all})
	if err != nil {
		http.Error(writer, "encoding failed", http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", listContentType)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := writer.Write(body); err != nil {
		m.logger.WithError(err).Debug("failed to send the member list")
	}
}

// digestTag returns the entity tag of a list with the digest.
func digestTag(digest uint64) string { return strconv.Quote(strconv.FormatUint(digest, 16)) }

// HTTPExchange returns an ExchangeFunc that requests the list from the Handler of a peer. The
// cluster must equal Config.ClusterName; a list of another cluster is an error.
func HTTPExchange(client *http.Client, cluster string) ExchangeFunc {
	return func(ctx context.Context, address string, digest uint64) ([]Member, int, error) {
		errorContext := oops.In("membership").With("step", "exchange member lists", "peer", address)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+ExchangePath, nil)
		if err != nil {
			return nil, 0, errorContext.Wrap(err)
		}
		request.Header.Set("If-None-Match", digestTag(digest))
		response, err := client.Do(request)
		if err != nil {
			return nil, 0, errorContext.Wrap(err)
		}
		defer response.Body.Close()
		members, size, err := readList(response, cluster)
		return members, size, errorContext.Wrap(err)
	}
}

// readList reads and decodes a peer's response within the size limits.
func readList(response *http.Response, cluster string) ([]Member, int, error) {
	if response.StatusCode == http.StatusNotModified {
		return nil, 0, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, 0, errUnexpectedStatus
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, len(body), err
	}
	if len(body) > maxListBytes {
		return nil, len(body), errTooLarge
	}
	var list memberList
	if err := listDecoder.Unmarshal(body, &list); err != nil {
		return nil, len(body), err
	}
	if list.Cluster != cluster {
		return nil, len(body), errOtherCluster
	}
	return list.Members, len(body), nil
}

// exchangeWith fetches the list of a peer and merges it.
func (m *Membership) exchangeWith(ctx context.Context, address string, digest uint64) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	members, size, err := m.config.Exchange(ctx, address, digest)
	m.countExchange(size, err)
	if err != nil {
		m.logger.WithError(err).WithField("peer", address).Info("failed to fetch the member list of a peer")
		return
	}
	m.Merge(members)
}

func (m *Membership) countExchange(size int, err error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stats.ExchangeBytes += uint64(size)
	if err != nil {
		m.stats.ExchangeErrors++
	}
}
