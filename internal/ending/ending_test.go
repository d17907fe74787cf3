package ending_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/ending"
)

func TestWorkBeginsOnlyIfItIsDoneByTheEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	var end ending.ShutdownTime
	assert.Assert(t, end.Allows(time.Hour, now), "there is no end")
	end.Set(now.Add(time.Second))
	assert.Assert(t, end.Allows(time.Second, now))
	assert.Assert(t, !end.Allows(time.Second, now.Add(time.Millisecond)))
}

func TestTheSureTimeIsManyTimesTheUsual(t *testing.T) {
	assert.Assert(t, ending.SafeDuration(0) > 0, "nothing is known")
	assert.Assert(t, ending.SafeDuration(time.Second) >= 5*time.Second)
}
