package chaos

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/load"
)

// Result holds the measurements of a run and the report of its check.
type Result struct {
	Mesh         string  `json:"mesh"`
	Seed         uint64  `json:"seed"`
	Rate         float64 `json:"rate"`
	NodesPerZone int     `json:"nodes_per_zone"`
	// DurationSeconds is the time with calls: from the first call to the end of
	// the settle phase.
	DurationSeconds float64 `json:"duration_s"`
	// Faults counts the scheduled faults by kind.
	Faults map[FaultKind]int `json:"faults"`
	// Total and Kinds count requests, Kinds by call kind. A request is one call
	// of a caller, including all its sends.
	Total Counts            `json:"total"`
	Kinds map[string]Counts `json:"kinds"`
	// Goodput is the number of requests per second that got a complete response.
	Goodput float64 `json:"goodput_per_s"`
	// Recovery counts the requests of the last seconds of the run, after all
	// faults had ended.
	Recovery Counts `json:"recovery"`
	// Outcomes counts the sends by their outcome for the caller.
	Outcomes map[string]int `json:"endings"`
	// NotSent counts calls that were not made because too many were in flight.
	NotSent int64 `json:"not_sent"`
	// Changes counts the configuration changes by the outcome that was reported
	// to the operator.
	Changes map[judge.EventKind]int `json:"changes"`
	Report  judge.Report            `json:"report"`
}

// Counts holds numbers of requests and sends.
type Counts struct {
	Requests int `json:"requests"`
	Sends    int `json:"sends"`
	// Complete counts requests that got a complete response to one of their
	// sends.
	Complete int `json:"complete"`
}

// Share is the fraction of requests that got a complete response, from 0 to 1.
// It is 1 if there were no requests.
func (c Counts) Share() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.Complete) / float64(c.Requests)
}

func newResult(r *run, input judge.Input) *Result {
	result := &Result{
		Mesh:         input.Mesh.Name,
		Seed:         r.config.Cluster.Seed,
		Rate:         r.config.Rate,
		NodesPerZone: r.config.Cluster.NodesPerZone,
		Faults:       map[FaultKind]int{},
		Kinds:        map[string]Counts{},
		Outcomes:     map[string]int{},
		NotSent:      r.callers.notSent.Load(),
		Changes:      map[judge.EventKind]int{},
		Report:       judge.Judge(input),
	}
	for _, fault := range r.schedule {
		result.Faults[fault.Kind]++
	}
	for _, event := range input.Events {
		switch event.Kind {
		case judge.ChangeAccepted, judge.ChangeRefused, judge.ChangeUnknown:
			result.Changes[event.Kind]++
		}
	}
	result.count(input.Calls, r.loadEnded.Add(-recoveryWindow))
	if len(input.Calls) > 0 {
		first := slices.MinFunc(input.Calls, func(a, b judge.Call) int { return a.Intended.Compare(b.Intended) })
		result.DurationSeconds = r.loadEnded.Sub(first.Intended).Seconds()
		result.Goodput = float64(result.Total.Complete) / result.DurationSeconds
	}
	return result
}

// count counts the requests. Those that started after recovery are also counted in
// Recovery.
func (r *Result) count(calls []judge.Call, recovery time.Time) {
	byNonce := map[string][]judge.Call{}
	for _, call := range calls {
		byNonce[call.Nonce] = append(byNonce[call.Nonce], call)
		r.Outcomes[outcomeOf(call)]++
	}
	for _, sends := range byNonce {
		complete := slices.ContainsFunc(sends, func(c judge.Call) bool { return c.Verdict() == load.VerdictComplete })
		r.Total = r.Total.with(sends, complete)
		kind := sends[0].Kind
		r.Kinds[kind] = r.Kinds[kind].with(sends, complete)
		if sends[0].Intended.After(recovery) {
			r.Recovery = r.Recovery.with(sends, complete)
		}
	}
}

func (c Counts) with(sends []judge.Call, complete bool) Counts {
	c.Requests++
	c.Sends += len(sends)
	if complete {
		c.Complete++
	}
	return c
}

func outcomeOf(call judge.Call) string {
	last := call.Last()
	switch {
	case last.Verdict == load.VerdictRefused:
		return fmt.Sprintf("%s %s, executed %s", last.Verdict, last.Reason, last.Executed)
	case last.Status != 0 && last.Verdict == load.VerdictError:
		return fmt.Sprintf("%s status %d", last.Verdict, last.Status)
	}
	return string(last.Verdict)
}

// WriteText writes the result in human-readable form.
func (r *Result) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d: %d requests in %.1f s, %.1f%% complete, goodput %.1f/s; after the faults %.1f%% of %d complete\n",
		r.Mesh, r.Seed, r.Total.Requests, r.DurationSeconds, 100*r.Total.Share(), r.Goodput, 100*r.Recovery.Share(), r.Recovery.Requests)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\trequests\tsends\tcomplete\t%\t")
	for _, kind := range slices.Sorted(maps.Keys(r.Kinds)) {
		counts := r.Kinds[kind]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%.1f\t\n", kind, counts.Requests, counts.Sends, counts.Complete, 100*counts.Share())
	}
	if err := table.Flush(); err != nil {
		return err
	}
	writeCounts(w, "faults", r.Faults)
	writeCounts(w, "outcomes of sends", r.Outcomes)
	writeCounts(w, "operators", r.Changes)
	return r.Report.WriteText(w)
}

func writeCounts[K ~string](w io.Writer, title string, counts map[K]int) {
	fmt.Fprintf(w, "%s:", title)
	for index, name := range slices.Sorted(maps.Keys(counts)) {
		if index > 0 {
			fmt.Fprint(w, ",")
		}
		fmt.Fprintf(w, " %s %d", name, counts[name])
	}
	fmt.Fprintln(w)
}

func writeJSON(path string, value any) error {
	content, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}
