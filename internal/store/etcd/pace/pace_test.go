package pace_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store/etcd/pace"
)

var start = time.Unix(1_000_000, 0)

func TestBucketAllowsBurstThenRate(t *testing.T) {
	bucket := pace.NewBucket(10, 3)
	for range 3 {
		wait, ok := bucket.Reserve(start, 0)
		assert.Assert(t, ok)
		assert.Equal(t, wait, time.Duration(0))
	}
	wait, ok := bucket.Reserve(start, 0)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, 100*time.Millisecond)
	wait, ok = bucket.Reserve(start, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, wait, 100*time.Millisecond)
	wait, ok = bucket.Reserve(start, time.Second)
	assert.Assert(t, ok)
	assert.Equal(t, wait, 200*time.Millisecond)
}

func TestBucketNeverExceedsRateOverTime(t *testing.T) {
	bucket := pace.NewBucket(5, 2)
	reserved := 0
	for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 10 * time.Millisecond {
		if _, ok := bucket.Reserve(start.Add(elapsed), 0); ok {
			reserved++
		}
	}
	assert.Assert(t, reserved >= 50 && reserved <= 51, "reserved %d", reserved)
}

func TestBucketPauses(t *testing.T) {
	bucket := pace.NewBucket(1000, 10)
	bucket.Pause(start.Add(time.Second))
	_, ok := bucket.Reserve(start, 0)
	assert.Assert(t, !ok)
	_, ok = bucket.Reserve(start.Add(time.Second), 0)
	assert.Assert(t, ok)
}

func TestBucketWithoutRateDoesNotLimit(t *testing.T) {
	bucket := pace.NewBucket(0, 0)
	for range 1000 {
		_, ok := bucket.Reserve(start, 0)
		assert.Assert(t, ok)
	}
	// A caller that read the clock before another one but arrives after it.
	_, ok := bucket.Reserve(start.Add(-time.Microsecond), 0)
	assert.Assert(t, ok)
	bucket.Pause(start.Add(time.Second))
	_, ok = bucket.Reserve(start, 0)
	assert.Assert(t, !ok)
}
