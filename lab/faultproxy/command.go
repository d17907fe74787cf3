package faultproxy

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"
)

// Commands returns the lab's commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&proxyCommand{}} }

type proxyCommand struct {
	routes  string
	control string
}

func (*proxyCommand) Name() string { return "proxy" }
func (*proxyCommand) Synopsis() string {
	return "run fault-injecting TCP and UDP proxies"
}
func (*proxyCommand) Usage() string {
	return `proxy -routes LISTEN=UPSTREAM,... [-control ADDRESS]: run fault-injecting proxies.

Prints one JSON line with the routes, then runs until it is interrupted.

Example:
  lugspur-lab proxy -routes 127.0.0.1:0=127.0.0.1:7300 -control 127.0.0.1:7390

`
}

// SetFlags defines the command's flags.
func (c *proxyCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.routes, "routes", "", "`listen=upstream` pairs, separated by commas")
	flags.StringVar(&c.control, "control", "127.0.0.1:0", "`address` of the control listener")
}

// startLine is the JSON line that the command prints when its proxies are listening.
type startLine struct {
	Routes  []Route `json:"routes"`
	Control string  `json:"control"`
}

// Execute runs the proxies until SIGINT or SIGTERM.
func (c *proxyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	proxies, err := startRoutes(c.routes)
	defer closeAll(proxies)
	if err != nil {
		logrus.WithError(err).Error("failed to start the proxies")
		return subcommands.ExitUsageError
	}
	listener, err := net.Listen("tcp", c.control)
	if err != nil {
		logrus.WithError(err).Error("failed to start the control listener")
		return subcommands.ExitFailure
	}
	server := &http.Server{Handler: Control(proxies), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	line := startLine{Routes: controlServer{proxies: proxies}.listRoutes(), Control: listener.Addr().String()}
	if err := json.NewEncoder(os.Stdout).Encode(line); err != nil {
		logrus.WithError(err).Error("failed to print the routes")
	}
	<-ctx.Done()
	return subcommands.ExitSuccess
}

// startRoutes starts a proxy for each listen=upstream pair. On an error it also
// returns the proxies that have been started.
func startRoutes(routes string) ([]*Proxy, error) {
	var proxies []*Proxy
	for route := range strings.SplitSeq(routes, ",") {
		listen, upstream, ok := strings.Cut(route, "=")
		if !ok {
			return proxies, fmt.Errorf("%q isn't listen=upstream", route)
		}
		proxy, err := New(listen, upstream)
		if err != nil {
			return proxies, err
		}
		proxies = append(proxies, proxy)
	}
	return proxies, nil
}

func closeAll(proxies []*Proxy) {
	for _, proxy := range proxies {
		_ = proxy.Close()
	}
}
