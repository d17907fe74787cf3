package routetable

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func configurationOf(version Version) *Configuration {
	return &Configuration{Version: version, Routes: []Route{
		{Name: "short", Host: "A.example", Prefix: "/a/", Timeout: time.Second, Services: []WeightedService{{"one", 1}}},
		{Name: "long", Host: "a.example", Prefix: "/a/b/", Services: []WeightedService{{"one", 90}, {"two", 10}}},
	}}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	table := NewTable(configurationOf(1))
	assert.Equal(t, table.Match("a.example:8300", "/a/b/c").Name, "long")
	assert.Equal(t, table.Match("a.EXAMPLE", "/a/c").Name, "short")
	assert.Assert(t, table.Match("a.example", "/b/") == nil)
	assert.Assert(t, table.Match("b.example", "/a/") == nil)
}

func TestVersionsOnlyRise(t *testing.T) {
	var holder Holder
	assert.Assert(t, holder.Update(configurationOf(5)))
	assert.Assert(t, !holder.Update(configurationOf(4)))
	assert.Assert(t, !holder.Update(configurationOf(5)))
	assert.Assert(t, holder.Update(configurationOf(6)))
	assert.Equal(t, holder.Version(), Version(6))
}

func TestSplitFollowsWeights(t *testing.T) {
	var splitter Splitter
	route := &configurationOf(1).Routes[1]
	counts := map[string]int{}
	for range 1000 {
		counts[splitter.Choose(route)]++
	}
	assert.Assert(t, counts["two"] >= 90 && counts["two"] <= 110, "two got %d of 1000", counts["two"])
}

func TestSplitNeverChoosesWeightZero(t *testing.T) {
	route := &Route{Name: "r", Services: []WeightedService{{"one", 0}, {"two", 3}, {"three", 0}}}
	for range 50 {
		var splitter Splitter
		for range 20 {
			assert.Equal(t, splitter.Choose(route), "two")
		}
	}
}

func TestInvalidConfigurations(t *testing.T) {
	noWeight := configurationOf(1)
	noWeight.Routes[0].Services = []WeightedService{{"one", 0}}
	assert.ErrorContains(t, noWeight.Validate(), "weight")
	noSlash := configurationOf(1)
	noSlash.Routes[0].Prefix = "/a"
	assert.ErrorContains(t, noSlash.Validate(), "slash")
	assert.ErrorContains(t, (&Configuration{}).Validate(), "version")
	assert.NilError(t, configurationOf(1).Validate())
}
