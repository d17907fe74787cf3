package platformstub

import "time"

// Arrival is a request that a target received, whether it executed or rejected it.
type Arrival struct {
	ID string
	At time.Time
}

func (t *Target) recordArrival(id string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.arrivals = append(t.arrivals, Arrival{ID: id, At: time.Now()})
}

// Arrivals returns the received requests in the order of their arrival.
func (t *Target) Arrivals() []Arrival {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return append([]Arrival(nil), t.arrivals...)
}

// SetArrivals replaces the arrivals, for tests of code that reads them.
func (t *Target) SetArrivals(arrivals []Arrival) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.arrivals = append([]Arrival(nil), arrivals...)
}
