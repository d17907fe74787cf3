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

// The states. A machine that has gone is not in the list.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// maxPending bounds the changes that are not shown yet.
const maxPending = 1024

var errInvalid = errors.New("invalid machine list")

// Machine is one machine of the list.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

type change struct {
	at       time.Time
	machines []Machine
}

// List is the truth about the machines and the lagging view of it. It is safe
// for concurrent use.
type List struct {
	now func() time.Time

	mu          sync.Mutex
	lag         time.Duration
	unavailable bool
	shown       []Machine
	pending     []change
}

// New returns an empty list whose view lags by the given duration.
func New(now func() time.Time, lag time.Duration) *List {
	return &List{now: now, lag: lag}
}

// Set changes the truth; the view follows after the lag.
func (l *List) Set(machines []Machine) error {
	for _, machine := range machines {
		if machine.Name == "" || (machine.State != StateLive && machine.State != StateLeaving) {
			return fmt.Errorf("%w: machine %q in state %q", errInvalid, machine.Name, machine.State)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	if len(l.pending) >= maxPending {
		return fmt.Errorf("%w: more than %d changes within the lag", errInvalid, maxPending)
	}
	l.pending = append(l.pending, change{at: l.now(), machines: slices.Clone(machines)})
	return nil
}

// SetLag changes the lag, also for changes that are not shown yet.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance()
	l.lag = lag
}

// SetUnavailable makes the list answer 503, or ends that.
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
	l.advance()
	return slices.Clone(l.shown), !l.unavailable
}

func (l *List) advance() {
	newest := l.now().Add(-l.lag)
	for len(l.pending) > 0 && !l.pending[0].at.After(newest) {
		l.shown = l.pending[0].machines
		l.pending = l.pending[1:]
	}
}
