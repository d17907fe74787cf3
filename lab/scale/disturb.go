package scale

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lugspur/lugspur/lab/kvstore"
)

// The disturbances of a run.
const (
	healthyChanges = 20
	changeSpacing  = time.Second
	failures       = 3
	failureSpacing = 2 * time.Second
	outages        = 3
	// outageLength is how long the store stays away, the promised time for a
	// change to be in force everywhere.
	outageLength  = 8 * time.Second
	cutChanges    = 3
	cutLength     = 8 * time.Second
	noticeTimeout = 30 * time.Second
	healTimeout   = 60 * time.Second
)

// change changes the next target through the node and notes the event.
func (e *experiment) change(ctx context.Context, kind, node string) (event, error) {
	targetIndex := e.changed % targetCount
	warmup := 1 + e.changed/targetCount
	e.changed++
	accepted, err := e.fleet.write(ctx, node, targetIndex, warmup)
	if err != nil {
		return event{}, err
	}
	made := event{kind: kind, at: accepted.Sent, revision: accepted.Revision, target: targetName(targetIndex), warmup: warmup}
	return made, nil
}

// writer returns the name of the node that makes the next change.
func (e *experiment) writer() string {
	return hollowName(e.changed * 7 % e.config.Nodes)
}

// changeHealthy makes changes one by one while all is well. Real nodes are
// asked for each, too.
func (e *experiment) changeHealthy(ctx context.Context) error {
	polls, cancel := context.WithTimeout(ctx, healthyChanges*changeSpacing+outageLength)
	defer cancel()
	var asking sync.WaitGroup
	var mutex sync.Mutex
	for range healthyChanges {
		made, err := e.change(ctx, "change, all well", e.writer())
		if err != nil {
			return err
		}
		e.events = append(e.events, made)
		seen := event{kind: "change at real nodes", at: made.at, learnt: map[string]int64{}}
		e.events = append(e.events, seen)
		for _, node := range e.fleet.reals {
			asking.Go(func() {
				if at := node.awaitTarget(polls, made.target, made.warmup); at != 0 {
					mutex.Lock()
					defer mutex.Unlock()
					seen.learnt[node.name] = at
				}
			})
		}
		if err := pause(ctx, changeSpacing); err != nil {
			return err
		}
	}
	asking.Wait()
	return nil
}

// failNodes kills nodes, starts replacements, and restarts others as planned.
func (e *experiment) failNodes(ctx context.Context) error {
	for index := range failures {
		failed := hollowName(e.config.Nodes - 1 - index)
		at, err := e.fleet.kill(ctx, failed)
		if err != nil {
			return err
		}
		e.deaths[failed] = at
		if err := pause(ctx, failureSpacing); err != nil {
			return err
		}
		replacement := e.fleet.config(e.config.Nodes - 1 - index)
		replacement.Name = fmt.Sprintf("%s-replacement", failed)
		if err := e.fleet.start(ctx, []HollowConfig{replacement}, nil); err != nil {
			return err
		}
		restarted := hollowName(e.config.Nodes - 1 - failures - index)
		if _, err := e.fleet.leave(ctx, restarted); err != nil {
			return err
		}
		if err := e.fleet.restart(ctx, restarted); err != nil {
			return err
		}
	}
	_, err := e.fleet.awaitMembers(ctx, noticeTimeout)
	return e.noteUnreached("failures", err)
}

// noteUnreached notes that the nodes did not agree in time, after which the run
// goes on. Other errors are returned.
func (e *experiment) noteUnreached(phase string, err error) error {
	if !errors.Is(err, errNotReached) {
		return err
	}
	e.result.Unreached = append(e.result.Unreached, phase+": "+err.Error())
	return nil
}

// changeBeforeOutage has one node make a change that no other node can read
// from the store: their way to it is cut before and the store ends right after.
func (e *experiment) changeBeforeOutage(ctx context.Context) error {
	refuse := kvstore.OutageRefuse
	for index := range outages {
		node := hollowName(index)
		if _, err := callAll[none](ctx, e.fleet, "/store", storeRequest{Except: node}); err != nil {
			return err
		}
		made, err := e.change(ctx, "change, store gone right after", node)
		if err != nil {
			return err
		}
		if err := e.fleet.store.Control(kvstore.ControlRequest{Outage: &refuse}); err != nil {
			return err
		}
		e.events = append(e.events, made)
		if err := pause(ctx, outageLength); err != nil {
			return err
		}
		if err := e.fleet.store.Control(kvstore.ControlRequest{Clear: true}); err != nil {
			return err
		}
		if _, err := callAll[none](ctx, e.fleet, "/store", storeRequest{Open: true}); err != nil {
			return err
		}
	}
	return e.judgeDeaths(ctx)
}

// cutZone cuts the last zone off from all others and from the store, makes
// changes outside, and heals the cut.
func (e *experiment) cutZone(ctx context.Context) error {
	inside, exempt := e.insideCut()
	if _, err := callAll[none](ctx, e.fleet, "/cut", inside); err != nil {
		return err
	}
	var made []event
	for range cutChanges {
		next, err := e.change(ctx, "change during a cut, after its end", hollowName(0))
		if err != nil {
			return err
		}
		next.exempt = exempt
		made = append(made, next)
	}
	if err := pause(ctx, cutLength); err != nil {
		return err
	}
	if _, err := callAll[none](ctx, e.fleet, "/cut", []string{}); err != nil {
		return err
	}
	healed := time.Now().UnixMicro()
	for _, next := range made {
		next.at = healed
		e.events = append(e.events, next)
	}
	took, err := e.fleet.awaitMembers(ctx, healTimeout)
	e.result.HealSeconds = took.Seconds()
	return e.noteUnreached("cut", err)
}

// insideCut returns the addresses of the nodes inside and the names of those
// outside, which have the changes before the cut ends.
func (e *experiment) insideCut() (addresses []string, outside map[string]bool) {
	outside = map[string]bool{}
	for name, node := range e.fleet.nodes {
		if node.config.Zone == zoneOf(zoneCount-1) {
			addresses = append(addresses, node.address)
			continue
		}
		outside[name] = true
	}
	return addresses, outside
}

// judgeDeaths sums up how the deaths so far were noticed and counts those of
// nodes that lived.
func (e *experiment) judgeDeaths(ctx context.Context) error {
	if err := e.collect(ctx); err != nil {
		return err
	}
	for name, at := range e.deaths {
		e.events = append(e.events, event{kind: "death", at: at, learnt: e.seen.Deaths[name]})
	}
	for name, notes := range e.seen.Deaths {
		if _, killed := e.deaths[name]; !killed {
			e.result.FalseDeaths += len(notes)
		}
	}
	return nil
}

// collect adds what the nodes noted since the last time.
func (e *experiment) collect(ctx context.Context) error {
	noted, err := e.fleet.observations(ctx)
	if err != nil {
		return err
	}
	e.seen.merge(noted)
	return nil
}

// judge sums up how the events of the disturbances reached the nodes.
func (e *experiment) judge(ctx context.Context) error {
	if err := e.collect(ctx); err != nil {
		return err
	}
	for index := range e.events {
		if e.events[index].revision != 0 {
			e.events[index].learnt = e.seen.Changes[e.events[index].revision]
		}
	}
	reals := map[string]lifetime{}
	for _, node := range e.fleet.reals {
		reals[node.name] = lifetime{}
	}
	var hollow, real []event
	for _, made := range e.events {
		if made.kind == "change at real nodes" {
			real = append(real, made)
			continue
		}
		hollow = append(hollow, made)
	}
	e.result.Convergence = converge(hollow, e.fleet.lives)
	if len(reals) > 0 {
		e.result.Convergence = append(e.result.Convergence, converge(real, reals)...)
	}
	return nil
}
