package virtualtime

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestConcurrentReadsOfDueTimers ended the race detector itself: goroutines read timers that are
// due already, each on its own thread, while the bubble runs others. Shown by this test
// without virtualtime, in 6 of 6 processes: "CHECK failed: tsan_rtl.cpp:346" among others.
func TestConcurrentReadsOfDueTimers(t *testing.T) {
	const goroutines, rounds = 100, 500
	Run(t, func(t *testing.T) {
		read := make(chan int, goroutines)
		for i := range goroutines {
			go func() {
				for round := range rounds {
					timer := time.NewTimer(time.Duration(1+(i+round)%3) * time.Millisecond)
					time.Sleep(3 * time.Millisecond)
					<-timer.C
				}
				read <- rounds
			}()
		}
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, len(read), goroutines)
	})
}
