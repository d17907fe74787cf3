package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/problem"
)

// ResultFile is the name of the file with a run's result.
const ResultFile = "result.json"

// Result is what one run has measured. Rates are calls a second, times are
// milliseconds where the name says so and seconds otherwise.
type Result struct {
	Scenario string `json:"scenario"`
	Mesh     string `json:"mesh"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	// Invalid says why the run doesn't count; empty means that it does.
	Invalid []string `json:"invalid,omitempty"`
	// Capacity is the mesh's peak rate at the shares of the mesh file.
	Capacity float64       `json:"capacity"`
	Phases   []PhaseResult `json:"phases"`
	Recovery Recovery      `json:"recovery"`
	Waste    Waste         `json:"waste"`
	Retries  Retries       `json:"retries"`
	Refusals Refusals      `json:"refusals"`
	// Lateness99Ms is the generator's start delay at the 99th percentile.
	Lateness99Ms float64  `json:"lateness_99_ms"`
	Timeline     []Bucket `json:"timeline"`
	Samples      []Sample `json:"samples"`
}

// Valid reports whether the run counts.
func (r *Result) Valid() bool { return len(r.Invalid) == 0 }

// Phase returns the result of a phase; one that isn't there is zero.
func (r *Result) Phase(name string) PhaseResult {
	for _, phase := range r.Phases {
		if phase.Name == name {
			return phase
		}
	}
	return PhaseResult{Name: name}
}

// PhaseResult is the result of one phase.
type PhaseResult struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	// Offered is the rate of the clients' calls, each counted once.
	Offered float64 `json:"offered"`
	// Goodput is the rate of complete, correct answers in time, counted when
	// they came.
	Goodput float64 `json:"goodput"`
	// Attainable is the most that the mesh can complete of what was offered when
	// the more important goes first.
	Attainable float64 `json:"attainable"`
	// ShareOfAttainable and ShareOfOffered relate the goodput to both.
	ShareOfAttainable float64 `json:"share_of_attainable"`
	ShareOfOffered    float64 `json:"share_of_offered"`
	// P99Ms is the latency of complete calls.
	P99Ms float64 `json:"p99_ms"`
	// Kinds and Criticalities count the calls that started in the phase.
	Kinds         []Group `json:"kinds"`
	Criticalities []Group `json:"criticalities"`
	// CriticalPlusFits tells whether the offered critical-plus calls alone fit
	// the mesh.
	CriticalPlusFits bool `json:"critical_plus_fits"`
	// TargetStretch is how much longer than drawn the executions of services
	// without downstream calls took: what the lab itself added.
	TargetStretch float64 `json:"target_stretch"`
}

// Criticality returns the calls of a criticality in the phase.
func (p PhaseResult) Criticality(name string) Group {
	for _, group := range p.Criticalities {
		if group.Name == name {
			return group
		}
	}
	return Group{Name: name}
}

// Group is what became of some calls.
type Group struct {
	Name           string  `json:"name"`
	Offered        int     `json:"offered"`
	Complete       int     `json:"complete"`
	RefusedNo      int     `json:"refused_no"`
	RefusedUnknown int     `json:"refused_unknown"`
	Wrong          int     `json:"wrong"`
	Error          int     `json:"error"`
	Timeout        int     `json:"timeout"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
}

// Lost is the number of calls that weren't answered completely.
func (g Group) Lost() int { return g.Offered - g.Complete }

// Recovery is the way back after the overload.
type Recovery struct {
	// Recovered tells whether service was normal again within the run.
	Recovered bool `json:"recovered"`
	// Seconds is the time from the end of the overload until then.
	Seconds float64 `json:"seconds"`
	// Observed is how long the run went on after the overload.
	Observed float64 `json:"observed"`
	// NormalP99Ms is the 99th percentile of latency before the overload.
	NormalP99Ms float64 `json:"normal_p99_ms"`
}

// Waste is slot time that was spent for nothing.
type Waste struct {
	SlotSeconds float64 `json:"slot_seconds"`
	// FailedRequests is slot time of executions whose request wasn't answered
	// completely.
	FailedRequests float64 `json:"failed_requests"`
	// Discarded is slot time of executions that didn't end with a complete
	// answer although their request did.
	Discarded float64 `json:"discarded"`
	// Share is what FailedRequests and Discarded are of SlotSeconds.
	Share float64 `json:"share"`
	// Executions is the number of executions.
	Executions int `json:"executions"`
	// Services is the waste by service.
	Services []ServiceWaste `json:"services"`
}

// ServiceWaste is the waste at one service's targets.
type ServiceWaste struct {
	Service     string  `json:"service"`
	SlotSeconds float64 `json:"slot_seconds"`
	Wasted      float64 `json:"wasted"`
}

// Retries are the calls that were made again.
type Retries struct {
	// Clients counts the tries of clients after their first.
	Clients int `json:"clients"`
	// Nodes counts the calls that nodes sent again.
	Nodes float64 `json:"nodes"`
	// MostExecutions is the largest number of executions for one try of a
	// client, and MostPerService that of one service for one try.
	MostExecutions int `json:"most_executions"`
	MostPerService int `json:"most_per_service"`
	// Amplification is the number of executions for each one that the complete
	// answers needed.
	Amplification float64 `json:"amplification"`
}

// Refusals are what clients were told instead of an answer.
type Refusals struct {
	Count int `json:"count"`
	// P50Ms and P99Ms are the times that a client waited for a refusal.
	P50Ms   float64       `json:"p50_ms"`
	P99Ms   float64       `json:"p99_ms"`
	Reasons []ReasonCount `json:"reasons"`
}

// ReasonCount counts refusals with one reason.
type ReasonCount struct {
	Reason   problem.Reason   `json:"reason"`
	Executed problem.Executed `json:"executed"`
	Count    int              `json:"count"`
	P50Ms    float64          `json:"p50_ms"`
	P99Ms    float64          `json:"p99_ms"`
}

// Bucket is a short part of the run.
type Bucket struct {
	// Seconds is the start of the bucket since the start of the load.
	Seconds float64 `json:"seconds"`
	// Offered counts the calls that started, Succeeded those of them that were
	// answered completely; Tries counts the tries that started.
	Offered   int `json:"offered"`
	Succeeded int `json:"succeeded"`
	Tries     int `json:"tries"`
	// Completed counts the complete answers that came in the bucket.
	Completed int `json:"completed"`
	// P99Ms is the latency of the calls in Succeeded.
	P99Ms float64 `json:"p99_ms"`
}

func (r *Result) write(directory string) error {
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, ResultFile), content, 0o644)
}

// ReadResult reads the result in a run's directory.
func ReadResult(directory string) (*Result, error) {
	path := filepath.Join(directory, ResultFile)
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("experiment").With("step", "read").With("file", path).Wrapf(err, "read result")
	}
	var result Result
	if err := json.Unmarshal(content, &result); err != nil {
		return nil, oops.In("experiment").With("step", "decode").With("file", path).Wrapf(err, "result %s", path)
	}
	return &result, nil
}

// WriteTable writes the result as text for people.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s on %s, system %s, seed %d; capacity %.0f/s\n", r.Scenario, r.Mesh, r.System, r.Seed, r.Capacity)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\toffered/s\tgoodput/s\tattainable/s\tof attainable\tof offered\tp99 ms\tcritical-plus lost\tstretch\t")
	for _, phase := range r.Phases {
		vital := phase.Criticality("critical-plus")
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.1f%%\t%.1f%%\t%.0f\t%d of %d\t%.2f\t\n", phase.Name, phase.Offered, phase.Goodput,
			phase.Attainable, 100*phase.ShareOfAttainable, 100*phase.ShareOfOffered, phase.P99Ms, vital.Lost(), vital.Offered, phase.TargetStretch)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "recovery %s; wasted work %.2f%%; refusals %d, p50 %.2f ms, p99 %.2f ms; start delay p99 %.2f ms\n",
		r.Recovery, 100*r.Waste.Share, r.Refusals.Count, r.Refusals.P50Ms, r.Refusals.P99Ms, r.Lateness99Ms)
	fmt.Fprintf(w, "retries by clients %d, by nodes %.0f; executions per needed one %.2f, at most %d for a try\n",
		r.Retries.Clients, r.Retries.Nodes, r.Retries.Amplification, r.Retries.MostExecutions)
	for _, reason := range r.Invalid {
		fmt.Fprintln(w, "this run does not count:", reason)
	}
	return nil
}

// String returns the recovery time, or that there was none in the run.
func (r Recovery) String() string {
	if !r.Recovered {
		return fmt.Sprintf("not within %.1f s", r.Observed)
	}
	return fmt.Sprintf("%.1f s", r.Seconds)
}
