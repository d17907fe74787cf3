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

// marks are the emergency drains.
type marks map[string]bool

// Drained implements catalog.Marks.
func (m marks) Drained(name string) bool { return m[name] }

func (m marks) set(event *MarkEvent) { m[event.Drain] = !event.Lift }

// configure applies the header's objects as a complete view of the store.
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
		versions[i].Revision = ConfigurationRevision
	}
	p.replica.ApplyComplete(versions, ConfigurationRevision)
	p.rebuild()
	return oops.In("replay").With("step", "configure").Wrap(p.err)
}

func (o Object) version() resource.Versioned {
	version := resource.Versioned{Revision: store.Revision(o.Revision)}
	version.ID = resource.ID{Kind: o.Kind, Name: o.Name}
	version.Deleted = o.Deleted
	version.Service, version.Policy, version.Target, version.Drain = o.Service, o.Policy, o.Target, o.Drain
	return version
}

// apply takes in versions as they come from the store or from peers.
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
	p.rebuild()
}

// rebuild takes the configuration into the view that calls are decided on. A
// policy that doesn't compile leaves the one before in force, as in a node.
func (p *player) rebuild() {
	view, faults := catalog.Build(p.replica, p.marks, p.router.View())
	for _, fault := range faults {
		p.report.note(p, "configuration: %v", fault)
	}
	p.router.Update(view, nil)
}

func (p *player) takeShedReport(event Event) {
	told := event.ShedReport
	taken := p.shed.Update(shed.Entry{
		Service:   told.Service,
		Target:    told.Target,
		Origin:    told.Origin,
		Threshold: told.Threshold,
		Weight:    told.Weight,
		Version:   told.Version,
		Age:       told.Age.Duration(),
	}, p.clock.now())
	if told.Taken != nil {
		p.report.compare(p, event.Line, "shed report of "+told.Target+" taken", *told.Taken, taken)
	}
}

// tellLevels takes the shed levels of this node's own targets into its table,
// as a node does with each gossip.
func (p *player) tellLevels(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(p.guards)) {
		g := p.guards[name]
		p.shed.Update(shed.Entry{
			Service:   g.target.Service,
			Target:    name,
			Origin:    nodeName,
			Threshold: g.shedding.Threshold(),
			Weight:    float64(g.target.Slots),
			Version:   uint64(now.UnixMilli()),
		}, now)
	}
}
