package scheduler_test

import (
	"math"
	"testing"
	"time"

	"github.com/lugspur/lugspur/internal/limit"
	"github.com/lugspur/lugspur/internal/scheduler"
)

func BenchmarkAcquireRelease(b *testing.B) {
	s := scheduler.New(scheduler.Config{}, limit.New(limit.Config{Ceiling: 20}, time.Now), time.Now)
	ctx := b.Context()
	request := scheduler.Request{Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		permit, _ := s.Acquire(ctx, request)
		permit.Release(limit.Sample{Latency: time.Millisecond})
	}
}

// BenchmarkAcquire measures only the fast path of Acquire: the limit is never
// reached and no permit is released.
func BenchmarkAcquire(b *testing.B) {
	s := scheduler.New(scheduler.Config{}, &unlimited{}, time.Now)
	ctx := b.Context()
	request := scheduler.Request{Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = s.Acquire(ctx, request)
	}
}

type unlimited struct{}

func (*unlimited) Limit() int           { return math.MaxInt }
func (*unlimited) Observe(limit.Sample) {}
