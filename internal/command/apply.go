package command

import (
	"bytes"
	"context"
	"errors"
	"flag"

	"github.com/google/subcommands"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/command/objectfile"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// pathList collects the values of -f.
type pathList []string

// String returns nothing: there is no default.
func (l *pathList) String() string { return "" }

// Set adds a path.
func (l *pathList) Set(path string) error {
	*l = append(*l, path)
	return nil
}

// ApplyResult is the result of applying one object.
type ApplyResult struct {
	Kind resource.Kind `json:"kind"`
	Name string        `json:"name"`
	// Result is created, changed, unchanged, conflict, unknown, unavailable,
	// invalid, failed or not-tried; with -dry-run would-create, would-change or
	// unchanged.
	Result   string         `json:"result"`
	Revision store.Revision `json:"revision,omitempty"`
	ChangeID string         `json:"change_id,omitempty"`
	Error    string         `json:"error,omitempty"`
	AskURL   string         `json:"ask_url,omitempty"`
	Warnings []string       `json:"warnings,omitempty"`
}

type apply struct {
	program *Program
	paths   pathList
	dryRun  bool
}

func newApply(program *Program) subcommands.Command {
	a := &apply{program: program}
	return &verb{
		program:  program,
		name:     "apply",
		synopsis: "create or change the objects declared in files",
		usage:    "-f FILE|DIRECTORY [-f ...] [-dry-run]",
		example:  "lugspur apply -admin 10.1.0.1:7403 -f policies/ -f targets.toml",
		connects: true,
		flags: func(flags *flag.FlagSet) {
			flags.Var(&a.paths, "f", "object `FILE`, or directory of *.toml files; may be repeated")
			flags.BoolVar(&a.dryRun, "dry-run", false, "print what would change without changing it")
		},
		run: a.run,
	}
}

// run validates all objects before it writes the first one.
func (a *apply) run(ctx context.Context, arguments []string) error {
	paths := append(a.paths, arguments...)
	if len(paths) == 0 {
		return usageErrorf("apply needs -f FILE or -f DIRECTORY")
	}
	objects, err := objectfile.Load(paths...)
	if err != nil {
		return err
	}
	client, err := a.program.connection.client()
	if err != nil {
		return err
	}
	results, failures := a.applyAll(ctx, client, objects)
	return errors.Join(a.print(results), failures)
}

// applyAll applies the objects in order. It continues after a conflict and stops
// when the nodes or the store are unreachable, because the rest would fail too.
func (a *apply) applyAll(ctx context.Context, client *adminclient.Client, objects []objectfile.Object) ([]ApplyResult, error) {
	var results []ApplyResult
	var failures []error
	stopped := false
	for _, object := range objects {
		result := ApplyResult{Kind: object.Envelope.ID.Kind, Name: object.Envelope.ID.Name, Result: "not-tried"}
		if !stopped {
			err := a.applyOne(ctx, client, object, &result)
			stopped = errors.Is(err, adminclient.ErrUnavailable) || errors.Is(err, adminclient.ErrUnknownOutcome)
			failures = append(failures, recordFailure(&result, err))
		}
		results = append(results, result)
	}
	return results, errors.Join(failures...)
}

// recordFailure stores an error in the result and returns it.
func recordFailure(result *ApplyResult, err error) error {
	if err == nil {
		return nil
	}
	result.Result = failureResults[exitCode(err)]
	result.Error = err.Error()
	var clientError *adminclient.Error
	if errors.As(err, &clientError) && clientError.Problem != nil {
		result.ChangeID = clientError.Problem.ChangeID
		result.AskURL = clientError.Problem.ResolveURL
	}
	return err
}

var failureResults = map[int]string{
	ExitFailed:      "failed",
	ExitUsage:       "invalid",
	ExitConflict:    "conflict",
	ExitUnknown:     "unknown",
	ExitUnavailable: "unavailable",
	ExitNotFound:    "failed",
}

func (a *apply) applyOne(ctx context.Context, client *adminclient.Client, object objectfile.Object, result *ApplyResult) error {
	id := object.Envelope.ID
	current, err := client.Get(ctx, id)
	if err != nil && !errors.Is(err, adminclient.ErrNotFound) {
		return err
	}
	desired, err := admin.EncodeSpecification(object.Envelope)
	if err != nil {
		return err
	}
	if specificationEquals(current, desired) {
		result.Result, result.Revision = "unchanged", current.Revision
		return nil
	}
	expected := current.Revision
	if object.Expected != nil {
		expected = *object.Expected
	}
	if a.dryRun {
		return dryRun(current, expected, result)
	}
	answer, err := client.Put(ctx, id, desired, expected)
	if err != nil {
		return ignoreConflictIfEqual(err, desired, result)
	}
	result.Result = "changed"
	if expected == 0 {
		result.Result = "created"
	}
	result.Revision, result.ChangeID, result.Warnings = answer.Revision, answer.ChangeID, answer.Warnings
	return nil
}

// specificationEquals reports whether an object has the desired specification,
// regardless of the order of its keys.
func specificationEquals(current admin.Object, desired []byte) bool {
	if current.Revision == 0 || current.Deleted {
		return false
	}
	id := resource.ID{Kind: current.Kind, Name: current.Name}
	envelope, err := admin.DecodeSpecification(id, current.Spec)
	if err != nil {
		return false
	}
	encoded, err := admin.EncodeSpecification(envelope)
	return err == nil && bytes.Equal(encoded, desired)
}

// ignoreConflictIfEqual turns a conflict into the result "unchanged" if the object
// already has the desired specification: the node that served the read was behind.
func ignoreConflictIfEqual(err error, desired []byte, result *ApplyResult) error {
	var clientError *adminclient.Error
	isConflict := errors.Is(err, adminclient.ErrConflict) && errors.As(err, &clientError)
	if !isConflict || clientError.Problem.Current == nil || !specificationEquals(*clientError.Problem.Current, desired) {
		return err
	}
	result.Result, result.Revision = "unchanged", clientError.Problem.Current.Revision
	return nil
}

func dryRun(current admin.Object, expected store.Revision, result *ApplyResult) error {
	if expected != current.Revision {
		return &adminclient.Error{Step: "dry run", Problem: &admin.Problem{
			Title:  "Conflict",
			Status: 409,
			Detail: "the object's revision is not the expected one",
		}}
	}
	result.Result, result.Revision = "would-change", current.Revision
	if current.Revision == 0 {
		result.Result = "would-create"
	}
	return nil
}

func (a *apply) print(results []ApplyResult) error {
	return printResult(a.program, results, func(t *table) {
		var warnings []string
		t.row("OBJECT", "RESULT", "REVISION", "CHANGE")
		for _, result := range results {
			t.row(resource.ID{Kind: result.Kind, Name: result.Name}, result.Result, result.Revision, result.ChangeID)
			warnings = append(warnings, result.Warnings...)
		}
		printSection(t, "Warnings", warnings)
	})
}
