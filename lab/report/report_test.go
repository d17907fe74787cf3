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

func resultOf(system string, seed uint64) *experiment.Result {
	result := &experiment.Result{Scenario: "surge", Mesh: "naidu", System: system, Seed: seed, Phases: []experiment.PhaseResult{
		{Name: experiment.PhaseDuring, Goodput: 123, ShareOfAttainable: 0.456,
			Criticalities: []experiment.CallStats{{Name: "critical-plus", Offered: 9, Complete: 7}}},
	}}
	for i := range 20 {
		moment := float64(i) / 10
		result.Timeline = append(result.Timeline, experiment.Bucket{Seconds: moment, Offered: 10, Completed: 6, Attempts: 14})
		result.Samples = append(result.Samples, experiment.Sample{Seconds: moment, Retries: float64(2 * i)})
	}
	return result
}

func TestGroupsPutSystemsSideBySide(t *testing.T) {
	groups := groupsOf([]*experiment.Result{resultOf("none", 2), resultOf("none", 1), resultOf("lugspur", 3), {Scenario: "surge", Mesh: "ppba"}})
	assert.Equal(t, len(groups), 2)
	var order []string
	for _, row := range groups[0].rows() {
		order = append(order, row.System)
	}
	assert.DeepEqual(t, order, []string{"lugspur", "none", "none"})
	lines := groups[0].lines()
	assert.Equal(t, len(lines), 2)
	assert.Equal(t, lines[1].Seed, uint64(1))
}

func TestRowShowsWhatWasMeasured(t *testing.T) {
	result := resultOf("lugspur", 1)
	result.Invalid = []string{"late"}
	made := rowOf(result)
	assert.Equal(t, made.During, "123")
	assert.Equal(t, made.OfAttainable, "45.6%")
	assert.Equal(t, made.CriticalPlusLost, "2 of 9")
	assert.Equal(t, made.Recovery, "not within 0.0 s")
	assert.Equal(t, made.Remark, "late")
}

func TestRatesAreAveraged(t *testing.T) {
	result := resultOf("lugspur", 1)
	for _, point := range goodput(result) {
		assert.Assert(t, point.Y > 59.99 && point.Y < 60.01, "%v", point)
	}
	for _, point := range retries(result)[1:] {
		assert.Assert(t, point.Y > 59.99 && point.Y < 60.01, "40/s by clients and 20/s by nodes: %v", point)
	}
}

func TestReportHoldsTablesAndPlots(t *testing.T) {
	directory := t.TempDir()
	made, err := pageOf([]*experiment.Result{resultOf("lugspur", 1), resultOf("none", 1), {Scenario: "empty", Mesh: "naidu", System: "none"}})
	assert.NilError(t, err)
	var content bytes.Buffer
	assert.NilError(t, made.write(&content))
	assert.Assert(t, strings.Contains(content.String(), "45.6%"))
	assert.Equal(t, strings.Count(content.String(), "data:image/png;base64,"), 2*len(charts))

	assert.NilError(t, made.writeImages(directory))
	file, err := os.Open(filepath.Join(directory, "naidu-surge-goodput.png"))
	assert.NilError(t, err)
	defer func() { assert.NilError(t, file.Close()) }()
	drawn, err := png.Decode(file)
	assert.NilError(t, err)
	assert.Assert(t, drawn.Bounds().Dx() > 100)
}
