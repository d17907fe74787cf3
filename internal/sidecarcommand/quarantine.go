package sidecarcommand

import (
	"context"
	"flag"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/fingerprint"
	"github.com/lugspur/lugspur/internal/sidecar"
)

// storeTimeout is the timeout of a command's store calls.
const storeTimeout = 5 * time.Second

// quarantineCommand lists the requests that are refused because targets crash while running
// them, or removes one from quarantine.
type quarantineCommand struct {
	streams Streams
	store   string
	lift    string
}

// Name returns the command's name.
func (*quarantineCommand) Name() string { return "quarantine" }

// Synopsis returns the command's purpose in one line.
func (*quarantineCommand) Synopsis() string {
	return "list the requests that are refused because they crash targets, or let one run again"
}

// Usage returns the command's usage, with an example.
func (*quarantineCommand) Usage() string {
	return "quarantine -store ADDRESS [-lift FINGERPRINT]\n  Without -lift, print the quarantined requests, one per line. With it, remove that request from quarantine at all nodes.\n\n" +
		"Example:\n  lugspur-sidecar quarantine -store 10.200.1.7:8309\n\nFlags:\n"
}

// SetFlags adds the command's flags.
func (q *quarantineCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&q.store, "store", "", "`ADDRESS` of the metadata store")
	flags.StringVar(&q.lift, "lift", "", "`FINGERPRINT` of the request to let run again")
}

// Execute lists the quarantined requests or lifts a quarantine.
func (q *quarantineCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 || q.store == "" {
		return q.streams.usageError("quarantine requires the address of the store (-store) and takes no arguments")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if q.lift == "" {
		return q.list(ctx)
	}
	hash, err := fingerprint.Parse(q.lift)
	if err != nil {
		return q.streams.usageError(err.Error())
	}
	if err := sidecar.LiftQuarantine(ctx, q.store, hash); err != nil {
		return q.streams.fail(err)
	}
	_, _ = fmt.Fprintf(q.streams.Output, "requests with fingerprint %s run again\n", hash)
	return ExitOK
}

func (q *quarantineCommand) list(ctx context.Context) subcommands.ExitStatus {
	listed, err := sidecar.ListQuarantined(ctx, q.store)
	if err != nil {
		return q.streams.fail(err)
	}
	table := tabwriter.NewWriter(q.streams.Output, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "FINGERPRINT\tSERVICE\tROUTE\tTRIALS")
	for _, verdict := range listed {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\n", verdict.Fingerprint, verdict.Service, verdict.Route, verdict.Trials)
	}
	if err := table.Flush(); err != nil {
		return q.streams.fail(err)
	}
	return ExitOK
}
