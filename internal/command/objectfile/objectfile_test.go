package objectfile_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/command/objectfile"
)

const singleObject = `kind = "service"
name = "cropcal"
expected_revision = 7

[spec]
calls = ["setpoints"]
timeout_ms = 400
`

const multipleObjects = `[[object]]
kind = "target"
name = "cropcal-1"
[object.spec]
service = "cropcal"
zone = "a"
address = "10.0.0.1:80"
slots = 6
connections = 120

[[object]]
kind = "policy"
name = "cropcal"
[object.spec]
rank = '"critical"'
`

func faultsOf(t *testing.T, err error) []objectfile.Fault {
	t.Helper()
	var parseError *objectfile.Error
	assert.Assert(t, errors.As(err, &parseError), "%v", err)
	return parseError.Faults
}

func TestParse(t *testing.T) {
	objects, err := objectfile.Parse("a.toml", []byte(singleObject))
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 1)
	assert.Equal(t, int64(*objects[0].Expected), int64(7))
	assert.Equal(t, objects[0].Envelope.Service.TimeoutMillis, 400)

	objects, err = objectfile.Parse("b.toml", []byte(multipleObjects))
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 2)
	assert.Equal(t, objects[0].Envelope.Target.Slots, 6)
	assert.Equal(t, objects[1].Envelope.Policy.Rank, `"critical"`)
	assert.Assert(t, objects[1].Expected == nil)
}

func TestParseFaults(t *testing.T) {
	cases := []struct {
		name, contents, text string
		line                 int
	}{
		{"empty", "", "no object", 0},
		{"not TOML", "kind = \n", "", 1},
		{"unknown key", "kind = 'service'\nname = 'x'\nsize = 3\n", "unknown key size", 3},
		{"unknown kind", "kind = 'node'\nname = 'x'\n", "unknown kind", 0},
		{"roster", "kind = 'roster'\nname = 'x'\n", "specification", 0},
		{"bad name", "kind = 'service'\nname = 'X'\n", "a-z", 0},
		{"unknown field", "kind = 'service'\nname = 'x'\n[spec]\nslots = 3\n", "slots", 0},
		{"wrong type", "kind = 'service'\nname = 'x'\n[spec]\ntimeout_ms = 'x'\n", "timeout_ms", 0},
		{"not a number", "kind = 'service'\nname = 'x'\n[spec]\ntimeout_ms = nan\n", "spec", 0},
		{"out of range", "kind = 'service'\nname = 'x'\n[spec]\ntimeout_ms = -1\n", "timeout_ms", 0},
		{"both forms", singleObject + multipleObjects, "one of the two", 0},
		{"policy", "kind = 'policy'\nname = 'x'\n[spec]\nadmit = 'call.x'\n", "admit:1:", 0},
		{"revision", strings.Replace(singleObject, "7", "-7", 1), "expected_revision", 0},
		{"too large", strings.Repeat("#", objectfile.MaxFileBytes+1), "larger than", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			objects, err := objectfile.Parse("x.toml", []byte(c.contents))
			assert.Equal(t, len(objects), 0)
			faults := faultsOf(t, err)
			assert.Equal(t, len(faults), 1, "%v", faults)
			assert.Assert(t, strings.Contains(faults[0].String(), c.text), faults[0].String())
			assert.Equal(t, faults[0].Line, c.line)
			assert.Equal(t, faults[0].Source, "x.toml")
		})
	}
}

func TestLoadDirectory(t *testing.T) {
	directory := t.TempDir()
	write := func(name, contents string) {
		path := filepath.Join(directory, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		assert.NilError(t, os.WriteFile(path, []byte(contents), 0o600))
	}
	_, err := objectfile.Load(directory)
	assert.ErrorContains(t, err, "no file named")
	write("b/one.toml", singleObject)
	write("a.toml", multipleObjects)
	write("notes.md", "not an object")
	write("a.cases.toml", "[[case]]\nname = 'x'\n")
	objects, err := objectfile.Load(directory)
	assert.NilError(t, err)
	assert.Equal(t, len(objects), 3)
	assert.Equal(t, objects[2].Envelope.ID.Name, "cropcal")

	write("c.toml", singleObject)
	write("d.toml", "kind = 3")
	_, err = objectfile.Load(directory)
	faults := faultsOf(t, err)
	assert.Equal(t, len(faults), 2)
	assert.Assert(t, strings.Contains(faults[1].String(), "declared in"))
	_, err = objectfile.Load(filepath.Join(directory, "missing"))
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}

// FuzzParse checks that Parse returns either faults or valid objects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(singleObject))
	f.Add([]byte(multipleObjects))
	f.Add([]byte("object = [{kind = 'drain', name = 'target.x', spec = {reason = 'y'}}]"))
	f.Add([]byte("kind = 'policy'\nname = 'x'\n[spec]\nretry = '1 + 1 > 0 ? 1 : 2'"))
	f.Fuzz(func(t *testing.T, contents []byte) {
		objects, err := objectfile.Parse("x.toml", contents)
		if err != nil {
			if len(objects) > 0 || len(faultsOf(t, err)) == 0 {
				t.Fatalf("%d objects with error %v", len(objects), err)
			}
			return
		}
		if len(objects) == 0 {
			t.Fatal("neither objects nor faults")
		}
		for _, object := range objects {
			if err := object.Envelope.Validate(); err != nil {
				t.Fatal(err)
			}
		}
	})
}
