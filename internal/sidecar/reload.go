package sidecar

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/routepolicy"
)

// settingsPollInterval is the time between checks of the settings file, which may also change
// without a signal.
const settingsPollInterval = 5 * time.Second

// Reload reloads the settings on each SIGHUP and whenever the file has changed, until the
// context ends. New policies take effect immediately. Other changes require a restart and are
// only logged.
func (n *Node) Reload(ctx context.Context, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastSeen := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			lastSeen = modTime(path)
			n.reload(path)
		case <-ticker.C:
			if current := modTime(path); !current.Equal(lastSeen) {
				lastSeen = current
				n.reload(path)
			}
		}
	}
}

// modTime returns the file's modification time, zero if it cannot be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload reads the settings and applies those that can change while the node runs. It must
// only be called by one goroutine.
func (n *Node) reload(path string) {
	next, err := Load(path)
	if err != nil {
		n.log.Record(eventlog.Event{Kind: eventlog.SettingsReloaded, Outcome: "kept", Reason: err.Error()})
		return
	}
	n.log.Record(eventlog.Event{Kind: eventlog.SettingsReloaded, Outcome: n.apply(next)})
}

// apply applies new policies and returns the outcome to log, which also says whether other
// settings differ.
func (n *Node) apply(next Settings) string {
	outcome := "unchanged"
	if next.Policies != n.policySources {
		// Load has already checked that they compile.
		if set, err := routepolicy.Compile(next.Policies); err == nil {
			n.policies.Put(set)
			n.policySources = next.Policies
			outcome = "policies in force"
		}
	}
	unchanged := n.settings
	unchanged.Policies = next.Policies
	if next != unchanged {
		outcome = "changed: in force after a restart"
	}
	return outcome
}
