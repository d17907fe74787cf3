package configuration

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// inForce is the time in which an accepted change is promised to be in force
// everywhere.
const inForce = 8 * time.Second

// A zone that is cut off from the others depends on its own watchers: the
// longest pause between their attempts must leave time for the watch itself.
func TestWatchersComeBackInTime(t *testing.T) {
	options := Options{}.withDefaults()
	assert.Assert(t, options.MaxBackoff <= inForce/2, "%s", options.MaxBackoff)
}
