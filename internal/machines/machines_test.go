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

const oneLeaving = `{"machines":[{"name":"m-1","state":"leaving"},{"name":"m-2","state":"live"}]}`

// platform serves a list that tests can change.
type platform struct {
	status  atomic.Int64
	content atomic.Value
}

func newFollower(t *testing.T, content string) (*platform, *Follower, *atomic.Int64) {
	t.Helper()
	p := &platform{}
	p.set(http.StatusOK, content)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == Path)
		w.WriteHeader(int(p.status.Load()))
		_, _ = io.WriteString(w, p.content.Load().(string))
	}))
	t.Cleanup(server.Close)
	log := logrus.New()
	log.SetOutput(io.Discard)
	changes := &atomic.Int64{}
	f := NewFollower(strings.TrimPrefix(server.URL, "http://"), time.Millisecond, server.Client(), log, func() { changes.Add(1) })
	return p, f, changes
}

func (p *platform) set(status int, content string) {
	p.status.Store(int64(status))
	p.content.Store(content)
}

func TestLeavingMachinesAreDrained(t *testing.T) {
	_, f, changes := newFollower(t, oneLeaving)
	assert.NilError(t, f.refresh(t.Context()))
	assert.NilError(t, f.refresh(t.Context()))
	assert.Assert(t, f.Drained("machine.m-1"))
	assert.Assert(t, !f.Drained("machine.m-2"))
	assert.Assert(t, !f.Drained("target.m-1") && !f.Drained("m-1"))
	assert.Equal(t, changes.Load(), int64(1))
}

func TestAnUnreadableListChangesNothing(t *testing.T) {
	for name, c := range map[string]struct {
		status  int
		content string
	}{
		"unavailable":    {http.StatusServiceUnavailable, ""},
		"cut":            {http.StatusOK, oneLeaving[:20]},
		"not JSON":       {http.StatusOK, "<html>"},
		"no list":        {http.StatusOK, `{}`},
		"null":           {http.StatusOK, `null`},
		"list too large": {http.StatusOK, `{"machines":[{"name":"` + strings.Repeat("x", maxListBytes) + `"}]}`},
	} {
		t.Run(name, func(t *testing.T) {
			p, f, changes := newFollower(t, oneLeaving)
			assert.NilError(t, f.refresh(t.Context()))
			p.set(c.status, c.content)
			assert.ErrorContains(t, f.refresh(t.Context()), Path)
			assert.Assert(t, f.Drained("machine.m-1"))
			assert.Equal(t, changes.Load(), int64(1))
		})
	}
}

func TestRunFollowsListUntilCanceled(t *testing.T) {
	p, f, changes := newFollower(t, oneLeaving)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	await := func(drained string, expected bool) {
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if f.Drained(drained) == expected {
				return poll.Success()
			}
			return poll.Continue("%s", drained)
		}, poll.WithDelay(time.Millisecond), poll.WithTimeout(5*time.Second))
	}
	await("machine.m-1", true)
	p.set(http.StatusOK, fmt.Sprintf(`{"machines":[{"name":"m-1","state":"live"},{"name":"m-2","state":%q}]}`, stateLeaving))
	await("machine.m-2", true)
	await("machine.m-1", false)
	assert.Equal(t, changes.Load(), int64(2))
	cancel()
	<-done
}
