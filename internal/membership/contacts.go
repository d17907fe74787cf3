package membership

import (
	"math/rand/v2"
	"slices"
)

// contactIntervalPeriods is the number of periods between two pings of a seed or hinted address
// that is not a member, while the node has other members.
const contactIntervalPeriods = 20

// startupContactPeriods is for how many periods after its start a node pings such an address in
// every period, even if it has other members. Without it, nodes that start together would form
// a separate cluster around each seed.
const startupContactPeriods = 12

// contacts holds the addresses through which a node can join: the seeds and the hints.
type contacts struct {
	own   string
	seeds []string
	hints []string
}

func newContacts(seeds []string, own string) contacts {
	c := contacts{own: own}
	c.seeds = c.filterValid(seeds)
	return c
}

// filterValid returns the valid addresses other than the node's own.
func (c *contacts) filterValid(addresses []string) []string {
	var valid []string
	for _, address := range addresses {
		if address != c.own && validAddress(address) {
			valid = append(valid, address)
		}
	}
	return valid
}

// setHints replaces the hinted addresses, up to the limit.
func (c *contacts) setHints(addresses []string, limit int) {
	c.hints = c.filterValid(addresses[:min(limit, len(addresses))])
}

func (c *contacts) empty() bool { return len(c.seeds)+len(c.hints) == 0 }

// pickUnknown returns a random address that is not in the known set.
func (c *contacts) pickUnknown(random *rand.Rand, known map[string]struct{}) (string, bool) {
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

// pingContact pings a seed or hinted address that is not a member: in every period while the
// node has no other members or has just started, otherwise every contactIntervalPeriods.
func (m *Membership) pingContact() {
	everyPeriod := m.periodCount <= startupContactPeriods || m.table.present.size() == 0
	if m.contacts.empty() || !everyPeriod && m.periodCount%contactIntervalPeriods != 0 {
		return
	}
	address, found := m.contacts.pickUnknown(m.random, m.table.addresses())
	if found {
		m.pingAddress(address)
	}
}
