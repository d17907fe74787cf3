package claim

// propose plans a change based on the roster in the store. commit writes it
// later, when the stored roster may have changed.
func (c *cluster) propose(m *machine, v View) {
	if !c.storeUp || m.partitioned {
		return
	}
	c.adopt(m, *c.roster)
	v.ReadyEpoch, _ = m.replica.Ready()
	if next, change := Plan(*c.roster, v); change != ChangeNone {
		m.proposal = &next
	}
}

func (c *cluster) commit(m *machine) {
	if m.proposal == nil || !c.storeUp || m.partitioned {
		return
	}
	if m.proposal.Epoch == c.roster.Epoch+1 {
		if c.roster.joiningSeatOf(c.self(m)) != nil && m.proposal.seatOf(c.self(m)) != nil {
			c.activations++
		}
		c.roster = m.proposal
		c.adopt(m, *c.roster)
	}
	m.proposal = nil
}

func (c *cluster) sendPageRequests(i int) {
	for _, req := range c.machines[i].replica.PageRequests() {
		c.send(i, c.indexOf(req.Member.Address), req.Request)
	}
}

func (c *cluster) adopt(m *machine, r Roster) {
	if !m.replica.Adopt(r, c.clock(m)) {
		return
	}
	if c.brokenRule == breachNoWait {
		m.replica.founderSince = m.replica.founderSince.Add(-2 * simRetention)
	}
	if c.brokenRule == breachNoCopy && m.replica.copying != nil {
		for _, s := range m.replica.copying.sources {
			m.replica.ReceivePage(Page{From: s.member.Identity, Epoch: r.Epoch, Last: true}, c.clock(m))
		}
	}
}
