package report

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/lab/experiment"
)

// group holds the results of one scenario on one mesh.
type group struct {
	Scenario, Mesh string
	Results        []*experiment.Result
}

// groupsOf sorts results into groups, in the order of their names; inside a
// group by system, lugspur first, then by seed.
func groupsOf(results []*experiment.Result) []group {
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

// systemOrder is the place of a system in reports.
func systemOrder(name string) int {
	systems := experiment.Systems()
	index := slices.IndexFunc(systems, func(system experiment.System) bool { return system.Name == name })
	if index < 0 {
		return len(systems)
	}
	return index
}

// lines returns one result of each system for plots: that with the lowest seed.
func (g group) lines() []*experiment.Result {
	var lines []*experiment.Result
	for _, result := range g.Results {
		if len(lines) == 0 || lines[len(lines)-1].System != result.System {
			lines = append(lines, result)
		}
	}
	return lines
}

// name is part of file names.
func (g group) name() string { return g.Mesh + "-" + g.Scenario }

// row is one run in the table of a report.
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
		rows = append(rows, rowOf(result))
	}
	return rows
}

func rowOf(result *experiment.Result) row {
	before, during, after := result.Phase(experiment.PhaseBefore), result.Phase(experiment.PhaseDuring), result.Phase(experiment.PhaseAfter)
	vital := during.Criticality(criticality.CriticalPlus.String())
	made := row{
		System:           result.System,
		Seed:             result.Seed,
		Before:           fmt.Sprintf("%.0f", before.Goodput),
		During:           fmt.Sprintf("%.0f", during.Goodput),
		After:            fmt.Sprintf("%.0f", after.Goodput),
		OfAttainable:     percent(during.ShareOfAttainable),
		OfOfferedAfter:   percent(after.ShareOfOffered),
		CriticalPlusLost: fmt.Sprintf("%d of %d", vital.Lost(), vital.Offered),
		Recovery:         result.Recovery.String(),
		Waste:            percent(result.Waste.Share),
		ClientRetries:    fmt.Sprint(result.Retries.Clients),
		NodeRetries:      fmt.Sprintf("%.0f", result.Retries.Nodes),
		MostExecutions:   result.Retries.MostExecutions,
		RefusalP50:       fmt.Sprintf("%.2f", result.Refusals.P50Ms),
		RefusalP99:       fmt.Sprintf("%.2f", result.Refusals.P99Ms),
	}
	for i, reason := range result.Invalid {
		if i > 0 {
			made.Remark += "; "
		}
		made.Remark += reason
	}
	return made
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }
