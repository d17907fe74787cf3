package shortage

import (
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/shed"
)

const (
	// minNotedChange is the minimum change of a threshold that is notable, unless it begins or ends.
	minNotedChange = criticality.CohortCount / 4
	// minNoteInterval is the least time between two notable changes of one service.
	minNoteInterval = time.Second
)

// Changes selects the changes of thresholds that are worth a log line. It is not safe for concurrent
// use.
type Changes struct {
	noted map[string]notedThreshold
}

type notedThreshold struct {
	threshold uint16
	at        time.Time
}

// Notable reports whether the threshold of a service differs notably from the one noted last, and
// notes it if so. A threshold that changes within a second of the last notable change is noted at the
// first call after that second.
func (c *Changes) Notable(service string, threshold uint16, now time.Time) bool {
	last, found := c.noted[service]
	if !found {
		last = notedThreshold{threshold: shed.None}
	}
	difference := max(threshold, last.threshold) - min(threshold, last.threshold)
	beganOrEnded := difference > 0 && (threshold == shed.None || last.threshold == shed.None)
	if difference < minNotedChange && !beganOrEnded || found && now.Sub(last.at) < minNoteInterval {
		return false
	}
	if c.noted == nil {
		c.noted = make(map[string]notedThreshold)
	}
	c.noted[service] = notedThreshold{threshold, now}
	return true
}
