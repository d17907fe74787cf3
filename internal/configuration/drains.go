package configuration

import (
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lugspur/lugspur/internal/resource"
)

// EmergencyDrainTTL is how long an emergency drain holds unless it is renewed.
const EmergencyDrainTTL = 10 * time.Minute

// MaxEmergencyDrains bounds the emergency drains that a node holds.
const MaxEmergencyDrains = 512

// EmergencyDrains are marks of leaving targets and machines that pass from
// node to node while the store is down. A mark can be added and renewed but
// not taken back; it ends when it expires. It is safe for concurrent use.
type EmergencyDrains struct {
	mu    sync.Mutex
	marks map[string]time.Time
	now   func() time.Time
}

// NewEmergencyDrains returns an empty set.
func NewEmergencyDrains(now func() time.Time) *EmergencyDrains {
	return &EmergencyDrains{marks: make(map[string]time.Time), now: now}
}

// Add adds or renews the drain of the name, which has the form of a drain
// object's name, for EmergencyDrainTTL. It reports whether there was room.
func (d *EmergencyDrains) Add(name string) bool {
	expiry := d.now().Add(EmergencyDrainTTL)
	d.Merge(map[string]time.Time{name: expiry})
	return d.Drained(name)
}

// Merge takes marks from another node; of two expiries the later one holds,
// but none beyond EmergencyDrainTTL from now. It reports whether a name was
// new.
func (d *EmergencyDrains) Merge(marks map[string]time.Time) (news bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.expire(now)
	for name, expiry := range marks {
		news = d.merge(name, expiry, now) || news
	}
	return news
}

func (d *EmergencyDrains) merge(name string, expiry, now time.Time) (news bool) {
	current, known := d.marks[name]
	if latest := now.Add(EmergencyDrainTTL); expiry.After(latest) {
		expiry = latest
	}
	full := !known && len(d.marks) >= MaxEmergencyDrains
	if full || !expiry.After(now) || !validDrain(name) {
		return false
	}
	if expiry.After(current) {
		d.marks[name] = expiry
	}
	return !known
}

func validDrain(name string) bool {
	envelope := resource.Envelope{ID: resource.ID{Kind: resource.KindDrain, Name: name}, Drain: &resource.Drain{}}
	return envelope.Validate() == nil
}

func (d *EmergencyDrains) expire(now time.Time) {
	maps.DeleteFunc(d.marks, func(_ string, expiry time.Time) bool { return !expiry.After(now) })
}

// Drained reports whether the name is marked.
func (d *EmergencyDrains) Drained(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	expiry, known := d.marks[name]
	return known && expiry.After(d.now())
}

// Marks returns a copy of the marks that hold now, with their expiries.
func (d *EmergencyDrains) Marks() map[string]time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(d.now())
	return maps.Clone(d.marks)
}

// Sum returns the exclusive or of the hashes of the marked names.
func (d *EmergencyDrains) Sum() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(d.now())
	var sum uint64
	for name := range d.marks {
		sum ^= xxhash.Sum64String(name)
	}
	return sum
}
