package pace

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestReportIsParsed(t *testing.T) {
	for _, c := range []struct {
		fields []string
		want   Report
	}{
		{nil, Report{}},
		{[]string{"3,0,65"}, Report{Kind: WithoutPace}},
		{[]string{"3,0,65,250"}, Report{Kind: WithPace, Percent: 250}},
		{[]string{" 3, 0 ,65,\t62.5 "}, Report{Kind: WithPace, Percent: 62.5}},
		{[]string{"0,0,0,10000"}, Report{Kind: WithPace, Percent: MaxPercent}},
		{[]string{"1e1,0,65,0.01"}, Report{Kind: WithPace, Percent: 0.01}},
	} {
		got, err := Parse(c.fields)
		assert.NilError(t, err)
		assert.Equal(t, got, c.want, "%q", c.fields)
	}
}

// TestMalformedReportsChangeNothing guards against a pace taken from an invalid report.
func TestMalformedReportsChangeNothing(t *testing.T) {
	var tracker Tracker
	tracker.Observe(Report{Kind: WithPace, Percent: 250}, at(0))
	for _, fields := range [][]string{{""}, {"3"}, {"3,0"}, {"3,0,"}, {"3,,65,100"}, {"3,0,65,"}, {"3,0,65,100,1"}, {"-3,0,65,100"}, {"3,-0,65,100"},
		{"3,0,65,0"}, {"3,0,65,-100"}, {"3,0,65,10001"}, {"3,0,65,1e400"}, {"1e400,0,65"}, {"3,0,65,NaN"}, {"3,0,Inf,100"}, {"3,0,65,infinity"},
		{"3,0,65,0x10"}, {"3,0,65,1_0"}, {"3;0;65;100"}, {"a,b,c"}, {"3,0,65,100", "3,0,65,100"}, {"3", "0", "65"}, {strings.Repeat("0", 200) + ",0,65"}} {
		report, err := Parse(fields)
		assert.ErrorIs(t, err, ErrMalformed, "%q", fields)
		tracker.Observe(report, at(1))
	}
	assert.Equal(t, tracker.Reading(at(0)), Reading{Percent: 250})
	assert.Assert(t, tracker.FirstMalformed() && !tracker.FirstMalformed())
}

func TestTrackerKeepsTheLastReport(t *testing.T) {
	var tracker Tracker
	assert.Equal(t, tracker.Reading(at(0)), Reading{})
	tracker.Observe(Report{Kind: WithPace, Percent: 250}, at(100))
	tracker.Observe(Report{Kind: WithPace, Percent: 90}, at(50))
	tracker.Observe(Report{}, at(120))
	assert.Equal(t, tracker.Reading(at(130)), Reading{Percent: 250, Age: 30 * time.Millisecond})
	tracker.Observe(Report{Kind: WithoutPace}, at(140))
	assert.Equal(t, tracker.Reading(at(150)), Reading{}, "three figures mean that no pace is known")
	tracker.Observe(Report{Kind: WithPace, Percent: 0.2}, at(160))
	assert.Assert(t, tracker.Reading(at(160)).Known(), "a very low pace must not be passed on as unknown")
}

// TestPaceCountsLessWithAge guards against a pace that outlives the phase it was measured in, as
// after a crash of the home.
func TestPaceCountsLessWithAge(t *testing.T) {
	var tracker Tracker
	tracker.Observe(Report{Kind: WithPace, Percent: 250}, at(0))
	for age, want := range map[int]float64{0: 2.5, 300: 1.75, 599: 1.0025, 600: 1, 5000: 1} {
		assert.Equal(t, tracker.Factor(at(age)), want, "%d ms", age)
		reading := Reading{Percent: 250, Age: time.Duration(age) * time.Millisecond / 2}
		assert.Equal(t, reading.Factor(reading.Age), Reading{Percent: 250, Age: 2 * reading.Age}.Factor(0))
	}
	assert.Equal(t, (*Tracker)(nil).Factor(at(0)), 1.0)
	assert.Equal(t, Reading{}.Factor(0), 1.0, "a home of the previous build counts as usual")
	assert.Equal(t, Reading{Percent: 40}.Factor(300*time.Millisecond), 0.7)
}

func TestEstimate(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name string
		home Home
		want Estimate
	}{
		{"idle", Home{Limit: 20, Usual: 40 * ms, Factor: 1}, Estimate{Duration: 40 * ms}},
		{"slow", Home{Limit: 20, Usual: 40 * ms, Factor: 2.5}, Estimate{Duration: 100 * ms}},
		{"not crowded", Home{Reported: 17, Limit: 20, Usual: 40 * ms, Factor: 1}, Estimate{Duration: 40 * ms}},
		{"full", Home{Reported: 18, Sent: 2, Limit: 20, Usual: 40 * ms, Factor: 1}, Estimate{Wait: 2 * ms, Duration: 40 * ms, Crowding: 60 * ms}},
		{"queue of a slow home", Home{Reported: 39, Limit: 20, Usual: 40 * ms, Factor: 2.5}, Estimate{Wait: 100 * ms, Duration: 100 * ms, Crowding: 150 * ms}},
		{"queue a while ago", Home{Reported: 39, Limit: 20, Age: 50 * ms, Usual: 40 * ms, Factor: 2.5}, Estimate{Wait: 85 * ms, Duration: 100 * ms, Crowding: 150 * ms}},
		{"queue that has ended", Home{Reported: 29, Limit: 20, Age: 500 * ms, Usual: 40 * ms, Factor: 1}, Estimate{Wait: 2 * ms, Duration: 40 * ms, Crowding: 60 * ms}},
		{"own calls alone", Home{Pending: 39, Limit: 20, Usual: 40 * ms, Factor: 1}, Estimate{Wait: 40 * ms, Duration: 40 * ms, Crowding: 60 * ms}},
	} {
		assert.Equal(t, c.home.Estimate(), c.want, c.name)
	}
}

// TestCallLeavesZoneOnlyIfNoticed guards against traffic between zones that no caller gains from.
func TestCallLeavesZoneOnlyIfNoticed(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name       string
		candidates []Candidate
		want       int
		found      bool
	}{
		{name: "none"},
		{"only another zone", []Candidate{{Index: 7, OtherZone: true}}, 7, true},
		{"earlier by the distance", []Candidate{{Estimate: Estimate{Duration: 60 * ms}}, {Index: 1, Estimate: Estimate{Duration: 50 * ms}, OtherZone: true}}, 0, true},
		{"earlier by more", []Candidate{{Estimate: Estimate{Wait: 21 * ms, Duration: 40 * ms}}, {Index: 1, Estimate: Estimate{Duration: 50 * ms}, OtherZone: true}}, 1, true},
		{"crowded at random", []Candidate{{Estimate: Estimate{Duration: 60 * ms, Crowding: 90 * ms}, Random: 1}, {Index: 1, Estimate: Estimate{Duration: 55 * ms}, OtherZone: true}}, 0, true},
		{"crowded in the same zone", []Candidate{{Estimate: Estimate{Duration: 40 * ms, Crowding: 60 * ms}}, {Index: 1, Estimate: Estimate{Duration: 60 * ms}}}, 1, true},
		{"failing", []Candidate{{Estimate: Estimate{Duration: 40 * ms}, Risk: 2}, {Index: 1, Estimate: Estimate{Duration: 60 * ms}, OtherZone: true}}, 1, true},
	} {
		var selection Selection
		for _, candidate := range c.candidates {
			candidate.Risk = max(candidate.Risk, 1)
			selection.Add(candidate)
		}
		got, found := selection.Best(10 * ms)
		assert.Equal(t, got, c.want, c.name)
		assert.Equal(t, found, c.found, c.name)
	}
	assert.Equal(t, Distance(time.Second), 50*ms)
	assert.Equal(t, Distance(20*ms), 2*ms)
	assert.Equal(t, Distance(0), 2*ms)
}

// TestCallsThatAreGivenBack guards against calls that are given back without need or twice in a row,
// and against an order that gives back the next call first.
func TestCallsThatAreGivenBack(t *testing.T) {
	const usual, elsewhere = 40 * time.Millisecond, 60 * time.Millisecond
	now := time.Unix(1000, 0)
	waiting := func(count int, call Queued) []Queued { return slices.Repeat([]Queued{call}, count) }
	for name, c := range map[string]struct {
		calls    []Queued
		factor   float64
		expected []int
	}{
		"last ones first":        {waiting(4, Queued{Usual: usual, Alternative: elsewhere}), 5, []int{3, 2}},
		"a single one":           {waiting(1, Queued{Usual: usual, Alternative: elsewhere}), 5, []int{0}},
		"only those that gain":   {waiting(8, Queued{Usual: usual, Alternative: elsewhere}), 1, []int{7}},
		"within the margin":      {waiting(7, Queued{Usual: usual, Alternative: elsewhere}), 1, nil},
		"alternative is too old": {waiting(4, Queued{Usual: usual, Alternative: elsewhere, Waited: MaxAge}), 5, nil},
		"duration is not known":  {waiting(4, Queued{Alternative: elsewhere}), 5, nil},
	} {
		var returns Returns
		assert.Check(t, returns.Due(now) && !returns.Due(now.Add(time.Millisecond)), name)
		selected := returns.Select(c.calls, 4, c.factor, now)
		assert.Check(t, slices.Equal(selected, c.expected), "%s: %v", name, selected)
		rest := c.calls[:len(c.calls)-len(selected)]
		assert.Equal(t, len(returns.Select(rest, 4, c.factor, now.Add(ReturnInterval-1))), 0, name)
	}
}

// TestAlternativeIsNextBestHome guards against an alternative that is the selected home itself, or
// that lies in another zone without counting the distance.
func TestAlternativeIsNextBestHome(t *testing.T) {
	for _, c := range []struct {
		own, other []int
		expected   int
	}{{[]int{40}, nil, 0}, {[]int{40, 60, 50}, nil, 50}, {[]int{40, 60}, []int{45}, 50}, {[]int{40, 60}, []int{58, 70}, 60}, {[]int{80}, []int{40, 50}, 55}, {nil, []int{40, 50}, 55}} {
		var s Selection
		for i, ms := range slices.Concat(c.own, c.other) {
			s.Add(Candidate{Index: i, Estimate: Estimate{Duration: time.Duration(ms) * time.Millisecond}, Risk: 1, OtherZone: i >= len(c.own)})
		}
		assert.Equal(t, s.Alternative(5*time.Millisecond).Round(time.Microsecond), time.Duration(c.expected)*time.Millisecond)
	}
}
