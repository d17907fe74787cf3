//go:build review

// Command laststop shows what becomes of requests at the only node of a zone while it is stopped as
// planned: its clients go on, as fewer than half of the zone's nodes are in.
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
	// machines of the deployment; the last one is alone in its zone.
	machines  = 4
	perSecond = 200
	grace     = 6 * time.Second
	// stops of the last machine, stopEvery apart.
	stops        = 6
	stopEvery    = 12 * time.Second
	restartAfter = time.Second
	// usualWork is how long most requests take, and longWork how long a share of them does. Both
	// are well inside the route's timeout-s of 4 s.
	usualWork = 40 * time.Millisecond
	longWork  = 3500 * time.Millisecond
	longShare = 0.005
	// excusedSent is the time after a SIGTERM up to which a request that its target is at work on
	// in the last sixth of grace-s doesn't count.
	excusedSent = 3 * time.Second
	// leastServed is the number of requests without which the run says nothing.
	leastServed = 1000
)

const configuration = `{"version":"r1","resources":[
 {"resource-type":"routes","metadata":{"name":"post"},"spec":{"host":"shop.example","path-prefix":"/post/","route-type":"non_idempotent","timeout-s":4,"aim-s":1.5,"priority":0,"service":"ledger","max-attempts":2}},
 {"resource-type":"services","metadata":{"name":"ledger"},"spec":{"health-path":"/health","max-connections":200}},
 {"resource-type":"services","metadata":{"name":"viewer"},"spec":{"health-path":"/health","max-connections":200}},
 {"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}`

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	os.Exit(run(*record))
}

// stop is one planned stop of a machine.
type stop struct {
	machine        string
	began, stopped time.Time
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
	client := stand.NewClient()
	done := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() { load(d, client, done) })
	last := d.Machines[machines-1]
	var planned []stop
	for range stops {
		time.Sleep(3 * time.Second)
		began := time.Now()
		if trouble {
			s, err := stopAndStart(d, last)
			if err != nil {
				fmt.Println("not run:", err)
				break
			}
			planned = append(planned, s)
		}
		time.Sleep(stopEvery - 3*time.Second - time.Since(began))
	}
	close(done)
	sending.Wait()
	cancel()
	d.Stop()
	return judge(path, trouble, started, planned, client.All(), targets)
}

func start(ctx context.Context, d *stand.Deployment) ([]*stand.Target, error) {
	if err := d.Configure(configuration); err != nil {
		return nil, err
	}
	var targets []*stand.Target
	for i := range machines {
		service, zone := "ledger", "north"
		if i == machines-1 {
			service, zone = "viewer", "south"
		}
		m := d.Add(service, zone)
		if err := d.Start(m, true); err != nil {
			return nil, err
		}
		target := &stand.Target{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, Address: m.Target(), Control: m.Control(), Zone: m.Zone, Slots: 64, Work: usualWork, LongShare: longShare, LongWork: longWork}
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

// stopAndStart stops the node of a machine as the platform does, and starts it again.
func stopAndStart(d *stand.Deployment, m *stand.Machine) (stop, error) {
	s := stop{machine: m.Name, began: time.Now()}
	m.Signal(syscall.SIGTERM)
	select {
	case <-m.Ended():
	case <-time.After(grace - time.Since(s.began)):
		m.Signal(syscall.SIGKILL)
		<-m.Ended()
	}
	s.stopped = time.Now()
	time.Sleep(restartAfter)
	return s, d.Start(m, false)
}

// load sends requests to the machine that is alone in its zone, on kept connections. While its node
// isn't ready none of the zone's nodes is in, which is fewer than half, so that clients go on.
func load(d *stand.Deployment, client *stand.Client, done <-chan struct{}) {
	var sending sync.WaitGroup
	defer sending.Wait()
	m := d.Machines[machines-1]
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		sending.Go(func() {
			client.Send(m, "POST", "shop.example", "/post/entry", fmt.Sprintf("%016x", rand.Uint64()), []byte("amount=12"), 5*time.Second)
		})
	}
}

// judge counts requests whose connection ended without an answer once they had been passed on to a
// target, at the machine that was being stopped, until 1 s after grace-s. Requests that were sent
// up to 3 s after the SIGTERM are left out.
func judge(path string, trouble bool, started time.Time, planned []stop, sent []stand.Sent, targets []*stand.Target) int {
	runs := make(map[string][]stand.Run)
	for _, target := range targets {
		for _, r := range target.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].Started.Before(sent[j].Started) })
	var lines strings.Builder
	for _, s := range planned {
		fmt.Fprintf(&lines, "%8.3f s %s gets SIGTERM", s.began.Sub(started).Seconds(), s.machine)
		fmt.Fprintf(&lines, ", has ended after %.3f s\n", s.stopped.Sub(s.began).Seconds())
	}
	statuses := make(map[int]int)
	lost := 0
	for _, s := range sent {
		statuses[s.Status]++
		verdict := ""
		ended := s.Started.Add(s.Took)
		for _, p := range planned {
			within := p.machine == s.At && ended.After(p.began) && ended.Before(p.began.Add(grace+time.Second))
			// Requests sent earlier may be excused, and are left out whole.
			late := s.Started.After(p.began.Add(excusedSent))
			if within && late && s.Status == 0 && len(runs[s.ID]) > 0 {
				lost++
				verdict = " LOST"
			}
		}
		fmt.Fprintf(&lines, "%8.3f s request %s at %s: answer %d after %.3f s %s; runs", s.Started.Sub(started).Seconds(), s.ID, s.At, s.Status, s.Took.Seconds(), s.Err)
		for _, r := range runs[s.ID] {
			fmt.Fprintf(&lines, " %.3f s by %s", r.At.Sub(started).Seconds(), r.Target)
		}
		fmt.Fprintln(&lines, verdict)
	}
	summary := fmt.Sprintf("trouble %v; %d planned stops; %d requests, answers by status %v (0: none); passed on and cut without an answer (LOST): %d\n", trouble, len(planned), len(sent), statuses, lost)
	fmt.Print(summary)
	if err := os.WriteFile(path, []byte(summary+lines.String()), 0o644); err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	switch {
	case lost > 0:
		return 1
	case statuses[200] < leastServed || trouble && len(planned) < 3:
		return 2
	}
	return 0
}
