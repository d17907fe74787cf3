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

// Result is the result of one run. Rates are in calls per second. Times are in
// milliseconds if the name ends in Ms, and in seconds otherwise.
type Result struct {
	Scenario string `json:"scenario"`
	Mesh     string `json:"mesh"`
	System   string `json:"system"`
	Seed     uint64 `json:"seed"`
	// Invalid contains the reasons for which the result can't be used; empty if it
	// can.
	Invalid []string `json:"invalid,omitempty"`
	// Capacity is the maximum rate of the mesh with the shares of the mesh file.
	Capacity float64       `json:"capacity"`
	Phases   []PhaseResult `json:"phases"`
	Recovery Recovery      `json:"recovery"`
	Waste    Waste         `json:"waste"`
	Retries  Retries       `json:"retries"`
	Refusals Refusals      `json:"refusals"`
	// Lateness99Ms is the 99th percentile of the delay between the intended and the
	// actual start of calls.
	Lateness99Ms float64  `json:"lateness_99_ms"`
	Timeline     []Bucket `json:"timeline"`
	Samples      []Sample `json:"samples"`
}

// Valid reports whether the result can be used.
func (r *Result) Valid() bool { return len(r.Invalid) == 0 }

// Phase returns the result of a phase, which is empty for an unknown one.
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
	// Offered is the rate of the clients' calls without retries.
	Offered float64 `json:"offered"`
	// Goodput is the rate of complete and correct answers before the deadline,
	// counted in the phase in which clients received them.
	Goodput float64 `json:"goodput"`
	// Attainable is an upper bound of the rate that the mesh can complete of the
	// offered calls if higher criticalities have strict priority.
	Attainable float64 `json:"attainable"`
	// ShareOfAttainable and ShareOfOffered are the goodput as a share of Attainable
	// and of Offered.
	ShareOfAttainable float64 `json:"share_of_attainable"`
	ShareOfOffered    float64 `json:"share_of_offered"`
	// P99Ms is the 99th percentile of the latency of complete calls.
	P99Ms float64 `json:"p99_ms"`
	// Kinds and Criticalities are the statistics of the calls that started in the
	// phase, by kind and by criticality.
	Kinds         []CallStats `json:"kinds"`
	Criticalities []CallStats `json:"criticalities"`
	// CriticalPlusFits is set if the mesh can complete all offered critical-plus
	// calls if it serves no others.
	CriticalPlusFits bool `json:"critical_plus_fits"`
	// TargetStretch is the ratio of the measured to the configured time of
	// executions without faults and downstream calls. Above one, it is overhead of
	// the lab.
	TargetStretch float64 `json:"target_stretch"`
}

// Criticality returns the statistics of the calls of a criticality, which are empty
// for an unknown one.
func (p PhaseResult) Criticality(name string) CallStats {
	for _, stats := range p.Criticalities {
		if stats.Name == name {
			return stats
		}
	}
	return CallStats{Name: name}
}

// CallStats contains the statistics of a group of calls: numbers by verdict, and latencies
// of complete calls. RefusedNo is the number of refused calls for which the responses
// to all attempts report that the call wasn't executed, RefusedUnknown that of the other
// refused calls.
type CallStats struct {
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

// Lost returns the number of calls that weren't answered completely.
func (s CallStats) Lost() int { return s.Offered - s.Complete }

// Recovery describes the return to normal service after the overload.
type Recovery struct {
	// Recovered is set if service returned to normal within the run.
	Recovered bool `json:"recovered"`
	// Seconds is the time from the end of the overload to the recovery.
	Seconds float64 `json:"seconds"`
	// Observed is the length of the run after the overload.
	Observed float64 `json:"observed"`
	// NormalP99Ms is the 99th percentile of latency before the overload.
	NormalP99Ms float64 `json:"normal_p99_ms"`
}

// Waste is the slot time of executions that didn't contribute to complete answers.
type Waste struct {
	// SlotSeconds is the slot time of all executions.
	SlotSeconds float64 `json:"slot_seconds"`
	// FailedRequests is the slot time of executions whose request wasn't answered
	// completely.
	FailedRequests float64 `json:"failed_requests"`
	// Discarded is the slot time of incomplete executions whose request was answered
	// completely.
	Discarded float64 `json:"discarded"`
	// Share is the share of FailedRequests and Discarded in SlotSeconds.
	Share      float64        `json:"share"`
	Executions int            `json:"executions"`
	Services   []ServiceWaste `json:"services"`
}

// ServiceWaste is the total and the wasted slot time of one service's targets.
type ServiceWaste struct {
	Service     string  `json:"service"`
	SlotSeconds float64 `json:"slot_seconds"`
	Wasted      float64 `json:"wasted"`
}

// Retries describes the retries of a run and the executions that they cause.
type Retries struct {
	// Clients is the number of retries by clients.
	Clients int `json:"clients"`
	// Nodes is the number of retries by nodes.
	Nodes float64 `json:"nodes"`
	// MostExecutions is the maximum number of executions caused by one attempt of a
	// client, and MostPerService the maximum of those by one service.
	MostExecutions int `json:"most_executions"`
	MostPerService int `json:"most_per_service"`
	// Amplification is the ratio of executions to those that the complete answers
	// require.
	Amplification float64 `json:"amplification"`
}

// Refusals contains the statistics of refused attempts of clients.
type Refusals struct {
	Count int `json:"count"`
	// P50Ms and P99Ms are quantiles of the time from the start of an attempt to its
	// refusal.
	P50Ms   float64       `json:"p50_ms"`
	P99Ms   float64       `json:"p99_ms"`
	Reasons []ReasonCount `json:"reasons"`
}

// ReasonCount contains the statistics of the refusals with the same reason and execution
// status.
type ReasonCount struct {
	Reason   problem.Reason   `json:"reason"`
	Executed problem.Executed `json:"executed"`
	Count    int              `json:"count"`
	P50Ms    float64          `json:"p50_ms"`
	P99Ms    float64          `json:"p99_ms"`
}

// Bucket is the result of one interval of the timeline, whose length is bucketWidth.
type Bucket struct {
	// Seconds is the time from the start of the load to the start of the bucket.
	Seconds float64 `json:"seconds"`
	// Offered is the number of calls whose intended start is in the bucket,
	// Succeeded the number of those that were answered completely, and Attempts the
	// number of attempts that started in it, including retries.
	Offered   int `json:"offered"`
	Succeeded int `json:"succeeded"`
	Attempts  int `json:"tries"`
	// Completed is the number of complete answers that clients received in the
	// bucket.
	Completed int `json:"completed"`
	// P99Ms is the 99th percentile of the latency of the calls in Succeeded.
	P99Ms float64 `json:"p99_ms"`
}

func (r *Result) writeFile(directory string) error {
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

// WriteTable writes the result as human-readable tables.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s on %s, system %s, seed %d; capacity %.0f/s\n", r.Scenario, r.Mesh, r.System, r.Seed, r.Capacity)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "phase\toffered/s\tgoodput/s\tattainable/s\tof attainable\tof offered\tp99 ms\tcritical-plus lost\tstretch\t")
	for _, phase := range r.Phases {
		criticalPlus := phase.Criticality("critical-plus")
		fmt.Fprintf(table, "%s\t%.0f\t%.0f\t%.0f\t%.1f%%\t%.1f%%\t%.0f\t%d of %d\t%.2f\t\n", phase.Name, phase.Offered, phase.Goodput,
			phase.Attainable, 100*phase.ShareOfAttainable, 100*phase.ShareOfOffered, phase.P99Ms, criticalPlus.Lost(), criticalPlus.Offered, phase.TargetStretch)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "recovery %s; wasted work %.2f%%; refusals %d, p50 %.2f ms, p99 %.2f ms; start delay p99 %.2f ms\n",
		r.Recovery, 100*r.Waste.Share, r.Refusals.Count, r.Refusals.P50Ms, r.Refusals.P99Ms, r.Lateness99Ms)
	fmt.Fprintf(w, "retries by clients %d, by nodes %.0f; executions per required execution %.2f, at most %d per client attempt\n",
		r.Retries.Clients, r.Retries.Nodes, r.Retries.Amplification, r.Retries.MostExecutions)
	for _, reason := range r.Invalid {
		fmt.Fprintln(w, "invalid result:", reason)
	}
	return nil
}

// String returns the recovery time, or a text for a run without recovery.
func (r Recovery) String() string {
	if !r.Recovered {
		return fmt.Sprintf("not within %.1f s", r.Observed)
	}
	return fmt.Sprintf("%.1f s", r.Seconds)
}
