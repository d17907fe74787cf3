package settings_test

import (
	"errors"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/settings"
)

const validDocument = `name = "node-a1"
zone = "a"

[store]
endpoints = ["10.0.0.9:2379"]
`

func parse(t *testing.T, document string, overrides ...settings.Override) (settings.Node, []settings.Fault) {
	t.Helper()
	node, err := settings.Parse("node.toml", []byte(document), overrides)
	var settingsErr *settings.Error
	if errors.As(err, &settingsErr) {
		return node, settingsErr.Faults
	}
	assert.NilError(t, err)
	return node, nil
}

func TestParseFillsDefaults(t *testing.T) {
	node, faults := parse(t, validDocument)
	assert.Equal(t, len(faults), 0)
	assert.Equal(t, node.Name, "node-a1")
	assert.Equal(t, node.Cluster, "lugspur")
	assert.Equal(t, node.Advertise.Mesh, "127.0.0.1:7401")
	assert.Equal(t, node.Advertise.Peer, "127.0.0.1:7402")
	assert.Equal(t, node.Store.RequestTimeout.Duration(), 2*time.Second)
	assert.Equal(t, node.Claims.Retention.Duration(), 10*time.Minute)
	assert.Assert(t, node.Features.Homes)
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name     string
		document string
		flags    []settings.Override
		key      string
		line     int
		message  string
		allowed  string
	}{
		{name: "missing name", document: strings.Replace(validDocument, `name = "node-a1"`, "", 1), key: "name", message: "must be given", allowed: "a-z"},
		{name: "missing zone", document: strings.Replace(validDocument, `zone = "a"`, "", 1), key: "zone", message: "must be given", allowed: "a-z"},
		{name: "bad name", document: strings.Replace(validDocument, "node-a1", "Node A1", 1), key: "name", line: 1, message: `"Node A1"`, allowed: "a-z"},
		{name: "no endpoints", document: "name='n'\nzone='a'\n", key: "store.endpoints", message: "must be given", allowed: "10.0.0.1"},
		{name: "host name", document: strings.Replace(validDocument, "10.0.0.9:2379", "store:2379", 1), key: "store.endpoints", line: 5, message: `"store:2379"`, allowed: "IP address and port"},
		{name: "store kind", document: validDocument + "kind = 'redis'\n", key: "store.kind", line: 6, message: `"redis"`, allowed: "etcd, memory"},
		{name: "no port", document: validDocument + "[listen]\nedge = '10.0.0.1'\n", key: "listen.edge", line: 7, message: "10.0.0.1", allowed: "IP address and port"},
		{name: "port zero", document: validDocument + "[listen]\nadmin = '10.0.0.1:0'\n", key: "listen.admin", line: 7, message: "10.0.0.1:0", allowed: "IP address and port"},
		{name: "same address twice", document: validDocument + "[listen]\nedge = '127.0.0.1:7402'\n", key: "listen.peer", message: "listen.edge", allowed: "no other listener"},
		{name: "same port on every address", document: validDocument + "[listen]\nadmin = '0.0.0.0:7400'\n", key: "listen.admin", line: 7, message: "listen.edge", allowed: "no other listener"},
		{name: "advertise needed", document: validDocument + "[listen]\npeer = '0.0.0.0:7402'\n", key: "advertise.peer", message: "0.0.0.0:7402", allowed: "other nodes"},
		{name: "below the range", document: validDocument + "[limits]\nmax_concurrent_calls = 0\n", key: "limits.max_concurrent_calls", line: 7, message: "0", allowed: "1 to 1000000"},
		{name: "above the range", document: validDocument + "[retries]\nmax_per_request = 21\n", key: "retries.max_per_request", line: 7, message: "21", allowed: "0 to 20"},
		{name: "even replicas", document: validDocument + "[claims]\nreplicas = 4\n", key: "claims.replicas", line: 7, message: "4", allowed: "1, 3, 5, 7"},
		{name: "claim shorter than call", document: validDocument + "[claims]\nretention_s = 30\n", key: "claims.retention_s", line: 7, message: "30", allowed: "outlives"},
		{name: "claim shorter than its window", document: validDocument + "[limits]\nmax_timeout_ms = 10000\n[claims]\nretention_s = 19\n", key: "claims.retention_s", line: 9, message: "19", allowed: "20"},
		{name: "default over maximum", document: validDocument + "[limits]\ndefault_timeout_ms = 70000\n", key: "limits.default_timeout_ms", line: 7, message: "70000", allowed: "max_timeout_ms"},
		{name: "short token", document: validDocument + "[admin]\ntoken = 'secret'\n", key: "admin.token", line: 7, message: "form", allowed: "16 to 256"},
		{name: "unknown key", document: validDocument + "timeout = 3\n", key: "store.timeout", line: 6, message: "unknown key", allowed: "request_timeout_ms"},
		{name: "unknown section", document: validDocument + "[shop]\nx = 1\n", key: "shop", line: 6, message: "unknown key", allowed: "membership"},
		{name: "wrong type", document: validDocument + "requests_per_second = 'many'\n", key: "store.requests_per_second", line: 6, message: "string", allowed: "integer: 1 to 10000"},
		{name: "broken file", document: validDocument + "= 3\n", line: 6, message: "invalid"},
		{name: "inline table", document: validDocument + "[x]\n", key: "x", line: 6, message: "unknown key"},
		{name: "flag out of range", document: validDocument, flags: []settings.Override{{Flag: "queue-max-length", Value: "-1"}}, key: "queue.max_length", message: "-1", allowed: "0 to 100000"},
		{name: "flag of wrong type", document: validDocument, flags: []settings.Override{{Flag: "queue-max-length", Value: "x"}}, key: "queue.max_length", message: "not an integer", allowed: "0 to 100000"},
		{name: "unknown flag", document: validDocument, flags: []settings.Override{{Flag: "admin-token", Value: "x"}}, message: "unknown flag"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, faults := parse(t, c.document, c.flags...)
			assert.Equal(t, len(faults), 1, "%v", faults)
			fault := faults[0]
			assert.Equal(t, fault.Key, c.key)
			assert.Equal(t, fault.Line, c.line)
			assert.Assert(t, strings.Contains(fault.Message, c.message), fault.Message)
			assert.Assert(t, strings.Contains(fault.Allowed, c.allowed), fault.Allowed)
			if len(c.flags) > 0 {
				assert.Equal(t, fault.Source, "flag -"+c.flags[0].Flag)
			}
		})
	}
}

func TestEveryFaultIsReported(t *testing.T) {
	_, faults := parse(t, "zone = ''\nsize = 3\nqueue = {max_length = -2}\n[store]\nkind = 'memory'\n[log]\nlevel = 'loud'\n")
	var keys []string
	for _, fault := range faults {
		keys = append(keys, fault.Key)
	}
	assert.DeepEqual(t, keys, []string{"size", "name", "zone", "queue.max_length", "log.level"})
	assert.Equal(t, faults[3].Line, 3)
}

func TestSecretIsNotInFaults(t *testing.T) {
	_, err := settings.Parse("node.toml", []byte(validDocument+"[admin]\ntoken = 'hush-hush'\n"), nil)
	assert.ErrorContains(t, err, "admin.token")
	assert.Assert(t, !strings.Contains(err.Error(), "hush-hush"))
}

func TestFlagsOverrideFile(t *testing.T) {
	var overrides settings.Overrides
	flags := flag.NewFlagSet("node", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	overrides.Register(flags)
	err := flags.Parse([]string{
		"-name", "node-b", "-listen-edge=10.1.0.1:80", "-store-endpoints", "10.0.0.1:1, 10.0.0.2:2",
		"-features-homes=false", "-limits-max-body-bytes", "2048",
	})
	assert.NilError(t, err)
	node, faults := parse(t, validDocument, overrides...)
	assert.Equal(t, len(faults), 0)
	assert.Equal(t, node.Name, "node-b")
	assert.Equal(t, node.Listen.Edge, "10.1.0.1:80")
	assert.DeepEqual(t, node.Store.Endpoints, []string{"10.0.0.1:1", "10.0.0.2:2"})
	assert.Assert(t, !node.Features.Homes)
	assert.Equal(t, node.Limits.MaxBodyBytes, int64(2048))
	assert.ErrorContains(t, flags.Parse([]string{"-queue-max-length", "x"}), "not an integer")
	assert.Assert(t, flags.Lookup("admin-token") == nil)
}

func TestLoadReadsFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.toml")
	assert.NilError(t, os.WriteFile(path, []byte(validDocument), 0o600))
	node, err := settings.Load(path, nil)
	assert.NilError(t, err)
	assert.Equal(t, node.Name, "node-a1")

	_, err = settings.Load(path+".missing", nil)
	assert.Assert(t, errors.Is(err, os.ErrNotExist))

	assert.NilError(t, os.WriteFile(path, make([]byte, settings.MaxFileBytes+1), 0o600))
	_, err = settings.Load(path, nil)
	assert.ErrorContains(t, err, "more than")
}

func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/settings/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) > 0)
	for _, path := range paths {
		_, err := settings.Load(path, nil)
		assert.NilError(t, err)
	}
}

// The table of docs/SETTINGS.md must list every key with its type, default and
// allowed values.
func TestReferenceIsComplete(t *testing.T) {
	document, err := os.ReadFile("../../docs/SETTINGS.md")
	assert.NilError(t, err)
	var documented []string
	for line := range strings.SplitSeq(string(document), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		assert.Equal(t, len(cells), 5, line)
		documented = append(documented, strings.Join(cells[:4], " | "))
	}
	var expected []string
	for _, key := range settings.Keys() {
		value := "none"
		if key.Default != "" {
			value = "`" + key.Default + "`"
		}
		expected = append(expected, "`"+key.Name+"` | "+key.Type+" | "+value+" | "+key.Allowed)
	}
	assert.DeepEqual(t, documented, expected)
}
