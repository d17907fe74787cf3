package scale

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestFitSlope(t *testing.T) {
	tests := []struct {
		name string
		x, y []float64
		want Slope
	}{
		{"a line", []float64{50, 200, 820}, []float64{150, 450, 1690}, Slope{Base: 50, PerUnit: 2}},
		{"constant", []float64{50, 200, 820}, []float64{7, 7, 7}, Slope{Base: 7}},
		{"scattered around a line", []float64{0, 1, 2, 3}, []float64{1, -1, 3, 1}, Slope{Base: 0.4, PerUnit: 0.4}},
		{"one point", []float64{50}, []float64{3}, Slope{Base: 3}},
		{"one x", []float64{5, 5}, []float64{2, 4}, Slope{Base: 3}},
		{"nothing", nil, nil, Slope{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := fitSlope(test.x, test.y)
			assert.Assert(t, math.Abs(got.Base-test.want.Base) < 1e-9, "base %v", got.Base)
			assert.Assert(t, math.Abs(got.PerUnit-test.want.PerUnit) < 1e-9, "per unit %v", got.PerUnit)
		})
	}
}

func TestPercentile(t *testing.T) {
	values := []float64{5, 1, 4, 2, 3}
	for share, want := range map[float64]float64{0: 1, 0.2: 1, 0.5: 3, 0.99: 5, 1: 5} {
		assert.Equal(t, percentile(values, share), want, "share %v", share)
	}
	assert.Equal(t, percentile(nil, 0.5), 0.0)
	assert.DeepEqual(t, values, []float64{5, 1, 4, 2, 3})
}

func TestReachOf(t *testing.T) {
	second := time.Second.Microseconds()
	lives := map[string]lifetime{
		"quick":         {start: 1},
		"slow":          {start: 1},
		"started later": {start: 11 * second},
		"ended before":  {start: 1, end: 5 * second},
		"ended after":   {start: 1, end: 60 * second},
		"outside":       {start: 1},
	}
	made := event{at: 10 * second, learnt: map[string]int64{
		"quick":         10*second + 2000,
		"slow":          13 * second,
		"started later": 40 * second,
		"ended after":   12 * second,
	}, exempt: map[string]bool{"outside": true}}

	judged := reachOf(made, lives)
	assert.Equal(t, judged.last, 3*time.Second)
	assert.Equal(t, len(judged.delays), 3)
	assert.Equal(t, len(judged.missing), 0)

	lives["deaf"] = lifetime{start: 1}
	assert.DeepEqual(t, reachOf(made, lives).missing, []string{"deaf"})
}

func TestAChangeKnownBeforeTheCutEndedTookNoTime(t *testing.T) {
	judged := reachOf(event{at: 100, learnt: map[string]int64{"node": 50}}, map[string]lifetime{"node": {start: 1}})
	assert.Equal(t, judged.last, time.Duration(0))
	assert.DeepEqual(t, judged.delays, []float64{0})
}

func TestConvergeSumsUpByKind(t *testing.T) {
	lives := map[string]lifetime{"a": {start: 1}, "b": {start: 1}}
	millisecond := time.Millisecond.Microseconds()
	at := func(a, b int64) map[string]int64 {
		return map[string]int64{"a": 10 + a*millisecond, "b": 10 + b*millisecond}
	}
	all := converge([]event{
		{kind: "change", at: 10, learnt: at(1, 5)},
		{kind: "change", at: 10, learnt: at(2, 9)},
		{kind: "change", at: 10, learnt: at(700, 3)},
		{kind: "death", at: 10, learnt: map[string]int64{"a": 10 + 4*millisecond}},
	}, lives)
	assert.DeepEqual(t, all, []Convergence{
		{Kind: "change", Events: 3, LastP50Millis: 9, LastMaxMillis: 700, NodeP50Millis: 3},
		{Kind: "death", Events: 1, LastP50Millis: 4, LastMaxMillis: 4, NodeP50Millis: 4, Incomplete: 1, Missing: []string{"b"}},
	})
}

func TestBetweenLeavesOutNodesThatAreNew(t *testing.T) {
	start := time.Unix(1000, 0)
	before := snapshot{at: start, states: map[string]NodeState{
		"steady":    {Counters: Counters{DatagramsSent: 10, GossipSent: 1000}},
		"restarted": {Counters: Counters{DatagramsSent: 90, GossipSent: 9000}},
	}, hollows: []usage{{processor: time.Second}}}
	after := snapshot{at: start.Add(10 * time.Second), states: map[string]NodeState{
		"steady":    {Counters: Counters{DatagramsSent: 110, GossipSent: 21000, StreamSent: 500}},
		"restarted": {Counters: Counters{DatagramsSent: 5, GossipSent: 500}},
		"new":       {Counters: Counters{DatagramsSent: 7, GossipSent: 700}},
	}, hollows: []usage{{processor: 1500 * time.Millisecond}}}

	window := between(before, after)
	assert.Equal(t, window.DatagramsSent, 10.0)
	assert.Equal(t, window.GossipSent, 2000.0)
	assert.Equal(t, window.StreamSent, 50.0)
	assert.Equal(t, window.SentMax, 2050.0)
	assert.Equal(t, window.HollowCoreShare, 0.05)
}

func TestParseUsage(t *testing.T) {
	const stat = "77 (a (b) c) S 1 77 77 0 -1 4194560 1 0 0 0 150 50 0 0 20 0 9 0 1 1 1"
	used, err := parseUsage(stat, "900 25 3 1 0 100 0", 4096)
	assert.NilError(t, err)
	assert.Equal(t, used, usage{processor: 2 * time.Second, resident: 25 * 4096, anonymous: 22 * 4096})
	for _, broken := range []string{"", "77 (x) S 1", "77 (x) S 1 1 1 1 1 1 1 1 1 1 1 x y 1"} {
		_, err := parseUsage(broken, "900 25", 4096)
		assert.Assert(t, err != nil, "%q", broken)
	}
}

func TestMetric(t *testing.T) {
	page := []byte("# TYPE a counter\na_total 12.5\na_total_more 3\nb{x=\"1\"} 4\n")
	assert.Equal(t, metric(page, "a_total"), 12.5)
	assert.Equal(t, metric(page, "b"), 0.0)
}

func TestSlopesNeedTwoRuns(t *testing.T) {
	runOf := func(nodes int, share float64) Result {
		return Result{Nodes: nodes, Windows: []Window{{Name: windowQuiet, HollowCoreShare: share}}}
	}
	report := Report{Runs: []Result{runOf(50, 0.01)}}
	report.setSlopes()
	assert.Equal(t, len(report.Slopes), 0)
	report.Runs = append(report.Runs, runOf(150, 0.03), Result{Nodes: 500, Failure: "no windows"})
	report.setSlopes()
	slope := report.Slopes["hollow core share, quiet"]
	assert.Assert(t, math.Abs(slope.At(820)-0.164) < 1e-9, "%v", slope.At(820))
}

func TestParseCounts(t *testing.T) {
	counts, err := parseCounts("50, 200,820")
	assert.NilError(t, err)
	assert.DeepEqual(t, counts, []int{50, 200, 820})
	_, err = parseCounts("50,many")
	assert.ErrorContains(t, err, "many")
}

func TestObjectsAreOfTheSizeToDesignFor(t *testing.T) {
	count := map[string]int{}
	for _, envelope := range objects() {
		assert.NilError(t, envelope.Validate())
		count[string(envelope.ID.Kind)]++
	}
	assert.DeepEqual(t, count, map[string]int{"service": 23, "policy": 23, "target": 820})
	assert.Equal(t, len(targetByHash), targetCount)
}
