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

// Path is the path of the machine list on the platform's server.
const Path = "/machines"

// maxListBytes limits the size of the response.
const maxListBytes = 4 << 20

// requestTimeout limits one request for the list.
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

// Poller polls the machine list and keeps the set of leaving machines. It is
// safe for concurrent use.
type Poller struct {
	url      string
	interval time.Duration
	client   *http.Client
	log      logrus.FieldLogger
	onChange func()
	// leaving is the set of the drain names of the leaving machines.
	leaving atomic.Pointer[map[string]bool]
	// generation counts the changes of the set.
	generation atomic.Uint64
}

// NewPoller returns a Poller that reads the list from a server at an IP
// address and port. The function onChange is called after each change of the
// set of leaving machines.
func NewPoller(address string, interval time.Duration, client *http.Client, log logrus.FieldLogger, onChange func()) *Poller {
	p := &Poller{
		url:      "http://" + address + Path,
		interval: interval,
		client:   client,
		log:      log,
		onChange: onChange,
	}
	p.leaving.Store(&map[string]bool{})
	return p
}

// Drained reports whether the drain name is that of a leaving machine.
func (p *Poller) Drained(drainName string) bool { return (*p.leaving.Load())[drainName] }

// Generation returns a number that changes with the set of leaving machines.
func (p *Poller) Generation() uint64 { return p.generation.Load() }

// Run polls the list until the context ends. If a request fails, the set of
// leaving machines stays as it is.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		if err := p.refresh(ctx); err != nil && ctx.Err() == nil {
			p.log.WithError(err).WithField("step", "machine list").Warn("failed to read the machine list")
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Poller) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	machines, err := p.fetch(ctx)
	if err != nil {
		return oops.In("machines").With("step", "read list").With("peer", p.url).Wrapf(err, "read machine list at %s", p.url)
	}
	p.apply(machines)
	return nil
}

func (p *Poller) fetch(ctx context.Context) ([]Machine, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.url, nil)
	if err != nil {
		return nil, err
	}
	response, err := p.client.Do(request)
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

func (p *Poller) apply(machines []Machine) {
	leaving := map[string]bool{}
	for _, machine := range machines {
		if machine.State == stateLeaving {
			leaving[resource.DrainMachinePrefix+machine.Name] = true
		}
	}
	previous := *p.leaving.Swap(&leaving)
	if !equalSets(previous, leaving) {
		p.generation.Add(1)
		p.onChange()
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
