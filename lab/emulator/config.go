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
	// maxRequestBytes is the maximum size of a request body.
	maxRequestBytes = 1 << 20
	// maxAnswerBytes is the maximum size of a downstream call's answer.
	maxAnswerBytes = 16 << 20
	// maxMeshIdleConnections is the maximum number of idle connections to one
	// mesh address.
	maxMeshIdleConnections = 1024
	// reportInterval is the interval at which load and health are sampled.
	reportInterval = 20 * time.Millisecond
	// maxReportLag is the maximum lag of reports.
	maxReportLag = time.Minute
	// defaultDownstreamTimeout is the timeout of every attempt of a downstream
	// call; an earlier deadline of the caller takes precedence.
	defaultDownstreamTimeout = 30 * time.Second
)

// Config is the configuration of an emulator.
type Config struct {
	Mesh *mesh.Mesh
	// MeshAddresses are the addresses, by zone, to which targets send their
	// downstream calls. SetMeshAddresses changes them later.
	MeshAddresses map[string]string
	// ControlAddress is the address of the control listener; empty disables
	// it.
	ControlAddress string
	// Records receives every finished execution as a JSON line; with nil,
	// records are only kept in memory.
	Records io.Writer
	// MaxRecords is the maximum number of finished executions in memory; the
	// oldest are dropped first. Zero means DefaultMaxRecords.
	MaxRecords int
	// Seed seeds the random sources of service times and faults.
	Seed uint64
	// DownstreamAttempts is the maximum number of attempts of a target for
	// each downstream call; zero and one disable retries. Baselines use it
	// for targets that retry at every hop.
	DownstreamAttempts int
	// OnlyZones restricts the emulator to the targets of these zones; empty
	// means all zones.
	OnlyZones []string
	// WarmStart makes targets start as if their cold start were over. A
	// restart is still cold.
	WarmStart bool
}
