//go:build review

// Command memory shows what becomes of two nodes at which two clients each send bodies of the size
// that the operator's limits allow, beside small requests on kept connections.
package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lugspur/lugspur/review/stand"
)

const (
	machines = 6
	// maxBody is max-body-bytes of the configuration, and calmBody what is sent without trouble.
	maxBody  = 67108864
	calmBody = 16384
	// parallel is the number of such requests at once, each rounds apart by roundEvery.
	parallel   = 2
	rounds     = 6
	roundEvery = 8 * time.Second
	perSecond  = 90
	// restartAfter is the short delay after which a process that ended starts again.
	restartAfter = time.Second
	// mostClosed is the number of requests that the rule allows to be closed without an answer.
	mostClosed = 3
	// leastServed is the number of requests without which the run says nothing.
	leastServed = 1000
)

const configuration = `{"version":"r1","resources":[
 {"resource-type":"routes","metadata":{"name":"post"},"spec":{"host":"shop.example","path-prefix":"/post/","route-type":"non_idempotent","timeout-s":4,"aim-s":1.5,"priority":0,"service":"ledger","max-attempts":2}},
 {"resource-type":"routes","metadata":{"name":"archive"},"spec":{"host":"shop.example","path-prefix":"/archive/","route-type":"non_idempotent","timeout-s":5,"aim-s":3,"priority":2,"service":"viewer","max-attempts":2}},
 {"resource-type":"services","metadata":{"name":"ledger"},"spec":{"health-path":"/health","max-connections":200}},
 {"resource-type":"services","metadata":{"name":"viewer"},"spec":{"health-path":"/health","max-connections":200}},
 {"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}`

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*record))
}

// platform is what the stand-in of the platform saw of the processes.
type platform struct {
	mutex sync.Mutex
	lines []string
	// kills counts the ends by machine.
	kills map[string]int
	most  int64
}

func run(path string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := stand.New()
	if err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	ctx, cancel := context.WithCancel(context.Background())
	targets, err := start(ctx, d)
	if err != nil {
		cancel()
		d.Stop()
		fmt.Println("not run:", err)
		return 2
	}
	started := time.Now()
	p := &platform{kills: make(map[string]int)}
	var watching sync.WaitGroup
	for _, m := range d.Machines {
		watching.Go(func() { p.watch(ctx, d, m, started) })
	}
	small, large := stand.NewClient(), stand.NewClient()
	load(d, small, large, trouble)
	time.Sleep(2 * time.Second)
	cancel()
	watching.Wait()
	d.Stop()
	return judge(path, trouble, started, p, small.All(), large.All(), targets)
}

func start(ctx context.Context, d *stand.Deployment) ([]*stand.Target, error) {
	if err := d.Configure(configuration); err != nil {
		return nil, err
	}
	zones := []string{"east", "west", "south"}
	var targets []*stand.Target
	for i := range machines {
		service := "viewer"
		if i < 3 {
			service = "ledger"
		}
		m := d.Add(service, zones[i%len(zones)])
		if err := d.Start(m, true); err != nil {
			return nil, err
		}
		target := &stand.Target{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, Address: m.Target(), Control: m.Control(), Zone: m.Zone, Slots: 64, Work: 300 * time.Millisecond}
		if err := target.Start(ctx, uint64(i)); err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	if err := d.AwaitReady(30 * time.Second); err != nil {
		return nil, err
	}
	// Traffic starts 8 s after the machines do.
	time.Sleep(8 * time.Second)
	return targets, nil
}

// watch kills a process over memory-mb, as the platform does, and starts a process that ended
// again after a short delay.
func (p *platform) watch(ctx context.Context, d *stand.Deployment, m *stand.Machine, started time.Time) {
	limit := int64(d.Memory) << 20
	for ctx.Err() == nil {
		resident := m.Resident()
		p.mutex.Lock()
		p.most = max(p.most, resident)
		p.mutex.Unlock()
		if resident > limit {
			m.Signal(syscall.SIGKILL)
			<-m.Ended()
			p.mutex.Lock()
			p.kills[m.Name]++
			p.lines = append(p.lines, fmt.Sprintf("%8.3f s %s is over memory-mb (%d of %d bytes) and killed", time.Since(started).Seconds(), m.Name, resident, limit))
			p.mutex.Unlock()
			time.Sleep(restartAfter)
			if ctx.Err() == nil && d.Start(m, false) != nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// load sends small requests to all machines on kept connections, and large ones to two of them.
func load(d *stand.Deployment, small, large *stand.Client, trouble bool) {
	var sending sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	end := time.After(rounds*roundEvery + 2*time.Second)
	next := time.After(5 * time.Second)
	size := calmBody
	if trouble {
		size = maxBody
	}
	body := make([]byte, size)
	for number := 0; ; number++ {
		select {
		case <-end:
			sending.Wait()
			return
		case <-next:
			for i := range 2 * parallel {
				sending.Go(func() {
					large.Send(d.Machines[3+i%2], "POST", "shop.example", "/archive/season", fmt.Sprintf("%016x", rand.Uint64()), body, 5*time.Second)
				})
			}
			next = time.After(roundEvery)
			continue
		case <-ticker.C:
		}
		m := d.Machines[number%len(d.Machines)]
		sending.Go(func() {
			small.Send(m, "POST", "shop.example", "/post/entry", fmt.Sprintf("%016x", rand.Uint64()), []byte("amount=12"), 4*time.Second)
		})
	}
}

// judge counts requests that a machine passed from a kept connection on to a sound target, and
// whose connection it closed without an answer.
func judge(path string, trouble bool, started time.Time, p *platform, small, large []stand.Sent, targets []*stand.Target) int {
	runs := make(map[string][]stand.Run)
	for _, target := range targets {
		for _, r := range target.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	sort.Slice(small, func(i, j int) bool { return small[i].Started.Before(small[j].Started) })
	var lines strings.Builder
	for _, line := range p.lines {
		fmt.Fprintln(&lines, line)
	}
	statuses := make(map[int]int)
	closed := 0
	for kind, list := range [][]stand.Sent{large, small} {
		for _, s := range list {
			verdict := ""
			if kind == 1 {
				statuses[s.Status]++
				if s.Status == 0 && s.Kept && len(runs[s.ID]) > 0 {
					closed++
					verdict = " LOST"
				}
			}
			fmt.Fprintf(&lines, "%8.3f s %s request %s at %s, kept connection %v: answer %d after %.3f s %s; runs", s.Started.Sub(started).Seconds(), []string{"large", "small"}[kind], s.ID, s.At, s.Kept, s.Status, s.Took.Seconds(), s.Err)
			for _, r := range runs[s.ID] {
				fmt.Fprintf(&lines, " %.3f s by %s", r.At.Sub(started).Seconds(), r.Target)
			}
			fmt.Fprintln(&lines, verdict)
		}
	}
	summary := fmt.Sprintf("trouble %v; %d large requests; %d small ones, answers by status %v (0: none); processes over memory-mb by machine: %v, most %d MiB; passed on from a kept connection that was closed without an answer (LOST): %d\n",
		trouble, len(large), len(small), statuses, p.kills, p.most>>20, closed)
	fmt.Print(summary)
	if err := os.WriteFile(path, []byte(summary+lines.String()), 0o644); err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	switch {
	case closed > mostClosed:
		return 1
	case statuses[200] < leastServed:
		return 2
	}
	return 0
}
