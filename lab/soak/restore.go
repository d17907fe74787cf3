package soak

import (
	"context"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/pause"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/lab/platformstub"
)

const (
	// copyPeriod is the time between two copies of the store, and maxCopies how many are
	// kept: the store comes back from one of the last five seconds.
	copyPeriod = 500 * time.Millisecond
	maxCopies  = 10
	// restoreAway is how long the store is away before it comes back.
	restoreAway = time.Second
)

// copies are those of the store that it may come back from.
type copies struct {
	mutex sync.Mutex
	kept  []*memory.Backup
}

// run copies the store until the context ends.
func (c *copies) run(ctx context.Context, held *memory.Store) {
	for ctx.Err() == nil {
		c.mutex.Lock()
		c.kept = append(c.kept, held.Backup())
		c.kept = c.kept[max(0, len(c.kept)-maxCopies):]
		c.mutex.Unlock()
		pause.For(ctx, copyPeriod)
	}
}

// at returns the copy of the given age, the oldest where none is as old.
func (c *copies) at(age time.Duration) *memory.Backup {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	back := int(age / copyPeriod)
	return c.kept[max(0, len(c.kept)-1-back)]
}

// restore has the store be away and come back from a copy. The operator writes the newest
// configuration again before any node is answered.
func (i *injector) restore(ctx context.Context, fault Fault) {
	i.store.Lock()
	defer i.store.Unlock()
	end := i.recorder.begin(everyMachine, false)
	defer end()
	i.deployment.stub.SetFaults(platformstub.Faults{Down: true})
	pause.For(ctx, restoreAway)
	copied := i.copies.at(fault.For)
	i.versionMutex.Lock()
	defer i.versionMutex.Unlock()
	i.deployment.stub.Between(func() { i.deployment.held.Restore(copied) })
	if err := i.deployment.writeConfiguration(ctx, i.version); err != nil {
		i.recorder.endedByItself("the store's stand-in: " + err.Error())
	}
	i.deployment.stub.SetFaults(platformstub.Faults{})
}
