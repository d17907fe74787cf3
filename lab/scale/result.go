package scale

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"
)

// Result is what one run at one number of nodes measured.
type Result struct {
	Nodes int `json:"nodes"`
	Real  int `json:"real"`
	// StartSeconds is the time from the first start until every node knew all
	// others, ReadySeconds until all had the configuration as well.
	StartSeconds float64 `json:"start_seconds"`
	ReadySeconds float64 `json:"ready_seconds"`
	// HealSeconds is the time from the end of the cut until every node held all
	// others present again.
	HealSeconds float64 `json:"heal_seconds"`
	// QuietSeconds is the time from then until no node had a membership change
	// to pass on any more.
	QuietSeconds float64 `json:"quiet_seconds"`
	// QuietReached is false if there still were some after quietTimeout.
	QuietReached bool `json:"quiet_reached"`
	// FalseDeaths counts the notes of nodes that held one dead that ran, the
	// cut apart.
	FalseDeaths int           `json:"false_deaths"`
	Convergence []Convergence `json:"convergence"`
	Windows     []Window      `json:"windows"`
	Memory      Memory        `json:"memory"`
	// Unreached tells where the nodes did not agree in time.
	Unreached []string `json:"unreached,omitempty"`
	// Failure is why the run ended early; empty if it did not.
	Failure string `json:"failure,omitempty"`
}

// Memory is the memory of the nodes in bytes. Hollow nodes share processes, so
// that theirs is the processes' divided by their number.
type Memory struct {
	HollowHeap       float64 `json:"hollow_heap_bytes"`
	HollowResident   float64 `json:"hollow_resident_bytes"`
	HollowGoroutines float64 `json:"hollow_goroutines"`
	RealResident     float64 `json:"real_resident_bytes"`
	RealResidentMax  float64 `json:"real_resident_max_bytes"`
	// RealAnonymous leaves out pages of files, such as the program itself.
	RealAnonymous    float64 `json:"real_anonymous_bytes"`
	RealAnonymousMax float64 `json:"real_anonymous_max_bytes"`
	TotalResident    float64 `json:"total_resident_bytes"`
}

// Names of the windows.
const (
	windowCut     = "after a cut"
	windowQuiet   = "quiet"
	windowChanges = "changes"
	windowLevels  = "shed levels"
)

// reportedLevels is how many shed levels a node reports in their window.
const reportedLevels = 12

// quietTimeout bounds the time until the last membership change is passed on.
const quietTimeout = time.Minute

// measureWindows measures what nodes use when all is quiet, when changes come
// fast, and when all nodes report shed levels.
func (e *experiment) measureWindows(ctx context.Context) error {
	if rest := e.config.Introduction - time.Since(e.started); rest > 0 {
		if err := pause(ctx, rest); err != nil {
			return err
		}
	}
	_, err := e.fleet.awaitQuiet(ctx, quietTimeout)
	if err := e.noteUnreached("windows", err); err != nil {
		return err
	}
	for _, window := range []struct {
		name string
		work func(context.Context) (int, error)
	}{
		{windowQuiet, func(ctx context.Context) (int, error) { return 0, pause(ctx, e.config.Quiet) }},
		{windowChanges, e.changeSteadily},
		{windowLevels, e.reportLevels},
	} {
		measured, err := e.measure(ctx, window.name, window.work)
		if err != nil {
			return err
		}
		e.result.Windows = append(e.result.Windows, measured)
	}
	return nil
}

// measureAfterCut measures right after the cut, while every node passes on who
// is back, and how long that takes.
func (e *experiment) measureAfterCut(ctx context.Context) error {
	measured, err := e.measure(ctx, windowCut, func(ctx context.Context) (int, error) {
		return 0, pause(ctx, e.config.Quiet/2)
	})
	if err != nil {
		return err
	}
	e.result.Windows = append(e.result.Windows, measured)
	took, err := e.fleet.awaitQuiet(ctx, quietTimeout)
	e.result.QuietReached = err == nil
	e.result.QuietSeconds = measured.Seconds + took.Seconds()
	return e.noteUnreached("after the cut", err)
}

// changeSteadily makes changes at the sped-up rate for half the quiet time.
func (e *experiment) changeSteadily(ctx context.Context) (int, error) {
	interval := time.Duration(float64(24*time.Hour) / (changesPerDay * e.config.Speed))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	end := time.Now().Add(e.config.Quiet / 2)
	changes := 0
	for time.Now().Before(end) {
		if _, err := e.change(ctx, windowChanges, e.writer()); err != nil {
			return changes, err
		}
		changes++
		select {
		case <-ctx.Done():
			return changes, ctx.Err()
		case <-ticker.C:
		}
	}
	return changes, nil
}

// reportLevels has every node report shed levels for half the quiet time.
func (e *experiment) reportLevels(ctx context.Context) (int, error) {
	if _, err := callAll[none](ctx, e.fleet, "/levels", reportedLevels); err != nil {
		return 0, err
	}
	if err := pause(ctx, e.config.Quiet/2); err != nil {
		return 0, err
	}
	_, err := callAll[none](ctx, e.fleet, "/levels", 0)
	return 0, err
}

// measureMemory reads the memory after a collection of garbage in the hollow
// processes.
func (e *experiment) measureMemory(ctx context.Context) error {
	taken, err := e.snapshot(ctx)
	if err != nil {
		return err
	}
	_, processes, err := e.fleet.states(ctx, true)
	if err != nil {
		return err
	}
	nodes := float64(e.config.Nodes)
	memory := &e.result.Memory
	for _, process := range processes {
		memory.HollowHeap += float64(process.HeapBytes) / nodes
		memory.HollowGoroutines += float64(process.Goroutines) / nodes
	}
	for _, used := range taken.hollows {
		memory.HollowResident += float64(used.resident) / nodes
		memory.TotalResident += float64(used.resident)
	}
	for _, used := range taken.reals {
		memory.RealResident += float64(used.resident) / float64(len(taken.reals))
		memory.RealResidentMax = max(memory.RealResidentMax, float64(used.resident))
		memory.RealAnonymous += float64(used.anonymous) / float64(len(taken.reals))
		memory.RealAnonymousMax = max(memory.RealAnonymousMax, float64(used.anonymous))
		memory.TotalResident += float64(used.resident)
	}
	return nil
}

// Report holds the results of all runs and the slopes against the number of
// nodes.
type Report struct {
	Runs   []Result         `json:"runs"`
	Slopes map[string]Slope `json:"slopes,omitempty"`
}

// quantities are what slopes are made of.
var quantities = []struct {
	name string
	of   func(Result) (float64, bool)
}{
	{"hollow core share, quiet", ofWindow(windowQuiet, func(w Window) float64 { return w.HollowCoreShare })},
	{"hollow core share, changes", ofWindow(windowChanges, func(w Window) float64 { return w.HollowCoreShare })},
	{"hollow core share, shed levels", ofWindow(windowLevels, func(w Window) float64 { return w.HollowCoreShare })},
	{"real core share, quiet", ofWindow(windowQuiet, func(w Window) float64 { return w.RealCoreShare })},
	{"real core share, changes", ofWindow(windowChanges, func(w Window) float64 { return w.RealCoreShare })},
	{"gossip sent B/s, quiet", ofWindow(windowQuiet, func(w Window) float64 { return w.GossipSent })},
	{"gossip sent B/s, after a cut", ofWindow(windowCut, func(w Window) float64 { return w.GossipSent })},
	{"hollow core share, after a cut", ofWindow(windowCut, func(w Window) float64 { return w.HollowCoreShare })},
	{"real core share, after a cut", ofWindow(windowCut, func(w Window) float64 { return w.RealCoreShare })},
	{"gossip sent B/s, shed levels", ofWindow(windowLevels, func(w Window) float64 { return w.GossipSent })},
	{"datagrams sent /s, quiet", ofWindow(windowQuiet, func(w Window) float64 { return w.DatagramsSent })},
	{"streams sent B/s, quiet", ofWindow(windowQuiet, func(w Window) float64 { return w.StreamSent })},
	{"streams sent B/s, changes", ofWindow(windowChanges, func(w Window) float64 { return w.StreamSent })},
	{"store requests /s, quiet", ofWindow(windowQuiet, func(w Window) float64 { return w.StoreRequests })},
	{"open watches", ofWindow(windowQuiet, func(w Window) float64 { return float64(w.OpenWatches) })},
	{"hollow heap B", func(r Result) (float64, bool) { return r.Memory.HollowHeap, r.Memory.HollowHeap > 0 }},
	{"hollow resident B", func(r Result) (float64, bool) { return r.Memory.HollowResident, r.Memory.HollowResident > 0 }},
	{"real anonymous B", func(r Result) (float64, bool) { return r.Memory.RealAnonymous, r.Memory.RealAnonymous > 0 }},
	{"real resident B", func(r Result) (float64, bool) { return r.Memory.RealResident, r.Memory.RealResident > 0 }},
}

func ofWindow(name string, of func(Window) float64) func(Result) (float64, bool) {
	return func(result Result) (float64, bool) {
		for _, window := range result.Windows {
			if window.Name == name {
				return of(window), true
			}
		}
		return 0, false
	}
}

// setSlopes fits a line through each quantity of the runs that have it; one
// run alone has no slope.
func (r *Report) setSlopes() {
	r.Slopes = map[string]Slope{}
	for _, quantity := range quantities {
		var x, y []float64
		for _, result := range r.Runs {
			if value, found := quantity.of(result); found {
				x = append(x, float64(result.Nodes+result.Real))
				y = append(y, value)
			}
		}
		if len(x) > 1 {
			r.Slopes[quantity.name] = fitSlope(x, y)
		}
	}
}

// print writes the report as text.
func (r *Report) print(w io.Writer) {
	for _, result := range r.Runs {
		result.print(w)
	}
	if len(r.Slopes) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%-34s %14s %14s %14s\n", "slope against nodes", "base", "per node", "at 820")
	for _, quantity := range quantities {
		if slope, found := r.Slopes[quantity.name]; found {
			fmt.Fprintf(w, "%-34s %14.6g %14.6g %14.6g\n", quantity.name, slope.Base, slope.PerUnit, slope.At(targetCount))
		}
	}
}

func (r Result) print(w io.Writer) {
	const megabyte = 1 << 20
	fmt.Fprintf(w, "\n%d hollow and %d real nodes: all known after %.1f s, ready after %.1f s, after the cut %.1f s, quiet after %.1f s more (%t); false deaths %d\n",
		r.Nodes, r.Real, r.StartSeconds, r.ReadySeconds, r.HealSeconds, r.QuietSeconds, r.QuietReached, r.FalseDeaths)
	for _, phase := range r.Unreached {
		fmt.Fprintf(w, "not reached: %s\n", phase)
	}
	if r.Failure != "" {
		fmt.Fprintf(w, "ended early: %s\n", r.Failure)
	}
	for _, kind := range r.Convergence {
		fmt.Fprintf(w, "  %-36s %3d events, last node p50 %7.0f ms max %7.0f ms, any node p50 %6.0f ms, incomplete %d %s\n",
			kind.Kind, kind.Events, kind.LastP50Millis, kind.LastMaxMillis, kind.NodeP50Millis, kind.Incomplete, strings.Join(kind.Missing, " "))
	}
	for _, window := range r.Windows {
		fmt.Fprintf(w, "  %-12s %3.0f s %3d changes: core hollow %.3f%% real %.3f%% (max %.3f%%); sent %.0f+%.0f B/s (max %.0f), received %.0f+%.0f; datagrams %.1f/s, %.1f changes queued; real gossip %.0f B/s; store %.2f requests/s, %d watches; lost %.3f/s\n",
			window.Name, window.Seconds, window.Changes, 100*window.HollowCoreShare, 100*window.RealCoreShare, 100*window.RealCoreMax,
			window.GossipSent, window.StreamSent, window.SentMax, window.GossipReceived, window.StreamReceived, window.DatagramsSent, window.Queued,
			window.RealGossipSent, window.StoreRequests, window.OpenWatches, window.DatagramsLost)
	}
	fmt.Fprintf(w, "  memory: hollow heap %.2f MB, resident %.2f MB, %.1f goroutines; real resident %.1f MB (max %.1f), anonymous %.1f MB (max %.1f); all %.0f MB\n",
		r.Memory.HollowHeap/megabyte, r.Memory.HollowResident/megabyte, r.Memory.HollowGoroutines,
		r.Memory.RealResident/megabyte, r.Memory.RealResidentMax/megabyte,
		r.Memory.RealAnonymous/megabyte, r.Memory.RealAnonymousMax/megabyte, r.Memory.TotalResident/megabyte)
}
