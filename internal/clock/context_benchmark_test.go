package clock

import (
	"context"
	"testing"
	"time"
)

// BenchmarkWithTimeout measures a context with a deadline that is released in time.
func BenchmarkWithTimeout(b *testing.B) {
	parent, cancelParent := context.WithCancel(context.Background())
	defer cancelParent()
	b.ReportAllocs()
	for b.Loop() {
		_, cancel := WithTimeout(parent, time.Minute)
		cancel()
	}
}
