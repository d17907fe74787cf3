package membership

// HandlePacket handles a received datagram. The source address is not trusted, and the state
// that datagrams can make the node keep is limited.
func (m *Membership) HandlePacket(now Instant, packet Packet) {
	m.detectPause(now)
	m.mutex.Lock()
	defer m.unlockAndWake()
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
	m.handleMessage(received, packet.From)
	m.updateSoleMember()
}

// handleMessage applies the records of a valid datagram and answers it.
func (m *Membership) handleMessage(received message, from string) {
	m.applyRecord(received.Sender, "")
	provesMembership := m.listsSelfPresent(received)
	sender := m.presentEntry(received.Sender)
	source := ""
	if sender != nil {
		source = sender.PeerAddress
	}
	for _, update := range received.Updates {
		m.applyRecord(update, source)
	}
	sender = m.presentEntry(received.Sender)
	if sender != nil {
		m.compareDigest(received.Digest, sender)
	}
	if sender != nil && len(received.Payload) > 0 {
		m.deliverPayload(sender.Member, received.Payload)
	}
	m.reply(received, from)
	if sender == nil {
		return
	}
	switch received.Kind {
	case kindAck:
		m.handleAck(received, provesMembership)
	case kindPingRequest:
		m.handlePingRequest(received, from)
	case kindPingRequestAck:
		m.handlePingRequestAck(received, provesMembership)
	case kindRelayedAck:
		m.handleRelayedAck(received, provesMembership)
	}
}

// compareDigest records whether the sender's list equals the node's own.
func (m *Membership) compareDigest(digest uint64, sender *entry) {
	if digest == 0 {
		return
	}
	if digest == m.currentDigest() {
		m.exchange.recordMatch(m.config.Period)
		return
	}
	m.exchange.recordMismatch(sender.PeerAddress, m.now.Monotonic, m.config.Period)
}

// presentEntry returns the entry of a sender if its current run is a member that is not gone,
// or nil.
func (m *Membership) presentEntry(sender Member) *entry {
	known, found := m.table.entries[sender.Name]
	if !found || known.BootID != sender.BootID || known.State.Gone() {
		return nil
	}
	return known
}

// listsSelfPresent reports whether the sender does not list this node as dead or left;
// otherwise its answer does not prove that the node is still a member. It must be called
// before the updates are applied, because applying such an update refutes it and raises the
// incarnation.
func (m *Membership) listsSelfPresent(received message) bool {
	for _, update := range received.Updates {
		if update.Name == m.self.Name && update.State.Gone() && update.Incarnation >= m.self.Incarnation {
			return false
		}
	}
	return true
}

// reply acknowledges a ping. It also requests the sender's full record if the node lacks it,
// sends the node's own if requested, and sends the record that the sender has to refute.
func (m *Membership) reply(received message, from string) {
	known, found := m.table.entries[received.Sender.Name]
	recordMissing := !received.Sender.full() && !received.Sender.State.Gone() &&
		(!found || known.BootID != received.Sender.BootID)
	outdated := found && !received.Sender.State.Gone() &&
		(known.State.Gone() || known.Incarnation > received.Sender.Incarnation)
	to := destination{
		address:    from,
		name:       received.Sender.Name,
		fullRecord: received.RequestRecord,
		outdated:   outdated,
	}
	reply := message{Kind: kindGossip, RequestRecord: recordMissing}
	if received.Kind == kindPing {
		reply.Kind = kindAck
		reply.Sequence = received.Sequence
	}
	if reply.Kind == kindAck || recordMissing || outdated || received.RequestRecord {
		m.send(to, reply)
	}
}

// handleAck ends a probe, or relays the acknowledgement to the member that requested the
// probe.
func (m *Membership) handleAck(received message, provesMembership bool) {
	relayed, found := m.relays[received.Sequence]
	if found && relayed.target == received.Sender.Name {
		delete(m.relays, received.Sequence)
		answer := message{Kind: kindRelayedAck, Sequence: relayed.requesterSequence, Target: relayed.target}
		answer.Updates = []Member{m.table.entries[relayed.target].compact()}
		m.send(destination{address: relayed.requesterAddress, name: relayed.requesterName}, answer)
		return
	}
	completed := m.prober.complete(received.Sequence, received.Sender.Name)
	if completed == nil {
		return
	}
	if provesMembership {
		m.guard.recordAck(completed.sentAt)
	}
	if completed.target == "" {
		m.exchange.request(m.table.entries[received.Sender.Name].PeerAddress)
	}
}

// handlePingRequest probes a member on behalf of the sender. It probes only members, at the
// address in the node's own list, and not the addresses that a datagram contains.
func (m *Membership) handlePingRequest(received message, from string) {
	target, found := m.table.entries[received.Target]
	if !found || len(m.relays) >= maxRelays {
		return
	}
	m.sequence++
	m.relays[m.sequence] = relay{
		requesterAddress:  from,
		requesterName:     received.Sender.Name,
		requesterSequence: received.Sequence,
		target:            target.Name,
		expires:           m.now.Monotonic + m.config.Period,
	}
	m.send(toMember(target.Member), message{Kind: kindPing, Sequence: m.sequence})
	m.send(destination{address: from, name: received.Sender.Name}, message{Kind: kindPingRequestAck, Sequence: received.Sequence})
}

// handlePingRequestAck records the acknowledgement of a ping request: the target is still in
// doubt, but the node is not isolated.
func (m *Membership) handlePingRequestAck(receipt message, provesMembership bool) {
	for _, pending := range m.prober.probes {
		if provesMembership && pending.indirect && pending.sequence == receipt.Sequence {
			m.guard.recordAck(pending.indirectAt)
		}
	}
}

// handleRelayedAck ends a probe that another member has completed on behalf of this node.
func (m *Membership) handleRelayedAck(answer message, provesMembership bool) {
	completed := m.prober.complete(answer.Sequence, answer.Target)
	if completed != nil && provesMembership && completed.indirect {
		m.guard.recordAck(completed.indirectAt)
	}
}
