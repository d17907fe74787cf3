package claim

// propose plans a change based on the roster in the store. commit writes it
// later, when the stored roster may have changed.
func (c *simCluster) propose(node *simNode, v View) {
	if !c.storeUp || node.partitioned {
		return
	}
	c.adopt(node, *c.roster)
	v.ReadyEpoch, _ = node.replica.Ready()
	if next, change := Plan(*c.roster, v); change != ChangeNone {
		node.proposal = &next
	}
}

func (c *simCluster) commit(node *simNode) {
	if node.proposal == nil || !c.storeUp || node.partitioned {
		return
	}
	if node.proposal.Epoch == c.roster.Epoch+1 {
		if c.roster.joiningSeatOf(c.self(node)) != nil && node.proposal.seatOf(c.self(node)) != nil {
			c.activations++
		}
		c.roster = node.proposal
		c.adopt(node, *c.roster)
	}
	node.proposal = nil
}

func (c *simCluster) sendPageRequests(i int) {
	for _, req := range c.nodes[i].replica.PageRequests() {
		c.send(i, c.indexOf(req.Member.Address), req.Request)
	}
}

func (c *simCluster) adopt(node *simNode, r Roster) {
	if !node.replica.Adopt(r, c.clock(node)) {
		return
	}
	if c.mutation == mutationSkipWait {
		node.replica.founderSince = node.replica.founderSince.Add(-2 * simRetention)
	}
	if c.mutation == mutationSkipCopy && node.replica.copying != nil {
		for _, s := range node.replica.copying.sources {
			node.replica.ReceivePage(Page{From: s.member.Identity, Epoch: r.Epoch, Last: true}, c.clock(node))
		}
	}
}
