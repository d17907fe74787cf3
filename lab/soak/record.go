package soak

import (
	"sync"
	"time"
)

// allMachines is the machine index of a disturbance that affects all machines.
const allMachines = -1

// Request is a request and its result as its caller observed them.
type Request struct {
	ID      string `json:"id"`
	Machine int    `json:"machine"`
	// Incarnation counts the starts of the machine's process before the request.
	Incarnation int    `json:"life"`
	Method      string `json:"method"`
	Path        string `json:"path"`
	// CrashesTarget is set if the request crashes each target that runs it.
	CrashesTarget bool `json:"deadly,omitempty"`
	// Large is set if the request or its response has a large body, which takes its caller long to
	// send or to read.
	Large bool `json:"large,omitempty"`
	// Version is the only configuration version that allows the request; zero on
	// routes that exist in all versions.
	Version int `json:"version,omitempty"`
	// Tenant is the tenant of the request's API key, empty on public routes. KeyVersion
	// is the configuration version of the key if each version has its own.
	Tenant     string        `json:"tenant,omitempty"`
	KeyVersion int           `json:"key_version,omitempty"`
	Deadline   time.Duration `json:"deadline_ns"`
	Sent       time.Time     `json:"sent"`
	Ended      time.Time     `json:"ended"`
	// Connected is set if the request got a connection, and Reused if that connection
	// had served other requests before.
	Connected bool `json:"connected"`
	Reused    bool `json:"reused"`
	// Status is zero without a complete response; Failure is the reason.
	Status    int    `json:"status"`
	Failure   string `json:"failure,omitempty"`
	Signature string `json:"signature,omitempty"`
	// Target is the start of the target that answered, RateLimited whether the response
	// announces a rate limit, and Leaving whether it announces that the target is leaving.
	Target      string `json:"target,omitempty"`
	RateLimited bool   `json:"rate_limited,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
	Body        string `json:"body,omitempty"`
}

// nonIdempotent reports whether the request must run at most once.
func (r *Request) nonIdempotent() bool { return r.Method == "POST" }

// disturbanceKind tells what a disturbance does to the process of the machine.
type disturbanceKind uint8

const (
	// otherDisturbance leaves the process running.
	otherDisturbance disturbanceKind = iota
	// processRestart ends the process and starts another one.
	processRestart
	// processFreeze stops the process for some time.
	processFreeze
	// linkCut cuts or harms the connections of the machine.
	linkCut
)

// disturbance is a period with a fault or planned work on a machine, or on the
// store for all machines.
type disturbance struct {
	kind     disturbanceKind
	machine  int
	planned  bool
	from, to time.Time
}

// acknowledgedDrain is a target whose drain was acknowledged.
type acknowledgedDrain struct {
	target string
	at     time.Time
}

// acknowledgedVersion is a configuration version whose write the store acknowledged.
type acknowledgedVersion struct {
	version int
	// sent is the time of the write and at the time of its acknowledgement.
	sent, at time.Time
}

// recorder records the events of a run. It is safe for concurrent use.
type recorder struct {
	mutex        sync.Mutex
	requests     []Request
	disturbances []disturbance
	drains       []acknowledgedDrain
	versions     []acknowledgedVersion
	incarnations map[int]int
	failures     []string
	// memoryExceeded describes the processes that exceeded their memory.
	memoryExceeded []string
	skipped        int
}

func newRecorder() *recorder { return &recorder{incarnations: make(map[int]int)} }

func (r *recorder) addRequest(request Request) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.requests = append(r.requests, request)
}

// beginDisturbance records the start of a disturbance, which lasts until the
// returned function is called.
func (r *recorder) beginDisturbance(kind disturbanceKind, machine int, planned bool) func() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	index := len(r.disturbances)
	r.disturbances = append(r.disturbances, disturbance{kind: kind, machine: machine, planned: planned, from: time.Now()})
	return func() {
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.disturbances[index].to = time.Now()
	}
}

func (r *recorder) addDrain(target string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.drains = append(r.drains, acknowledgedDrain{target: target, at: time.Now()})
}

func (r *recorder) addVersion(version int, sent time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.versions = append(r.versions, acknowledgedVersion{version: version, sent: sent, at: time.Now()})
}

// newestVersion returns the last acknowledged version.
func (r *recorder) newestVersion() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.versions[len(r.versions)-1].version
}

func (r *recorder) addStart(machine int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.incarnations[machine]++
}

func (r *recorder) incarnation(machine int) int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.incarnations[machine]
}

func (r *recorder) addFailure(detail string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.failures = append(r.failures, detail)
}

func (r *recorder) addMemoryExceeded(detail string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.memoryExceeded = append(r.memoryExceeded, detail)
}

func (r *recorder) addSkipped() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.skipped++
}
