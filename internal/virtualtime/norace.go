//go:build !race

package virtualtime

// raceDetector tells that the program was built with the race detector.
const raceDetector = false
