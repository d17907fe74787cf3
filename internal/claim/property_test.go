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

// mix is how often the things happen that may happen, relative to each other.
type mix struct {
	network, call, caller, restart, pause, time, store, cut, plan, commit, spread, copy int
	// capacity is the claims that a replica can hold.
	capacity int
	// keyReuse is one in how many calls brings a new key.
	keyReuse int
	// doubt is one in how many looks at a live node takes it for dead.
	doubt int
	// jumps are the steps of time.
	jumps []time.Duration
}

// mixes differ in which faults meet: all together; few restarts and little
// passing of time, so that keys meet many roster changes; loss of a majority;
// islands that are cut off from the store for longer than the retention;
// replicas whose memory is often full.
var mixes = []mix{
	{
		network: 1200, call: 150, caller: 20, restart: 4, pause: 30, time: 30, store: 20,
		cut: 10, plan: 80, commit: 80, spread: 40, copy: 80, capacity: 20, keyReuse: 4, doubt: 6,
		jumps: []time.Duration{time.Second, 3 * time.Second, ClaimWindow, simRetention / 2, simRetention},
	},
	{
		network: 1000, call: 60, caller: 5, restart: 1, pause: 10, time: 5,
		plan: 100, commit: 100, spread: 30, copy: 100, capacity: 100, keyReuse: 30, doubt: 20,
		jumps: []time.Duration{time.Second},
	},
	{
		network: 1000, call: 80, caller: 10, restart: 20, pause: 10, time: 30,
		plan: 140, commit: 140, spread: 40, copy: 40, capacity: 100, keyReuse: 30, doubt: 4,
		jumps: []time.Duration{time.Second, simRetention / 3},
	},
	{
		network: 1000, call: 100, caller: 10, restart: 4, time: 6,
		cut: 12, plan: 80, commit: 80, spread: 10, copy: 60, capacity: 10, keyReuse: 12, doubt: 20,
		jumps: []time.Duration{time.Second, simRetention + 3*time.Second},
	},
	{
		network: 1000, call: 80, caller: 10, restart: 1, pause: 5, time: 10,
		plan: 20, commit: 20, spread: 10, copy: 40, capacity: 3, keyReuse: 3, doubt: 20,
		jumps: []time.Duration{time.Second, simRetention / 3},
	},
}

// step does one thing chosen among all that may happen to the cluster.
func (c *cluster) step() {
	i := c.choose(len(c.machines))
	m := c.machines[i]
	x := c.mix
	actions := []struct {
		weight int
		always bool // also when the machine is paused
		do     func()
	}{
		{x.network, true, c.stepNetwork},
		{x.call, false, func() { c.stepCall(i) }},
		{x.caller, false, func() { c.stepCaller(i) }},
		{x.restart, true, func() { c.boot(m) }},
		{x.pause, true, func() { m.paused = !m.paused && c.choose(3) == 0 }},
		{x.time, true, c.stepTime},
		{x.store, true, func() { c.storeUp = !c.storeUp || c.choose(3) != 0 }},
		{x.cut, true, c.stepCut},
		{x.plan, false, func() { c.propose(m, c.doubtfulView(m)) }},
		{x.commit, false, func() { c.commit(m) }},
		{x.spread, false, func() { c.stepSpread(m) }},
		{x.copy, false, func() { c.sendPageRequests(i) }},
	}
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	pick := c.choose(total)
	for _, a := range actions {
		if pick < a.weight {
			if a.always || !m.paused {
				a.do()
			}
			return
		}
		pick -= a.weight
	}
}

func (c *cluster) stepSpread(m *machine) {
	other := c.machines[c.choose(len(c.machines))]
	if known, ok := other.replica.Roster(); ok && m.island == other.island {
		c.adopt(m, known)
	}
}

// stepCut cuts machines off from the others and from the store, or ends it.
func (c *cluster) stepCut() {
	cut := c.choose(3) == 0
	for _, m := range c.machines {
		m.island = cut && c.choose(2) == 0
	}
}

// stepNetwork delivers any message in flight, loses it, or delivers it and
// keeps a copy.
func (c *cluster) stepNetwork() {
	if len(c.network) == 0 {
		return
	}
	i := c.choose(len(c.network))
	p := c.network[i]
	fate := c.choose(20)
	away := c.machines[p.to].paused || c.machines[p.to].island != c.machines[p.from].island
	if away && fate > 1 {
		return
	}
	if fate != 0 {
		c.network[i] = c.network[len(c.network)-1]
		c.network = c.network[:len(c.network)-1]
	}
	if fate != 1 && !away {
		c.deliver(p)
	}
}

func (c *cluster) stepCall(i int) {
	roster := *c.roster
	if len(c.keys) == 0 || c.choose(c.mix.keyReuse) == 0 {
		c.keys = append(c.keys, simKey{hash: c.unique(), first: c.now})
	}
	key := c.keys[len(c.keys)-1-c.choose(min(2, len(c.keys)))]
	if c.now.Sub(key.first) <= roster.KeyLifetime() {
		c.call(i, key)
	}
}

// stepCaller lets a coordinator give up a claim, or refuse a call that was
// granted its claim before it ran.
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
	c.settle(i, call, call.coordinator.Abort())
}

func (c *cluster) stepTime() {
	c.now = c.now.Add(c.mix.jumps[c.choose(len(c.mix.jumps))])
}

// doubtfulView takes some live nodes for dead and may testify falsely.
func (c *cluster) doubtfulView(m *machine) View {
	v := c.view(m)
	for i := range v.Nodes {
		v.Nodes[i].Alive = c.choose(c.mix.doubt) != 0 && c.machines[i].island == m.island
	}
	return v
}

func (c *cluster) run(steps int) {
	for range steps {
		c.step()
		if c.fault != "" {
			return
		}
	}
}

// heal ends all faults and reports whether a new key is granted in the end.
func (c *cluster) heal() bool {
	c.storeUp = true
	for _, m := range c.machines {
		m.paused, m.island = false, false
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
	c.call(c.choose(len(c.machines)), simKey{hash: c.unique(), first: c.now})
	c.drain()
	return c.granted > before
}

func (c *cluster) drain() {
	for len(c.network) > 0 && c.fault == "" {
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
				// Drawn numbers tend to be small; hashed they are even.
				draws := uint64(0)
				choose := func(n int) int {
					draws++
					return int(hashPlace("choice", draws^rapid.Uint64().Draw(t, "choice")) % uint64(n))
				}
				c := newCluster(seats+2, seats, breachNone, mixes[choose(len(mixes))], choose)
				c.run(stepsPerRun)
				assert.Equal(t, c.fault, "")
				granted += c.granted
			})
			t.Logf("%d grants", granted)
			assert.Assert(t, granted > 0, "nothing was exercised")
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
		c := newCluster(seats+2, seats, breachNone, mixes[seed/3%uint64(len(mixes))], seeded(seed))
		c.run(2 * stepsPerRun)
		assert.Equal(t, c.fault, "", "seed %d", seed)
		granted += c.granted
		assert.Assert(t, c.heal(), "seed %d: no grant after the faults ended", seed)
		assert.Equal(t, c.fault, "", "seed %d", seed)
		activations += c.activations
		changes += int(c.roster.Epoch)
		if c.roster.Founded > 1 {
			generations++
		}
	}
	t.Logf("%d grants, %d roster changes, %d activations, %d runs with a new generation", granted, changes, activations, generations)
	enough := granted >= int(*seededRuns) && activations >= int(*seededRuns)/4 && generations >= int(*seededRuns)/10
	assert.Assert(t, enough, "the runs exercise too little")
}

func TestModelFindsBrokenRules(t *testing.T) {
	rules := map[string]breach{
		"a restarted replica votes":            breachFreshVotes,
		"a joining replica copies nothing":     breachNoCopy,
		"a new generation doesn't wait":        breachNoWait,
		"a granted attempt is released":        breachReleaseRunning,
		"grants count after the window":        breachLateGrants,
		"another process answers for the boot": breachUnverifiedIdentity,
		"a full replica forgets":               breachEvictsWhenFull,
	}
	for name, rule := range rules {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, findsViolation(t, rule), "the model misses the broken rule")
		})
	}
}

func findsViolation(t *testing.T, rule breach) bool {
	for seed := range uint64(5000) {
		c := newCluster(5, 3, rule, mixes[seed%uint64(len(mixes))], seeded(seed))
		c.run(2 * stepsPerRun)
		if c.fault != "" {
			t.Logf("seed %d: %s", seed, c.fault)
			return true
		}
	}
	return false
}

func TestWithoutFaultsEveryClaimIsGranted(t *testing.T) {
	c := newCluster(7, 5, breachNone, mixes[1], seeded(1))
	for i := range 50 {
		c.call(i%7, simKey{hash: c.unique(), first: c.now})
		c.drain()
		assert.Equal(t, c.granted, i+1)
	}
}
