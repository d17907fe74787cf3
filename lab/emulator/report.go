package emulator

import (
	"sync"
	"time"
)

// report is a sample of a target's load and health.
type report struct {
	at     time.Time
	load   float64
	health Health
}

// reportHistory is a ring buffer of samples, from which lagging reports are read.
type reportHistory struct {
	mutex   sync.Mutex
	samples []report
	next    int
}

func newReportHistory() *reportHistory { return &reportHistory{} }

const maxReportSamples = int(maxReportLag/reportInterval) + 1

func (h *reportHistory) add(sample report) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if len(h.samples) < maxReportSamples {
		h.samples = append(h.samples, sample)
		return
	}
	h.samples[h.next] = sample
	h.next = (h.next + 1) % len(h.samples)
}

// latestAt returns the latest sample that isn't after the given time, or the
// oldest sample if all are. It returns false if there is no sample.
func (h *reportHistory) latestAt(at time.Time) (report, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := len(h.samples)
	if count == 0 {
		return report{}, false
	}
	for back := 1; back <= count; back++ {
		sample := h.samples[(h.next+count-back)%count]
		if !sample.at.After(at) {
			return sample, true
		}
	}
	return h.samples[h.next%count], true
}
