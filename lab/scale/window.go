package scale

import (
	"bufio"
	"bytes"
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/lugspur/lugspur/lab/kvstore"
)

// snapshot is everything that is counted, at one moment.
type snapshot struct {
	at     time.Time
	states map[string]NodeState
	// hollows and reals are the usages of the processes.
	hollows, reals []usage
	// realGossip holds the bytes of gossip that each real node has sent and
	// received.
	realGossip [][2]float64
	store      kvstore.Status
}

// Window is what the nodes used between two snapshots. Rates are per second,
// and per node unless they are the store's.
type Window struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Changes int     `json:"changes"`
	// HollowCoreShare and RealCoreShare are shares of one core; RealCoreMax is
	// the busiest real node's.
	HollowCoreShare   float64 `json:"hollow_core_share"`
	RealCoreShare     float64 `json:"real_core_share"`
	RealCoreMax       float64 `json:"real_core_max"`
	DatagramsSent     float64 `json:"datagrams_sent"`
	DatagramsReceived float64 `json:"datagrams_received"`
	GossipSent        float64 `json:"gossip_sent_bytes"`
	GossipReceived    float64 `json:"gossip_received_bytes"`
	StreamSent        float64 `json:"stream_sent_bytes"`
	StreamReceived    float64 `json:"stream_received_bytes"`
	// SentMax is of the hollow node that sent most, gossip and streams.
	SentMax            float64 `json:"sent_bytes_max"`
	RealGossipSent     float64 `json:"real_gossip_sent_bytes"`
	RealGossipReceived float64 `json:"real_gossip_received_bytes"`
	Dials              float64 `json:"dials"`
	Exchanges          float64 `json:"exchanges"`
	Pushes             float64 `json:"pushes"`
	Pulls              float64 `json:"pulls"`
	Suspicions         float64 `json:"suspicions"`
	DatagramsLost      float64 `json:"datagrams_lost"`
	StoreRequests      float64 `json:"store_requests"`
	StoreRateLimited   float64 `json:"store_rate_limited"`
	OpenWatches        int64   `json:"open_watches"`
	// Queued is how many membership changes a node still had to pass on at the
	// end, on average.
	Queued float64 `json:"queued"`
}

// snapshot reads all counters.
func (e *experiment) snapshot(ctx context.Context) (snapshot, error) {
	states, _, err := e.fleet.states(ctx, false)
	if err != nil {
		return snapshot{}, err
	}
	taken := snapshot{at: time.Now(), states: states, store: e.fleet.store.Status()}
	for _, process := range e.processes {
		used, err := usageOf(process.ID())
		if err != nil {
			return snapshot{}, err
		}
		taken.hollows = append(taken.hollows, used)
	}
	for _, node := range e.fleet.reals {
		used, err := usageOf(node.ID())
		if err != nil {
			return snapshot{}, err
		}
		taken.reals = append(taken.reals, used)
	}
	for _, node := range e.fleet.reals {
		body, err := node.get(ctx, "/metrics")
		if err != nil {
			return snapshot{}, err
		}
		taken.realGossip = append(taken.realGossip, [2]float64{
			metric(body, "lugspur_gossip_sent_bytes_total"),
			metric(body, "lugspur_gossip_received_bytes_total"),
		})
	}
	return taken, nil
}

// metric returns a metric without labels out of a page of Prometheus, zero if
// it is not there.
func metric(page []byte, name string) float64 {
	lines := bufio.NewScanner(bytes.NewReader(page))
	for lines.Scan() {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			number, err := strconv.ParseFloat(value, 64)
			if err == nil {
				return number
			}
		}
	}
	return 0
}

// measure waits for the duration and returns what was used meanwhile.
func (e *experiment) measure(ctx context.Context, name string, work func(context.Context) (changes int, err error)) (Window, error) {
	before, err := e.snapshot(ctx)
	if err != nil {
		return Window{}, err
	}
	changes, err := work(ctx)
	if err != nil {
		return Window{}, err
	}
	after, err := e.snapshot(ctx)
	if err != nil {
		return Window{}, err
	}
	window := between(before, after)
	window.Name, window.Changes = name, changes
	return window, nil
}

// between works the rates out. Nodes that are not in both snapshots, or were
// started anew between them, are left out of the nodes' counters.
func between(before, after snapshot) Window {
	seconds := after.at.Sub(before.at).Seconds()
	window := Window{Seconds: seconds, OpenWatches: after.store.OpenWatches}
	var all Counters
	nodes := 0.0
	for name, state := range after.states {
		earlier, found := before.states[name]
		if !found || state.Counters.DatagramsSent < earlier.Counters.DatagramsSent {
			continue
		}
		used := state.Counters.minus(earlier.Counters)
		window.SentMax = max(window.SentMax, float64(used.GossipSent+used.StreamSent)/seconds)
		window.Queued += float64(state.Queued)
		all = all.plus(used)
		nodes++
	}
	if nodes > 0 && seconds > 0 {
		window.Queued /= nodes
		window.setRates(all, nodes*seconds)
		window.HollowCoreShare = processorOf(before.hollows, after.hollows) / (nodes * seconds)
	}
	window.setReal(before, after, seconds)
	window.StoreRequests = float64(after.store.Requests-before.store.Requests) / seconds
	window.StoreRateLimited = float64(after.store.RateLimited-before.store.RateLimited) / seconds
	return window
}

func (w *Window) setRates(all Counters, nodeSeconds float64) {
	w.DatagramsSent = float64(all.DatagramsSent) / nodeSeconds
	w.DatagramsReceived = float64(all.DatagramsReceived) / nodeSeconds
	w.GossipSent = float64(all.GossipSent) / nodeSeconds
	w.GossipReceived = float64(all.GossipReceived) / nodeSeconds
	w.StreamSent = float64(all.StreamSent) / nodeSeconds
	w.StreamReceived = float64(all.StreamReceived) / nodeSeconds
	w.Dials = float64(all.Dials) / nodeSeconds
	w.Exchanges = float64(all.Exchanges) / nodeSeconds
	w.Pushes = float64(all.Pushes) / nodeSeconds
	w.Pulls = float64(all.Pulls) / nodeSeconds
	w.Suspicions = float64(all.Suspicions) / nodeSeconds
	w.DatagramsLost = float64(all.Lost) / nodeSeconds
}

func (w *Window) setReal(before, after snapshot, seconds float64) {
	count := float64(len(after.reals))
	if count == 0 {
		return
	}
	w.RealCoreShare = processorOf(before.reals, after.reals) / (count * seconds)
	for i := range after.reals {
		w.RealCoreMax = max(w.RealCoreMax, processorOf(before.reals[i:i+1], after.reals[i:i+1])/seconds)
		w.RealGossipSent += (after.realGossip[i][0] - before.realGossip[i][0]) / (count * seconds)
		w.RealGossipReceived += (after.realGossip[i][1] - before.realGossip[i][1]) / (count * seconds)
	}
}

// processorOf returns the processor time used between, in seconds.
func processorOf(before, after []usage) float64 {
	total := time.Duration(0)
	for i := range after {
		total += after[i].processor - before[i].processor
	}
	return total.Seconds()
}

// combine applies an operation to each pair of counters.
func (c Counters) combine(other Counters, operation func(a, b int64) int64) Counters {
	return Counters{
		DatagramsSent:     operation(c.DatagramsSent, other.DatagramsSent),
		DatagramsReceived: operation(c.DatagramsReceived, other.DatagramsReceived),
		GossipSent:        operation(c.GossipSent, other.GossipSent),
		GossipReceived:    operation(c.GossipReceived, other.GossipReceived),
		StreamSent:        operation(c.StreamSent, other.StreamSent),
		StreamReceived:    operation(c.StreamReceived, other.StreamReceived),
		Dials:             operation(c.Dials, other.Dials),
		Exchanges:         operation(c.Exchanges, other.Exchanges),
		Pushes:            operation(c.Pushes, other.Pushes),
		Pulls:             operation(c.Pulls, other.Pulls),
		FullPulls:         operation(c.FullPulls, other.FullPulls),
		Suspicions:        operation(c.Suspicions, other.Suspicions),
		Refutations:       operation(c.Refutations, other.Refutations),
		Lost:              operation(c.Lost, other.Lost),
	}
}

func (c Counters) plus(other Counters) Counters {
	return c.combine(other, func(a, b int64) int64 { return a + b })
}

func (c Counters) minus(other Counters) Counters {
	return c.combine(other, func(a, b int64) int64 { return a - b })
}
