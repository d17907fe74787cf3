package configuration

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/resource"
)

// EmergencyDrainTTL is how long an emergency drain is in effect unless it is
// renewed.
const EmergencyDrainTTL = 10 * time.Minute

// MaxEmergencyDrains limits the emergency drains of a node.
const MaxEmergencyDrains = 512

// EmergencyDrains is a set of targets and machines that are to be drained. It
// is replicated from node to node, so that drains can be set while the store is
// down. An entry can be added and renewed but not removed; it ends when it
// expires. It is safe for concurrent use.
type EmergencyDrains struct {
	mu       sync.Mutex
	expiries map[string]time.Time
	now      func() time.Time
}

// NewEmergencyDrains returns an empty set.
func NewEmergencyDrains(now func() time.Time) *EmergencyDrains {
	return &EmergencyDrains{expiries: make(map[string]time.Time), now: now}
}

// Add adds or renews the drain of the name, which has the form of a drain
// object's name, for EmergencyDrainTTL. It returns false if the name is invalid
// or the set is full.
func (d *EmergencyDrains) Add(name string) bool {
	expiry := d.now().Add(EmergencyDrainTTL)
	d.Merge(map[string]time.Time{name: expiry})
	return d.Drained(name)
}

// Merge adds the entries of another node. The later of two expiries wins, but
// none is later than EmergencyDrainTTL from now. It reports whether a name was
// added.
func (d *EmergencyDrains) Merge(expiries map[string]time.Time) (added bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.expire(now)
	for name, expiry := range expiries {
		added = d.merge(name, expiry, now) || added
	}
	return added
}

func (d *EmergencyDrains) merge(name string, expiry, now time.Time) (added bool) {
	current, known := d.expiries[name]
	if latest := now.Add(EmergencyDrainTTL); expiry.After(latest) {
		expiry = latest
	}
	full := !known && len(d.expiries) >= MaxEmergencyDrains
	if full || !expiry.After(now) || !isValidDrainName(name) {
		return false
	}
	if expiry.After(current) {
		d.expiries[name] = expiry
	}
	return !known
}

func isValidDrainName(name string) bool {
	envelope := resource.Envelope{ID: resource.ID{Kind: resource.KindDrain, Name: name}, Drain: &resource.Drain{}}
	return envelope.Validate() == nil
}

func (d *EmergencyDrains) expire(now time.Time) {
	maps.DeleteFunc(d.expiries, func(_ string, expiry time.Time) bool { return !expiry.After(now) })
}

// Drained reports whether the name has a drain that has not expired.
func (d *EmergencyDrains) Drained(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	expiry, known := d.expiries[name]
	return known && expiry.After(d.now())
}

// Expiries returns the names of the drains in effect with their expiries.
func (d *EmergencyDrains) Expiries() map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(d.now())
	return maps.Clone(d.expiries)
}

// Sum returns the XOR of the hashes of the names of the drains in effect.
func (d *EmergencyDrains) Sum() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(d.now())
	var sum uint64
	for name := range d.expiries {
		sum ^= xxhash.Sum64String(name)
	}
	return sum
}
