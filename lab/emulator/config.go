package emulator

import (
	"io"
	"time"

	"github.com/lugspur/lugspur/lab/mesh"
)

// Limits of the emulator.
const (
	// DefaultMaxRecords is the number of finished executions kept in memory.
	DefaultMaxRecords = 500_000
	// maxRequestBytes bounds a request's body, in bytes.
	maxRequestBytes = 1 << 20
	// maxAnswerBytes bounds the answer of a downstream call, in bytes.
	maxAnswerBytes = 16 << 20
	// maxMeshIdleConnections is the number of idle connections kept to one
	// mesh address.
	maxMeshIdleConnections = 1024
	// reportInterval is the time between two samples of load and health.
	reportInterval = 20 * time.Millisecond
	// maxReportLag bounds how far reports may lag.
	maxReportLag = time.Minute
	// defaultDownstreamTimeout bounds a downstream call without a deadline.
	defaultDownstreamTimeout = 30 * time.Second
)

// Config says what an emulator runs.
type Config struct {
	Mesh *mesh.Mesh
	// MeshAddresses are the addresses, by zone, that targets send their
	// downstream calls to; they can be set later.
	MeshAddresses map[string]string
	// ControlAddress is where the control listener listens; empty means that
	// there is none.
	ControlAddress string
	// Records receives every finished execution as a JSON line; nil means
	// that records are only kept in memory.
	Records io.Writer
	// MaxRecords bounds the finished executions in memory; the oldest go
	// first. Zero means DefaultMaxRecords.
	MaxRecords int
	// Seed makes service times and faults repeatable.
	Seed uint64
	// DownstreamAttempts is how often a target tries each downstream call on
	// its own; zero and one mean no retry. It is for baselines of targets
	// that retry at every hop.
	DownstreamAttempts int
	// OnlyZones restricts the emulator to the targets of these zones; empty
	// means all.
	OnlyZones []string
	// WarmStart skips the cold start of the first start.
	WarmStart bool
}
