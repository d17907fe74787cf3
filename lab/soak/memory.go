package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/lab/cluster"
)

const (
	// nodeMemoryMB is the memory of a node by its settings.
	nodeMemoryMB = 192
	// memoryInterval is the time between two readings of a process's memory.
	memoryInterval = 4 * time.Millisecond
)

// watchMemory reads the resident memory of the machine's process until the context ends, and reports
// each process that exceeds its memory.
func watchMemory(ctx context.Context, m *machine, records *recorder) {
	var reported *cluster.Process
	for ctx.Err() == nil {
		pause.For(ctx, memoryInterval)
		process := m.process.Load()
		resident := residentBytes(process.ID())
		if resident > m.peakMemory.Load() {
			m.peakMemory.Store(resident)
		}
		if resident > nodeMemoryMB<<20 && process != reported {
			reported = process
			records.addMemoryExceeded(fmt.Sprintf("%s held %d MB", m.name, resident>>20))
		}
	}
}

// residentBytes returns the resident memory of a process, zero if it is not known.
func residentBytes(pid int) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
