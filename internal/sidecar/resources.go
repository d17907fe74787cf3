package sidecar

import runtimemetrics "runtime/metrics"

// Names of the runtime's metrics of memory.
const (
	totalMemory    = "/memory/classes/total:bytes"
	releasedMemory = "/memory/classes/heap/released:bytes"
)

// memoryInUse returns the bytes that the runtime has mapped and not returned to the operating
// system. It exceeds the resident memory by pages that were never touched.
func memoryInUse() float64 {
	samples := []runtimemetrics.Sample{{Name: totalMemory}, {Name: releasedMemory}}
	runtimemetrics.Read(samples)
	return float64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}
