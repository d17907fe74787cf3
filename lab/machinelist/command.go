package machinelist

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
)

// readHeaderTimeout bounds how long a client may take to send the request
// headers.
const readHeaderTimeout = 10 * time.Second

// Commands returns the commands of this package.
func Commands() []subcommands.Command {
	return []subcommands.Command{&machinesCommand{output: os.Stdout}}
}

type machinesCommand struct {
	output  io.Writer
	listen  string
	control string
	lag     time.Duration
}

// listenAddresses is the JSON line printed when the server is listening.
type listenAddresses struct {
	Machines string `json:"machines"`
	Control  string `json:"control"`
}

// Name implements subcommands.Command.
func (*machinesCommand) Name() string { return "machines" }

// Synopsis implements subcommands.Command.
func (*machinesCommand) Synopsis() string { return "run a test server of the machine list" }

// Usage implements subcommands.Command.
func (*machinesCommand) Usage() string {
	return `lugspur-lab machines [-listen ADDRESS] [-control ADDRESS] [-lag DURATION]

Serves a lagging list of live and leaving machines at GET /machines, until
SIGTERM or SIGINT. Prints its addresses as one JSON line when ready. The
machines are set with POST /control on the control address.

Example:
  lugspur-lab machines -listen 127.0.0.1:8500 -control 127.0.0.1:8501 -lag 5s
  curl -d '{"machines":[{"name":"m1","address":"10.0.0.1:80","zone":"a","state":"leaving"}]}' \
    http://127.0.0.1:8501/control

`
}

// SetFlags implements subcommands.Command.
func (c *machinesCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "address of the list's listener")
	flags.StringVar(&c.control, "control", "127.0.0.1:0", "address of the control listener")
	flags.DurationVar(&c.lag, "lag", 0, "time after which the list reflects an update")
}

// Execute implements subcommands.Command.
func (c *machinesCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.serve(ctx); err != nil {
		logrus.WithError(err).Error("failed to serve the machine list")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *machinesCommand) serve(ctx context.Context) error {
	listListener, err := net.Listen("tcp", c.listen)
	if err != nil {
		return oops.In("machinelist").With("step", "listen").With("peer", c.listen).Wrapf(err, "listen on %s", c.listen)
	}
	defer func() { _ = listListener.Close() }()
	controlListener, err := net.Listen("tcp", c.control)
	if err != nil {
		return oops.In("machinelist").With("step", "listen").With("peer", c.control).Wrapf(err, "listen on %s", c.control)
	}
	defer func() { _ = controlListener.Close() }()
	addresses := listenAddresses{Machines: listListener.Addr().String(), Control: controlListener.Addr().String()}
	if err := json.NewEncoder(c.output).Encode(addresses); err != nil {
		return err
	}
	list := New(time.Now, c.lag)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serveUntil(ctx, listListener, list.Handler()) })
	group.Go(func() error { return serveUntil(ctx, controlListener, list.ControlHandler()) })
	return group.Wait()
}

func serveUntil(ctx context.Context, listener net.Listener, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
