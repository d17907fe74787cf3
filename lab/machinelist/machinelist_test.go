package machinelist

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"
)

const leavingMachine = `{"name":"m1","address":"10.0.0.1:80","zone":"a","state":"leaving"}`

func request(handler http.Handler, method, path, body string) (int, string) {
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

func TestViewLagsBehindUpdates(t *testing.T) {
	now := time.Unix(1000, 0)
	list := New(func() time.Time { return now }, 5*time.Second)
	status, body := request(list.ControlHandler(), http.MethodPost, PathControl, `{"machines":[`+leavingMachine+`]}`)
	assert.Equal(t, status, http.StatusNoContent, body)

	now = now.Add(5*time.Second - 1)
	status, body = request(list.Handler(), http.MethodGet, PathMachines, "")
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, `{"machines":[]}`)

	now = now.Add(1)
	_, body = request(list.Handler(), http.MethodGet, PathMachines, "")
	assert.Equal(t, body, `{"machines":[`+leavingMachine+`]}`)

	status, _ = request(list.ControlHandler(), http.MethodPost, PathControl, `{"machines":[],"lag_ms":0}`)
	assert.Equal(t, status, http.StatusNoContent)
	_, body = request(list.Handler(), http.MethodGet, PathMachines, "")
	assert.Equal(t, body, `{"machines":[]}`)
}

func TestControlRejectsInvalidRequests(t *testing.T) {
	list := New(time.Now, 0)
	for _, body := range []string{`{"machines":[{"name":"m1","state":"gone"}]}`, `{"machines":[{"state":"live"}]}`, `{"x":1}`, `[`} {
		status, _ := request(list.ControlHandler(), http.MethodPost, PathControl, body)
		assert.Equal(t, status, http.StatusBadRequest, body)
	}
}

func TestUnavailableListReturns503(t *testing.T) {
	list := New(time.Now, 0)
	request(list.ControlHandler(), http.MethodPost, PathControl, `{"unavailable":true}`)
	status, _ := request(list.Handler(), http.MethodGet, PathMachines, "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

func TestCommandServesUntilContextIsCancelled(t *testing.T) {
	reader, writer := io.Pipe()
	command := &machinesCommand{output: writer}
	flags := flag.NewFlagSet("machines", flag.ContinueOnError)
	command.SetFlags(flags)
	ctx, cancel := context.WithCancel(context.Background())
	status := make(chan subcommands.ExitStatus, 1)
	go func() { status <- command.Execute(ctx, flags) }()
	var addresses listenAddresses
	assert.NilError(t, json.NewDecoder(reader).Decode(&addresses))
	response, err := http.Get("http://" + addresses.Machines + PathMachines)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, response.StatusCode, http.StatusOK)
	cancel()
	assert.Equal(t, <-status, subcommands.ExitSuccess)
}
