package membership

// HandlePacket handles a received datagram. Source addresses are not trusted, and the amount of
// state that datagrams can make the node keep is bounded.
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
	if m.self.State.DeadOrLeft() {
		return
	}
	if received.Sender.Name == m.self.Name {
		m.refute(received.Sender)
		return
	}
	m.handleMessage(received, packet.From)
	m.updateSoleMember()
}

// handleMessage applies the records of a valid datagram, responds to it and handles it according
// to its kind.
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

// presentEntry returns the entry of a sender, or nil if the sender is not listed, is dead or
// left, or is listed with another run.
func (m *Membership) presentEntry(sender Member) *entry {
	known, found := m.table.entries[sender.Name]
	if !found || known.BootID != sender.BootID || known.State.DeadOrLeft() {
		return nil
	}
	return known
}

// listsSelfPresent returns false if the message lists this node as dead or left. An
// acknowledgement in such a message does not prove that the node is still a member. It must be
// called before the updates are applied, because applying such an update refutes it and raises
// the incarnation.
func (m *Membership) listsSelfPresent(received message) bool {
	for _, update := range received.Updates {
		if update.Name == m.self.Name && update.State.DeadOrLeft() && update.Incarnation >= m.self.Incarnation {
			return false
		}
	}
	return true
}

// reply acknowledges a ping. It also responds if the node lacks the sender's full record, if the
// sender requests the node's full record, or if the sender's record of itself is outdated; the
// response then contains the record that the sender has to refute.
func (m *Membership) reply(received message, from string) {
	known, found := m.table.entries[received.Sender.Name]
	recordMissing := !received.Sender.full() && !received.Sender.State.DeadOrLeft() &&
		(!found || known.BootID != received.Sender.BootID)
	outdated := found && !received.Sender.State.DeadOrLeft() &&
		(known.State.DeadOrLeft() || known.Incarnation > received.Sender.Incarnation)
	to := destination{
		address:    from,
		name:       received.Sender.Name,
		fullRecord: received.RequestRecord,
		outdated:   outdated,
	}
	response := message{Kind: kindGossip, RequestRecord: recordMissing}
	if received.Kind == kindPing {
		response.Kind = kindAck
		response.Sequence = received.Sequence
	}
	if response.Kind == kindAck || recordMissing || outdated || received.RequestRecord {
		m.send(to, response)
	}
}

// handleAck completes a probe, or relays the acknowledgement to the member that requested the
// probe.
func (m *Membership) handleAck(received message, provesMembership bool) {
	relayed, found := m.relays[received.Sequence]
	if found && relayed.target == received.Sender.Name {
		delete(m.relays, received.Sequence)
		relayedAck := message{Kind: kindRelayedAck, Sequence: relayed.requesterSequence, Target: relayed.target}
		relayedAck.Updates = []Member{m.table.entries[relayed.target].compact()}
		m.send(destination{address: relayed.requesterAddress, name: relayed.requesterName}, relayedAck)
		return
	}
	completed := m.prober.complete(received.Sequence, received.Sender.Name)
	if completed == nil {
		return
	}
	if provesMembership {
		m.isolation.recordAck(completed.sentAt)
	}
	if completed.target == "" {
		m.exchange.request(m.table.entries[received.Sender.Name].PeerAddress)
	}
}

// handlePingRequest probes a member on behalf of the sender. It pings only listed members, at the
// address in the node's own list, never an address from a datagram.
func (m *Membership) handlePingRequest(received message, from string) {
	target, found := m.table.entries[received.Target]
	if !found || len(m.relays) >= maxRelays {
		return
	}
	m.lastSequence++
	m.relays[m.lastSequence] = relay{
		requesterAddress:  from,
		requesterName:     received.Sender.Name,
		requesterSequence: received.Sequence,
		target:            target.Name,
		expiresAt:         m.now.Monotonic + m.config.Period,
	}
	m.send(toMember(target.Member), message{Kind: kindPing, Sequence: m.lastSequence})
	m.send(destination{address: from, name: received.Sender.Name}, message{Kind: kindPingRequestAck, Sequence: received.Sequence})
}

// handlePingRequestAck records the acknowledgement of a ping request. It does not complete the
// probe, but proves that the node is not isolated.
func (m *Membership) handlePingRequestAck(ack message, provesMembership bool) {
	for _, pending := range m.prober.probes {
		if provesMembership && pending.indirectSent && pending.sequence == ack.Sequence {
			m.isolation.recordAck(pending.indirectSentAt)
		}
	}
}

// handleRelayedAck completes a probe whose target has answered another member that probed it on
// behalf of this node.
func (m *Membership) handleRelayedAck(ack message, provesMembership bool) {
	completed := m.prober.complete(ack.Sequence, ack.Target)
	if completed != nil && provesMembership && completed.indirectSent {
		m.isolation.recordAck(completed.indirectSentAt)
	}
}
