package platformstub

import (
	"fmt"
	"io"
	"net/http"
)

// NestedCalls are calls that a target makes, one after the other, while it runs a request.
type NestedCalls struct {
	// Count is the number of calls.
	Count int
	// Node is the address at which the target's node accepts calls. Host and Path are those
	// of the calls.
	Node, Host, Path string
	// ExceptPathPart is a part of the path of requests that make no calls.
	ExceptPathPart string
}

// run makes the calls of the request and reports whether all succeeded.
func (n *NestedCalls) run(parent *http.Request, id string) bool {
	for number := range n.Count {
		request, err := http.NewRequestWithContext(parent.Context(), http.MethodGet, "http://"+n.Node+n.Path, nil)
		if err != nil {
			return false
		}
		request.Host = n.Host
		request.Header.Set("Lugspur-Attempt-Id", fmt.Sprintf("%s.%02x", id, number))
		request.Header.Set("Lugspur-Deadline-Ms", parent.Header.Get("Lugspur-Deadline-Ms"))
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return false
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err != nil || response.StatusCode != http.StatusOK {
			return false
		}
	}
	return true
}
