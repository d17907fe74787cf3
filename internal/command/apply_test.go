package command_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/admin/admintest"
	"github.com/lugspur/lugspur/internal/command"
	"github.com/lugspur/lugspur/internal/resource"
)

func results(applied []command.ApplyResult) []string {
	var named []string
	for _, one := range applied {
		named = append(named, one.Result)
	}
	return named
}

func TestApplyIsIdempotent(t *testing.T) {
	node := admintest.Start(t)
	path := file(t, objects)
	dry := document[[]command.ApplyResult](t, node, "apply", "-dry-run", "-f", path)
	assert.DeepEqual(t, results(dry), []string{"would-create", "would-create"})
	created := document[[]command.ApplyResult](t, node, "apply", "-f", path)
	assert.DeepEqual(t, results(created), []string{"created", "created"})
	again := document[[]command.ApplyResult](t, node, "apply", "-f", path)
	assert.DeepEqual(t, results(again), []string{"unchanged", "unchanged"})
	assert.Equal(t, again[1].Revision, created[1].Revision)

	changed := document[[]command.ApplyResult](t, node, "apply", "-f", file(t, strings.Replace(objects, "slots = 6", "slots = 7", 1)))
	assert.DeepEqual(t, results(changed), []string{"unchanged", "changed"})
	object := document[admin.Object](t, node, "get", "target", "cropcal-1")
	assert.Equal(t, object.Revision, changed[1].Revision)
	assert.Equal(t, object.LastChange.Author, "meera")
	code, output, _ := run(t, node, "apply", "-f", path)
	assert.Equal(t, code, command.ExitOK)
	assert.Assert(t, strings.Contains(output, "target/cropcal-1") && strings.Contains(output, "changed"), output)
}

func TestApplyConflicts(t *testing.T) {
	node := admintest.Start(t)
	stale := "kind = 'service'\nname = 'cropcal'\nexpected_revision = 99\n[spec]\ntimeout_ms = 5\n"
	code, output, errorOutput := run(t, node, "apply", "-output", "json", "-f", file(t, stale))
	assert.Equal(t, code, command.ExitConflict, errorOutput)
	var applied []command.ApplyResult
	assert.NilError(t, json.Unmarshal([]byte(output), &applied))
	assert.DeepEqual(t, results(applied), []string{"conflict"})
	var report command.ErrorReport
	assert.NilError(t, json.Unmarshal([]byte(errorOutput), &report), errorOutput)
	assert.Equal(t, report.ExitCode, command.ExitConflict)
	assert.Equal(t, report.Problem.Status, 409)
	assert.Equal(t, report.Step, "write")
}

// TestApplyBehindTheReplica: another node has accepted a change that the node
// asked has not learnt of.
func TestApplyBehindTheReplica(t *testing.T) {
	node := admintest.Start(t)
	id := resource.ID{Kind: resource.KindService, Name: "cropcal"}
	node.WriteBypassingReplica(t, resource.Envelope{ID: id, Service: &resource.Service{}}, 0, resource.Change{ID: "elsewhere"})
	applied := document[[]command.ApplyResult](t, node, "apply", "-f", file(t, objects))
	assert.DeepEqual(t, results(applied), []string{"unchanged", "created"})

	other := admintest.Start(t)
	other.WriteBypassingReplica(t, resource.Envelope{ID: id, Service: &resource.Service{TimeoutMillis: 9}}, 0, resource.Change{ID: "elsewhere"})
	code, _, _ := run(t, other, "apply", "-f", file(t, objects))
	assert.Equal(t, code, command.ExitConflict)
	object := document[admin.Object](t, other, "get", "service", "cropcal")
	assert.Equal(t, specification(t, object), `{"timeout_ms":9}`)
}

func TestApplyWithoutTheStore(t *testing.T) {
	node := admintest.Start(t)
	node.SetFault(admintest.Unavailable)
	code, output, _ := run(t, node, "apply", "-output", "json", "-f", file(t, objects))
	assert.Equal(t, code, command.ExitUnavailable)
	var applied []command.ApplyResult
	assert.NilError(t, json.Unmarshal([]byte(output), &applied))
	assert.DeepEqual(t, results(applied), []string{"unavailable", "not-tried"})

	node.SetFault(admintest.Healthy)
	document[[]command.ApplyResult](t, node, "apply", "-f", file(t, objects))
	node.SetFault(admintest.ResponsesLost)
	healing := time.AfterFunc(2*admintest.WriteTimeout, func() { node.SetFault(admintest.Healthy) })
	defer healing.Stop()
	changed := document[[]command.ApplyResult](t, node, "apply", "-f", file(t, strings.Replace(objects, "slots = 6", "slots = 7", 1)))
	assert.DeepEqual(t, results(changed), []string{"unchanged", "changed"})
}

func TestFaultyFilesChangeNothing(t *testing.T) {
	node := admintest.Start(t)
	code, _, errorOutput := run(t, node, "apply", "-output", "json", "-f", file(t, strings.Replace(objects, "slots = 6", "slots = 0", 1)))
	assert.Equal(t, code, command.ExitUsage)
	var report command.ErrorReport
	assert.NilError(t, json.Unmarshal([]byte(errorOutput), &report))
	assert.Equal(t, report.Objects[0].Object, "target/cropcal-1")
	assert.Equal(t, len(node.Replica.List(resource.KindService)), 0)
}

// TestUnknownOutcome: neither the write's answer nor the question for it comes
// back in time.
func TestUnknownOutcome(t *testing.T) {
	node := admintest.Start(t)
	document[[]command.ApplyResult](t, node, "apply", "-f", file(t, objects))
	node.SetFault(admintest.ResponsesLost)
	code, output, errorOutput := run(t, node, "apply", "-wait", "100ms", "-output", "json", "-f", file(t, strings.Replace(objects, "slots = 6", "slots = 7", 1)))
	assert.Equal(t, code, command.ExitUnknown, errorOutput)
	var applied []command.ApplyResult
	assert.NilError(t, json.Unmarshal([]byte(output), &applied))
	assert.DeepEqual(t, results(applied), []string{"unchanged", "unknown"})
	assert.Assert(t, strings.HasPrefix(applied[1].AskURL, "/v1/changes/target/cropcal-1/"+applied[1].ChangeID), applied[1].AskURL)

	code, _, errorOutput = run(t, node, "delete", "-wait", "100ms", "target", "cropcal-1")
	assert.Equal(t, code, command.ExitUnknown)
	assert.Assert(t, strings.Contains(errorOutput, "ask for change"), errorOutput)
}
