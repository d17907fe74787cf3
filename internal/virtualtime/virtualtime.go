// Package virtualtime runs tests in virtual time.
package virtualtime

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// Run runs a test in a bubble of package synctest. With the race detector enabled, all goroutines
// run on one thread (GOMAXPROCS 1). Otherwise the detector itself can crash: a timer whose channel
// is read after the timer is due runs on the reader's thread, but the runtime has a single race
// context for all timers of a bubble, and using it from two threads at once ends in
// "ThreadSanitizer: CHECK failed" or SIGSEGV. With Go 1.26.8 this happened in 3 of 23 runs of the
// tests of shard schedules and in 6 of 6 runs of a bubble with only sleeps and timers; with one
// thread, it happened in none of 8 and 6 runs. Races are still found, because the detector looks at
// the order of synchronization and not at what runs in parallel.
func Run(t *testing.T, test func(*testing.T)) {
	t.Helper()
	if raceEnabled {
		threads := runtime.GOMAXPROCS(1)
		defer runtime.GOMAXPROCS(threads)
	}
	synctest.Test(t, test)
}
