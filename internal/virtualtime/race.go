//go:build race

package virtualtime

// raceEnabled reports whether the program was built with the race detector.
const raceEnabled = true
