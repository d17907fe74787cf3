package virtualtime

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestConcurrentReadsOfDueTimers guards against a crash of the race detector: goroutines on several
// threads read timers that are already due, while the bubble runs other timers. Without
// virtualtime, this test crashed in 6 of 6 processes, for example with
// "CHECK failed: tsan_rtl.cpp:346".
func TestConcurrentReadsOfDueTimers(t *testing.T) {
	const goroutines, rounds = 100, 500
	Run(t, func(t *testing.T) {
		finished := make(chan int, goroutines)
		for i := range goroutines {
			go func() {
				for round := range rounds {
					timer := time.NewTimer(time.Duration(1+(i+round)%3) * time.Millisecond)
					time.Sleep(3 * time.Millisecond)
					<-timer.C
				}
				finished <- rounds
			}()
		}
		time.Sleep(time.Hour)
		synctest.Wait()
		assert.Equal(t, len(finished), goroutines)
	})
}
