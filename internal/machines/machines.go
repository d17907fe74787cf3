// Package machines polls the platform's list of machines. The list may be stale
// or unavailable, so it is only a hint: a machine listed as leaving gets no new
// work, but a machine listed as live is not assumed to be so.
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

// Path is the path of the list on the platform's server.
const Path = "/machines"

// maxListBytes limits the size of the response.
const maxListBytes = 4 << 20

// requestTimeout limits one request of the list.
const requestTimeout = 3 * time.Second

// stateLeaving is the state of a machine that is about to stop.
const stateLeaving = "leaving"

// Machine is an entry of the list.
type Machine struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	State   string `json:"state"`
}

// list is the platform's response.
type list struct {
	// Machines is nil if the response contains no list; an empty list is valid.
	Machines []Machine `json:"machines"`
}

var errNoMachines = errors.New("response contains no list of machines")

// Follower polls the list periodically. It is safe for concurrent use.
type Follower struct {
	url      string
	interval time.Duration
	client   *http.Client
	log      logrus.FieldLogger
	changed  func()
	leaving  atomic.Pointer[map[string]bool]
	// generation counts the changes of the leaving set.
	generation atomic.Uint64
}

// NewFollower returns a follower of the list at an IP address and port. The
// function changed is called after each change of the set of leaving machines.
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

// Drained reports whether the drain name is that of a leaving machine.
func (f *Follower) Drained(drainName string) bool { return (*f.leaving.Load())[drainName] }

// Generation returns a number that changes with the set of leaving machines.
func (f *Follower) Generation() uint64 { return f.generation.Load() }

// Run polls the list until the context ends. A failed request leaves the current
// set of leaving machines unchanged.
func (f *Follower) Run(ctx context.Context) {
	ticker := time.NewTicker(f.interval)
	defer ticker.Stop()
	for {
		if err := f.refresh(ctx); err != nil && ctx.Err() == nil {
			f.log.WithError(err).WithField("step", "machine list").Warn("failed to read the machine list")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Follower) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	machines, err := f.fetch(ctx)
	if err != nil {
		return oops.In("machines").With("step", "read list").With("peer", f.url).Wrapf(err, "read machine list at %s", f.url)
	}
	f.apply(machines)
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
	var decoded list
	if err := json.NewDecoder(io.LimitReader(response.Body, maxListBytes)).Decode(&decoded); err != nil {
		return nil, err
	}
	if decoded.Machines == nil {
		return nil, errNoMachines
	}
	return decoded.Machines, nil
}

func (f *Follower) apply(machines []Machine) {
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.State == stateLeaving {
			leaving[resource.DrainMachinePrefix+machine.Name] = true
		}
	}
	previous := *f.leaving.Swap(&leaving)
	if !equalSets(previous, leaving) {
		f.generation.Add(1)
		f.changed()
	}
}

func equalSets(a, b map[string]bool) bool {
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
