package membership

import (
	"math/rand/v2"
	"slices"
)

// contactPeriods is the time between two attempts to reach a seed or a hinted
// address that is no member, while there are members.
const contactPeriods = 20

// eagerPeriods is how long after its start a node tries each period to reach a seed that is
// no member, though it knows members: nodes that start together would otherwise form an
// island around each seed.
const eagerPeriods = 12

// contacts are addresses at which members may be found.
type contacts struct {
	own   string
	seeds []string
	hints []string
}

func newContacts(seeds []string, own string) contacts {
	made := contacts{own: own}
	made.seeds = made.usable(seeds)
	return made
}

// usable returns the valid addresses other than our own.
func (c *contacts) usable(addresses []string) []string {
	var kept []string
	for _, address := range addresses {
		if address != c.own && validAddress(address) {
			kept = append(kept, address)
		}
	}
	return kept
}

// setHints replaces the hinted addresses, up to a limit.
func (c *contacts) setHints(addresses []string, limit int) {
	c.hints = c.usable(addresses[:min(limit, len(addresses))])
}

// none reports whether there is no address to try.
func (c *contacts) none() bool { return len(c.seeds)+len(c.hints) == 0 }

// draw returns a random address that is not among the known ones.
func (c *contacts) draw(random *rand.Rand, known map[string]struct{}) (string, bool) {
	isKnown := func(address string) bool {
		_, found := known[address]
		return found
	}
	candidates := slices.DeleteFunc(slices.Concat(c.seeds, c.hints), isKnown)
	if len(candidates) == 0 {
		return "", false
	}
	return candidates[random.IntN(len(candidates))], true
}

// contact tries to reach a seed or hint: every period while the node knows
// nobody or has just started, seldom otherwise.
func (m *Membership) contact() {
	eager := m.periods <= eagerPeriods || m.table.present.size() == 0
	if m.contacts.none() || !eager && m.periods%contactPeriods != 0 {
		return
	}
	address, found := m.contacts.draw(m.random, m.table.addresses())
	if found {
		m.pingAddress(address)
	}
}
