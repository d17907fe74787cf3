package replica

import (
	"testing"
	"time"

	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/store"
)

// BenchmarkExchangedDigests measures the digests of one call and its reply at both nodes, each of
// which has two copies that are equal and verified.
func BenchmarkExchangedDigests(b *testing.B) {
	newAntiEntropy := func(address string) *AntiEntropy {
		var copies []*Copy
		for range 2 {
			c := NewCopy(time.Hour, func([]store.Entry, string) {}, clock.Now)
			c.applyDelta(Delta{Digest: Digest{Revision: 5, Age: time.Millisecond, Verified: time.Millisecond}, Full: true}, "peer", clock.Now())
			copies = append(copies, c)
		}
		return NewAntiEntropy(AntiEntropyConfig{Address: address, OnConfirmed: func(time.Time) {}, OnEpoch: func(store.Epoch, string) {}, Now: clock.Now}, copies...)
	}
	caller, home := newAntiEntropy("caller"), newAntiEntropy("home")
	b.ReportAllocs()
	for b.Loop() {
		sentAt := clock.Now()
		home.HandleCallDigests("caller", caller.Digests())
		caller.HandleReplyDigests("home", home.Digests(), sentAt)
	}
}
