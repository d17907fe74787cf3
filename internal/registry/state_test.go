package registry

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownStatePanics guards against a state of a later version that panics when it is logged.
func TestUnknownStatePanics(t *testing.T) {
	assert.Equal(t, Ready.String(), "ready")
	assert.Equal(t, State(200).String(), "unknown")
}
