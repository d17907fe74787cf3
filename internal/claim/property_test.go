package claim

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const stepsPerRun = 400

var seededRuns = flag.Uint64("claim.runs", 600, "number of seeded runs of the simulated cluster")

// faultProfile sets the relative weights of the simulated events.
type faultProfile struct {
	network, call, caller, restart, pause, time, store, partition, plan, commit, gossip, copy int
	// capacity is the maximum number of claims in a replica.
	capacity int
	// One in keyReuse calls has a new key.
	keyReuse int
	// One in falseSuspicion liveness checks reports a live node as dead.
	falseSuspicion int
	// timeSteps are the possible advances of the clock.
	timeSteps []time.Duration
}

// faultProfiles combine different faults: all faults; few restarts and clock
// steps, so that a key sees many roster changes; loss of a majority; partitions
// that separate machines from the store for longer than the retention; replicas
// that often reach their capacity.
var faultProfiles = []faultProfile{
	{
		network: 1200, call: 150, caller: 20, restart: 4, pause: 30, time: 30, store: 20,
		partition: 10, plan: 80, commit: 80, gossip: 40, copy: 80, capacity: 20, keyReuse: 4, falseSuspicion: 6,
		timeSteps: []time.Duration{time.Second, 3 * time.Second, ClaimWindow, simRetention / 2, simRetention},
	},
	{
		network: 1000, call: 60, caller: 5, restart: 1, pause: 10, time: 5,
		plan: 100, commit: 100, gossip: 30, copy: 100, capacity: 100, keyReuse: 30, falseSuspicion: 20,
		timeSteps: []time.Duration{time.Second},
	},
	{
		network: 1000, call: 80, caller: 10, restart: 20, pause: 10, time: 30,
		plan: 140, commit: 140, gossip: 40, copy: 40, capacity: 100, keyReuse: 30, falseSuspicion: 4,
		timeSteps: []time.Duration{time.Second, simRetention / 3},
	},
	{
		network: 1000, call: 100, caller: 10, restart: 4, time: 6,
		partition: 12, plan: 80, commit: 80, gossip: 10, copy: 60, capacity: 10, keyReuse: 12, falseSuspicion: 20,
		timeSteps: []time.Duration{time.Second, simRetention + 3*time.Second},
	},
	{
		network: 1000, call: 80, caller: 10, restart: 1, pause: 5, time: 10,
		plan: 20, commit: 20, gossip: 10, copy: 40, capacity: 3, keyReuse: 3, falseSuspicion: 20,
		timeSteps: []time.Duration{time.Second, simRetention / 3},
	},
}

// step executes one simulated event.
func (c *cluster) step() {
	i := c.choose(len(c.machines))
	m := c.machines[i]
	x := c.profile
	actions := []struct {
		weight      int
		whilePaused bool // also when the machine is paused
		run         func()
	}{
		{x.network, true, c.stepNetwork},
		{x.call, false, func() { c.stepCall(i) }},
		{x.caller, false, func() { c.stepCaller(i) }},
		{x.restart, true, func() { c.boot(m) }},
		{x.pause, true, func() { m.paused = !m.paused && c.choose(3) == 0 }},
		{x.time, true, c.stepTime},
		{x.store, true, func() { c.storeUp = !c.storeUp || c.choose(3) != 0 }},
		{x.partition, true, c.stepPartition},
		{x.plan, false, func() { c.propose(m, c.unreliableView(m)) }},
		{x.commit, false, func() { c.commit(m) }},
		{x.gossip, false, func() { c.stepGossip(m) }},
		{x.copy, false, func() { c.sendPageRequests(i) }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	pick := c.choose(total)
	for _, a := range actions {
		if pick < a.weight {
			if a.whilePaused || !m.paused {
				a.run()
			}
			return
		}
		pick -= a.weight
	}
}

func (c *cluster) stepGossip(m *machine) {
	other := c.machines[c.choose(len(c.machines))]
	if adopted, ok := other.replica.Roster(); ok && m.partitioned == other.partitioned {
		c.adopt(m, adopted)
	}
}

// stepPartition separates some machines from the others and the store, or ends
// the partition.
func (c *cluster) stepPartition() {
	cut := c.choose(3) == 0
	for _, m := range c.machines {
		m.partitioned = cut && c.choose(2) == 0
	}
}

// stepNetwork delivers, drops or duplicates a random message in flight.
func (c *cluster) stepNetwork() {
	if len(c.network) == 0 {
		return
	}
	i := c.choose(len(c.network))
	p := c.network[i]
	roll := c.choose(20)
	unreachable := c.machines[p.to].paused || c.machines[p.to].partitioned != c.machines[p.from].partitioned
	if unreachable && roll > 1 {
		return
	}
	if roll != 0 {
		c.network[i] = c.network[len(c.network)-1]
		c.network = c.network[:len(c.network)-1]
	}
	if roll != 1 && !unreachable {
		c.deliver(p)
	}
}

func (c *cluster) stepCall(i int) {
	roster := *c.roster
	if len(c.keys) == 0 || c.choose(c.profile.keyReuse) == 0 {
		c.keys = append(c.keys, simKey{hash: c.uniqueID(), first: c.now})
	}
	key := c.keys[len(c.keys)-1-c.choose(min(2, len(c.keys)))]
	if c.now.Sub(key.first) <= roster.KeyLifetime() {
		c.call(i, key)
	}
}

// stepCaller gives up a pending claim, or cancels a call whose claim was granted
// before it runs.
func (c *cluster) stepCaller(i int) {
	m := c.machines[i]
	if len(m.calls) == 0 {
		return
	}
	call := m.calls[c.choose(len(m.calls))]
	if call.attempt.outcome == Granted && !call.attempt.cancelled && c.choose(3) == 0 {
		call.attempt.cancelled = true
		c.release(i, call)
		return
	}
	c.recordOutcome(i, call, call.coordinator.Abort())
}

func (c *cluster) stepTime() {
	c.now = c.now.Add(c.profile.timeSteps[c.choose(len(c.profile.timeSteps))])
}

// unreliableView returns a view that reports some live nodes as dead.
func (c *cluster) unreliableView(m *machine) View {
	v := c.view(m)
	for i := range v.Nodes {
		v.Nodes[i].Alive = c.choose(c.profile.falseSuspicion) != 0 && c.machines[i].partitioned == m.partitioned
	}
	return v
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step()
		if c.violation != "" {
			return
		}
	}
}

// heal ends all faults and reports whether a claim of a new key is then granted.
func (c *cluster) heal() bool {
	c.storeUp = true
	for _, m := range c.machines {
		m.paused, m.partitioned = false, false
	}
	for range 60 {
		c.now = c.now.Add(simRetention / 10)
		for i, m := range c.machines {
			c.propose(m, c.view(m))
			c.commit(m)
			c.sendPageRequests(i)
		}
		c.drain()
	}
	before := c.granted
	c.call(c.choose(len(c.machines)), simKey{hash: c.uniqueID(), first: c.now})
	c.drain()
	return c.granted > before
}

func (c *cluster) drain() {
	for len(c.network) > 0 && c.violation == "" {
		p := c.network[0]
		c.network = c.network[1:]
		c.deliver(p)
	}
}

func TestPropertyAtMostOnce(t *testing.T) {
	for _, seats := range []int{1, 3, 5} {
		t.Run(fmt.Sprintf("%d seats", seats), func(t *testing.T) {
			granted := 0
			rapid.Check(t, func(t *rapid.T) {
				// Numbers drawn by rapid tend to be small; hashing makes them
				// uniform.
				draws := uint64(0)
				choose := func(n int) int {
					draws++
					return int(rankHash("choice", draws^rapid.Uint64().Draw(t, "choice")) % uint64(n))
				}
				c := newCluster(seats+2, seats, breachNone, faultProfiles[choose(len(faultProfiles))], choose)
				c.run(stepsPerRun)
				assert.Equal(t, c.violation, "")
				granted += c.granted
			})
			t.Logf("%d grants", granted)
			assert.Assert(t, granted > 0, "no claim was granted")
		})
	}
}

func seeded(seed uint64) func(int) int {
	return rand.New(rand.NewPCG(seed, 1)).IntN
}

func TestSeededAtMostOnceAndLiveness(t *testing.T) {
	granted, generations, changes, activations := 0, 0, 0, 0
	for seed := range *seededRuns {
		seats := []int{1, 3, 5}[seed%3]
		c := newCluster(seats+2, seats, breachNone, faultProfiles[seed/3%uint64(len(faultProfiles))], seeded(seed))
		c.run(2 * stepsPerRun)
		assert.Equal(t, c.violation, "", "seed %d", seed)
		granted += c.granted
		assert.Assert(t, c.heal(), "seed %d: no grant after the faults ended", seed)
		assert.Equal(t, c.violation, "", "seed %d", seed)
		activations += c.activations
		changes += int(c.roster.Epoch)
		if c.roster.FoundingEpoch > 1 {
			generations++
		}
	}
	t.Logf("%d grants, %d roster changes, %d activations, %d runs with a new generation", granted, changes, activations, generations)
	enough := granted >= int(*seededRuns) && activations >= int(*seededRuns)/4 && generations >= int(*seededRuns)/10
	assert.Assert(t, enough, "the runs have too few grants, activations or new generations")
}

func TestSimulationDetectsBrokenRules(t *testing.T) {
	rules := map[string]breach{
		"a restarted replica votes":               breachFreshVotes,
		"a joining replica copies nothing":        breachNoCopy,
		"a new generation doesn't wait":           breachNoWait,
		"a granted attempt is released":           breachReleaseRunning,
		"grants count after the window":           breachLateGrants,
		"a replica ignores the request's boot ID": breachUnverifiedIdentity,
		"a full replica evicts claims":            breachEvictsWhenFull,
	}
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, findsViolation(t, rule), "the simulation does not detect the broken rule")
		})
	}
}

func findsViolation(t *testing.T, rule breach) bool {
	for seed := range uint64(5000) {
		c := newCluster(5, 3, rule, faultProfiles[seed%uint64(len(faultProfiles))], seeded(seed))
		c.run(2 * stepsPerRun)
		if c.violation != "" {
			t.Logf("seed %d: %s", seed, c.violation)
			return true
		}
	}
	return false
}

func TestAllClaimsGrantedWithoutFaults(t *testing.T) {
	c := newCluster(7, 5, breachNone, faultProfiles[1], seeded(1))
	for i := range 50 {
		c.call(i%7, simKey{hash: c.uniqueID(), first: c.now})
		c.drain()
		assert.Equal(t, c.granted, i+1)
	}
}
