package machines

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

const listWithOneLeaving = `{"machines":[{"name":"m-1","state":"leaving"},{"name":"m-2","state":"live"}]}`

// fakePlatform serves a machine list; tests set its status code and content.
type fakePlatform struct {
	status  atomic.Int64
	content atomic.Value
}

func newTestPoller(t *testing.T, content string) (*fakePlatform, *Poller, *atomic.Int64) {
	t.Helper()
	platform := &fakePlatform{}
	platform.set(http.StatusOK, content)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == Path)
		w.WriteHeader(int(platform.status.Load()))
		_, _ = io.WriteString(w, platform.content.Load().(string))
	}))
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	changes := &atomic.Int64{}
	poller := NewPoller(strings.TrimPrefix(server.URL, "http://"), time.Millisecond, server.Client(), log, func() { changes.Add(1) })
	return platform, poller, changes
}

func (p *fakePlatform) set(status int, content string) {
	p.status.Store(int64(status))
	p.content.Store(content)
}

func TestLeavingMachinesAreDrained(t *testing.T) {
	_, poller, changes := newTestPoller(t, listWithOneLeaving)
	assert.NilError(t, poller.refresh(t.Context()))
	assert.NilError(t, poller.refresh(t.Context()))
	assert.Assert(t, poller.Drained("machine.m-1"))
	assert.Assert(t, !poller.Drained("machine.m-2"))
	assert.Assert(t, !poller.Drained("target.m-1") && !poller.Drained("m-1"))
	assert.Equal(t, changes.Load(), int64(1))
}

func TestFailedRefreshKeepsLeavingMachines(t *testing.T) {
	for name, test := range map[string]struct {
		status  int
		content string
	}{
		"unavailable":    {http.StatusServiceUnavailable, ""},
		"cut":            {http.StatusOK, listWithOneLeaving[:20]},
		"not JSON":       {http.StatusOK, "<html>"},
		"no list":        {http.StatusOK, `{}`},
		"null":           {http.StatusOK, `null`},
		"list too large": {http.StatusOK, `{"machines":[{"name":"` + strings.Repeat("x", maxListBytes) + `"}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			platform, poller, changes := newTestPoller(t, listWithOneLeaving)
			assert.NilError(t, poller.refresh(t.Context()))
			platform.set(test.status, test.content)
			assert.ErrorContains(t, poller.refresh(t.Context()), Path)
			assert.Assert(t, poller.Drained("machine.m-1"))
			assert.Equal(t, changes.Load(), int64(1))
		})
	}
}

func TestRunPollsListUntilCanceled(t *testing.T) {
	platform, poller, changes := newTestPoller(t, listWithOneLeaving)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { poller.Run(ctx); close(done) }()
	await := func(drained string, expected bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if poller.Drained(drained) == expected {
				return poll.Success()
			}
			return poll.Continue("%s", drained)
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	}
	await("machine.m-1", true)
	platform.set(http.StatusOK, fmt.Sprintf(`{"machines":[{"name":"m-1","state":"live"},{"name":"m-2","state":%q}]}`, stateLeaving))
	await("machine.m-2", true)
	await("machine.m-1", false)
	assert.Equal(t, changes.Load(), int64(2))
	cancel()
	<-done
}
