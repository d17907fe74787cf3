package shortage

import (
	"time"

	"github.com/lugspur/lugspur/internal/shed"
)

// MaxAge is the age from which a report is no longer valid.
const MaxAge = 1500 * time.Millisecond

// MaxReports is the maximum number of reports in one message.
const MaxReports = 4

// Report is what the home of a target reports about its shortage of capacity.
type Report struct {
	Service string
	// Home is the address of the node that created the report.
	Home string
	// Threshold is the lowest rank key that the home refuses; shed.None if its shortage has ended.
	Threshold uint16
	// Weight is the number of slots of the home's target.
	Weight int
	// Age is the time since the home created the report.
	Age time.Duration
}

// Valid reports whether the report names its origin and its values are in range.
func (r Report) Valid() bool {
	return r.Service != "" && r.Home != "" && r.Threshold <= shed.None && r.Weight > 0 && r.Age >= 0 && r.Age < MaxAge
}
