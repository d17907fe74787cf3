package startup

import (
	"bytes"
	"time"
)

// settleTime is the time without a change after which a file is considered completely written.
const settleTime = time.Second

// Settling tells whether a file that is read repeatedly still changes.
type Settling struct {
	content []byte
	since   time.Time
}

// Settled takes the content of the file as read at the given time. It reports whether the content
// has been the same for the settle time.
func (s *Settling) Settled(at time.Time, content []byte) bool {
	if s.since.IsZero() || !bytes.Equal(content, s.content) {
		s.content, s.since = content, at
	}
	return at.Sub(s.since) >= settleTime
}
