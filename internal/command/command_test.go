package command_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/admin/admintest"
	"github.com/lugspur/lugspur/internal/command"
	"github.com/lugspur/lugspur/internal/settings"
	"github.com/lugspur/lugspur/internal/version"
)

const objects = `[[object]]
kind = "service"
name = "cropcal"

[[object]]
kind = "target"
name = "cropcal-1"
[object.spec]
service = "cropcal"
zone = "a"
address = "10.0.0.1:80"
slots = 6
connections = 120
`

// runAtNode runs a command line against the node and returns its exit code and output.
func runAtNode(t *testing.T, node *admintest.Node, arguments ...string) (code int, output, errorOutput string) {
	t.Helper()
	return runCommand(t, map[string]string{
		command.AdminVariable: node.Server.URL, command.TokenVariable: admintest.Token, "USER": "meera",
	}, arguments)
}

func runCommand(t *testing.T, environment map[string]string, arguments []string, additional ...subcommands.Command) (code int, output, errorOutput string) {
	t.Helper()
	var out, errOut bytes.Buffer
	program := &command.Program{Output: &out, ErrorOutput: &errOut, Getenv: func(name string) string { return environment[name] }}
	code = command.Execute(t.Context(), program, arguments, additional...)
	return code, out.String(), errOut.String()
}

// runJSON runs a command with -output json, which must succeed, and decodes its output.
func runJSON[T any](t *testing.T, node *admintest.Node, arguments ...string) T {
	t.Helper()
	code, output, errorOutput := runAtNode(t, node, append([]string{"-output", "json"}, arguments...)...)
	assert.Equal(t, code, command.ExitOK, errorOutput)
	var decoded T
	assert.NilError(t, json.Unmarshal([]byte(output), &decoded), output)
	return decoded
}

func writeFile(t *testing.T, contents string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file.toml")
	assert.NilError(t, os.WriteFile(path, []byte(contents), 0o600))
	return path
}

// compactSpecification returns an object's specification without the indentation
// of the command's output.
func compactSpecification(t *testing.T, object admin.Object) string {
	t.Helper()
	var compact bytes.Buffer
	assert.NilError(t, json.Compact(&compact, object.Spec))
	return compact.String()
}

func TestDeleteHistoryAndGet(t *testing.T) {
	node := admintest.Start(t)
	runJSON[[]command.ApplyResult](t, node, "apply", "-f", writeFile(t, objects))
	code, _, _ := runAtNode(t, node, "delete", "-expected-revision", "99", "target", "cropcal-1")
	assert.Equal(t, code, command.ExitConflict)
	answer := runJSON[admin.WriteResponse](t, node, "delete", "target", "cropcal-1")
	assert.Equal(t, answer.Outcome, admin.OutcomeAccepted)
	code, _, errorOutput := runAtNode(t, node, "get", "target", "cropcal-1")
	assert.Equal(t, code, command.ExitNotFound)
	assert.Assert(t, strings.Contains(errorOutput, "cropcal-1"))
	code, _, _ = runAtNode(t, node, "delete", "target", "cropcal-1")
	assert.Equal(t, code, command.ExitNotFound)

	history := runJSON[admin.History](t, node, "history", "target", "cropcal-1")
	assert.Equal(t, len(history.Changes), 2)
	assert.Equal(t, history.Changes[0].Revision, answer.Revision)
	list := runJSON[admin.ObjectList](t, node, "get", "services")
	assert.Equal(t, len(list.Items), 1)
	code, output, _ := runAtNode(t, node, "get", "services")
	assert.Equal(t, code, command.ExitOK)
	assert.Assert(t, strings.Contains(output, "cropcal"))
}

func TestDrainAndJoin(t *testing.T) {
	node := admintest.Start(t)
	answer := runJSON[admin.WriteResponse](t, node, "drain", "-reason", "moves", "machine", "m1")
	assert.Equal(t, answer.Name, "machine.m1")
	object := runJSON[admin.Object](t, node, "get", "drain", "machine.m1")
	assert.Equal(t, compactSpecification(t, object), `{"reason":"moves"}`)
	answer = runJSON[admin.WriteResponse](t, node, "join", "machine", "m1")
	assert.Equal(t, answer.Outcome, admin.OutcomeAccepted)

	node.SetFault(admintest.Unavailable)
	code, _, _ := runAtNode(t, node, "drain", "target", "t1")
	assert.Equal(t, code, command.ExitUnavailable)
	answer = runJSON[admin.WriteResponse](t, node, "drain", "-emergency", "target", "t1")
	assert.Equal(t, answer.Outcome, admin.OutcomeEmergency)
	assert.Assert(t, node.Emergency.Drained("target.t1"))
}

func TestStatus(t *testing.T) {
	node := admintest.Start(t)
	node.Status.Targets = []admin.TargetStatus{{Name: "cropcal-1", Limit: 6, DrainSources: []string{"operator"}}}
	status := runJSON[admin.Status](t, node, "status")
	assert.Equal(t, status.Targets[0].Limit, 6)
	_, output, _ := runAtNode(t, node, "status")
	for _, text := range []string{"node-a1", "cropcal-1", "operator", "Members"} {
		assert.Assert(t, strings.Contains(output, text), output)
	}
}

func TestUnreachableNode(t *testing.T) {
	node := admintest.Start(t)
	server := httptest.NewServer(nil)
	server.Close()
	code, _, errorOutput := runAtNode(t, node, "-admin", server.URL, "status")
	assert.Equal(t, code, command.ExitUnavailable)
	assert.Assert(t, strings.Contains(errorOutput, "read at "+server.URL))
	code, _, _ = runAtNode(t, node, "status", "-admin", server.URL+","+node.Server.URL)
	assert.Equal(t, code, command.ExitOK)
}

func TestUsageErrors(t *testing.T) {
	node := admintest.Start(t)
	cases := [][]string{
		{}, {"nonsense"}, {"apply"}, {"get"}, {"get", "node"}, {"get", "target", "a", "b"}, {"delete", "target"},
		{"delete", "-expected-revision", "0", "target", "x"}, {"history", "x", "y"}, {"drain", "service", "x"}, {"join", "target"},
		{"status", "x"}, {"status", "-output", "xml"}, {"policy"}, {"policy", "check"}, {"policy", "test", "-f", "x"}, {"config", "check", "x"},
		{"config", "check", "-zone", "a"}, {"get", "target", "Bad_Name"}, {"-nonsense", "status"}, {"apply", "-nonsense"},
	}
	for _, arguments := range cases {
		code, _, errorOutput := runAtNode(t, node, arguments...)
		assert.Equal(t, code, command.ExitUsage, "%v", arguments)
		assert.Assert(t, errorOutput != "", "%v", arguments)
	}
}

func TestHelpIncludesExample(t *testing.T) {
	node := admintest.Start(t)
	for _, verb := range []string{
		"apply", "get", "delete", "history", "drain", "join", "status", "policy check", "policy test", "config check", "version",
	} {
		code, _, errorOutput := runAtNode(t, node, append(strings.Fields(verb), "-h")...)
		assert.Equal(t, code, command.ExitOK, verb)
		assert.Assert(t, strings.Contains(errorOutput, "Example:\n  lugspur "+verb), errorOutput)
	}
}

func TestPolicyVerbs(t *testing.T) {
	node := admintest.Start(t)
	policy := writeFile(t, "kind = 'policy'\nname = 'ventctl'\n[spec]\nrank = '\"critical\"'\n")
	checked := runJSON[[]command.PolicyCheck](t, node, "policy", "check", "-f", policy)
	assert.Equal(t, checked[0].Name, "ventctl")
	code, _, errorOutput := runAtNode(t, node, "policy", "check", "-f", writeFile(t, "kind = 'policy'\nname = 'ventctl'\n[spec]\nadmit = 'call.metod'\n"))
	assert.Equal(t, code, command.ExitUsage)
	assert.Assert(t, strings.Contains(errorOutput, "admit:1:"), errorOutput)

	cases := "[[case]]\nname = 'a'\n[case.expect]\nrank = '%'\n"
	reports := runJSON[[]command.CaseReport](t, node, "policy", "test", "-f", policy, "-cases", writeFile(t, strings.Replace(cases, "%", "critical", 1)))
	assert.Assert(t, reports[0].Passed)
	code, output, _ := runAtNode(t, node, "policy", "test", "-f", policy, "-cases", writeFile(t, strings.Replace(cases, "%", "sheddable", 1)))
	assert.Equal(t, code, command.ExitFailed)
	assert.Assert(t, strings.Contains(output, "FAILED") && strings.Contains(output, "critical"), output)
	code, _, _ = runAtNode(t, node, "policy", "test", "-f", policy, "-cases", writeFile(t, "[[case]]\n"))
	assert.Equal(t, code, command.ExitUsage)
}

func TestConfigCheckAndVersion(t *testing.T) {
	node := admintest.Start(t)
	valid := writeFile(t, "name = 'a'\nzone = 'z'\n[store]\nkind = 'memory'\n")
	checked := runJSON[command.SettingsCheck](t, node, "config", "check", "-f", valid, "-name", "b")
	assert.Equal(t, checked.Node, "b")
	code, _, errorOutput := runAtNode(t, node, "-output", "json", "config", "check", "-f", writeFile(t, "nam = 'a'\n"))
	assert.Equal(t, code, command.ExitUsage)
	var report command.ErrorReport
	assert.NilError(t, json.Unmarshal([]byte(errorOutput), &report))
	assert.Equal(t, report.Settings[0].Key, "nam")
	code, _, _ = runAtNode(t, node, "config", "check", "-f", valid+".missing")
	assert.Equal(t, code, command.ExitFailed)
	build := runJSON[version.Build](t, node, "version")
	assert.Assert(t, strings.HasPrefix(build.Go, "go1."))
}

func TestNode(t *testing.T) {
	var started settings.Node
	var result error
	verb := command.Node(func(_ context.Context, node settings.Node) error {
		started = node
		return result
	})
	arguments := []string{"node", "-name", "n1", "-zone", "z", "-store-kind", "memory"}
	code, _, _ := runCommand(t, nil, arguments, verb)
	assert.Equal(t, code, command.ExitOK)
	assert.Equal(t, started.Name, "n1")
	result = errors.New("listen: address in use")
	code, _, errorOutput := runCommand(t, nil, arguments, verb)
	assert.Equal(t, code, command.ExitFailed)
	assert.Assert(t, strings.Contains(errorOutput, "address in use"))
	code, _, errorOutput = runCommand(t, nil, []string{"node", "-name", "n1"}, command.Node(nil))
	assert.Equal(t, code, command.ExitUsage)
	assert.Assert(t, strings.Contains(errorOutput, "zone: must be given"))
}
