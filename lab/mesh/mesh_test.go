package mesh

import (
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func loadExample(t *testing.T, name string) *Mesh {
	t.Helper()
	loaded, err := Load("../../examples/" + name + "/mesh.toml")
	assert.NilError(t, err)
	return loaded
}

// The example meshes must have the sizes that the users gave for their systems.
func TestExampleSizes(t *testing.T) {
	cases := []struct {
		name                   string
		zones, connections     int
		minTargets, maxTargets int
		minSlots, maxSlots     int
	}{
		{name: "naidu", zones: 4, connections: 120, minTargets: 4, maxTargets: 5, minSlots: 6, maxSlots: 10},
		{name: "ppba", zones: 3, connections: 130, minTargets: 3, maxTargets: 6, minSlots: 13, maxSlots: 23},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loaded := loadExample(t, c.name)
			assert.Equal(t, len(loaded.Zones), c.zones)
			assert.Equal(t, len(loaded.Services), 4)
			for _, service := range loaded.Services {
				targets := loaded.TargetsOf(service.Name)
				assert.Assert(t, len(targets) >= c.minTargets && len(targets) <= c.maxTargets, service.Name)
				for _, target := range targets {
					assert.Assert(t, target.Slots >= c.minSlots && target.Slots <= c.maxSlots, target.Name)
					assert.Equal(t, target.Connections, c.connections)
				}
			}
		})
	}
}

func TestParseErrors(t *testing.T) {
	content, err := os.ReadFile("../../examples/naidu/mesh.toml")
	assert.NilError(t, err)
	cases := []struct{ name, old, new, expectedError string }{
		{"unknown key", `slots = 8`, "slots = 8\ncolour = \"red\"", "colour"},
		{"no slots", `slots = 8`, `slots = 0`, "Slots"},
		{"unknown zone", `zone = "sabeto"`, `zone = "suva"`, `unknown zone "suva"`},
		{"address", `address = "127.0.0.1:0"`, `address = "localhost"`, "address"},
		{"unknown service of a target", `service = "logpull"`, `service = "logs"`, `unknown service "logs"`},
		{"no operation for a kind", `path = "/vents"`, `path = "/doors"`, "no operation"},
		{"duplicate target", `name = "cropcal-2"`, `name = "cropcal-1"`, "unique"},
		{"criticality", `criticality = "critical"`, `criticality = "high"`, "Criticality"},
		{"distribution", `distribution = "lognormal", median_ms = 25`, `distribution = "lognormal"`, "MedianMs"},
		{"cycle", `[[services.operations]]`, "[[services.calls]]\nservice = \"ventctl\"\nmethod = \"POST\"\npath = \"/vents\"\n\n[[services.operations]]", "calls itself"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(string(content), c.old, c.new, 1)
			assert.Assert(t, changed != string(content))
			_, err := Parse([]byte(changed))
			assert.ErrorContains(t, err, c.expectedError)
		})
	}
}

func TestCapacity(t *testing.T) {
	exponential := func(ms float64) ServiceTime { return ServiceTime{Distribution: Exponential, MeanMs: ms} }
	m := &Mesh{
		Services: []Service{
			{Name: "front", Time: exponential(10), Calls: []Call{{Service: "back", Method: "GET", Path: "/"}}},
			{Name: "back", Time: exponential(10)},
		},
		Targets: []Target{{Service: "front", Slots: 4}, {Service: "front", Slots: 6}, {Service: "back", Slots: 5}},
		Kinds:   []Kind{{Service: "front", Method: "GET", Path: "/", Share: 3}, {Service: "back", Method: "GET", Path: "/", Share: 1}},
	}
	capacity := m.Capacity()
	front, back := capacity.Services[0], capacity.Services[1]
	assert.Equal(t, front.MeanSlotTime, 20*time.Millisecond)
	assert.Equal(t, math.Round(front.CallsPerSecond), 500.0)
	assert.Equal(t, front.CallsPerRequest, 0.75)
	assert.Equal(t, math.Round(back.CallsPerSecond), 500.0)
	assert.Equal(t, back.CallsPerRequest, 1.0)
	assert.Equal(t, capacity.Bottleneck, "back")
	assert.Equal(t, math.Round(capacity.RequestsPerSecond), 500.0)
	m.Services[0].ReleaseWhileCalling = true
	assert.Equal(t, m.Capacity().Services[0].MeanSlotTime, 10*time.Millisecond)
}

func TestSampleMean(t *testing.T) {
	for _, distribution := range []ServiceTime{
		{Distribution: Lognormal, MedianMs: 8, Sigma: 0.4},
		{Distribution: Exponential, MeanMs: 12},
	} {
		source := rand.New(rand.NewPCG(1, 2))
		const count = 50_000
		total := time.Duration(0)
		for range count {
			total += distribution.Sample(source)
		}
		ratio := total.Seconds() / count / distribution.Mean().Seconds()
		assert.Assert(t, math.Abs(ratio-1) < 0.03, "%s: %f", distribution.Distribution, ratio)
	}
}

func TestWorkUsesLongestMatchingOperation(t *testing.T) {
	bytes := 7
	service := Service{AnswerBytes: 1, Operations: []Operation{
		{Name: "all", Method: "GET", Path: "/"},
		{Name: "one", Method: "GET", Path: "/houses", AnswerBytes: &bytes},
	}}
	work, ok := service.Work("GET", "/houses/4")
	assert.Assert(t, ok)
	assert.Equal(t, work.Operation, "one")
	assert.Equal(t, work.AnswerBytes, 7)
	work, ok = service.Work("GET", "/housesx")
	assert.Assert(t, ok)
	assert.Equal(t, work.Operation, "all")
	_, ok = service.Work("POST", "/houses")
	assert.Assert(t, !ok)
}

func TestZoneAddresses(t *testing.T) {
	var addresses ZoneAddresses
	assert.NilError(t, addresses.Set("a=127.0.0.1:1,b=127.0.0.1:2"))
	assert.NilError(t, addresses.Set("a=127.0.0.1:3"))
	assert.Equal(t, addresses.String(), "a=127.0.0.1:1,a=127.0.0.1:3,b=127.0.0.1:2")
	assert.DeepEqual(t, addresses.First(), map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"})
	assert.ErrorContains(t, addresses.Set("127.0.0.1:3"), "zone=address")
	assert.Assert(t, addresses.Set("c=nowhere") != nil)
}
