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
	// One in callsPerKey calls has a new key.
	callsPerKey int
	// One in falseSuspicion liveness checks reports a live node as dead.
	falseSuspicion int
	// timeSteps are the possible advances of the clock.
	timeSteps []time.Duration
}

// faultProfiles combine different faults: all faults; few restarts and clock
// steps, so that a key sees many roster changes; loss of a majority; partitions
// that separate nodes from the store for longer than the retention; replicas
// that often reach their capacity.
var faultProfiles = []faultProfile{
	{
		network: 1200, call: 150, caller: 20, restart: 4, pause: 30, time: 30, store: 20,
		partition: 10, plan: 80, commit: 80, gossip: 40, copy: 80, capacity: 20, callsPerKey: 4, falseSuspicion: 6,
		timeSteps: []time.Duration{time.Second, 3 * time.Second, ClaimWindow, simRetention / 2, simRetention},
	},
	{
		network: 1000, call: 60, caller: 5, restart: 1, pause: 10, time: 5,
		plan: 100, commit: 100, gossip: 30, copy: 100, capacity: 100, callsPerKey: 30, falseSuspicion: 20,
		timeSteps: []time.Duration{time.Second},
	},
	{
		network: 1000, call: 80, caller: 10, restart: 20, pause: 10, time: 30,
		plan: 140, commit: 140, gossip: 40, copy: 40, capacity: 100, callsPerKey: 30, falseSuspicion: 4,
		timeSteps: []time.Duration{time.Second, simRetention / 3},
	},
	{
		network: 1000, call: 100, caller: 10, restart: 4, time: 6,
		partition: 12, plan: 80, commit: 80, gossip: 10, copy: 60, capacity: 10, callsPerKey: 12, falseSuspicion: 20,
		timeSteps: []time.Duration{time.Second, simRetention + 3*time.Second},
	},
	{
		network: 1000, call: 80, caller: 10, restart: 1, pause: 5, time: 10,
		plan: 20, commit: 20, gossip: 10, copy: 40, capacity: 3, callsPerKey: 3, falseSuspicion: 20,
		timeSteps: []time.Duration{time.Second, simRetention / 3},
	},
}

// step executes one simulated event.
func (c *simCluster) step() {
	i := c.choose(len(c.nodes))
	node := c.nodes[i]
	weights := c.profile
	actions := []struct {
		weight      int
		whilePaused bool // also when the node is paused
		run         func()
	}{
		{weights.network, true, c.stepNetwork},
		{weights.call, false, func() { c.stepCall(i) }},
		{weights.caller, false, func() { c.stepCaller(i) }},
		{weights.restart, true, func() { c.boot(node) }},
		{weights.pause, true, func() { node.paused = !node.paused && c.choose(3) == 0 }},
		{weights.time, true, c.stepTime},
		{weights.store, true, func() { c.storeUp = !c.storeUp || c.choose(3) != 0 }},
		{weights.partition, true, c.stepPartition},
		{weights.plan, false, func() { c.propose(node, c.unreliableView(node)) }},
		{weights.commit, false, func() { c.commit(node) }},
		{weights.gossip, false, func() { c.stepGossip(node) }},
		{weights.copy, false, func() { c.sendPageRequests(i) }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	pick := c.choose(total)
	for _, a := range actions {
		if pick < a.weight {
			if a.whilePaused || !node.paused {
				a.run()
			}
			return
		}
		pick -= a.weight
	}
}

func (c *simCluster) stepGossip(node *simNode) {
	other := c.nodes[c.choose(len(c.nodes))]
	if adopted, ok := other.replica.Roster(); ok && node.partitioned == other.partitioned {
		c.adopt(node, adopted)
	}
}

// stepPartition separates some nodes from the others and the store, or ends
// the partition.
func (c *simCluster) stepPartition() {
	cut := c.choose(3) == 0
	for _, node := range c.nodes {
		node.partitioned = cut && c.choose(2) == 0
	}
}

// stepNetwork delivers, drops or duplicates a random message in flight.
func (c *simCluster) stepNetwork() {
	if len(c.network) == 0 {
		return
	}
	i := c.choose(len(c.network))
	p := c.network[i]
	roll := c.choose(20)
	unreachable := c.nodes[p.to].paused || c.nodes[p.to].partitioned != c.nodes[p.from].partitioned
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

func (c *simCluster) stepCall(i int) {
	roster := *c.roster
	if len(c.keys) == 0 || c.choose(c.profile.callsPerKey) == 0 {
		c.keys = append(c.keys, simKey{hash: c.uniqueID(), firstUsed: c.now})
	}
	key := c.keys[len(c.keys)-1-c.choose(min(2, len(c.keys)))]
	if c.now.Sub(key.firstUsed) <= roster.KeyLifetime() {
		c.call(i, key)
	}
}

// stepCaller gives up a pending claim, or cancels a call whose claim was granted
// before it runs.
func (c *simCluster) stepCaller(i int) {
	node := c.nodes[i]
	if len(node.calls) == 0 {
		return
	}
	call := node.calls[c.choose(len(node.calls))]
	if call.attempt.outcome == Granted && !call.attempt.canceled && c.choose(3) == 0 {
		call.attempt.canceled = true
		c.release(i, call)
		return
	}
	c.recordOutcome(i, call, call.coordinator.Abort())
}

func (c *simCluster) stepTime() {
	c.now = c.now.Add(c.profile.timeSteps[c.choose(len(c.profile.timeSteps))])
}

// unreliableView returns a view that reports some live nodes as dead.
func (c *simCluster) unreliableView(node *simNode) View {
	v := c.view(node)
	for i := range v.Nodes {
		v.Nodes[i].Alive = c.choose(c.profile.falseSuspicion) != 0 && c.nodes[i].partitioned == node.partitioned
	}
	return v
}

func (c *simCluster) run(steps int) {
	for range steps {
		c.step()
		if c.violation != "" {
			return
		}
	}
}

// heal ends all faults and reports whether a claim of a new key is then granted.
func (c *simCluster) heal() bool {
	c.storeUp = true
	for _, node := range c.nodes {
		node.paused, node.partitioned = false, false
	}
	for range 60 {
		c.now = c.now.Add(simRetention / 10)
		for i, node := range c.nodes {
			c.propose(node, c.view(node))
			c.commit(node)
			c.sendPageRequests(i)
		}
		c.drain()
	}
	before := c.granted
	c.call(c.choose(len(c.nodes)), simKey{hash: c.uniqueID(), firstUsed: c.now})
	c.drain()
	return c.granted > before
}

func (c *simCluster) drain() {
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
				c := newSimCluster(seats+2, seats, mutationNone, faultProfiles[choose(len(faultProfiles))], choose)
				c.run(stepsPerRun)
				assert.Equal(t, c.violation, "")
				granted += c.granted
			})
			t.Logf("%d grants", granted)
			assert.Assert(t, granted > 0, "no claim was granted")
		})
	}
}

// seededChooser returns a function for simCluster.choose whose results depend only
// on the seed.
func seededChooser(seed uint64) func(int) int {
	return rand.New(rand.NewPCG(seed, 1)).IntN
}

func TestSeededAtMostOnceAndLiveness(t *testing.T) {
	granted, generations, changes, activations := 0, 0, 0, 0
	for seed := range *seededRuns {
		seats := []int{1, 3, 5}[seed%3]
		c := newSimCluster(seats+2, seats, mutationNone, faultProfiles[seed/3%uint64(len(faultProfiles))], seededChooser(seed))
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

func TestSimulationDetectsMutations(t *testing.T) {
	mutations := map[string]mutation{
		"a restarted replica votes":               mutationVoteAfterRestart,
		"a joining replica copies nothing":        mutationSkipCopy,
		"a new generation doesn't wait":           mutationSkipWait,
		"a granted attempt is released":           mutationReleaseRunning,
		"grants count after the window":           mutationCountLateGrants,
		"a replica ignores the request's boot ID": mutationIgnoreIdentity,
		"a full replica evicts claims":            mutationEvictWhenFull,
	}
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, findsViolation(t, mutation), "the simulation does not detect the violation")
		})
	}
}

func findsViolation(t *testing.T, mutation mutation) bool {
	for seed := range uint64(5000) {
		c := newSimCluster(5, 3, mutation, faultProfiles[seed%uint64(len(faultProfiles))], seededChooser(seed))
		c.run(2 * stepsPerRun)
		if c.violation != "" {
			t.Logf("seed %d: %s", seed, c.violation)
			return true
		}
	}
	return false
}

func TestAllClaimsGrantedWithoutFaults(t *testing.T) {
	c := newSimCluster(7, 5, mutationNone, faultProfiles[1], seededChooser(1))
	for i := range 50 {
		c.call(i%7, simKey{hash: c.uniqueID(), firstUsed: c.now})
		c.drain()
		assert.Equal(t, c.granted, i+1)
	}
}
