package transport

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFailureNamesStepAndPeer guards against a text that does not tell where an exchange failed.
func TestFailureNamesStepAndPeer(t *testing.T) {
	cause := errors.New("cause")
	failure := NewPool(Config{Address: "127.0.0.1:1"}).failure("await answer", true, false, cause)
	assert.Error(t, failure, "await answer with 127.0.0.1:1: cause")
	assert.ErrorIs(t, failure, cause)
}

// BenchmarkFailure measures the error of an exchange that failed, with its text.
func BenchmarkFailure(b *testing.B) {
	pool := NewPool(Config{Address: "127.0.0.1:1"})
	cause := errors.New("cause")
	b.ReportAllocs()
	for b.Loop() {
		if pool.failure("await answer", true, false, cause).Error() == "" {
			b.Fatal("no text")
		}
	}
}
