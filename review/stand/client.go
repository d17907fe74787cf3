//go:build review

package stand

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"
)

// Sent is one request of a client and its answer; status 0 stands for none.
type Sent struct {
	ID, At   string
	Status   int
	Executed string
	Started  time.Time
	Took     time.Duration
	Err      string
	// Kept reports whether it was sent on a connection that had carried requests before.
	Kept bool
}

// Client sends requests to the nodes on kept connections. It is safe for concurrent use.
type Client struct {
	http  *http.Client
	mutex sync.Mutex
	sent  []Sent
}

// NewClient returns a client without connections.
func NewClient() *Client {
	dialer := net.Dialer{Timeout: time.Second}
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, DisableCompression: true, IdleConnTimeout: 12 * time.Second}}}
}

// Send sends one request and records it.
func (c *Client) Send(m *Machine, method, host, path, id string, body []byte, deadline time.Duration) Sent {
	sent := Sent{ID: id, At: m.Name, Started: time.Now()}
	request, err := http.NewRequest(method, "http://"+m.Outbound()+path, bytes.NewReader(body))
	if err == nil {
		// Without it, the library would repeat requests by itself.
		request.GetBody = nil
		request.Host = host
		request = request.WithContext(httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { sent.Kept = info.Reused }}))
		request.Header.Set("Lugspur-Attempt-Id", id)
		request.Header.Set("Lugspur-Deadline-Ms", Millis(deadline))
		var answer *http.Response
		if answer, err = c.http.Do(request); err == nil {
			var content []byte
			content, err = io.ReadAll(answer.Body)
			_ = answer.Body.Close()
			if err == nil {
				sent.Status = answer.StatusCode
				if answer.StatusCode == http.StatusOK && answer.Header.Get("Lugspur-Response-Signature") == "" {
					sent.Err = "a success without a signature"
				}
				if answer.StatusCode != http.StatusOK {
					sent.Executed = fmt.Sprintf("%.200s", content)
				}
			}
		}
	}
	if err != nil {
		sent.Err = err.Error()
	}
	sent.Took = time.Since(sent.Started)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.sent = append(c.sent, sent)
	return sent
}

// All returns all requests that ended.
func (c *Client) All() []Sent {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]Sent(nil), c.sent...)
}
