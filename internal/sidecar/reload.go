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

// SettingsWatch watches a settings file for reloads.
type SettingsWatch struct {
	path string
	// signals receives each SIGHUP.
	signals chan os.Signal
	// lastSeen is the modification time of the settings that were read last.
	lastSeen time.Time
}

// WatchSettings starts to watch a settings file. Call it before the settings are loaded, so that
// no change and no signal is missed. SIGHUP stays handled for the rest of the process's life:
// without a handler it would end the process at once, with the requests that it has read.
func WatchSettings(path string) *SettingsWatch {
	w := &SettingsWatch{path: path, signals: make(chan os.Signal, 1), lastSeen: modTime(path)}
	signal.Notify(w.signals, syscall.SIGHUP)
	return w
}

// reloadSettings reloads the settings on each SIGHUP and whenever the file has changed, until the
// context ends. New policies take effect immediately. Other changes require a restart and are
// only logged.
func (n *Node) reloadSettings(ctx context.Context, watch *SettingsWatch) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-watch.signals:
			watch.lastSeen = modTime(watch.path)
			n.reload(watch.path)
		case <-ticker.C:
			if current := modTime(watch.path); !current.Equal(watch.lastSeen) {
				watch.lastSeen = current
				n.reload(watch.path)
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
