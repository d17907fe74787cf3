package sidecar

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/lugspur/lugspur/internal/eventlog"
)

// Reload reads the settings again at each SIGHUP until the context ends. What
// can change while the node runs is taken; the rest takes a restart, which the
// log says.
func (n *Node) Reload(ctx context.Context, path string) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			n.reload(path)
		}
	}
}

func (n *Node) reload(path string) {
	event := eventlog.Event{Kind: eventlog.SettingsReloaded, Outcome: "unchanged"}
	next, err := Load(path)
	switch {
	case err != nil:
		event.Outcome, event.Reason = "kept", err.Error()
	case next != n.settings:
		event.Outcome = "changed: in force after a restart"
	}
	n.log.Record(event)
}
