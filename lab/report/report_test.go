package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/experiment"
)

func newResult(system string, seed uint64) *experiment.Result {
	result := &experiment.Result{Scenario: "surge", Mesh: "naidu", System: system, Seed: seed, Phases: []experiment.PhaseResult{
		{Name: experiment.PhaseDuring, Goodput: 123, ShareOfAttainable: 0.456,
			Criticalities: []experiment.CallStats{{Name: "critical-plus", Offered: 9, Complete: 7}}},
	}}
	for i := range 20 {
		seconds := float64(i) / 10
		result.Timeline = append(result.Timeline, experiment.Bucket{Seconds: seconds, Offered: 10, Completed: 6, Attempts: 14})
		result.Samples = append(result.Samples, experiment.Sample{Seconds: seconds, Retries: float64(2 * i)})
	}
	return result
}

func TestGroupResultsSortsBySystemAndSeed(t *testing.T) {
	groups := groupResults([]*experiment.Result{newResult("none", 2), newResult("none", 1), newResult("lugspur", 3), {Scenario: "surge", Mesh: "ppba"}})
	assert.Equal(t, len(groups), 2)
	var order []string
	for _, row := range groups[0].rows() {
		order = append(order, row.System)
	}
	assert.DeepEqual(t, order, []string{"lugspur", "none", "none"})
	plotted := groups[0].plottedResults()
	assert.Equal(t, len(plotted), 2)
	assert.Equal(t, plotted[1].Seed, uint64(1))
}

func TestNewRowFormatsResult(t *testing.T) {
	result := newResult("lugspur", 1)
	result.Invalid = []string{"late"}
	row := newRow(result)
	assert.Equal(t, row.During, "123")
	assert.Equal(t, row.OfAttainable, "45.6%")
	assert.Equal(t, row.CriticalPlusLost, "2 of 9")
	assert.Equal(t, row.Recovery, "not within 0.0 s")
	assert.Equal(t, row.Remark, "late")
}

func TestSeriesAreAveragedRates(t *testing.T) {
	result := newResult("lugspur", 1)
	for _, point := range goodputSeries(result) {
		assert.Assert(t, point.Y > 59.99 && point.Y < 60.01, "%v", point)
	}
	for _, point := range retrySeries(result)[1:] {
		assert.Assert(t, point.Y > 59.99 && point.Y < 60.01, "40/s by clients and 20/s by nodes: %v", point)
	}
}

func TestReportContainsTablesAndPlots(t *testing.T) {
	directory := t.TempDir()
	report, err := newPage([]*experiment.Result{newResult("lugspur", 1), newResult("none", 1), {Scenario: "empty", Mesh: "naidu", System: "none"}})
	assert.NilError(t, err)
	var content bytes.Buffer
	assert.NilError(t, report.write(&content))
	assert.Assert(t, strings.Contains(content.String(), "45.6%"))
	assert.Equal(t, strings.Count(content.String(), "data:image/png;base64,"), 2*len(charts))

	assert.NilError(t, report.writeImages(directory))
	file, err := os.Open(filepath.Join(directory, "naidu-surge-goodput.png"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	plot, err := png.Decode(file)
	assert.NilError(t, err)
	assert.Assert(t, plot.Bounds().Dx() > 100)
}
