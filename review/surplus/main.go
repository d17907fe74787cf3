//go:build review

// Command surplus shows what becomes of requests that must not run twice beside a target that
// rejects part of its requests and sends some answers a second time.
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
	"time"

	"github.com/lugspur/lugspur/review/stand"
)

const (
	machines = 8
	// Doses: srv_grey (shed) x 0.45 on a share of 0.14 of the targets, garble (extra late) x 0.03
	// on a share of 0.6. One of eight targets has both here, for spells of the length of garble in
	// the site file with pauses between them.
	spell      = 5 * time.Second
	pause      = time.Second
	greyShare  = 0.45
	extraShare = 0.03
	perSecond  = 80
	troubleFor = 60 * time.Second
	// leastServed is the number of requests without which the run says nothing.
	leastServed = 1000
)

const configuration = `{"version":"r1","resources":[
 {"resource-type":"routes","metadata":{"name":"post"},"spec":{"host":"shop.example","path-prefix":"/post/","route-type":"non_idempotent","timeout-s":4,"aim-s":1.5,"priority":0,"service":"ledger","max-attempts":2}},
 {"resource-type":"routes","metadata":{"name":"look"},"spec":{"host":"shop.example","path-prefix":"/look/","route-type":"idempotent","timeout-s":4,"aim-s":1.2,"priority":2,"service":"viewer","max-attempts":2}},
 {"resource-type":"services","metadata":{"name":"ledger"},"spec":{"health-path":"/health","max-connections":200}},
 {"resource-type":"services","metadata":{"name":"viewer"},"spec":{"health-path":"/health","max-connections":200}},
 {"resource-type":"limits","metadata":{},"spec":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-s":3,"idle-timeout-s":15}}]}`

func main() {
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	seed := flag.Uint64("seed", 1, "seed of the target's choices")
	flag.Parse()
	os.Exit(run(*record, *seed))
}

func run(record string, seed uint64) int {
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := stand.New()
	if err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	defer d.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	targets, err := start(ctx, d, seed)
	if err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	client := stand.NewClient()
	if trouble {
		go stand.Spells(ctx, spell, pause, func() { targets[0].Trouble(greyShare, extraShare) }, func() { targets[0].Trouble(0, 0) })
	}
	load(d, client)
	time.Sleep(3 * time.Second)
	return judge(record, trouble, client.All(), targets)
}

func start(ctx context.Context, d *stand.Deployment, seed uint64) ([]*stand.Target, error) {
	if err := d.Configure(configuration); err != nil {
		return nil, err
	}
	zones := []string{"east", "west", "south"}
	var targets []*stand.Target
	for i := range machines {
		service := "viewer"
		if i == 0 {
			service = "ledger"
		}
		m := d.Add(service, zones[i%len(zones)])
		if err := d.Start(m, true); err != nil {
			return nil, err
		}
		target := &stand.Target{ID: fmt.Sprintf("i-%08x", rand.Uint32()), Service: service, Address: m.Target(), Control: m.Control(), Zone: m.Zone, Slots: 64, Work: 40 * time.Millisecond}
		if err := target.Start(ctx, seed+uint64(i)); err != nil {
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

// load sends requests that must not run twice, at even times, to all machines in turn.
func load(d *stand.Deployment, client *stand.Client) {
	var sending sync.WaitGroup
	ticker := time.NewTicker(time.Second / perSecond)
	defer ticker.Stop()
	end := time.After(troubleFor)
	for number := 0; ; number++ {
		select {
		case <-end:
			sending.Wait()
			return
		case <-ticker.C:
		}
		m := d.Machines[number%len(d.Machines)]
		sending.Go(func() {
			client.Send(m, "POST", "shop.example", "/post/entry", fmt.Sprintf("%016x", rand.Uint64()), []byte("amount=12"), 4*time.Second)
		})
	}
}

// judge applies the rules TWICE and REFUSED to what clients and targets saw.
func judge(path string, trouble bool, sent []stand.Sent, targets []*stand.Target) int {
	runs := make(map[string][]stand.Run)
	for _, target := range targets {
		for _, r := range target.Runs() {
			runs[r.ID] = append(runs[r.ID], r)
		}
	}
	sort.Slice(sent, func(i, j int) bool { return sent[i].Started.Before(sent[j].Started) })
	var lines strings.Builder
	started := sent[0].Started
	statuses := make(map[int]int)
	var twice, refused int
	for _, s := range sent {
		statuses[s.Status]++
		verdict := ""
		switch count := len(runs[s.ID]); {
		case count > 1:
			twice++
			verdict = " TWICE"
		case count == 1 && (s.Status == 429 || s.Status == 503 || s.Status == 408 || s.Status == 421):
			refused++
			verdict = " REFUSED"
		}
		fmt.Fprintf(&lines, "%8.3f s request %s at %s: answer %d after %.3f s %s; runs", s.Started.Sub(started).Seconds(), s.ID, s.At, s.Status, s.Took.Seconds(), s.Err)
		for _, r := range runs[s.ID] {
			fmt.Fprintf(&lines, " %.3f s by %s", r.At.Sub(started).Seconds(), r.Target)
		}
		fmt.Fprintln(&lines, verdict)
	}
	ledger := targets[0]
	summary := fmt.Sprintf("trouble %v; %d requests that must not run twice, answers by status %v; target %s: %d answers, %d of them rejections, %d sent a second time; run twice (TWICE): %d; refused but run (REFUSED): %d\n",
		trouble, len(sent), statuses, ledger.ID, ledger.Answers, ledger.Rejected, ledger.Surplus, twice, refused)
	fmt.Print(summary)
	if err := os.WriteFile(path, []byte(summary+lines.String()), 0o644); err != nil {
		fmt.Println("not run:", err)
		return 2
	}
	switch {
	case twice+refused > 0:
		return 1
	case statuses[200] < leastServed:
		return 2
	}
	return 0
}
