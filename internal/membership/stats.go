package membership

// Stats holds counters since the start of the node and, in its last three fields, gauges.
type Stats struct {
	// BytesSent and BytesReceived count the datagrams' contents, without IP and UDP headers.
	BytesSent         uint64
	BytesReceived     uint64
	DatagramsSent     uint64
	DatagramsReceived uint64
	// DatagramsRejected counts datagrams that were malformed or from another cluster.
	DatagramsRejected uint64
	SendErrors        uint64
	// ProbesSent counts pings of members, ContactsSent pings of addresses whose member is
	// unknown.
	ProbesSent     uint64
	ContactsSent   uint64
	ProbesFailed   uint64
	IndirectProbes uint64
	// Suspicions counts the suspicions started on this node, whichever node raised them.
	Suspicions uint64
	// Deaths counts the members that this node declared dead.
	Deaths uint64
	// Refutations counts the records about this node that it had to refute.
	Refutations uint64
	Pauses      uint64
	// MembersRefused counts the members that were not added because the list was full.
	MembersRefused uint64
	Exchanges      uint64
	ExchangeErrors uint64
	// ExchangeBytes counts the response bytes received in exchanges.
	ExchangeBytes uint64
	// Known is the number of other members including tombstones, Present the number of those that
	// are neither dead nor left.
	Known   int
	Present int
	// QueuedUpdates is the length of the update queue.
	QueuedUpdates int
}

// Stats returns the current values of the counters and gauges.
func (m *Membership) Stats() Stats {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.stats
	current.Known = len(m.table.entries)
	current.Present = m.table.present.size()
	current.QueuedUpdates = m.updates.len()
	return current
}
