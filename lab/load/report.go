package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// WriteTable writes the result by kind as a table.
func (r *Result) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "kind\tsent\tcomplete\trefused\twrong\tfailed\tp50 ms\tp99 ms\t")
	for _, kind := range r.Kinds {
		writeRow(table, kind)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "sent %d in %.1f s, complete %d, start delay p99 %.2f ms\n",
		r.Total.Sent, r.Duration.Seconds(), r.Total.Complete, milliseconds(r.Lateness99))
	if err != nil {
		return err
	}
	return r.writeWarnings(w)
}

func writeRow(w io.Writer, kind KindResult) {
	_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n",
		kind.Kind, kind.Sent, kind.Complete, kind.Refused(), kind.Wrong, kind.Failed(),
		milliseconds(kind.Quantile(50)), milliseconds(kind.Quantile(99)))
}

func (r *Result) writeWarnings(w io.Writer) error {
	if r.Bottleneck {
		if _, err := fmt.Fprintln(w, "the generator was the bottleneck: calls started late or not at all"); err != nil {
			return err
		}
	}
	if r.Invalid == "" {
		return nil
	}
	_, err := fmt.Fprintf(w, "invalid run: %s (%d not sent)\n", r.Invalid, r.Total.NotSent)
	return err
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}
