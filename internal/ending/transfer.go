package ending

import (
	"sync"
	"time"
)

const (
	// bufferedBytes is the size of a response that the kernel sends even if its process has
	// exited, as it fits into the buffers of the connection.
	bufferedBytes = 64 << 10
	// maxBufferedBytes is how much of a response the buffers of a connection may hold at most when it
	// counts as written.
	maxBufferedBytes = 4 << 20
	// unknownPace is the pace, in bytes per second, at which readers are assumed to read while
	// none has been observed.
	unknownPace = 1 << 20
)

// ReaderPace holds the slowest recent pace at which callers read large responses. The zero value has
// observed none. It is safe for concurrent use.
type ReaderPace struct {
	mutex sync.Mutex
	// slowness is the time per byte in seconds.
	slowness Recent[float64]
}

// Record records the time that it took to write a response to a caller.
func (p *ReaderPace) Record(bytes int, duration time.Duration, now time.Time) {
	if bytes < 2*maxBufferedBytes {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.slowness.Record(duration.Seconds()/float64(bytes-maxBufferedBytes), now)
}

// TransferDuration returns the duration within which it is safe to assume that a caller has read a
// response of the size, or that the rest of it is in the kernel's buffers.
func (p *ReaderPace) TransferDuration(bytes int, now time.Time) time.Duration {
	if bytes <= bufferedBytes {
		return 0
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	slowness := p.slowness.Max(now)
	if slowness == 0 {
		slowness = 1.0 / unknownPace
	}
	return time.Duration(slowness * float64(bytes) * float64(time.Second))
}
