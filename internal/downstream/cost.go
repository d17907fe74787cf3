package downstream

import "time"

// MaxServices is the maximum number of services in the costs of one route.
const MaxServices = 16

// Cost is what one request uses of one service, over its whole call tree.
type Cost struct {
	Service string
	// Calls is the mean number of calls.
	Calls float64
	// SlotTime is the mean time for which slots are occupied.
	SlotTime time.Duration
}

// Valid reports whether the cost names a service and its values are in range.
func (c Cost) Valid() bool { return c.Service != "" && c.Calls > 0 && c.SlotTime >= 0 }
