package sidecar

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
	"golang.org/x/sync/errgroup"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/startup"
	"github.com/lugspur/lugspur/internal/version"
	"github.com/lugspur/lugspur/platform"
)

const (
	// addressTimeout is how long the start waits for an address that is needed to serve.
	addressTimeout = time.Minute
	// settingsTimeout is how long the start waits for settings that can be read and are whole.
	settingsTimeout = 10 * time.Second
)

// startObserver logs the steps of the start that cannot be completed at once.
type startObserver struct{ log *eventlog.Log }

// StartDelayed implements startup.Observer.
func (o startObserver) StartDelayed(step startup.Step, err error) {
	o.log.Record(eventlog.Event{Kind: eventlog.StartDelayed, Peer: step.Subject, Outcome: step.Name, Reason: err.Error()})
}

// StartResumed implements startup.Observer.
func (o startObserver) StartResumed(step startup.Step, delayed time.Duration) {
	o.log.Record(eventlog.Event{Kind: eventlog.StartResumed, Peer: step.Subject, Outcome: step.Name, Duration: delayed})
}

// StartFailed implements startup.Observer.
func (o startObserver) StartFailed(step startup.Step, delayed time.Duration, err error) {
	o.log.Record(eventlog.Event{Kind: eventlog.StartFailed, Peer: step.Subject, Outcome: step.Name, Duration: delayed, Reason: err.Error()})
}

// AwaitSettings loads the settings file at the start of a process. It waits for a file that cannot
// be read or is not completely written, but not for one that is whole and invalid. The output
// receives a log line when the wait begins and when it ends.
func AwaitSettings(ctx context.Context, path string, output io.Writer) (Settings, error) {
	log := eventlog.New(eventlog.Config{RootOf: platform.RootRequestID}, "", output, time.Now)
	logging, stopLogging := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		log.Run(logging)
	}()
	var settings Settings
	var settling startup.Settling
	starter := startup.Starter{Observer: startObserver{log}}
	err := starter.Run(ctx, startup.Step{
		Name:    "read settings",
		Subject: path,
		Limit:   startup.Limit{GiveUpAfter: settingsTimeout},
		Try: func() (err error) {
			settings, err = loadAtStart(path, &settling)
			return err
		},
	})
	stopLogging()
	awaitLog(logDone)
	return settings, err
}

// loadAtStart loads the settings. The error is marked transient unless the file is whole and invalid.
func loadAtStart(path string, settling *startup.Settling) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, startup.MarkTransient(oops.In("sidecar").With("step", "read settings").Wrapf(err, "read settings"))
	}
	settings, err := Parse(content)
	if err == nil {
		return settings, nil
	}
	err = oops.In("sidecar").With("step", "check settings").Wrapf(err, "settings %s", path)
	if cutOff(content, err) || !settling.Settled(time.Now(), content) {
		return Settings{}, startup.MarkTransient(err)
	}
	return Settings{}, err
}

// cutOff reports whether invalid settings end too early: there are none, or their last line has a
// syntax error.
func cutOff(content []byte, err error) bool {
	if len(bytes.TrimSpace(content)) == 0 {
		return true
	}
	syntaxError, found := errors.AsType[*toml.DecodeError](err)
	if !found {
		return false
	}
	row, _ := syntaxError.Position()
	lastRow := 1 + bytes.Count(bytes.TrimRight(content, "\n"), []byte("\n"))
	return row >= lastRow
}

// awaitLog waits until the log is written, for a bounded time.
func awaitLog(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(logDrainTimeout):
	}
}

// openAddresses opens the addresses in the background and starts their servers. Addresses do not
// wait for each other, except that the node registers its target only while peers can reach it. The
// channel receives one value once all addresses that are needed to serve are open, nil, or one of
// them failed. n.opening ends when the context does.
func (n *Node) openAddresses(ctx context.Context) <-chan error {
	starter := &startup.Starter{Observer: startObserver{n.log}}
	listen := &n.settings.Listen
	n.opening.Go(func() {
		_ = starter.Run(ctx, startup.Step{Name: "listen.permits", Subject: listen.Permits, Limit: startup.Limit{Optional: true}, Try: n.listenForPermitRequests})
	})
	if listen.Metrics != "" {
		step := n.serveStep("listen.metrics", listen.Metrics, n.metrics.handler())
		step.Limit = startup.Limit{Optional: true}
		n.opening.Go(func() { _ = starter.Run(ctx, step) })
	}
	sequences := [][]startup.Step{
		{n.serveStep("listen.calls", listen.Calls, n.forwarder)},
		{
			n.serveStep("listen.peers", listen.Peers, peering.Handler(n.peerServices())),
			n.serveStep("listen.heartbeats", listen.Heartbeats, platform.HeartbeatHandler(n.registrar, platform.LocalTarget{Address: n.settings.Target, IsKnownService: n.acceptsService})),
		},
		{n.serveStep("listen.ready", listen.Ready, platform.ReadyHandler(n.ready))},
	}
	opened := make(chan error, 1)
	n.opening.Go(func() {
		var group errgroup.Group
		for _, steps := range sequences {
			group.Go(func() error { return runSteps(ctx, starter, steps) })
		}
		opened <- group.Wait()
	})
	return opened
}

func runSteps(ctx context.Context, starter *startup.Starter, steps []startup.Step) error {
	for _, step := range steps {
		if err := starter.Run(ctx, step); err != nil {
			return err
		}
	}
	return nil
}

// serveStep returns the step that opens an address and starts its server.
func (n *Node) serveStep(name, address string, handler http.Handler) startup.Step {
	return startup.Step{
		Name:    name,
		Subject: address,
		Limit:   startup.Limit{GiveUpAfter: addressTimeout},
		Try:     func() error { return n.serve(address, handler) },
	}
}

// serve opens an address and starts its server.
func (n *Node) serve(address string, handler http.Handler) error {
	server, err := newServer(address, n.recoverPanics(address, handler))
	if err != nil {
		return err
	}
	server.http.ErrorLog = n.serverLog(address)
	n.connections.apply(server, address == n.settings.Listen.Calls || address == n.settings.Listen.Metrics)
	n.serversMutex.Lock()
	defer n.serversMutex.Unlock()
	n.servers = append(n.servers, server)
	server.start()
	switch address {
	case n.settings.Listen.Calls:
		n.callsOpen.Store(true)
	case n.settings.Listen.Peers:
		close(n.peersOpen)
	}
	return nil
}

// awaitStop returns when the context ends, or with the error of an address that is needed to serve.
func (n *Node) awaitStop(ctx context.Context, opened <-chan error) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-opened:
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("start: %w", err)
		}
	}
	n.log.Record(eventlog.Event{Kind: eventlog.ProcessStarted, Service: n.settings.Service, Target: n.settings.Target, Outcome: version.Current().Version})
	<-ctx.Done()
	return nil
}
