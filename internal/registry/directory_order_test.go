package registry

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/store"
)

// TestDirectoryEndsAlikeInEachOrder guards against a started target that a restarted node does not know
// because the notice of its start arrived before the stored record of its node.
func TestDirectoryEndsAlikeInEachOrder(t *testing.T) {
	const address = "10.0.0.2:8300"
	record := func(incarnation string, state State, process uint32) Record {
		return Record{Instance: incarnation, Service: "s", Zone: "z", Address: address, Slots: 10, State: state, Process: process}
	}
	numbered := func(r Record, sequence uint64) Record {
		r.Sequence = sequence
		return r
	}
	stored := func(r Record, revision store.Revision) func(*Directory) {
		return func(d *Directory) {
			d.ApplyChanges([]store.Entry{{Key: homesPrefix + address, Revision: revision, Value: encode(r)}}, "store")
		}
	}
	noticed := func(r Record, base store.Revision, sequence uint64) func(*Directory) {
		return func(d *Directory) { d.ApplyStart(StartNotice{Record: r, Base: base, Sequence: sequence}) }
	}
	cases := []struct {
		name     string
		steps    []func(*Directory)
		instance string
		ready    bool
	}{
		{"start during an outage", []func(*Directory){stored(record("i@1", Draining, 1), 5), noticed(record("i@2", Ready, 1), 5, 1)}, "i@2", true},
		{"start and departure during an outage", []func(*Directory){stored(record("i@1", Draining, 1), 5),
			noticed(record("i@2", Ready, 1), 5, 1), noticed(record("i@2", Draining, 1), 5, 2)}, "i@2", false},
		{"two starts during an outage", []func(*Directory){stored(record("i@1", Draining, 1), 5),
			noticed(record("i@2", Ready, 1), 5, 1), noticed(record("i@3", Ready, 1), 5, 2)}, "i@3", true},
		{"start that was stored afterwards", []func(*Directory){stored(record("i@1", Draining, 1), 5),
			noticed(record("i@2", Ready, 1), 5, 1), stored(record("i@2", Ready, 1), 7)}, "i@2", true},
		{"notice of an earlier start", []func(*Directory){stored(record("i@2", Ready, 1), 7), noticed(record("i@1", Draining, 1), 5, 1)}, "i@2", true},
		{"start after a write that the store did not confirm", []func(*Directory){stored(record("i@0", Draining, 1), 3),
			stored(numbered(record("i@1", Draining, 1), 1), 5), noticed(record("i@2", Ready, 1), 3, 2)}, "i@2", true},
		{"departure after a write that the store did not confirm", []func(*Directory){
			stored(numbered(record("i@1", Ready, 1), 1), 5), noticed(record("i@1", Draining, 1), 3, 2)}, "i@1", false},
		{"start that was stored after an unconfirmed write", []func(*Directory){stored(numbered(record("i@1", Draining, 1), 1), 5),
			noticed(record("i@2", Ready, 1), 3, 2), stored(numbered(record("i@2", Ready, 1), 2), 7)}, "i@2", true},
		{"notice that was stored since", []func(*Directory){stored(numbered(record("i@2", Ready, 1), 2), 7), noticed(record("i@1", Draining, 1), 7, 1)}, "i@2", true},
		{"start at a new process", []func(*Directory){stored(record("i@1", Draining, 1), 5), noticed(record("i@2", Ready, 2), 5, 1)}, "i@2", true},
	}
	for _, c := range cases {
		for _, order := range orders(len(c.steps)) {
			d := NewDirectory(homesPrefix, homeAddress, nil, time.Now)
			for _, i := range order {
				c.steps[i](d)
			}
			home := d.homes[homesPrefix+address]
			assert.Check(t, home != nil && home.Instance == c.instance, "%s, order %v: %+v", c.name, order, home)
			assert.Check(t, len(d.Homes("s")) == 1 == c.ready, "%s, order %v", c.name, order)
		}
	}
}

// orders returns all orders of the first numbers.
func orders(count int) [][]int {
	if count == 0 {
		return [][]int{nil}
	}
	var all [][]int
	for _, shorter := range orders(count - 1) {
		for i := range count {
			all = append(all, slices.Insert(slices.Clone(shorter), i, count-1))
		}
	}
	return all
}

// TestUnconfirmedWriteDoesNotHideOwnTarget guards against a node that refuses calls for its own target
// during an outage, because it reads its record of the target before.
func TestUnconfirmedWriteDoesNotHideOwnTarget(t *testing.T) {
	record := Record{Instance: "i@1", Service: "s", Zone: "z", Address: homeAddress, State: Draining, Process: 1}
	apply := func(d *Directory, revision store.Revision) {
		d.ApplyChanges([]store.Entry{{Key: homesPrefix + homeAddress, Revision: revision, Value: encode(record)}}, "store")
	}
	d := NewDirectory(homesPrefix, homeAddress, nil, time.Now)
	apply(d, 3)
	next := record
	next.Instance, next.State = "i@2", Ready
	d.ApplyStart(StartNotice{Record: next, Base: 3, Sequence: 2})
	record.Sequence = 1
	apply(d, 5)
	assert.Equal(t, len(d.Homes("s")), 1)
	record = next
	record.State, record.Sequence = Draining, 3
	apply(d, 7)
	assert.Equal(t, len(d.Homes("s")), 0, "a later change is applied")
}
