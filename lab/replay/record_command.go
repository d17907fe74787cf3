package replay

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/command/objectfile"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/judge"
	"github.com/lugspur/lugspur/lab/mesh"
)

type recordCommand struct {
	meshFile, objects, history, records string
	cut                                 Cut
}

func (*recordCommand) Name() string { return "record-trace" }
func (*recordCommand) Synopsis() string {
	return "make a trace from the recorded files of a run"
}
func (*recordCommand) Usage() string {
	return `record-trace -mesh FILE -objects PATHS -history FILE -records FILE -zone ZONE: make a trace for replay from a recorded run.

Prints the trace. It states the criticality of each call and, of the calls that were run once and answered, that; state
more by hand before you keep it.

Example:
  lugspur-lab record-trace -mesh examples/naidu/mesh.toml -objects out/objects.toml,examples/policies \
    -history out/history.jsonl -records out/records.jsonl -zone malolo -from 2s -for 1s > trace.jsonl

`
}

// SetFlags defines the command's flags.
func (c *recordCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.meshFile, "mesh", "", "mesh `file`")
	flags.StringVar(&c.objects, "objects", "", "`files` and directories of objects, separated by commas")
	flags.StringVar(&c.history, "history", "", "`file` of calls as callers saw them, as JSON lines")
	flags.StringVar(&c.records, "records", "", "`file` of executions at targets, as JSON lines")
	flags.StringVar(&c.cut.Zone, "zone", "", "`zone` whose edge took the calls")
	flags.DurationVar(&c.cut.From, "from", 0, "`time` from the first call to the trace's start")
	flags.DurationVar(&c.cut.For, "for", time.Second, "`time` that the trace covers")
	flags.StringVar(&c.cut.Name, "name", "recorded", "`name` of the trace")
	flags.StringVar(&c.cut.Promise, "promise", "", "`text` that says what the trace guards")
}

// Execute makes the trace.
func (c *recordCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	recording, err := c.read()
	if err != nil {
		logrus.WithError(err).Error("read recording")
		return subcommands.ExitUsageError
	}
	trace, err := Record(recording, c.cut)
	if err == nil {
		err = trace.Write(os.Stdout)
	}
	if err != nil {
		logrus.WithError(err).Error("record trace")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *recordCommand) read() (Recording, error) {
	var recording Recording
	var errs [4]error
	recording.Mesh, errs[0] = mesh.Load(c.meshFile)
	recording.Calls, errs[1] = judge.ReadLines[judge.Call](c.history)
	recording.Records, errs[2] = judge.ReadLines[emulator.Record](c.records)
	objects, err := objectfile.Load(strings.Split(c.objects, ",")...)
	errs[3] = err
	for _, object := range objects {
		recording.Objects = append(recording.Objects, object.Envelope)
	}
	return recording, errors.Join(errs[:]...)
}
