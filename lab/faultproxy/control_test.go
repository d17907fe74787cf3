package faultproxy

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestControl(t *testing.T) {
	proxy := newProxy(t)
	server := httptest.NewServer(Control([]*Proxy{proxy}))
	defer server.Close()
	post := func(path, body string) int {
		response, err := http.Post(server.URL+path, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		return response.StatusCode
	}
	assert.Equal(t, post("/routes/0/faults", `{"to_client":{"hold":true}}`), http.StatusNoContent)
	assert.Assert(t, proxy.Faults().ToClient.Hold && !proxy.Faults().ToUpstream.Hold)
	assert.Equal(t, post("/routes/0/faults", `{"to_client":{"loss":2}}`), http.StatusBadRequest)
	assert.Equal(t, post("/routes/0/faults", `{"to_moon":{}}`), http.StatusBadRequest)
	assert.Equal(t, post("/routes/1/faults", `{}`), http.StatusNotFound)
	assert.Equal(t, post("/clear", ""), http.StatusNoContent)
	assert.Equal(t, proxy.Faults(), RouteFaults{})
}

func TestStartRoutes(t *testing.T) {
	proxies, err := startRoutes("127.0.0.1:0=127.0.0.1:1,127.0.0.1:0=127.0.0.1:2")
	defer closeAll(proxies)
	assert.NilError(t, err)
	assert.Equal(t, proxies[1].Upstream(), "127.0.0.1:2")
	_, err = startRoutes("127.0.0.1:0")
	assert.ErrorContains(t, err, "listen=upstream")
}
