package drainlistener

import (
	"errors"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// Connections that are still in the accept queue when the listener is stopped must be served,
// not reset.
func TestWaitingConnectionsAreAccepted(t *testing.T) {
	const queued = 5
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	for range queued {
		connection, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer func() { _ = connection.Close() }()
		_, err = connection.Write([]byte("call"))
		assert.NilError(t, err)
	}
	listener.StopAccepting()
	for range queued {
		connection, err := listener.Accept()
		assert.NilError(t, err)
		var content [4]byte
		_, err = connection.Read(content[:])
		assert.NilError(t, err)
		assert.Equal(t, string(content[:]), "call")
		assert.NilError(t, connection.Close())
	}
	_, err = listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	_, err = net.Dial("tcp", address)
	assert.Assert(t, err != nil, "the socket is still open")
}

// StopAccepting must unblock an Accept that is already waiting.
func TestStopAcceptingUnblocksAccept(t *testing.T) {
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	result := make(chan error)
	go func() {
		_, err := listener.Accept()
		result <- err
	}()
	listener.StopAccepting()
	assert.Assert(t, errors.Is(<-result, net.ErrClosed))
}
