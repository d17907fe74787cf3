package sidecar

import (
	"github.com/lugspur/lugspur/internal/clock"
	"github.com/lugspur/lugspur/internal/replica"
	"github.com/lugspur/lugspur/internal/shed"
)

// registerGauges registers the gauges whose values are read at each scrape.
func (n *Node) registerGauges() {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"configuration_version", "Version of the configuration in force.", func() float64 { return float64(n.routes.Version()) }},
		{"configuration_age_seconds", "Time since the configuration came into force here.", func() float64 { return n.feed.Age().Seconds() }},
		{"store_reachable", "Whether the store answered the last time, 1 or 0.", func() float64 { return boolValue(n.storeBreaker.Reachable()) }},
		{"store_epoch", "Epoch of the store, which rises each time that it comes back from a copy.", func() float64 { return float64(n.epochs.Current()) }},
		{"store_restores", "Times that the store came back from a copy since the process started.", func() float64 { return float64(n.epochs.Changes()) }},
		{"configuration_copy_revision", "Revision up to which the copy of the configuration is complete.", func() float64 { return revisionOf(n.replicas.configuration) }},
		{"records_copy_revision", "Revision up to which the copy of the records is complete.", func() float64 { return revisionOf(n.replicas.records) }},
		{"configuration_copy_age_seconds", "Time since the copy of the configuration was known to be current.", func() float64 { return ageSeconds(n.replicas.configuration) }},
		{"records_copy_age_seconds", "Time since the copy of the records was known to be current.", func() float64 { return ageSeconds(n.replicas.records) }},
		{"store_watched", "Whether the node is one of those that watch the store, 1 or 0.", func() float64 { return boolValue(n.replicas.recordsSyncer.IsWatcher()) }},
		{"configuration_verified_age_seconds", "Time since a read of the store began by which the configuration is known to be current; API keys rest on it.", func() float64 { return verifiedAgeSeconds(n.replicas.configuration) }},
		{"limit_shards_held", "Shards of tenants' limits that the node holds.", func() float64 { return float64(n.limits.shardManager.HeldCount()) }},
		{"tenant_rate_estimate_max", "Estimated requests a second of the tenant that sends the most, over all nodes and routes.", n.largestTenantRate},
		{"homes_known", "Homes with a ready target that the node knows.", func() float64 { return float64(n.directory.Count()) }},
		{"homes_suspected", "Homes that are passed over.", func() float64 { return float64(n.forwarder.Suspected()) }},
		{"requests_quarantined", "Requests that are refused as targets crash under them.", func() float64 { return float64(n.quarantine.Quarantined()) }},
		{"quarantine_unplaced", "Verdicts that were not taken because there were too many.", func() float64 { return float64(n.quarantine.OverflowCount()) }},
		{"requests_in_flight", "Requests that wait for their answer.", func() float64 { return float64(n.forwarder.InFlight()) }},
		{"retry_budget_left", "Repetitions left to the service with the fewest.", n.retryBudgetLeft},
		{"target_in_flight", "Calls at the target beside the node.", func() float64 { return float64(n.guard.Load("").InFlight) }},
		{"target_queued", "Calls that wait for the target.", func() float64 { return float64(n.guard.Load("").Queued) }},
		{"target_limit", "Calls that the target may work on at once.", func() float64 { return float64(n.guard.Load("").Limit) }},
		{"target_rate_limit", "Calls per second that the target announces to accept; negative if it announces no limit.", n.targetRateLimit},
		{"target_pace_percent", "Current duration of work at the target beside the node, in percent of its usual duration; 0 if it reports none.", func() float64 { return float64(n.guard.Pace().Percent) }},
		{"connections_open", "Connections that the process has accepted and not closed.", func() float64 { return float64(n.connections.table.Open()) }},
		{"connections_max", "Accepted connections beyond which idle ones are closed.", func() float64 { return float64(n.connections.table.Max()) }},
		{"memory_bytes", "Memory that the process has taken and not returned.", memoryInUse},
		{"memory_limit_bytes", "Memory of the process by its settings; a process that uses more is killed.", func() float64 { return float64(n.settings.Resources.memoryBytes()) }},
		{"shed_threshold_ratio", "Part of all ranks that the home admits; 1 sheds nothing.", func() float64 { return float64(n.guard.Load("").Threshold) / float64(shed.None) }},
	}
	for _, g := range gauges {
		n.metrics.gauge(g.name, g.help, g.read)
	}
}

func revisionOf(c *replica.Copy) float64 { return float64(c.Digest().Revision.Number()) }

// ageSeconds returns -1 for a replica that was never current.
func ageSeconds(c *replica.Copy) float64 {
	age, known := c.Age()
	if !known {
		return -1
	}
	return age.Seconds()
}

// verifiedAgeSeconds returns -1 for a replica that was never verified.
func verifiedAgeSeconds(c *replica.Copy) float64 {
	verified := c.VerifiedAt()
	if verified.IsZero() {
		return -1
	}
	return clock.Since(verified).Seconds()
}

// targetRateLimit returns -1 if the target announces no limit.
func (n *Node) targetRateLimit() float64 {
	announced := n.guard.RateLimit()
	if !announced.Limited {
		return -1
	}
	return announced.Rate
}

func boolValue(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// retryBudgetLeft returns the smallest retry budget of any service, 0 before the first request.
func (n *Node) retryBudgetLeft() float64 {
	left, known := n.forwarder.RetryBudgetLeft()
	if !known {
		return 0
	}
	return left
}
