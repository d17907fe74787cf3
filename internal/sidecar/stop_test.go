package sidecar

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/store"
)

// TestStoppingNodeAdmitsCallsWhileStoreIsUnavailable has a node stop while its store answers and
// while it does not: in the second case it still admits calls that end in time.
func TestStoppingNodeAdmitsCallsWhileStoreIsUnavailable(t *testing.T) {
	settings := Settings{Name: "n", Zone: "z", Service: "s", Target: "127.0.0.1:1", Store: "127.0.0.1:1", Retries: RetrySettings{WindowSeconds: 10}}
	n, err := New(settings, io.Discard)
	assert.NilError(t, err)
	end := time.Now().Add(time.Minute)
	call := func() peering.Reason {
		return n.guard.Run(t.Context(), &peering.Call{Service: "s", Route: "r", Remaining: time.Second}).Reason
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = n.gate.Wrap(awayStore{}).Get(ctx, "key")
	assert.Assert(t, err != nil)
	assert.Assert(t, n.endAdmission(end), "the store is away")
	assert.Assert(t, call() != peering.Stopping)
	present, err := New(settings, io.Discard)
	assert.NilError(t, err)
	n = present
	assert.Assert(t, !n.endAdmission(end))
	assert.Equal(t, call(), peering.Stopping)
}

// awayStore is a store that does not answer.
type awayStore struct{ store.Store }

func (awayStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

// TestShutdownAnswersRequestInFlight has the node end while a request that has
// just come is worked on.
func TestShutdownAnswersRequestInFlight(t *testing.T) {
	come := make(chan struct{})
	slow, err := newServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(come)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}))
	assert.NilError(t, err)
	slow.start()
	n := &Node{servers: []*server{slow}}
	ended := make(chan struct{})
	go func() {
		<-come
		n.shutDown(time.Now().Add(20 * time.Second))
		close(ended)
	}()
	response, err := http.Get("http://" + slow.socket.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	<-ended
	_, err = net.Dial("tcp", slow.socket.Addr().String())
	assert.Assert(t, err != nil, "nothing is taken any more")
}

// TestShutdownServesAcceptQueue has callers connect and send their requests before
// the node accepts any of them, and the node end. A listener that closes resets what waits to
// be accepted: of 32,000 connections beside listeners that closed, one caller got a reset after
// it had sent its request, and could not know whether it had run.
func TestShutdownServesAcceptQueue(t *testing.T) {
	const callers = 100
	quick, err := newServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	}))
	assert.NilError(t, err)
	connections := make([]net.Conn, callers)
	for i := range connections {
		connections[i], err = net.Dial("tcp", quick.socket.Addr().String())
		assert.NilError(t, err)
		defer func() { _ = connections[i].Close() }()
		_, err = io.WriteString(connections[i], "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		assert.NilError(t, err)
	}
	quick.start()
	n := &Node{servers: []*server{quick}}
	n.shutDown(time.Now().Add(20 * time.Second))
	for i, connection := range connections {
		answer, err := io.ReadAll(connection)
		assert.NilError(t, err, "caller %d", i)
		assert.Assert(t, strings.HasSuffix(string(answer), "whole"), "caller %d: %q", i, answer)
	}
}
