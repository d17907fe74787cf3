package sidecar

import (
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOnlyBusyNodesSpendMemory counts collections of a node that is quiet, gets busy and is
// quiet again. With 400 percent throughout a quiet node held 19 MB in place of 10.
func TestOnlyBusyNodesSpendMemory(t *testing.T) {
	pace := collectionPace{percent: sparingPercent, cycles: 10}
	for _, cycles := range []uint64{10, 11, 12} {
		assert.Equal(t, pace.next(cycles), sparingPercent)
	}
	assert.Equal(t, pace.next(14), lavishPercent, "twice in a period")
	assert.Equal(t, pace.next(15), lavishPercent, "a quarter as often")
	for range quietPeriods - 1 {
		assert.Equal(t, pace.next(15), lavishPercent)
	}
	assert.Equal(t, pace.next(15), sparingPercent)
}

func TestCollectionsAreCounted(t *testing.T) {
	before := collections()
	runtime.GC()
	assert.Assert(t, collections() > before)
}
