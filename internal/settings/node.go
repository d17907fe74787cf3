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

// Node is everything that one node is told when it starts. It is not changed
// after Load.
type Node struct {
	// Name names the node; no two nodes of a cluster share one.
	Name string `toml:"name" validate:"required,node_name"`
	// Zone is the zone that the node runs in.
	Zone string `toml:"zone" validate:"required,node_name"`
	// Region is the region that the zone belongs to.
	Region string `toml:"region" validate:"required,node_name"`
	// Cluster names the set of nodes that work together; nodes of another
	// cluster are ignored.
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
	// Edge takes calls of strangers; the context that they bring is dropped.
	Edge string `toml:"edge" validate:"ip_port"`
	// Mesh takes calls of targets and nodes; the context that they bring is
	// believed.
	Mesh string `toml:"mesh" validate:"ip_port"`
	// Peer takes what nodes tell each other, over UDP and TCP.
	Peer string `toml:"peer" validate:"ip_port"`
	// Admin takes the administration API, the health checks and the metrics.
	Admin string `toml:"admin" validate:"ip_port"`
}

// Advertise holds the addresses under which other nodes reach this one.
type Advertise struct {
	// Mesh is the address of the mesh listener as others reach it; empty means
	// listen.mesh.
	Mesh string `toml:"mesh" validate:"omitempty,ip_port"`
	// Peer is the address of the peer listener as others reach it; empty means
	// listen.peer.
	Peer string `toml:"peer" validate:"omitempty,ip_port"`
}

// The kinds of stores.
const (
	// StoreEtcd is a service that speaks the JSON form of the etcd v3 API.
	StoreEtcd = "etcd"
	// StoreMemory keeps everything in the node's memory: for one node alone.
	StoreMemory = "memory"
)

// Store tells how the platform's key-value service is reached.
type Store struct {
	// Kind is the kind of the store: etcd, or memory for one node alone.
	Kind string `toml:"kind" validate:"oneof=etcd memory"`
	// Endpoints are the addresses of the store, tried in turn.
	Endpoints []string `toml:"endpoints" validate:"max=16,dive,ip_port"`
	// RequestsPerSecond bounds the node's requests to the store, in requests a
	// second.
	RequestsPerSecond int `toml:"requests_per_second" validate:"min=1,max=10000"`
	// RequestTimeout bounds one request to the store, in milliseconds.
	RequestTimeout Millis `toml:"request_timeout_ms" validate:"min=10,max=60000"`
}

// Membership tells how the node finds the others.
type Membership struct {
	// Seeds are peer addresses of some nodes, asked until others are known.
	Seeds []string `toml:"seeds" validate:"max=64,dive,ip_port"`
	// Period is the time between two heartbeats, in milliseconds.
	Period Millis `toml:"period_ms" validate:"min=20,max=60000"`
}

// MachineList tells how the platform's list of machines is read.
type MachineList struct {
	// Address is where the list of machines is served; empty means that there
	// is none.
	Address string `toml:"address" validate:"omitempty,ip_port"`
	// Poll is the time between two readings of the list, in milliseconds.
	Poll Millis `toml:"poll_ms" validate:"min=50,max=600000"`
}

// Admin tells who may use the administration API.
type Admin struct {
	// Token is what writes must show; empty means that this node takes no
	// writes. It is a secret, so that no flag sets it.
	Token string `toml:"token" flag:"none" validate:"omitempty,min=16,max=256,printascii"`
}

// Limits bounds what one node takes on.
type Limits struct {
	// MaxBodyBytes bounds the body of a call, in bytes.
	MaxBodyBytes int64 `toml:"max_body_bytes" validate:"min=1024,max=1073741824"`
	// MaxAnswerBufferBytes is how much of an answer is held before its status
	// is sent, in bytes.
	MaxAnswerBufferBytes int64 `toml:"max_answer_buffer_bytes" validate:"min=1024,max=67108864"`
	// MaxHeaderBytes bounds the header of a call, in bytes.
	MaxHeaderBytes int `toml:"max_header_bytes" validate:"min=1024,max=1048576"`
	// MaxConcurrentCalls bounds the calls that are in the node at one time. Each
	// criticality level leaves a tenth of it to the levels above; calls of targets
	// may come to twice as many.
	MaxConcurrentCalls int `toml:"max_concurrent_calls" validate:"min=1,max=1000000"`
	// ReadHeaderTimeout bounds the time to read a call's header, in
	// milliseconds.
	ReadHeaderTimeout Millis `toml:"read_header_timeout_ms" validate:"min=10,max=600000"`
	// ReadBodyTimeout bounds the time to read a call's body, in milliseconds.
	ReadBodyTimeout Millis `toml:"read_body_timeout_ms" validate:"min=10,max=600000"`
	// DefaultTimeout bounds a call for which neither the caller nor the service
	// gives a time, in milliseconds.
	DefaultTimeout Millis `toml:"default_timeout_ms" validate:"min=1,max=600000"`
	// MaxTimeout bounds every call, whatever the caller asks for, in
	// milliseconds.
	MaxTimeout Millis `toml:"max_timeout_ms" validate:"min=1,max=600000"`
}

// Retries bounds the retries.
type Retries struct {
	// MaxPerRequest bounds the retries of one request across the whole chain.
	MaxPerRequest int `toml:"max_per_request" validate:"min=0,max=20"`
	// RatioPercent bounds the node's retries, in percent of its successes.
	RatioPercent int `toml:"ratio_percent" validate:"min=0,max=100"`
}

// Queue bounds the queue of calls that wait for a target.
type Queue struct {
	// MaxLength bounds the calls that wait for one target.
	MaxLength int `toml:"max_length" validate:"min=0,max=100000"`
	// MaxWait bounds the time that a call waits, in milliseconds. One of the
	// highest criticality may wait for a third of its time if that is longer.
	MaxWait Millis `toml:"max_wait_ms" validate:"min=0,max=600000"`
}

// Drain tells how the node stops.
type Drain struct {
	// Timeout bounds the time that a stopping node gives its calls in flight,
	// in milliseconds.
	Timeout Millis `toml:"timeout_ms" validate:"min=0,max=3600000"`
}

// Log tells what is logged.
type Log struct {
	// Level is the least severe level that is logged.
	Level string `toml:"level" validate:"oneof=error warn info debug"`
}

// Claims tells how calls that are not repeatable are claimed.
type Claims struct {
	// Replicas is how many nodes hold a claim; a majority must agree. A cluster
	// with fewer nodes gets a smaller roster, of three at least.
	Replicas int `toml:"replicas" validate:"oneof=1 3 5 7"`
	// Retention is how long a claim is held, in seconds.
	Retention Seconds `toml:"retention_s" validate:"min=20,max=86400"`
}

// Features turns mechanisms off for experiments that measure what each brings.
// A node that serves callers has all of them on.
type Features struct {
	// Homes lets one home node guard each target; off, every node limits on its
	// own.
	Homes bool `toml:"homes"`
	// ShedLevels passes shed levels up the chain, so that the edge refuses
	// first.
	ShedLevels bool `toml:"shed_levels"`
	// AdaptiveLimit adapts a target's limit to its measured delay; off, the
	// limit is the target's declared slots.
	AdaptiveLimit bool `toml:"adaptive_limit"`
	// PriorityQueue orders waiting calls by criticality; off, the queue is first
	// in, first out.
	PriorityQueue bool `toml:"priority_queue"`
	// RetryRatio holds retries to retries.ratio_percent.
	RetryRatio bool `toml:"retry_ratio"`
	// Warmup raises the limit of a target that joins step by step.
	Warmup bool `toml:"warmup"`
}

// Default returns the settings that hold where neither the file nor a flag says
// otherwise. They lack a name and a zone.
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
