package membership

// fullRecordPeriods is for how many periods after its start a node includes its full record in
// every datagram.
const fullRecordPeriods = 120

// announceFanout is the number of members to which a node immediately sends a change of its own
// state.
const announceFanout = 6

// destination is the receiver of a message, with the properties that determine which records the
// message contains.
type destination struct {
	address string
	// name is empty if the member at the address is unknown.
	name string
	// fullRecord is whether the receiver requested the node's full record.
	fullRecord bool
	// outdated is whether the receiver's own record is older than the one in this node's list.
	outdated bool
}

func toMember(member Member) destination {
	return destination{address: member.PeerAddress, name: member.Name}
}

// send adds the sender's record, the digest, the payload and queued updates to a message and
// sends it. A send error is treated like a lost datagram.
func (m *Membership) send(to destination, outgoing message) {
	outgoing.Cluster = m.config.ClusterName
	outgoing.Sender = m.senderRecord(to)
	outgoing.Digest = m.currentDigest()
	if payload := m.payload.Load(); payload != nil {
		outgoing.Payload = *payload
	}
	outgoing.Updates = append(outgoing.Updates, m.recordToRefute(to)...)
	encoded, err := encoder.Marshal(outgoing)
	if err != nil {
		m.logger.WithError(err).Error("failed to encode a datagram")
		return
	}
	space := min(maxUpdateBytes, MaxDatagram-len(encoded)-updatesOverhead)
	updates := m.updates.nextBatch(space, m.retransmitLimit(), to.name)
	if len(updates) > 0 {
		outgoing.Updates = append(outgoing.Updates, updates...)
		encoded, err = encoder.Marshal(outgoing)
	}
	if err == nil {
		m.transmit(to.address, encoded)
	}
}

// senderRecord returns the node's own record, in compact form if the receiver is expected to have
// the full record.
func (m *Membership) senderRecord(to destination) Member {
	known, found := m.table.entries[to.name]
	recentlyStarted := m.now.Monotonic-m.startedAt < fullRecordPeriods*m.config.Period
	if to.fullRecord || recentlyStarted || !found || known.State.DeadOrLeft() {
		return m.self
	}
	return m.self.compact()
}

// recordToRefute returns the receiver's record from this node's list if the receiver has to
// refute or update it, or nil.
func (m *Membership) recordToRefute(to destination) []Member {
	known, found := m.table.entries[to.name]
	if !found {
		return nil
	}
	if to.outdated || known.State == Suspect || known.State.DeadOrLeft() {
		return []Member{known.compact()}
	}
	return nil
}

func (m *Membership) transmit(address string, datagram []byte) {
	m.stats.DatagramsSent++
	m.stats.BytesSent += uint64(len(datagram))
	if err := m.config.Transport.Send(address, datagram); err != nil {
		m.stats.SendErrors++
		m.logger.WithError(err).Debug("failed to send a datagram")
	}
}

// gossip sends the payload and updates to Fanout members, one of them in another zone if there
// is one.
func (m *Membership) gossip() {
	if m.payload.Load() == nil && m.updates.len() == 0 {
		return
	}
	for _, receiver := range m.gossipReceivers() {
		m.send(toMember(receiver), message{Kind: kindGossip})
	}
}

func (m *Membership) gossipReceivers() []Member {
	present := m.table.present
	receivers := sample(m.random, present, 1, m.inOtherZone)
	remaining := m.config.Fanout - len(receivers)
	more := sample(m.random, present, remaining, func(candidate Member) bool {
		return !containsName(receivers, candidate.Name)
	})
	return append(receivers, more...)
}

func (m *Membership) inOtherZone(member Member) bool { return member.Zone != m.self.Zone }

// announceSelf sends a change of the node's own record immediately to announceFanout members.
func (m *Membership) announceSelf() {
	acceptAll := func(Member) bool { return true }
	for _, receiver := range sample(m.random, m.table.present, announceFanout, acceptAll) {
		m.send(toMember(receiver), message{Kind: kindGossip})
	}
}
