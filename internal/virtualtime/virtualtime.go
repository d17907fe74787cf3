// Package virtualtime plays tests in virtual time.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run plays a test in a bubble of package synctest. With the race detector all its goroutines
// take turns on one thread: a timer whose channel is read when it is due runs on the reader's
// thread, and the runtime has but one race context for all timers of a bubble, so that two
// threads at once end in "ThreadSanitizer: CHECK failed" or SIGSEGV (3 of 23 runs of the
// schedules of shards; 6 of 6 of a bubble with nothing but sleeps and timers, with Go 1.26.8).
// On one thread none of either did (8 and 6 runs). The detector goes by the order of
// synchronization, not by what runs at the same moment, and finds races all the same.
func Run(t *testing.T, test func(*testing.T)) {
	t.Helper()
	if raceDetector {
		threads := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(threads)
	}
	synctest.Test(t, test)
}
