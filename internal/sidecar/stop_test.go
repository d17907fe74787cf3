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

// TestStoppingNodeAdmitsCallsWhileStoreIsUnavailable checks that a stopping node still admits
// calls that end in time if the store is unreachable, and refuses all calls if the store is
// reachable.
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
	_, err = n.storeBreaker.Wrap(unavailableStore{}).Get(ctx, "key")
	assert.Assert(t, err != nil)
	assert.Assert(t, n.stopAdmission(end), "the store is unreachable")
	assert.Assert(t, call() != peering.Stopping)
	reachable, err := New(settings, io.Discard)
	assert.NilError(t, err)
	n = reachable
	assert.Assert(t, !n.stopAdmission(end))
	assert.Equal(t, call(), peering.Stopping)
}

// unavailableStore is a store whose reads fail with store.ErrUnavailable.
type unavailableStore struct{ store.Store }

func (unavailableStore) Get(context.Context, string) (store.Entry, error) {
	return store.Entry{}, store.ErrUnavailable
}

// TestShutdownAnswersRequestInFlight checks that a shutdown waits for a request that is
// being handled, and that the listener is closed afterwards.
func TestShutdownAnswersRequestInFlight(t *testing.T) {
	received := make(chan struct{})
	slow, err := newServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(received)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}))
	assert.NilError(t, err)
	slow.start()
	n := &Node{servers: []*server{slow}}
	shutDown := make(chan struct{})
	go func() {
		<-received
		n.shutDown(time.Now().Add(20 * time.Second))
		close(shutDown)
	}()
	response, err := http.Get("http://" + slow.listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "whole")
	<-shutDown
	_, err = net.Dial("tcp", slow.listener.Addr().String())
	assert.Assert(t, err != nil, "the listener must be closed")
}

// TestShutdownServesAcceptQueue checks that a shutdown serves the connections in the accept
// queue. Closing a listener normally resets them: of 32,000 connections to closing
// listeners, one caller got a reset after it had sent its request and could not know whether
// the request had run.
func TestShutdownServesAcceptQueue(t *testing.T) {
	const callers = 100
	quick, err := newServer("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "whole")
	}))
	assert.NilError(t, err)
	connections := make([]net.Conn, callers)
	for i := range connections {
		connections[i], err = net.Dial("tcp", quick.listener.Addr().String())
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
