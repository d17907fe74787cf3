package report

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/experiment"
)

// group contains the results of one scenario with one mesh.
type group struct {
	Scenario, Mesh string
	Results        []*experiment.Result
}

// groupResults groups results by mesh and scenario and sorts the groups by both names.
// Within a group, results are sorted by system, in the order of experiment.Systems, and
// then by seed.
func groupResults(results []*experiment.Result) []group {
	var groups []group
	for _, result := range results {
		index := slices.IndexFunc(groups, func(g group) bool { return g.Scenario == result.Scenario && g.Mesh == result.Mesh })
		if index < 0 {
			index = len(groups)
			groups = append(groups, group{Scenario: result.Scenario, Mesh: result.Mesh})
		}
		groups[index].Results = append(groups[index].Results, result)
	}
	slices.SortFunc(groups, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.Mesh, b.Mesh), cmp.Compare(a.Scenario, b.Scenario))
	})
	for _, g := range groups {
		slices.SortStableFunc(g.Results, func(a, b *experiment.Result) int {
			return cmp.Or(cmp.Compare(systemOrder(a.System), systemOrder(b.System)), cmp.Compare(a.Seed, b.Seed))
		})
	}
	return groups
}

// systemOrder returns the position of a system in reports; unknown systems are last.
func systemOrder(name string) int {
	systems := experiment.Systems()
	index := slices.IndexFunc(systems, func(system experiment.System) bool { return system.Name == name })
	if index < 0 {
		return len(systems)
	}
	return index
}

// plottedResults returns the results shown in plots: for each system, the one with the
// lowest seed.
func (g group) plottedResults() []*experiment.Result {
	var plotted []*experiment.Result
	for _, result := range g.Results {
		if len(plotted) == 0 || plotted[len(plotted)-1].System != result.System {
			plotted = append(plotted, result)
		}
	}
	return plotted
}

// filePrefix returns the first part of the names of the group's image files.
func (g group) filePrefix() string { return g.Mesh + "-" + g.Scenario }

// row is the row of one run in the table of a group.
type row struct {
	System                         string
	Seed                           uint64
	Before, During, After          string
	OfAttainable, OfOfferedAfter   string
	CriticalPlusLost               string
	Recovery, Waste                string
	ClientRetries, NodeRetries     string
	MostExecutions                 int
	RefusalP50, RefusalP99, Remark string
}

func (g group) rows() []row {
	var rows []row
	for _, result := range g.Results {
		rows = append(rows, newRow(result))
	}
	return rows
}

func newRow(result *experiment.Result) row {
	before, during, after := result.Phase(experiment.PhaseBefore), result.Phase(experiment.PhaseDuring), result.Phase(experiment.PhaseAfter)
	criticalPlus := during.Criticality(criticality.CriticalPlus.String())
	r := row{
		System:           result.System,
		Seed:             result.Seed,
		Before:           fmt.Sprintf("%.0f", before.Goodput),
		During:           fmt.Sprintf("%.0f", during.Goodput),
		After:            fmt.Sprintf("%.0f", after.Goodput),
		OfAttainable:     formatPercent(during.ShareOfAttainable),
		OfOfferedAfter:   formatPercent(after.ShareOfOffered),
		CriticalPlusLost: fmt.Sprintf("%d of %d", criticalPlus.Lost(), criticalPlus.Offered),
		Recovery:         result.Recovery.String(),
		Waste:            formatPercent(result.Waste.Share),
		ClientRetries:    fmt.Sprint(result.Retries.Clients),
		NodeRetries:      fmt.Sprintf("%.0f", result.Retries.Nodes),
		MostExecutions:   result.Retries.MostExecutions,
		RefusalP50:       fmt.Sprintf("%.2f", result.Refusals.P50Ms),
		RefusalP99:       fmt.Sprintf("%.2f", result.Refusals.P99Ms),
	}
	for i, reason := range result.Invalid {
		if i > 0 {
			r.Remark += "; "
		}
		r.Remark += reason
	}
	return r
}

func formatPercent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
