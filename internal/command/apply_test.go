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

func resultNames(applied []command.ApplyResult) []string {
	var names []string
	for _, result := range applied {
		names = append(names, result.Result)
	}
	return names
}

func TestApplyIsIdempotent(t *testing.T) {
	node := admintest.Start(t)
	path := writeFile(t, objects)
	dry := runJSON[[]command.ApplyResult](t, node, "apply", "-dry-run", "-f", path)
	assert.DeepEqual(t, resultNames(dry), []string{"would-create", "would-create"})
	created := runJSON[[]command.ApplyResult](t, node, "apply", "-f", path)
	assert.DeepEqual(t, resultNames(created), []string{"created", "created"})
	again := runJSON[[]command.ApplyResult](t, node, "apply", "-f", path)
	assert.DeepEqual(t, resultNames(again), []string{"unchanged", "unchanged"})
	assert.Equal(t, again[1].Revision, created[1].Revision)

	changed := runJSON[[]command.ApplyResult](t, node, "apply", "-f", writeFile(t, strings.Replace(objects, "slots = 6", "slots = 7", 1)))
	assert.DeepEqual(t, resultNames(changed), []string{"unchanged", "changed"})
	object := runJSON[admin.Object](t, node, "get", "target", "cropcal-1")
	assert.Equal(t, object.Revision, changed[1].Revision)
	assert.Equal(t, object.LastChange.Author, "meera")
	code, output, _ := runAtNode(t, node, "apply", "-f", path)
	assert.Equal(t, code, command.ExitOK)
	assert.Assert(t, strings.Contains(output, "target/cropcal-1") && strings.Contains(output, "changed"), output)
}

func TestApplyConflicts(t *testing.T) {
	node := admintest.Start(t)
	stale := "kind = 'service'\nname = 'cropcal'\nexpected_revision = 99\n[spec]\ntimeout_ms = 5\n"
	code, output, errorOutput := runAtNode(t, node, "apply", "-output", "json", "-f", writeFile(t, stale))
	assert.Equal(t, code, command.ExitConflict, errorOutput)
	var applied []command.ApplyResult
	assert.NilError(t, json.Unmarshal([]byte(output), &applied))
	assert.DeepEqual(t, resultNames(applied), []string{"conflict"})
	var report command.ErrorReport
	assert.NilError(t, json.Unmarshal([]byte(errorOutput), &report), errorOutput)
	assert.Equal(t, report.ExitCode, command.ExitConflict)
	assert.Equal(t, report.Problem.Status, 409)
	assert.Equal(t, report.Step, "write")
}

// TestApplyWithStaleReplica applies objects at a node whose replica lacks a change
// that another node has accepted.
func TestApplyWithStaleReplica(t *testing.T) {
	node := admintest.Start(t)
	id := resource.ID{Kind: resource.KindService, Name: "cropcal"}
	node.WriteBypassingReplica(t, resource.Envelope{ID: id, Service: &resource.Service{}}, 0, resource.Change{ID: "elsewhere"})
	applied := runJSON[[]command.ApplyResult](t, node, "apply", "-f", writeFile(t, objects))
	assert.DeepEqual(t, resultNames(applied), []string{"unchanged", "created"})

	other := admintest.Start(t)
	other.WriteBypassingReplica(t, resource.Envelope{ID: id, Service: &resource.Service{TimeoutMillis: 9}}, 0, resource.Change{ID: "elsewhere"})
	code, _, _ := runAtNode(t, other, "apply", "-f", writeFile(t, objects))
	assert.Equal(t, code, command.ExitConflict)
	object := runJSON[admin.Object](t, other, "get", "service", "cropcal")
	assert.Equal(t, compactSpecification(t, object), `{"timeout_ms":9}`)
}

func TestApplyWithoutTheStore(t *testing.T) {
	node := admintest.Start(t)
	node.SetFault(admintest.Unavailable)
	code, output, _ := runAtNode(t, node, "apply", "-output", "json", "-f", writeFile(t, objects))
	assert.Equal(t, code, command.ExitUnavailable)
	var applied []command.ApplyResult
	assert.NilError(t, json.Unmarshal([]byte(output), &applied))
	assert.DeepEqual(t, resultNames(applied), []string{"unavailable", "not-tried"})

	node.SetFault(admintest.Healthy)
	runJSON[[]command.ApplyResult](t, node, "apply", "-f", writeFile(t, objects))
	node.SetFault(admintest.ResponsesLost)
	recovery := time.AfterFunc(2*admintest.WriteTimeout, func() { node.SetFault(admintest.Healthy) })
	defer recovery.Stop()
	changed := runJSON[[]command.ApplyResult](t, node, "apply", "-f", writeFile(t, strings.Replace(objects, "slots = 6", "slots = 7", 1)))
	assert.DeepEqual(t, resultNames(changed), []string{"unchanged", "changed"})
}

func TestApplyInvalidFileChangesNothing(t *testing.T) {
	node := admintest.Start(t)
	code, _, errorOutput := runAtNode(t, node, "apply", "-output", "json", "-f", writeFile(t, strings.Replace(objects, "slots = 6", "slots = 0", 1)))
	assert.Equal(t, code, command.ExitUsage)
	var report command.ErrorReport
	assert.NilError(t, json.Unmarshal([]byte(errorOutput), &report))
	assert.Equal(t, report.Objects[0].Object, "target/cropcal-1")
	assert.Equal(t, len(node.Replica.List(resource.KindService)), 0)
}

// TestApplyUnknownOutcome loses the answers to the write and to the queries for its
// outcome until the timeout.
func TestApplyUnknownOutcome(t *testing.T) {
	node := admintest.Start(t)
	runJSON[[]command.ApplyResult](t, node, "apply", "-f", writeFile(t, objects))
	node.SetFault(admintest.ResponsesLost)
	code, output, errorOutput := runAtNode(t, node, "apply", "-wait", "100ms", "-output", "json", "-f", writeFile(t, strings.Replace(objects, "slots = 6", "slots = 7", 1)))
	assert.Equal(t, code, command.ExitUnknown, errorOutput)
	var applied []command.ApplyResult
	assert.NilError(t, json.Unmarshal([]byte(output), &applied))
	assert.DeepEqual(t, resultNames(applied), []string{"unchanged", "unknown"})
	assert.Assert(t, strings.HasPrefix(applied[1].AskURL, "/v1/changes/target/cropcal-1/"+applied[1].ChangeID), applied[1].AskURL)

	code, _, errorOutput = runAtNode(t, node, "delete", "-wait", "100ms", "target", "cropcal-1")
	assert.Equal(t, code, command.ExitUnknown)
	assert.Assert(t, strings.Contains(errorOutput, "ask for change"), errorOutput)
}
