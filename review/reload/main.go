//go:build review

// Command reload shows what becomes of requests at a node that is stopped as planned and gets a
// reload signal meanwhile.
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
	machines  = 6
	perSecond = 90
	// hupAfter is the time from the stop signal to the reload signal, and grace is grace-s.
	hupAfter = time.Second
	grace    = 6 * time.Second
	// stopEvery is the time between the stops of two machines, one at a time.
	stopEvery    = 8 * time.Second
	restartAfter = time.Second
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
	machine             string
	began, hup, stopped time.Time
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
	var stops []stop
	for i := 3; i < machines; i++ {
		time.Sleep(2 * time.Second)
		s, err := stopAndStart(d, d.Machines[i], trouble)
		if err != nil {
			fmt.Println("not run:", err)
			break
		}
		stops = append(stops, s)
		time.Sleep(stopEvery - time.Since(s.began))
	}
	close(done)
	sending.Wait()
	cancel()
	d.Stop()
	return judge(path, trouble, started, stops, client.All(), targets)
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

// stopAndStart stops the node of a machine as the platform does, with a reload signal a second
// later if there is trouble, and starts it again.
func stopAndStart(d *stand.Deployment, m *stand.Machine, trouble bool) (stop, error) {
	s := stop{machine: m.Name, began: time.Now()}
	m.Signal(syscall.SIGTERM)
	time.Sleep(hupAfter)
	if trouble {
		s.hup = time.Now()
		m.Signal(syscall.SIGHUP)
	}
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

// load sends requests to all machines in turn, on kept connections. A machine that isn't ready in
// two questions in a row, one a second, gets no new work until it is.
func load(d *stand.Deployment, client *stand.Client, done <-chan struct{}) {
	var sending sync.WaitGroup
	defer sending.Wait()
	var mutex sync.Mutex
	misses := make(map[*stand.Machine]int)
	for _, m := range d.Machines {
		sending.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
				ready := m.Ready()
				mutex.Lock()
				misses[m]++
				if ready {
					misses[m] = 0
				}
				mutex.Unlock()
			}
		})
	}
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	for number := 0; ; number++ {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		m := d.Machines[number%len(d.Machines)]
		mutex.Lock()
		out := misses[m] >= 2
		mutex.Unlock()
		if out {
			continue
		}
		sending.Go(func() {
			client.Send(m, "POST", "shop.example", "/post/entry", fmt.Sprintf("%016x", rand.Uint64()), []byte("amount=12"), 4*time.Second)
		})
	}
}

// judge counts requests whose connection ended without an answer once they had been passed on to a
// target, at the machine that was being stopped, until 1 s after grace-s.
func judge(path string, trouble bool, started time.Time, stops []stop, sent []stand.Sent, targets []*stand.Target) int {
	runs := make(map[string][]stand.Run)
	for _, target := range targets {
		for _, r := range target.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].Started.Before(sent[j].Started) })
	var lines strings.Builder
	for _, s := range stops {
		fmt.Fprintf(&lines, "%8.3f s %s gets SIGTERM", s.began.Sub(started).Seconds(), s.machine)
		if !s.hup.IsZero() {
			fmt.Fprintf(&lines, ", SIGHUP %.3f s later", s.hup.Sub(s.began).Seconds())
		}
		fmt.Fprintf(&lines, ", has ended after %.3f s\n", s.stopped.Sub(s.began).Seconds())
	}
	statuses := make(map[int]int)
	lost := 0
	for _, s := range sent {
		statuses[s.Status]++
		verdict := ""
		ended := s.Started.Add(s.Took)
		for _, planned := range stops {
			within := planned.machine == s.At && ended.After(planned.began) && ended.Before(planned.began.Add(grace+time.Second))
			if within && s.Status == 0 && len(runs[s.ID]) > 0 {
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
	summary := fmt.Sprintf("trouble %v; %d planned stops; %d requests, answers by status %v (0: none); passed on and cut without an answer (LOST): %d\n", trouble, len(stops), len(sent), statuses, lost)
	fmt.Print(summary)
	if err := os.WriteFile(path, []byte(summary+lines.String()), 0o644); err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	switch {
	case lost > 0:
		return 1
	case statuses[200] < leastServed || len(stops) < machines-3:
		return 2
	}
	return 0
}
