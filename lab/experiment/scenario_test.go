package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/lugspur/lugspur/lab/mesh"
)

const shortScenario = `
name = "short"
time_scale = 2
warm_up_seconds = 1
[before]
seconds = 2
load = 0.5
[during]
seconds = 3
load = 4
kinds = [{ kind = "look", factor = 0.5 }]
criticalities = [{ criticality = "critical-plus", factor = 0.25 }]
[after]
seconds = 4
load = 0.5
`

func TestExampleScenariosFitTheirMeshes(t *testing.T) {
	files, err := filepath.Glob("../../examples/scenarios/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 5)
	for _, file := range files {
		scenario, err := LoadScenario(file)
		assert.NilError(t, err)
		for _, name := range []string{"naidu", "ppba"} {
			other := map[string]string{"naidu": "ppba", "ppba": "naidu"}[name]
			if strings.HasPrefix(scenario.Name, other) || strings.HasPrefix(scenario.Name, "chain") {
				continue
			}
			loaded, err := mesh.Load("../../examples/" + name + "/mesh.toml")
			assert.NilError(t, err)
			assert.NilError(t, scenario.Check(loaded), file)
		}
	}
}

func TestExampleChainsAreAsDeepAsTheirNames(t *testing.T) {
	for name, depth := range map[string]int{"chain-6": 6, "chain-25": 25} {
		loaded, err := mesh.Load("../../examples/chains/" + name + ".toml")
		assert.NilError(t, err)
		assert.Equal(t, depthOf(loaded, loaded.Kinds[0].Service), depth)
	}
}

func depthOf(m *mesh.Mesh, name string) int {
	service, _ := m.Service(name)
	deepest := 0
	for _, call := range service.Calls {
		deepest = max(deepest, depthOf(m, call.Service))
	}
	return deepest + 1
}

func TestScenarioPhasesBecomeLoadPhases(t *testing.T) {
	scenario, err := ParseScenario([]byte(shortScenario))
	assert.NilError(t, err)
	phases := scenario.loadPhases(testMesh())
	assert.Equal(t, len(phases), 4)
	during := phases[2]
	assert.Equal(t, during.Name, PhaseDuring)
	assert.Equal(t, during.Duration, 3*time.Second)
	assert.Equal(t, during.Multiplier, 4.0)
	assert.Equal(t, during.KindMultipliers["look"], 0.5)
	assert.Equal(t, during.KindMultipliers["vent"], 0.25)
}

func TestTimeScaleSlowsServicesAndDeadlines(t *testing.T) {
	scenario, err := ParseScenario([]byte(shortScenario))
	assert.NilError(t, err)
	original := testMesh()
	scaled := scenario.Scaled(original)
	assert.Equal(t, scaled.Capacity().RequestsPerSecond, original.Capacity().RequestsPerSecond/2)
	assert.Equal(t, scaled.Kinds[0].Deadline(), 2*original.Kinds[0].Deadline())
	assert.Equal(t, original.Services[0].Time.MeanMs, 10.0)

	scenario.DeadlineScale = 0.25
	impatient := scenario.Scaled(original)
	assert.Equal(t, impatient.Kinds[0].Deadline(), original.Kinds[0].Deadline()/2)
	assert.Equal(t, impatient.Services[0].Time.MeanMs, 20.0)
}

func TestParseScenarioRefuses(t *testing.T) {
	cases := []struct{ name, change, want string }{
		{"unknown key", "unknown = 1\n" + shortScenario, "unknown"},
		{"no length", strings.Replace(shortScenario, "seconds = 3", "seconds = 0", 1), "Seconds"},
		{"criticality", strings.Replace(shortScenario, "critical-plus", "vital", 1), "Criticality"},
		{"late fault", shortScenario + "[[faults]]\nservices = [\"view\"]\nfrom_seconds = 8\n", "fault 1"},
		{"endless fault after the overload", shortScenario + "[[faults]]\nservices = [\"view\"]\nfrom_seconds = 4\n", "has no length"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseScenario([]byte(c.change))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestCheckRefusesWhatTheMeshDoesNotHave(t *testing.T) {
	for addition, want := range map[string]string{
		"[[faults]]\nservices = [\"nowhere\"]\n":  "hits no target",
		"[[zone_losses]]\nzone = \"nowhere\"\n":   "unknown zone",
		"[[faults]]\ntargets = [\"order-1\"]\n":   "",
		"[[zone_losses]]\nzone = \"here\"\n":      "",
		"[[faults]]\nzones = [\"here\"]\n":        "",
		"[[faults]]\nslow_factor = 3\n":           "hits no target",
		"[[faults]]\nservices = [\"view\"]\n\n\n": "",
	} {
		scenario, err := ParseScenario([]byte(shortScenario + addition))
		assert.NilError(t, err)
		err = scenario.Check(testMesh())
		if want == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, want)
		}
	}
}

func TestSystemsAreFoundByName(t *testing.T) {
	for _, system := range Systems() {
		found, err := SystemNamed(system.Name)
		assert.NilError(t, err)
		assert.Equal(t, found.Description, system.Description)
	}
	_, err := SystemNamed("nothing")
	assert.ErrorContains(t, err, "unknown system")
}

func TestExpectedPolicyRanksAsTheMeshSays(t *testing.T) {
	m := testMesh()
	view, _ := m.Service("view")
	assert.Assert(t, cmp.Contains(expectedPolicy(m, view).Rank, `call.method == "GET" && call.path == "/x" ? "sheddable"`))
	directory := t.TempDir()
	assert.NilError(t, writePolicies(directory, m, plainPolicy))
	content, err := os.ReadFile(filepath.Join(directory, "view.toml"))
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(content), "retry = '3'"))
}
