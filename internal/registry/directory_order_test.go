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
		return Record{Instance: incarnation, Service: "s", Address: address, State: state, Process: process}
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
