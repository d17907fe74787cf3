package placement_test

import (
	"fmt"
	"testing"

	"github.com/lugspur/lugspur/internal/catalog"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/placement"
	"github.com/lugspur/lugspur/internal/resource"
)

// BenchmarkBuild assigns 820 targets to 820 nodes in 5 zones.
func BenchmarkBuild(b *testing.B) {
	view := catalog.Empty()
	var live []membership.Member
	for i := range 820 {
		zone := fmt.Sprintf("zone-%d", i%5+1)
		name := fmt.Sprintf("target-%03d", i)
		view.Targets[name] = &catalog.Target{Name: name, Target: resource.Target{Zone: zone}}
		live = append(live, membership.Member{Name: fmt.Sprintf("node-%04d", i), Zone: zone})
	}
	b.ReportAllocs()
	for b.Loop() {
		placement.Build(view, live)
	}
}
