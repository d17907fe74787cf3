package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/pause"
)

// Config configures a run.
type Config struct {
	// Program is the path of the node's executable.
	Program string
	// Directory is where the nodes' settings and logs and the run's files are written.
	Directory string
	// Machines is the number of nodes, each with a target.
	Machines int
	Seed     uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Rate is the number of requests per second of each machine's callers.
	Rate float64
	// Restores is how often the store is restored from a backup.
	Restores int
	// Announcements is how often a target announces a rate limit or that it is leaving.
	Announcements int
	// ResourceFaults is how often nodes get input that uses up their memory, that no sound peer
	// sends, or that keeps them from starting.
	ResourceFaults int
	// ZoneLosses is the number of zones whose loss the nodes are told to tolerate. If it is not
	// zero, they make the decisions for shortage, and targets report their pace.
	ZoneLosses int
}

// Phases of a run.
const (
	// warmUpTime is the load before the first fault.
	warmUpTime = time.Second
	// settleTime is the load after the last fault. Its last part, recoveryTime,
	// shows whether service has recovered.
	settleTime   = 8 * time.Second
	recoveryTime = 3 * time.Second
	// finishDelay lets targets finish requests whose callers have timed out.
	finishDelay = 500 * time.Millisecond
)

// Names of the files that a run writes.
const (
	ScheduleFile = "schedule.json"
	RequestsFile = "requests.jsonl"
	ResultFile   = "result.json"
)

// Result is the result of a run.
type Result struct {
	Seed     uint64 `json:"seed"`
	Machines int    `json:"machines"`
	Faults   int    `json:"faults"`
	// Skipped counts faults skipped because another fault affected the same machine or store.
	Skipped  int         `json:"skipped"`
	Requests int         `json:"requests"`
	Statuses map[int]int `json:"statuses"`
	// PeakMemoryMB is the most resident memory of any node, in MB.
	PeakMemoryMB int      `json:"peak_memory_mb"`
	Breaches     []Breach `json:"breaches"`
}

// Run runs a deployment through the faults of the seed and checks the guarantees.
func Run(ctx context.Context, config Config) (*Result, error) {
	schedule := addRestores(NewSchedule(config.Seed, config.Machines, config.Duration), config.Seed, config.Restores, config.Duration)
	schedule = addAnnouncements(schedule, config.Seed, config.Announcements, config.Machines, config.Duration)
	schedule = addResourceFaults(schedule, config.Seed, config.ResourceFaults, config.Machines, config.Duration)
	if err := writeJSON(filepath.Join(config.Directory, ScheduleFile), schedule); err != nil {
		return nil, err
	}
	d, err := startDeployment(ctx, config)
	if err != nil {
		return nil, err
	}
	records := newRecorder()
	records.addVersion(1, time.Now())
	recovered := runWorkload(ctx, d, records, schedule)
	if ctx.Err() != nil {
		return nil, errors.Join(ctx.Err(), d.stop())
	}
	for _, m := range d.machines {
		if !m.process.Load().Running() {
			records.addFailure(m.name + " is not running at the end")
		}
	}
	if err := d.stop(); err != nil {
		return nil, err
	}
	result := &Result{Seed: config.Seed, Machines: config.Machines, Faults: len(schedule), Skipped: records.skipped,
		Requests: len(records.requests), Statuses: make(map[int]int), Breaches: judge(records, d.machines, recovered)}
	for _, request := range records.requests {
		result.Statuses[request.Status]++
	}
	for _, m := range d.machines {
		result.PeakMemoryMB = max(result.PeakMemoryMB, int(m.peakMemory.Load()>>20))
	}
	return result, errors.Join(writeRequests(config.Directory, records.requests), writeJSON(filepath.Join(config.Directory, ResultFile), result))
}

// runWorkload runs callers and faults and returns the time by which service must have
// recovered.
func runWorkload(ctx context.Context, d *deployment, records *recorder, schedule []Fault) time.Time {
	callersCtx, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	callers := &callers{deployment: d, recorder: records, rate: d.config.Rate, seed: d.config.Seed}
	ended := make(chan struct{})
	go func() {
		callers.run(callersCtx)
		close(ended)
	}()
	pause.For(ctx, warmUpTime)
	injector := newInjector(d, records, callers)
	go injector.backups.run(callersCtx, d.store)
	for machine := range d.machines {
		go watchMemory(callersCtx, d.machines[machine], records)
	}
	injector.run(ctx, schedule)
	pause.For(ctx, settleTime-recoveryTime)
	recovered := time.Now()
	pause.For(ctx, recoveryTime)
	stopCallers()
	<-ended
	pause.For(ctx, finishDelay)
	return recovered
}

func writeJSON(path string, content any) error {
	encoded, err := json.MarshalIndent(content, "", " ")
	if err == nil {
		err = os.WriteFile(path, append(encoded, '\n'), 0o600)
	}
	return oops.In("soak").With("step", "write").With("file", path).Wrap(err)
}

func writeRequests(directory string, requests []Request) error {
	file, err := os.Create(filepath.Join(directory, RequestsFile))
	if err != nil {
		return oops.In("soak").With("step", "write").Wrap(err)
	}
	encoder := json.NewEncoder(file)
	for index := range requests {
		if err := encoder.Encode(&requests[index]); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	return file.Close()
}

// maxPrinted limits the printed breaches of each guarantee.
const maxPrinted = 5

// WriteText writes the result as text.
func (r *Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "seed %d: %d machines, %d faults (%d skipped), %d requests\n", r.Seed, r.Machines, r.Faults, r.Skipped, r.Requests)
	statuses := make([]int, 0, len(r.Statuses))
	for status := range r.Statuses {
		statuses = append(statuses, status)
	}
	slices.Sort(statuses)
	for _, status := range statuses {
		fmt.Fprintf(w, "  status %3d: %d\n", status, r.Statuses[status])
	}
	fmt.Fprintf(w, "  most memory of a node: %d MB of %d\n", r.PeakMemoryMB, nodeMemoryMB)
	printed := make(map[Guarantee]int)
	for _, breach := range r.Breaches {
		printed[breach.Guarantee]++
		if printed[breach.Guarantee] <= maxPrinted {
			fmt.Fprintf(w, "BROKEN %s: %s %s\n", breach.Guarantee, breach.Request, breach.Detail)
		}
	}
	for guarantee, count := range printed {
		fmt.Fprintf(w, "%s: broken %d times\n", guarantee, count)
	}
	if len(r.Breaches) == 0 {
		fmt.Fprintln(w, "no promise broken")
	}
}
