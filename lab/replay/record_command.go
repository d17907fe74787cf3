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

type recordTraceCommand struct {
	meshFile, objectPaths, historyFile, recordsFile string
	selection                                       Selection
}

func (*recordTraceCommand) Name() string { return "record-trace" }
func (*recordTraceCommand) Synopsis() string {
	return "build a trace from the recorded files of a run"
}
func (*recordTraceCommand) Usage() string {
	return `record-trace -mesh FILE -objects PATHS -history FILE -records FILE -zone ZONE: build a trace for replay from a recorded run.

Prints the trace. It expects the criticality that the mesh defines for each call, and a complete response after a single
attempt for those calls that had one in the run. Add further expectations by hand before you keep the trace.

Example:
  lugspur-lab record-trace -mesh examples/naidu/mesh.toml -objects out/objects.toml,examples/policies \
    -history out/history.jsonl -records out/records.jsonl -zone malolo -from 2s -for 1s > trace.jsonl

`
}

// SetFlags defines the command's flags.
func (c *recordTraceCommand) SetFlags(flags *flag.FlagSet) {
	flags.StringVar(&c.meshFile, "mesh", "", "mesh `file`")
	flags.StringVar(&c.objectPaths, "objects", "", "`files` and directories of objects, separated by commas")
	flags.StringVar(&c.historyFile, "history", "", "`file` of calls as seen by the callers, as JSON lines")
	flags.StringVar(&c.recordsFile, "records", "", "`file` of executions at targets, as JSON lines")
	flags.StringVar(&c.selection.Zone, "zone", "", "`zone` at whose edge the calls arrived")
	flags.DurationVar(&c.selection.Offset, "from", 0, "`time` from the first call to the trace's start")
	flags.DurationVar(&c.selection.Duration, "for", time.Second, "`time` that the trace covers")
	flags.StringVar(&c.selection.Name, "name", "recorded", "`name` of the trace")
	flags.StringVar(&c.selection.Guarantee, "promise", "", "`text` that describes the property that the trace verifies")
}

// Execute builds the trace and prints it.
func (c *recordTraceCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	recording, err := c.read()
	if err != nil {
		logrus.WithError(err).Error("failed to read the recording")
		return subcommands.ExitUsageError
	}
	trace, err := BuildTrace(recording, c.selection)
	if err == nil {
		err = trace.Write(os.Stdout)
	}
	if err != nil {
		logrus.WithError(err).Error("failed to build the trace")
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *recordTraceCommand) read() (Recording, error) {
	var recording Recording
	var errs [4]error
	recording.Mesh, errs[0] = mesh.Load(c.meshFile)
	recording.Calls, errs[1] = judge.ReadLines[judge.Call](c.historyFile)
	recording.Records, errs[2] = judge.ReadLines[emulator.Record](c.recordsFile)
	objects, err := objectfile.Load(strings.Split(c.objectPaths, ",")...)
	errs[3] = err
	for _, object := range objects {
		recording.Objects = append(recording.Objects, object.Envelope)
	}
	return recording, errors.Join(errs[:]...)
}
