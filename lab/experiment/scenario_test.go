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

func TestExampleScenariosAreValidForTheirMeshes(t *testing.T) {
	files, err := filepath.Glob("../../examples/scenarios/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 5)
	for _, file := range files {
		scenario, err := LoadScenario(file)
		assert.NilError(t, err)
		for _, name := range []string{"naidu", "ppba"} {
			otherMesh := map[string]string{"naidu": "ppba", "ppba": "naidu"}[name]
			if strings.HasPrefix(scenario.Name, otherMesh) || strings.HasPrefix(scenario.Name, "chain") {
				continue
			}
			loaded, err := mesh.Load("../../examples/" + name + "/mesh.toml")
			assert.NilError(t, err)
			assert.NilError(t, scenario.ValidateFor(loaded), file)
		}
	}
}

func TestExampleChainDepthsMatchTheirNames(t *testing.T) {
	for name, depth := range map[string]int{"chain-6": 6, "chain-25": 25} {
		loaded, err := mesh.Load("../../examples/chains/" + name + ".toml")
		assert.NilError(t, err)
		assert.Equal(t, callDepth(loaded, loaded.Kinds[0].Service), depth)
	}
}

func callDepth(m *mesh.Mesh, name string) int {
	service, _ := m.Service(name)
	maxDepth := 0
	for _, call := range service.Calls {
		maxDepth = max(maxDepth, callDepth(m, call.Service))
	}
	return maxDepth + 1
}

func TestLoadPhasesFollowScenarioPhases(t *testing.T) {
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

func TestTimeScaleMultipliesServiceTimesAndDeadlines(t *testing.T) {
	scenario, err := ParseScenario([]byte(shortScenario))
	assert.NilError(t, err)
	original := testMesh()
	scaled := scenario.ScaledMesh(original)
	assert.Equal(t, scaled.Capacity().RequestsPerSecond, original.Capacity().RequestsPerSecond/2)
	assert.Equal(t, scaled.Kinds[0].Deadline(), 2*original.Kinds[0].Deadline())
	assert.Equal(t, original.Services[0].Time.MeanMs, 10.0)

	scenario.DeadlineScale = 0.25
	shortDeadlines := scenario.ScaledMesh(original)
	assert.Equal(t, shortDeadlines.Kinds[0].Deadline(), original.Kinds[0].Deadline()/2)
	assert.Equal(t, shortDeadlines.Services[0].Time.MeanMs, 20.0)
}

func TestParseScenarioRejectsInvalidContent(t *testing.T) {
	cases := []struct{ name, content, want string }{
		{"unknown key", "unknown = 1\n" + shortScenario, "unknown"},
		{"no length", strings.Replace(shortScenario, "seconds = 3", "seconds = 0", 1), "Seconds"},
		{"criticality", strings.Replace(shortScenario, "critical-plus", "vital", 1), "Criticality"},
		{"late fault", shortScenario + "[[faults]]\nservices = [\"view\"]\nfrom_seconds = 8\n", "fault 1"},
		{"fault without length after the overload", shortScenario + "[[faults]]\nservices = [\"view\"]\nfrom_seconds = 4\n", "needs a value for seconds"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseScenario([]byte(c.content))
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestValidateForRejectsReferencesOutsideTheMesh(t *testing.T) {
	for fault, want := range map[string]string{
		"[[faults]]\nservices = [\"nowhere\"]\n":  "affects no target",
		"[[zone_losses]]\nzone = \"nowhere\"\n":   "unknown zone",
		"[[faults]]\ntargets = [\"order-1\"]\n":   "",
		"[[zone_losses]]\nzone = \"here\"\n":      "",
		"[[faults]]\nzones = [\"here\"]\n":        "",
		"[[faults]]\nslow_factor = 3\n":           "affects no target",
		"[[faults]]\nservices = [\"view\"]\n\n\n": "",
	} {
		scenario, err := ParseScenario([]byte(shortScenario + fault))
		assert.NilError(t, err)
		err = scenario.ValidateFor(testMesh())
		if want == "" {
			assert.NilError(t, err)
		} else {
			assert.ErrorContains(t, err, want)
		}
	}
}

func TestSystemByName(t *testing.T) {
	for _, system := range Systems() {
		found, err := SystemByName(system.Name)
		assert.NilError(t, err)
		assert.Equal(t, found.Description, system.Description)
	}
	_, err := SystemByName("nothing")
	assert.ErrorContains(t, err, "unknown system")
}

func TestCriticalityPolicyRanksCallsByMeshFile(t *testing.T) {
	m := testMesh()
	view, _ := m.Service("view")
	assert.Assert(t, cmp.Contains(criticalityPolicy(m, view).Rank, `call.method == "GET" && call.path == "/x" ? "sheddable"`))
	directory := t.TempDir()
	assert.NilError(t, writePolicies(directory, m, uniformPolicy))
	content, err := os.ReadFile(filepath.Join(directory, "view.toml"))
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(content), "retry = '3'"))
}
