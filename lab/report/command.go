package report

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/lab/experiment"
)

// Commands returns the lab commands of this package.
func Commands() []subcommands.Command { return []subcommands.Command{&reportCommand{}} }

type reportCommand struct {
	out    string
	images string
}

func (*reportCommand) Name() string     { return "report" }
func (*reportCommand) Synopsis() string { return "compare the results of experiments in an HTML file" }

func (*reportCommand) Usage() string {
	return `report -out FILE.html [-images DIR] DIR...: compare the results of experiments.

Each DIR is the -out directory of a lugspur-lab experiment run. Plots show the
run with the lowest seed of each system.

Example:
  lugspur-lab report -out /tmp/surge.html /tmp/surge-2x-*

`
}

// SetFlags defines the command's flags.
func (c *reportCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.out, "out", "", "HTML `file`")
	flags.StringVar(&c.images, "images", "", "`directory` for the plots as PNG files; empty writes no PNG files")
}

// Execute writes the report.
func (c *reportCommand) Execute(_ context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.out == "" || flags.NArg() == 0 {
		fmt.Fprintln(os.Stderr, "-out and at least one directory are required")
		return subcommands.ExitUsageError
	}
	if err := c.run(flags.Args()); err != nil {
		fmt.Fprintln(os.Stderr, "report failed:", err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *reportCommand) run(directories []string) error {
	var results []*experiment.Result
	for _, directory := range directories {
		result, err := experiment.ReadResult(directory)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	report, err := newPage(results)
	if err != nil {
		return err
	}
	if err := report.writeImages(c.images); err != nil {
		return err
	}
	var content bytes.Buffer
	if err := report.write(&content); err != nil {
		return err
	}
	return os.WriteFile(c.out, content.Bytes(), 0o644)
}

// writeImages writes the plots as PNG files, unless the directory is empty.
func (p page) writeImages(directory string) error {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for _, section := range p.Groups {
		for _, image := range section.Images {
			if err := os.WriteFile(filepath.Join(directory, image.Name+".png"), image.PNG, 0o644); err != nil {
				return err
			}
		}
	}
	return nil
}
