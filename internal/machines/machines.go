// Package machines follows the platform's list of machines. The list lags and
// may be out of reach, so that it is a hint only: a machine that it calls
// leaving gets no new work, and one that it calls live proves nothing.
package machines

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/resource"
)

// Path is where the platform serves the list.
const Path = "/machines"

// maxListBytes bounds the list, in bytes.
const maxListBytes = 4 << 20

// requestTimeout bounds one reading of the list.
const requestTimeout = 3 * time.Second

// stateLeaving is the state of a machine that is about to stop.
const stateLeaving = "leaving"

// Machine is one machine of the list.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// list is the platform's answer.
type list struct {
	// Machines is nil when the answer is no list; an empty list is not.
	Machines []Machine `json:"machines"`
}

var errNoList = errors.New("the answer holds no list of machines")

// Follower reads the list again and again. It is safe for concurrent use.
type Follower struct {
	url      string
	interval time.Duration
	client   *http.Client
	log      logrus.FieldLogger
	changed  func()
	leaving  atomic.Pointer[map[string]bool]
	// generation counts the changes of leaving.
	generation atomic.Uint64
}

// NewFollower returns a follower of the list at an IP address and port; the
// function changed is called after each change of what is leaving.
func NewFollower(address string, interval time.Duration, client *http.Client, log logrus.FieldLogger, changed func()) *Follower {
	f := &Follower{
		url:      "http://" + address + Path,
		interval: interval,
		client:   client,
		log:      log,
		changed:  changed,
	}
	f.leaving.Store(&map[string]bool{})
	return f
}

// Drained reports whether the drain name marks a machine that is leaving.
func (f *Follower) Drained(drainName string) bool { return (*f.leaving.Load())[drainName] }

// Generation returns a number that differs whenever what is leaving does.
func (f *Follower) Generation() uint64 { return f.generation.Load() }

// Run follows the list until the context ends. A list that can't be read
// changes nothing.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		if err := f.read(ctx); err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("step", "machine list").Warn("machine list not read")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	machines, err := f.fetch(ctx)
	if err != nil {
		return oops.In("machines").With("step", "read list").With("peer", f.url).Wrapf(err, "read machine list at %s", f.url)
	}
	f.take(machines)
	return nil
}

func (f *Follower) fetch(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := f.client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	var answer list
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&answer); err != nil {
		return nil, err
	}
	if answer.Machines == nil {
		return nil, errNoList
	}
	return answer.Machines, nil
}

func (f *Follower) take(machines []Machine) {
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.State == stateLeaving {
			leaving[resource.DrainMachinePrefix+machine.Name] = true
		}
	}
	before := *f.leaving.Swap(&leaving)
	if !sameSet(before, leaving) {
		f.generation.Add(1)
		f.changed()
	}
}

func sameSet(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for name := range a {
		if !b[name] {
			return false
		}
	}
	return true
}
