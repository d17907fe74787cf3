package test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/soak"
)

// TestSoak runs the platform deployment through a few seconds of seeded faults. Longer runs
// are started by hand (docs/SOAK.md).
func TestSoak(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		runSoak(t, soak.Config{Machines: 4, Seed: seed, Duration: 10 * time.Second, Rate: 20})
	}
}

// TestSoakServesPopularRequestsDuringQueryOfDeath runs seeds that violated the recovery
// guarantee: a request that all callers send alike was refused for a minute, because it was
// in flight each time a query of death crashed a target. Crashes are detected late here,
// since the targets are behind proxies.
func TestSoakServesPopularRequestsDuringQueryOfDeath(t *testing.T) {
	for _, seed := range []uint64{818, 828} {
		runSoak(t, soak.Config{Machines: 6, Seed: seed, Duration: 15 * time.Second, Rate: 40})
	}
}

// TestSoakWithStoreRestores restores the store from backups of the last seconds, three times
// in ten seconds.
func TestSoakWithStoreRestores(t *testing.T) {
	for _, seed := range []uint64{1001, 1002} {
		runSoak(t, soak.Config{Machines: 5, Seed: seed, Duration: 10 * time.Second, Rate: 20, Restores: 3})
	}
}

// TestSoakKeepsDeparturesAcrossStoreRestores runs a seed that violated the guarantee that a
// leaving target gets no new work: its node was killed right after the acknowledgement, and
// the store was restored from a backup without the departure before it reached other nodes.
func TestSoakKeepsDeparturesAcrossStoreRestores(t *testing.T) {
	runSoak(t, soak.Config{Machines: 6, Seed: 1208, Duration: 15 * time.Second, Rate: 40, Restores: 3})
}

// TestSoakWithAnnouncements lets targets announce rate limits and departures in their responses
// while faults occur.
func TestSoakWithAnnouncements(t *testing.T) {
	for _, seed := range []uint64{6, 2001} {
		runSoak(t, soak.Config{Machines: 6, Seed: seed, Duration: 12 * time.Second, Rate: 40, Announcements: 6})
	}
}

// TestSoakWithDecisionsForShortage enables the decisions for shortage of capacity while targets
// report their pace, at a rate at which slow targets leave too little capacity.
func TestSoakWithDecisionsForShortage(t *testing.T) {
	for _, seed := range []uint64{5101, 5102} {
		runSoak(t, soak.Config{Machines: 6, Seed: seed, Duration: 12 * time.Second, Rate: 80, Announcements: 2, ZoneLosses: 1})
	}
}

// TestSoakWithResourceFaults gives nodes large messages, responses without end, invalid statuses, odd
// entries of the store, and addresses that are in use at the start.
func TestSoakWithResourceFaults(t *testing.T) {
	for _, seed := range []uint64{8001, 8002} {
		runSoak(t, soak.Config{Machines: 6, Seed: seed, Duration: 12 * time.Second, Rate: 40, ResourceFaults: 8})
	}
}

// runSoak runs a soak test, which must report no breach.
func runSoak(t *testing.T, config soak.Config) {
	t.Helper()
	config.Program, config.Directory = program("lugspur-sidecar"), logDirectory(t)
	result, err := soak.Run(t.Context(), config)
	assert.NilError(t, err)
	assert.Assert(t, result.Faults > 3 && result.Statuses[200] > 500, "%+v", result)
	assert.DeepEqual(t, result.Breaches, []soak.Breach(nil))
}
