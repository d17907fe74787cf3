package membership

// HandlePacket takes in a received datagram. Its source is not trusted: it
// cannot make the node keep more than bounded state.
func (m *Membership) HandlePacket(now Instant, packet Packet) {
	m.noticePause(now)
	m.mutex.Lock()
	defer m.release()
	m.now = now
	m.stats.DatagramsReceived++
	m.stats.BytesReceived += uint64(len(packet.Data))
	received, err := decodeMessage(packet.Data, now.Wall)
	if err != nil || received.Cluster != m.config.ClusterName {
		m.stats.DatagramsRejected++
		return
	}
	if m.self.State.Gone() {
		return
	}
	if received.Sender.Name == m.self.Name {
		m.refute(received.Sender)
		return
	}
	m.takeIn(received, packet.From)
	m.updateAlone()
}

// takeIn learns what a valid datagram says and answers it.
func (m *Membership) takeIn(received message, from string) {
	m.learn(received.Sender, "")
	trusted := m.trusted(received)
	sender := m.present(received.Sender)
	source := ""
	if sender != nil {
		source = sender.PeerAddress
	}
	for _, update := range received.Updates {
		m.learn(update, source)
	}
	sender = m.present(received.Sender)
	if sender != nil {
		m.compareDigest(received.Digest, sender)
	}
	if sender != nil && len(received.Payload) > 0 {
		m.deliverPayload(sender.Member, received.Payload)
	}
	m.answer(received, from)
	if sender == nil {
		return
	}
	switch received.Kind {
	case kindAck:
		m.acknowledged(received, trusted)
	case kindPingRequest:
		m.relayPing(received, from)
	case kindReceipt:
		m.received(received, trusted)
	case kindRelayedAck:
		m.relayAcknowledged(received, trusted)
	}
}

// compareDigest notes whether the sender's list is the same as ours.
func (m *Membership) compareDigest(told uint64, sender *entry) {
	if told == 0 {
		return
	}
	if told == m.currentDigest() {
		m.exchange.agreed(m.config.Period)
		return
	}
	m.exchange.differs(sender.PeerAddress, m.now.Monotonic, m.config.Period)
}

// present returns the entry of a sender that is a member in its current run.
func (m *Membership) present(sender Member) *entry {
	known, found := m.table.entries[sender.Name]
	if !found || known.BootID != sender.BootID || known.State.Gone() {
		return nil
	}
	return known
}

// trusted reports whether the sender holds us live, so that its answer may
// prove our place in the cluster. It is asked before the updates are learnt,
// as one about ourselves would be refuted by that.
func (m *Membership) trusted(received message) bool {
	for _, update := range received.Updates {
		if update.Name == m.self.Name && update.State.Gone() && update.Incarnation >= m.self.Incarnation {
			return false
		}
	}
	return true
}

// answer acknowledges a ping and tells the sender what it must know: that we
// lack its full record, ours if it asks, and what it has to refute.
func (m *Membership) answer(received message, from string) {
	known, found := m.table.entries[received.Sender.Name]
	strange := !received.Sender.full() && !received.Sender.State.Gone() &&
		(!found || known.BootID != received.Sender.BootID)
	outdated := found && !received.Sender.State.Gone() &&
		(known.State.Gone() || known.Incarnation > received.Sender.Incarnation)
	to := destination{
		address:   from,
		name:      received.Sender.Name,
		introduce: received.Introduce,
		outdated:  outdated,
	}
	reply := message{Kind: kindGossip, Introduce: strange}
	if received.Kind == kindPing {
		reply.Kind = kindAck
		reply.Sequence = received.Sequence
	}
	if reply.Kind == kindAck || strange || outdated || received.Introduce {
		m.send(to, reply)
	}
}

// acknowledged ends a probe, or hands the answer on to who asked for it.
func (m *Membership) acknowledged(received message, trusted bool) {
	made, relayed := m.relays[received.Sequence]
	if relayed && made.target == received.Sender.Name {
		delete(m.relays, received.Sequence)
		answer := message{Kind: kindRelayedAck, Sequence: made.sequence, Target: made.target}
		answer.Updates = []Member{m.table.entries[made.target].compact()}
		m.send(destination{address: made.requester, name: made.name}, answer)
		return
	}
	ended := m.prober.take(received.Sequence, received.Sender.Name)
	if ended == nil {
		return
	}
	if trusted {
		m.guard.prove(ended.sentAt)
	}
	if ended.target == "" {
		m.exchange.want(m.table.entries[received.Sender.Name].PeerAddress)
	}
}

// relayPing probes a member for another one. Only members are probed, at the
// address in our own list.
func (m *Membership) relayPing(received message, from string) {
	target, found := m.table.entries[received.Target]
	if !found || len(m.relays) >= maxRelays {
		return
	}
	m.sequence++
	m.relays[m.sequence] = relay{
		requester: from,
		name:      received.Sender.Name,
		sequence:  received.Sequence,
		target:    target.Name,
		expires:   m.now.Monotonic + m.config.Period,
	}
	m.send(toMember(target.Member), message{Kind: kindPing, Sequence: m.sequence})
	m.send(destination{address: from, name: received.Sender.Name}, message{Kind: kindReceipt, Sequence: received.Sequence})
}

// received takes the receipt of a ping request: the target is in doubt, but we
// are not isolated.
func (m *Membership) received(receipt message, trusted bool) {
	for _, pending := range m.prober.probes {
		if trusted && pending.indirect && pending.sequence == receipt.Sequence {
			m.guard.prove(pending.indirectAt)
		}
	}
}

// relayAcknowledged ends a probe that another member has made for us.
func (m *Membership) relayAcknowledged(answer message, trusted bool) {
	ended := m.prober.take(answer.Sequence, answer.Target)
	if ended != nil && trusted && ended.indirect {
		m.guard.prove(ended.indirectAt)
	}
}
