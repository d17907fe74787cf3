package membership

// introductionPeriods is how long after its start a node sends its full record
// in every datagram.
const introductionPeriods = 120

// announceCount is the number of members told at once that the node leaves.
const announceCount = 6

// destination says where a message goes and what its receiver needs to be told.
type destination struct {
	address string
	// name is empty when the member at the address is not known.
	name string
	// introduce asks for our full record.
	introduce bool
	// outdated means that the receiver lags behind what is believed of it.
	outdated bool
}

func toMember(member Member) destination {
	return destination{address: member.PeerAddress, name: member.Name}
}

// send completes a message with the sender, the payload and more updates and
// sends it. A failed send counts as a lost datagram.
func (m *Membership) send(to destination, outgoing message) {
	outgoing.Cluster = m.config.ClusterName
	outgoing.Sender = m.senderRecord(to)
	outgoing.Digest = m.currentDigest()
	if payload := m.payload.Load(); payload != nil {
		outgoing.Payload = *payload
	}
	outgoing.Updates = append(outgoing.Updates, m.correction(to)...)
	encoded, err := encoder.Marshal(outgoing)
	if err != nil {
		m.logger.WithError(err).Error("datagram could not be encoded")
		return
	}
	space := min(maxUpdateBytes, MaxDatagram-len(encoded)-updatesOverhead)
	updates := m.updates.take(space, m.retransmitLimit(), to.name)
	if len(updates) > 0 {
		outgoing.Updates = append(outgoing.Updates, updates...)
		encoded, err = encoder.Marshal(outgoing)
	}
	if err == nil {
		m.transmit(to.address, encoded)
	}
}

// senderRecord returns our record: compact for those who should know the rest.
func (m *Membership) senderRecord(to destination) Member {
	known, found := m.table.entries[to.name]
	introducing := m.now.Monotonic-m.started < introductionPeriods*m.config.Period
	if to.introduce || introducing || !found || known.State.Gone() {
		return m.self
	}
	return m.self.compact()
}

// correction returns what the receiver should refute about itself.
func (m *Membership) correction(to destination) []Member {
	known, found := m.table.entries[to.name]
	if !found {
		return nil
	}
	if to.outdated || known.State == Suspect || known.State.Gone() {
		return []Member{known.compact()}
	}
	return nil
}

func (m *Membership) transmit(address string, datagram []byte) {
	m.stats.DatagramsSent++
	m.stats.BytesSent += uint64(len(datagram))
	if err := m.config.Transport.Send(address, datagram); err != nil {
		m.stats.SendErrors++
		m.logger.WithError(err).Debug("datagram could not be sent")
	}
}

// spread sends the payload and updates to a few extra members, one of them in
// another zone if there is one.
func (m *Membership) spread() {
	if m.payload.Load() == nil && m.updates.len() == 0 {
		return
	}
	for _, receiver := range m.spreadReceivers() {
		m.send(toMember(receiver), message{Kind: kindGossip})
	}
}

func (m *Membership) spreadReceivers() []Member {
	present := m.table.present
	receivers := sample(m.random, present, 1, m.inOtherZone)
	rest := m.config.Fanout - len(receivers)
	more := sample(m.random, present, rest, func(candidate Member) bool {
		return !containsName(receivers, candidate.Name)
	})
	return append(receivers, more...)
}

func (m *Membership) inOtherZone(member Member) bool { return member.Zone != m.self.Zone }

// announce tells some members at once about a change of our own record.
func (m *Membership) announce() {
	anyone := func(Member) bool { return true }
	for _, receiver := range sample(m.random, m.table.present, announceCount, anyone) {
		m.send(toMember(receiver), message{Kind: kindGossip})
	}
}
