package scale

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/lugspur/lugspur/internal/gateway"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/etcd"
)

// The size to design for.
const (
	serviceCount = 23
	targetCount  = 820
	targetSlots  = 8
	zoneCount    = 5
	// changesPerDay is the rate of changes that the size asks for.
	changesPerDay = 4100
)

// zoneOf and regionOf spread nodes and targets over zones: three zones in the
// first region, two in the second.
func zoneOf(index int) string { return fmt.Sprintf("zone-%d", index%zoneCount+1) }

func regionOf(index int) string {
	if index%zoneCount < 3 {
		return "region-1"
	}
	return "region-2"
}

func serviceName(index int) string { return fmt.Sprintf("service-%02d", index%serviceCount+1) }
func targetName(index int) string  { return fmt.Sprintf("target-%03d", index+1) }

// namedTarget is a target as the shed levels of gossip mean it.
type namedTarget struct{ name, service string }

// targetByHash finds the targets by what gossip calls them.
var targetByHash = func() map[uint32]namedTarget {
	byHash := make(map[uint32]namedTarget, targetCount)
	for index := range targetCount {
		name := targetName(index)
		byHash[gateway.TargetHash(name)] = namedTarget{name: name, service: serviceName(index)}
	}
	return byHash
}()

// objects returns 23 services that form chains, with a policy each, and their
// 820 targets.
func objects() []resource.Envelope {
	var made []resource.Envelope
	for index := range serviceCount {
		name := serviceName(index)
		service := &resource.Service{LoadHeader: "Load", RefusalHeader: "Refused"}
		if index+1 < serviceCount {
			service.Calls = []string{serviceName(index + 1)}
		}
		made = append(made,
			resource.Envelope{ID: resource.ID{Kind: resource.KindService, Name: name}, Service: service},
			resource.Envelope{ID: resource.ID{Kind: resource.KindPolicy, Name: name}, Policy: &resource.Policy{
				Admit:  `true`,
				Rank:   `call.incoming_rank != "" ? call.incoming_rank : "critical"`,
				Retry:  `outcome.executed == "no" || call.repeatable ? 2 : 0`,
				Refuse: `load.shed_level == "" ? 1 : 3`,
			}})
	}
	for index := range targetCount {
		made = append(made, target(index, 0))
	}
	return made
}

// target returns a target; its warm-up is what changes alter.
func target(index, warmup int) resource.Envelope {
	return resource.Envelope{
		ID: resource.ID{Kind: resource.KindTarget, Name: targetName(index)},
		Target: &resource.Target{
			Service:       serviceName(index),
			Zone:          zoneOf(index),
			Address:       fmt.Sprintf("127.0.0.1:%d", 1024+index),
			Slots:         targetSlots,
			Connections:   4 * targetSlots,
			WarmupSeconds: warmup,
		},
	}
}

// preloadWriters is how many objects are written at a time.
const preloadWriters = 4

// preload puts the objects into the store, as they were accepted before.
func preload(ctx context.Context, address string, rate float64, envelopes []resource.Envelope) error {
	client, err := etcd.New(etcd.Config{Endpoints: []string{address}, RequestsPerSecond: rate})
	if err != nil {
		return err
	}
	defer client.Close()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(preloadWriters)
	for _, envelope := range envelopes {
		group.Go(func() error { return create(ctx, client, envelope) })
	}
	return group.Wait()
}

func create(ctx context.Context, client store.Store, envelope resource.Envelope) error {
	change := resource.Change{ID: "preload", Author: "lab", At: time.Unix(0, 0).UTC()}
	encoded, err := resource.Envelope{ID: envelope.ID}.Successor(envelope, change).Encode()
	if err != nil {
		return err
	}
	for {
		_, err := client.CompareAndSwap(ctx, envelope.ID.Key(), 0, encoded, 0)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !errors.Is(err, store.ErrRateLimited) {
			return oops.In("scale").With("step", "preload").Wrapf(err, "create %s", envelope.ID)
		}
		if err := pause(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// pause waits for the duration or the end of the context, whose error it
// returns.
func pause(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
