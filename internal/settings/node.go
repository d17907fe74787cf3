package settings

import "time"

// Millis is a duration in milliseconds.
type Millis int

// Duration returns the duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// Seconds is a duration in seconds.
type Seconds int

// Duration returns the duration.
func (s Seconds) Duration() time.Duration { return time.Duration(s) * time.Second }

// Node holds the settings of a node. It is not modified after Load.
type Node struct {
	// Name is the name of the node, unique in its cluster.
	Name string `toml:"name" validate:"required,node_name"`
	// Zone is the zone that the node runs in.
	Zone string `toml:"zone" validate:"required,node_name"`
	// Region is the region that the zone belongs to.
	Region string `toml:"region" validate:"required,node_name"`
	// Cluster is the name of the node's cluster; nodes of other clusters are
	// ignored.
	Cluster string `toml:"cluster" validate:"required,node_name"`

	Listen      Listen      `toml:"listen"`
	Advertise   Advertise   `toml:"advertise"`
	Store       Store       `toml:"store"`
	Membership  Membership  `toml:"membership"`
	MachineList MachineList `toml:"machine_list"`
	Admin       Admin       `toml:"admin"`
	Limits      Limits      `toml:"limits"`
	Retries     Retries     `toml:"retries"`
	Queue       Queue       `toml:"queue"`
	Drain       Drain       `toml:"drain"`
	Log         Log         `toml:"log"`
	Claims      Claims      `toml:"claims"`
	Features    Features    `toml:"features"`
}

// Listen holds the addresses that the node listens on.
type Listen struct {
	// Edge accepts calls from untrusted clients. Their call context is dropped.
	Edge string `toml:"edge" validate:"ip_port"`
	// Mesh accepts calls from targets and nodes. Their call context is trusted.
	Mesh string `toml:"mesh" validate:"ip_port"`
	// Peer accepts messages from other nodes, over UDP and TCP.
	Peer string `toml:"peer" validate:"ip_port"`
	// Admin serves the administration API, the health checks and the metrics.
	Admin string `toml:"admin" validate:"ip_port"`
}

// Advertise holds the addresses at which other nodes reach this one.
type Advertise struct {
	// Mesh is the address of the mesh listener for other nodes; empty means
	// listen.mesh.
	Mesh string `toml:"mesh" validate:"omitempty,ip_port"`
	// Peer is the address of the peer listener for other nodes; empty means
	// listen.peer.
	Peer string `toml:"peer" validate:"omitempty,ip_port"`
}

// The kinds of stores.
const (
	// StoreEtcd is a service that implements the JSON API of etcd v3.
	StoreEtcd = "etcd"
	// StoreMemory keeps all data in memory. It supports a single node only.
	StoreMemory = "memory"
)

// Store configures access to the platform's key-value store.
type Store struct {
	// Kind is the kind of the store: etcd, or memory for a single node.
	Kind string `toml:"kind" validate:"oneof=etcd memory"`
	// Endpoints are the addresses of the store. They are tried in turn.
	Endpoints []string `toml:"endpoints" validate:"max=16,dive,ip_port"`
	// RequestsPerSecond limits the rate of the node's requests to the store.
	RequestsPerSecond int `toml:"requests_per_second" validate:"min=1,max=10000"`
	// RequestTimeout is the timeout of a request to the store, in milliseconds.
	RequestTimeout Millis `toml:"request_timeout_ms" validate:"min=10,max=60000"`
}

// Membership configures the discovery of other nodes.
type Membership struct {
	// Seeds are peer addresses of some nodes, contacted until other nodes have
	// been discovered.
	Seeds []string `toml:"seeds" validate:"max=64,dive,ip_port"`
	// Period is the heartbeat interval, in milliseconds.
	Period Millis `toml:"period_ms" validate:"min=20,max=60000"`
}

// MachineList configures polling of the platform's list of machines.
type MachineList struct {
	// Address is the address of the server of the list; empty means that there
	// is no list.
	Address string `toml:"address" validate:"omitempty,ip_port"`
	// Poll is the polling interval, in milliseconds.
	Poll Millis `toml:"poll_ms" validate:"min=50,max=600000"`
}

// Admin configures access to the administration API.
type Admin struct {
	// Token is the token that write requests must present; empty means that the
	// node accepts no writes. No flag sets it, because it is a secret.
	Token string `toml:"token" flag:"none" validate:"omitempty,min=16,max=256,printascii"`
}

// Limits bounds the resource use of the node.
type Limits struct {
	// MaxBodyBytes is the maximum size of the body of a call, in bytes.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1024,max=1073741824"`
	// MaxAnswerBufferBytes is how much of an answer is buffered before its status
	// is sent, in bytes.
	MaxAnswerBufferBytes int64 `toml:"max_answer_buffer_bytes" validate:"min=1024,max=67108864"`
	// MaxHeaderBytes is the maximum size of the header of a call, in bytes.
	MaxHeaderBytes int `toml:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxConcurrentCalls is the maximum number of calls in flight in the node.
	// Each criticality level leaves a tenth of it to the levels above. Twice as
	// many calls from targets are allowed.
	MaxConcurrentCalls int `toml:"max_concurrent_calls" validate:"min=1,max=1000000"`
	// ReadHeaderTimeout is the timeout for reading the header of a call, in
	// milliseconds.
	ReadHeaderTimeout Millis `toml:"read_header_timeout_ms" validate:"min=10,max=600000"`
	// ReadBodyTimeout is the timeout for reading the body of a call, in
	// milliseconds.
	ReadBodyTimeout Millis `toml:"read_body_timeout_ms" validate:"min=10,max=600000"`
	// DefaultTimeout is the timeout of a call if neither the caller nor the
	// service sets one, in milliseconds.
	DefaultTimeout Millis `toml:"default_timeout_ms" validate:"min=1,max=600000"`
	// MaxTimeout is the maximum timeout of a call, even if the caller requests a
	// longer one, in milliseconds.
	MaxTimeout Millis `toml:"max_timeout_ms" validate:"min=1,max=600000"`
}

// Retries limits the retries.
type Retries struct {
	// MaxPerRequest is the maximum number of retries of a request across its whole
	// call chain.
	MaxPerRequest int `toml:"max_per_request" validate:"min=0,max=20"`
	// RatioPercent limits the node's retries to a percentage of its successful
	// calls.
	RatioPercent int `toml:"ratio_percent" validate:"min=0,max=100"`
}

// Queue limits the queues of calls that wait for a target.
type Queue struct {
	// MaxLength is the maximum number of calls that wait for one target.
	MaxLength int `toml:"max_length" validate:"min=0,max=100000"`
	// MaxWait is the maximum time that a call waits, in milliseconds. A call of
	// the highest criticality may wait for a third of its remaining time if that is
	// longer.
	MaxWait Millis `toml:"max_wait_ms" validate:"min=0,max=600000"`
}

// Drain configures the shutdown of the node.
type Drain struct {
	// Timeout is the maximum time for calls in flight to complete during a
	// shutdown, in milliseconds.
	Timeout Millis `toml:"timeout_ms" validate:"min=0,max=3600000"`
}

// Log configures logging.
type Log struct {
	// Level is the lowest severity that is logged.
	Level string `toml:"level" validate:"oneof=error warn info debug"`
}

// Claims configures the claims that make calls with an idempotency key run at
// most once.
type Claims struct {
	// Replicas is the number of nodes that store a claim; a majority must grant
	// it. A cluster with fewer nodes uses a smaller roster, of at least three.
	Replicas int `toml:"replicas" validate:"oneof=1 3 5 7"`
	// Retention is how long a claim is stored, in seconds.
	Retention Seconds `toml:"retention_s" validate:"min=20,max=86400"`
}

// Features allows experiments to disable mechanisms in order to measure the effect
// of each. All of them are enabled in production.
type Features struct {
	// Homes assigns each target a home node that limits its concurrency; if
	// disabled, every node applies its own limit.
	Homes bool `toml:"homes"`
	// ShedLevels propagates shed levels up the call chain, so that overload is
	// shed at the edge first.
	ShedLevels bool `toml:"shed_levels"`
	// AdaptiveLimit adapts a target's limit to its measured delay; if disabled,
	// the limit is the target's declared number of slots.
	AdaptiveLimit bool `toml:"adaptive_limit"`
	// PriorityQueue orders waiting calls by criticality; if disabled, the queue is
	// first in, first out.
	PriorityQueue bool `toml:"priority_queue"`
	// RetryRatio limits retries to retries.ratio_percent.
	RetryRatio bool `toml:"retry_ratio"`
	// Warmup raises the limit of a new target gradually.
	Warmup bool `toml:"warmup"`
}

// Default returns the default settings. They have no name and no zone, which the
// file or a flag must set.
func Default() Node {
	return Node{
		Region:  "default",
		Cluster: "lugspur",
		Listen: Listen{
			Edge:  "127.0.0.1:7400",
			Mesh:  "127.0.0.1:7401",
			Peer:  "127.0.0.1:7402",
			Admin: "127.0.0.1:7403",
		},
		Store:       Store{Kind: StoreEtcd, RequestsPerSecond: 20, RequestTimeout: 2000},
		Membership:  Membership{Period: 500},
		MachineList: MachineList{Poll: 1000},
		Limits: Limits{
			MaxBodyBytes:         1 << 20,
			MaxAnswerBufferBytes: 256 << 10,
			MaxHeaderBytes:       32 << 10,
			MaxConcurrentCalls:   4096,
			ReadHeaderTimeout:    5000,
			ReadBodyTimeout:      10000,
			DefaultTimeout:       5000,
			MaxTimeout:           60000,
		},
		Retries:  Retries{MaxPerRequest: 3, RatioPercent: 10},
		Queue:    Queue{MaxLength: 256, MaxWait: 500},
		Drain:    Drain{Timeout: 30000},
		Log:      Log{Level: "info"},
		Claims:   Claims{Replicas: 5, Retention: 600},
		Features: Features{Homes: true, ShedLevels: true, AdaptiveLimit: true, PriorityQueue: true, RetryRatio: true, Warmup: true},
	}
}
