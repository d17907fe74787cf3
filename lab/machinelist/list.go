package machinelist

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"
)

// State is the state of a machine in the list.
type State string

// Values of State. A machine that has left is not in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// maxPendingUpdates bounds the updates that the view does not reflect yet.
const maxPendingUpdates = 1024

var errInvalid = errors.New("invalid machine list")

// Machine is one machine of the list.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// update replaces the machines of the list at a time.
type update struct {
	time     time.Time
	machines []Machine
}

// List holds the machines that were set and a view that lags behind them. It is
// safe for concurrent use.
type List struct {
	now func() time.Time

	mu          sync.Mutex
	lag         time.Duration
	unavailable bool
	visible     []Machine
	pending     []update
}

// New returns an empty list whose view lags by the duration.
func New(now func() time.Time, lag time.Duration) *List {
	return &List{now: now, lag: lag}
}

// Set replaces the machines. The view reflects the update after the lag.
func (l *List) Set(machines []Machine) error {
	for _, machine := range machines {
		if machine.Name == "" || (machine.State != StateLive && machine.State != StateLeaving) {
			return fmt.Errorf("%w: machine %q in state %q", errInvalid, machine.Name, machine.State)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	if len(l.pending) >= maxPendingUpdates {
		return fmt.Errorf("%w: more than %d updates within the lag", errInvalid, maxPendingUpdates)
	}
	l.pending = append(l.pending, update{time: l.now(), machines: slices.Clone(machines)})
	return nil
}

// SetLag changes the lag, also of updates that the view does not reflect yet.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	l.lag = lag
}

// SetUnavailable sets whether requests for the list get status 503.
func (l *List) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// View returns the machines as they were one lag ago, and whether the list is
// available.
func (l *List) View() (machines []Machine, available bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDue()
	return slices.Clone(l.visible), !l.unavailable
}

// applyDue applies the pending updates that are at least as old as the lag. The
// caller holds the mutex.
func (l *List) applyDue() {
	cutoff := l.now().Add(-l.lag)
	for len(l.pending) > 0 && !l.pending[0].time.After(cutoff) {
		l.visible = l.pending[0].machines
		l.pending = l.pending[1:]
	}
}
