package emulator

import (
	"sync"
	"time"
)

// report is what a target says of itself at one moment.
type report struct {
	at     time.Time
	load   float64
	health Health
}

// reportHistory keeps samples so that reports can lag.
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

// before returns the youngest sample that isn't after the given moment, or
// the oldest one.
func (h *reportHistory) before(moment time.Time) (report, bool) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	count := len(h.samples)
	if count == 0 {
		return report{}, false
	}
	for back := 1; back <= count; back++ {
		sample := h.samples[(h.next+count-back)%count]
		if !sample.at.After(moment) {
			return sample, true
		}
	}
	return h.samples[h.next%count], true
}
