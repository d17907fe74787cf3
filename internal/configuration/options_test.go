package configuration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxPropagationTime is the time within which an accepted change must take
// effect on all nodes.
const maxPropagationTime = 8 * time.Second

// A zone that is partitioned from the others depends on its own watchers: the
// maximum delay between their attempts must leave time for the watch itself.
func TestWatchBackoffLeavesTimeToPropagate(t *testing.T) {
	options := Options{}.withDefaults()
	assert.Assert(t, options.MaxBackoff <= maxPropagationTime/2, "%s", options.MaxBackoff)
}
