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

// storeTimeout bounds what a verb asks of the store.
const storeTimeout = 5 * time.Second

// quarantineVerb is the verb that lists the requests that are refused as targets crash
// under them, and lifts a verdict.
type quarantineVerb struct {
	streams Streams
	store   string
	lift    string
}

// Name returns the verb's name.
func (*quarantineVerb) Name() string { return "quarantine" }

// Synopsis returns the verb's purpose in one line.
func (*quarantineVerb) Synopsis() string {
	return "list the requests that are refused as targets crash under them, or let one run again"
}

// Usage returns the verb's usage, with an example.
func (*quarantineVerb) Usage() string {
	return "quarantine -store ADDRESS [-lift FINGERPRINT]\n  Without -lift, print what is quarantined, a line each. With it, end that verdict at all nodes.\n\n" +
		"Example:\n  lugspur-sidecar quarantine -store 10.200.1.7:8309\n\nFlags:\n"
}

// SetFlags adds the verb's flags.
func (q *quarantineVerb) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&q.store, "store", "", "`ADDRESS` of the metadata store")
	flags.StringVar(&q.lift, "lift", "", "`FINGERPRINT` of the request to let run again")
}

// Execute lists or lifts.
func (q *quarantineVerb) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if flags.NArg() != 0 || q.store == "" {
		return q.streams.misused("quarantine takes the store's address with -store and no arguments")
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if q.lift == "" {
		return q.list(ctx)
	}
	hash, err := fingerprint.Parse(q.lift)
	if err != nil {
		return q.streams.misused(err.Error())
	}
	if err := sidecar.LiftQuarantine(ctx, q.store, hash); err != nil {
		return q.streams.fail(err)
	}
	_, _ = fmt.Fprintf(q.streams.Output, "requests with fingerprint %s run again\n", hash)
	return ExitOK
}

func (q *quarantineVerb) list(ctx context.Context) subcommands.ExitStatus {
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
