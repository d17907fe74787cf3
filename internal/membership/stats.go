package membership

// Stats are counters since the start, and two gauges.
type Stats struct {
	// BytesSent and BytesReceived count the datagrams' contents, without the
	// headers of IP and UDP.
	BytesSent         uint64
	BytesReceived     uint64
	DatagramsSent     uint64
	DatagramsReceived uint64
	// DatagramsRejected were malformed or of another cluster.
	DatagramsRejected uint64
	SendErrors        uint64
	// ProbesSent counts pings of members, ContactsSent those of bare addresses.
	ProbesSent     uint64
	ContactsSent   uint64
	ProbesFailed   uint64
	IndirectProbes uint64
	// Suspicions counts those taken up here, whoever raised them.
	Suspicions uint64
	// Deaths counts the suspicions that ran out here.
	Deaths uint64
	// Refutations counts how often this node had to refute something.
	Refutations uint64
	Pauses      uint64
	// MembersRefused counts those that found the list full.
	MembersRefused uint64
	Exchanges      uint64
	ExchangeErrors uint64
	// ExchangeBytes counts the bodies received in exchanges.
	ExchangeBytes uint64
	// Known is the number of other members, tombstones included; Present
	// leaves the tombstones out.
	Known   int
	Present int
	// QueuedUpdates is the number of changes still to be passed on.
	QueuedUpdates int
}

// Stats returns the current counters.
func (m *Membership) Stats() Stats {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	current := m.stats
	current.Known = len(m.table.entries)
	current.Present = m.table.present.size()
	current.QueuedUpdates = m.updates.len()
	return current
}
