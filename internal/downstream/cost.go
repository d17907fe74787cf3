package downstream

import "time"

// MaxServices is the maximum number of services in the costs of one route.
const MaxServices = 16

// Cost is what one request uses of one service, over its whole call tree.
type Cost struct {
	Service string
	// Calls is the mean number of calls.
	Calls float64
	// SlotTime is the mean time for which slots are occupied; zero if unknown.
	SlotTime time.Duration
	// Share is the share of requests that use the service at all, up to 1; zero if unknown. It
	// doesn't follow from Calls: a tenth of the requests may make ten calls each.
	Share float64
}

// Valid reports whether the cost names a service and its values are in range.
func (c Cost) Valid() bool {
	return c.Service != "" && c.Calls > 0 && c.SlotTime >= 0 && c.Share >= 0 && c.Share <= 1
}
