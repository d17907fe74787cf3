package replay

import (
	"maps"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store"
)

// emergencyDrains is the set of names that have an emergency drain.
type emergencyDrains map[string]bool

// Drained implements catalog.DrainSource.
func (m emergencyDrains) Drained(name string) bool { return m[name] }

func (m emergencyDrains) set(event *EmergencyDrainEvent) { m[event.DrainName] = !event.Remove }

// configure applies the objects of the header as a complete view of the store.
func (p *player) configure() error {
	var versions []resource.Versioned
	for _, name := range slices.Sorted(maps.Keys(p.header.Services)) {
		specification := p.header.Services[name]
		versions = append(versions, Object{Kind: resource.KindService, Name: name, Service: &specification}.version())
	}
	for _, name := range slices.Sorted(maps.Keys(p.header.Policies)) {
		specification := p.header.Policies[name]
		versions = append(versions, Object{Kind: resource.KindPolicy, Name: name, Policy: &specification}.version())
	}
	for _, name := range slices.Sorted(maps.Keys(p.header.Targets)) {
		specification := p.header.Targets[name]
		versions = append(versions, Object{Kind: resource.KindTarget, Name: name, Target: &specification}.version())
	}
	for i := range versions {
		versions[i].Revision = HeaderRevision
	}
	p.replica.ApplyComplete(versions, HeaderRevision)
	p.rebuildView()
	return oops.In("replay").With("step", "configure").Wrap(p.err)
}

func (o Object) version() resource.Versioned {
	version := resource.Versioned{Revision: store.Revision(o.Revision)}
	version.ID = resource.ID{Kind: o.Kind, Name: o.Name}
	version.Deleted = o.Deleted
	version.Service, version.Policy, version.Target, version.Drain = o.Service, o.Policy, o.Target, o.Drain
	return version
}

// apply applies versions of objects as received from the store or from peers.
func (p *player) apply(event *ApplyEvent) {
	versions := make([]resource.Versioned, 0, len(event.Objects))
	for _, object := range event.Objects {
		versions = append(versions, object.version())
	}
	if event.Floor > 0 {
		p.replica.ApplyComplete(versions, store.Revision(event.Floor))
	} else {
		p.replica.Apply(versions...)
	}
	p.rebuildView()
}

// rebuildView rebuilds the router's view from the configuration. If a policy does not
// compile, the previous one stays in effect, as in a node.
func (p *player) rebuildView() {
	view, policyErrors := catalog.Build(p.replica, p.emergencyDrains, p.router.View())
	for _, err := range policyErrors {
		p.report.addNote(p, "configuration: %v", err)
	}
	p.router.Update(view, nil)
}

func (p *player) applyShedReport(event Event) {
	report := event.ShedReport
	accepted := p.shed.Update(shed.Entry{
		Service:   report.Service,
		Target:    report.Target,
		Origin:    report.Origin,
		Threshold: report.Threshold,
		Weight:    report.Weight,
		Version:   report.Version,
		Age:       report.Age.Duration(),
	}, p.clock.now())
	if report.Taken != nil {
		p.report.compare(p, event.Line, "shed report of "+report.Target+" accepted", *report.Taken, accepted)
	}
}

// updateShedTable updates the shed table with the thresholds of this node's own
// targets, as a node does at each gossip interval.
func (p *player) updateShedTable(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(p.targetStates)) {
		state := p.targetStates[name]
		p.shed.Update(shed.Entry{
			Service:   state.target.Service,
			Target:    name,
			Origin:    nodeName,
			Threshold: state.shedController.Threshold(),
			Weight:    float64(state.target.Slots),
			Version:   uint64(now.UnixMilli()),
		}, now)
	}
}
