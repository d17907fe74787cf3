package kvstore

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
)

// Commands returns the commands of this package.
func Commands() []subcommands.Command {
	return []subcommands.Command{&storeCommand{out: os.Stdout}}
}

type storeCommand struct {
	out     io.Writer
	listen  string
	control string
	config  Config
}

// listenAddresses is the JSON line printed when the server is listening.
type listenAddresses struct {
	Store   string `json:"store"`
	Control string `json:"control"`
}

// Name implements subcommands.Command.
func (*storeCommand) Name() string { return "store" }

// Synopsis implements subcommands.Command.
func (*storeCommand) Synopsis() string { return "run a test server of the key-value service" }

// Usage implements subcommands.Command.
func (*storeCommand) Usage() string {
	return `lugspur-lab store [-listen ADDRESS] [-control ADDRESS] [-rate N]

Runs a key-value service that speaks the JSON form of the etcd v3 API, until
SIGTERM or SIGINT. Prints its addresses as one JSON line when ready. Faults are
set with POST /control on the control address.

Example:
  lugspur-lab store -listen 127.0.0.1:2379 -control 127.0.0.1:2380 -rate 50
  curl -d '{"outage":"hang"}' http://127.0.0.1:2380/control
  curl -d '{"clear":true}' http://127.0.0.1:2380/control

`
}

// SetFlags implements subcommands.Command.
func (c *storeCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.listen, "listen", "127.0.0.1:0", "address of the API listener")
	flags.StringVar(&c.control, "control", "127.0.0.1:0", "address of the control listener")
	flags.Float64Var(&c.config.RequestsPerSecond, "rate", 0, "limit in requests per second; 0 means no limit")
	flags.IntVar(&c.config.Burst, "burst", 1, "maximum burst of requests under the rate limit")
	flags.DurationVar(&c.config.ProgressInterval, "progress", time.Second, "time between progress notifications of a watch")
	flags.IntVar(&c.config.HistoryEvents, "history", 0, "number of changes retained for watches; 0 uses the default")
	flags.Uint64Var(&c.config.Seed, "seed", 1, "seed of the random faults")
}

// Execute implements subcommands.Command.
func (c *storeCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	process, err := Start(c.config, c.listen, c.control)
	if err != nil {
		logrus.WithError(err).Error("failed to start the store")
		return subcommands.ExitFailure
	}
	defer process.Close()
	line := listenAddresses{Store: process.Address(), Control: process.ControlAddress()}
	if err := json.NewEncoder(c.out).Encode(line); err != nil {
		logrus.WithError(err).Error("failed to print the addresses")
		return subcommands.ExitFailure
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}
