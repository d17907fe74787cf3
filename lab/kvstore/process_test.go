package kvstore

import (
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

func TestServerClosedBeforeServingRefusesConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := newHTTPServer(listener, http.NotFoundHandler())
	_ = server.Close()
	_, err = net.Dial("tcp", listener.Addr().String())
	assert.ErrorContains(t, err, "connection refused")
	server.serve()
}
