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
	// backupInterval is the time between two backups of the store and maxBackups the
	// number retained: the store is restored to a state of the last five seconds.
	backupInterval = 500 * time.Millisecond
	maxBackups     = 10
	// restoreDowntime is how long the store is down before it is restored.
	restoreDowntime = time.Second
)

// backups holds recent backups of the store.
type backups struct {
	mutex  sync.Mutex
	recent []*memory.Backup
}

// run takes backups of the store until the context ends.
func (c *backups) run(ctx context.Context, store *memory.Store) {
	for ctx.Err() == nil {
		c.mutex.Lock()
		c.recent = append(c.recent, store.Backup())
		c.recent = c.recent[max(0, len(c.recent)-maxBackups):]
		c.mutex.Unlock()
		pause.For(ctx, backupInterval)
	}
}

// at returns the backup of the given age, or the oldest one if none is that old.
func (c *backups) at(age time.Duration) *memory.Backup {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	offset := int(age / backupInterval)
	return c.recent[max(0, len(c.recent)-1-offset)]
}

// restore stops the store and restores it from a backup. The operator rewrites the
// newest configuration before the store answers any node.
func (i *injector) restore(ctx context.Context, fault Fault) {
	i.storeLock.Lock()
	defer i.storeLock.Unlock()
	end := i.recorder.beginDisturbance(otherDisturbance, allMachines, false)
	defer end()
	i.deployment.storeStub.SetFaults(platformstub.Faults{Down: true})
	pause.For(ctx, restoreDowntime)
	backup := i.backups.at(fault.For)
	i.versionMutex.Lock()
	defer i.versionMutex.Unlock()
	i.deployment.storeStub.UpdateBackend(func() { i.deployment.store.Restore(backup) })
	if err := i.deployment.writeConfiguration(ctx, i.version); err != nil {
		i.recorder.addFailure("the store stub: " + err.Error())
	}
	i.deployment.storeStub.SetFaults(platformstub.Faults{})
}
