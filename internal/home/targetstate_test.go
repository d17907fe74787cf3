package home

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

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/problem"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/scheduler"
)

func TestPermitReleasedAfterTruncatedLargeResponse(t *testing.T) {
	target, _ := newTarget(t, 1, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100000")
		_, _ = io.WriteString(w, strings.Repeat("x", 5*maxBuffered))
		panic(http.ErrAbortHandler)
	})
	m := newManager(Settings{})
	for range 3 {
		reply, failure := m.Run(t.Context(), service, target, true, newCall())
		assert.Assert(t, failure == nil, "%v", failure)
		assert.Equal(t, m.ActiveCalls(), 1, "the permit of an incomplete response was released")
		func() {
			defer func() {
				assert.Equal(t, recover(), http.ErrAbortHandler, "the connection to the caller is not aborted")
			}()
			WriteReply(httptest.NewRecorder(), reply, time.Time{})
		}()
		assert.Equal(t, m.ActiveCalls(), 0)
	}
}

func TestCeiling(t *testing.T) {
	for _, c := range []struct {
		slots, connections int
		owner              bool
		want               int
	}{{8, 10, true, 8}, {10, 8, true, 8}, {8, 8, false, 4}, {1, 1, false, 1}, {9, 9, false, 4}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			target, _ := newTarget(t, c.slots, respondWith(200, ""))
			target.Connections = c.connections
			m := newManager(Settings{FixedLimit: true})
			_, failure := m.Run(t.Context(), service, target, c.owner, newCall())
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, m.LoadOf("a-1").Limit, c.want)
			_, _ = m.Run(t.Context(), service, target, !c.owner, newCall())
			_, _ = m.Run(t.Context(), service, target, c.owner, newCall())
			assert.Assert(t, m.LoadOf("a-1").Limit <= c.want)
		})
	}
}

func TestReportedLoadOnlyLowersLimit(t *testing.T) {
	reporting := &catalog.Service{Name: "a", Spec: resource.Service{LoadHeader: "Target-Load"}}
	for reported, lowered := range map[string]bool{"": false, "0": false, "0.1": false, "-3": false, "much": false, "NaN": false, "+Inf": false, "100": true} {
		t.Run(reported, func(t *testing.T) {
			target, _ := newTarget(t, 16, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Target-Load", reported) })
			m := newManager(Settings{})
			_, failure := m.Run(t.Context(), service, target, true, newCall())
			assert.Assert(t, failure == nil, "%v", failure)
			before := m.LoadOf("a-1").Limit
			_, failure = m.Run(t.Context(), reporting, target, true, newCall())
			assert.Assert(t, failure == nil, "%v", failure)
			assert.Equal(t, m.LoadOf("a-1").Limit < before, lowered)
		})
	}
}

// newBlockingTarget serves a target that responds once the returned channel is
// closed.
func newBlockingTarget(t *testing.T, slots int) (*catalog.Target, *atomic.Int64, chan struct{}) {
	release := make(chan struct{})
	target, count := newTarget(t, slots, func(_ http.ResponseWriter, r *http.Request) {
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	return target, count, release
}

type result struct {
	reply   *Reply
	failure *problem.Problem
}

func startCall(m *Manager, target *catalog.Target, call *Call) <-chan result {
	results := make(chan result, 1)
	go func() {
		reply, failure := m.Run(context.Background(), service, target, true, call)
		results <- result{reply, failure}
	}()
	return results
}

func TestResetRefusesQueuedCallsOnly(t *testing.T) {
	target, count, release := newBlockingTarget(t, 1)
	m := newManager(Settings{Queue: scheduler.Config{MaxWait: 10 * time.Second}})
	running := startCall(m, target, newCall())
	eventually(t, "call at the target", func() bool { return count.Load() == 1 })
	queued := startCall(m, target, newCall())
	eventually(t, "call in the queue", func() bool { return m.LoadOf("a-1").Queued == 1 })
	m.Reset()
	assertProblem(t, (<-queued).failure, problem.NoTarget, problem.ExecutedNo)
	assert.Equal(t, len(m.Loads()), 0)
	close(release)
	got := <-running
	assert.Assert(t, got.failure == nil, "a call in flight failed: %v", got.failure)
}

func TestMoreCriticalCallReplacesQueuedCall(t *testing.T) {
	target, count, release := newBlockingTarget(t, 1)
	m := newManager(Settings{Queue: scheduler.Config{MaxQueue: 1, MaxWait: 10 * time.Second}})
	first := startCall(m, target, newCall())
	eventually(t, "call at the target", func() bool { return count.Load() == 1 })
	low, high := newCall(), newCall()
	low.Context.Rank, high.Context.Rank = criticality.Lowest, criticality.Rank{}
	lowResult := startCall(m, target, low)
	eventually(t, "call in the queue", func() bool { return m.LoadOf("a-1").Queued == 1 })
	highResult := startCall(m, target, high)
	evicted := (<-lowResult).failure
	assertProblem(t, evicted, problem.Overloaded, problem.ExecutedNo)
	assert.Assert(t, evicted.RetryAfterSeconds > 0)
	close(release)
	assert.Assert(t, (<-highResult).failure == nil && (<-first).failure == nil)
	assert.Equal(t, count.Load(), int64(2))
}

func TestCanceledCallerLeavesQueue(t *testing.T) {
	target, count, release := newBlockingTarget(t, 1)
	defer close(release)
	m := newManager(Settings{Queue: scheduler.Config{MaxWait: 10 * time.Second}})
	_ = startCall(m, target, newCall())
	eventually(t, "call at the target", func() bool { return count.Load() == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	results := make(chan result, 1)
	go func() {
		reply, failure := m.Run(ctx, service, target, true, newCall())
		results <- result{reply, failure}
	}()
	eventually(t, "call in the queue", func() bool { return m.LoadOf("a-1").Queued == 1 })
	cancel()
	assertProblem(t, (<-results).failure, problem.CallerGone, problem.ExecutedNo)
	assert.Equal(t, m.LoadOf("a-1").Queued, 0)
}

func TestIdleTargetStateIsDropped(t *testing.T) {
	now := time.Now()
	m := NewManager(Settings{}, func() time.Time { return now })
	target, _ := newTarget(t, 1, respondWith(200, ""))
	call := newCall()
	call.Context.Deadline = now.Add(time.Minute)
	_, failure := m.Run(t.Context(), service, target, true, call)
	assert.Assert(t, failure == nil, "%v", failure)
	m.tick()
	assert.Equal(t, len(m.Loads()), 1)
	now = now.Add(idleLifetime + time.Second)
	m.tick()
	assert.Equal(t, len(m.Loads()), 0)
}

func TestTargetAddressChange(t *testing.T) {
	before, _ := newTarget(t, 2, respondWith(200, "before"))
	after, _ := newTarget(t, 2, respondWith(200, "after"))
	m := newManager(Settings{})
	for _, target := range []*catalog.Target{before, after} {
		_, failure := m.Run(t.Context(), service, target, true, newCall())
		assert.Assert(t, failure == nil, "%v", failure)
	}
	reply, _ := m.Run(t.Context(), service, after, true, newCall())
	assert.Equal(t, string(reply.Body), "after")
}
