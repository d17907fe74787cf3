package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/samber/oops"
)

// MaxFileBytes bounds a settings file, in bytes.
const MaxFileBytes = 1 << 20

// Load reads the settings file, puts the overrides over it and checks the
// whole. An empty path means no file. Faults are returned together, as *Error;
// a file that can't be read is another error.
func Load(path string, overrides Overrides) (Node, error) {
	if path == "" {
		return Parse("", nil, overrides)
	}
	document, err := readFile(path)
	if err != nil {
		return Node{}, oops.In("settings").With("step", "read file", "path", path).Wrapf(err, "read settings")
	}
	return Parse(path, document, overrides)
}

func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	document, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(document) > MaxFileBytes {
		return nil, fmt.Errorf("%s has more than %d bytes", path, MaxFileBytes)
	}
	return document, nil
}

// Parse does as Load does, with the file's contents; the path is for faults.
func Parse(path string, document []byte, overrides Overrides) (Node, error) {
	node := Default()
	faults, decoded := decode(path, document, &node)
	flagSources, flagFaults := overrides.apply(&node)
	faults = append(faults, flagFaults...)
	if decoded {
		located := locate(check(node), path, lines(document), flagSources)
		faults = append(faults, withoutKeys(located, flagFaults)...)
	}
	if len(faults) > 0 {
		return Node{}, &Error{Faults: faults}
	}
	node.Advertise = Advertise{Mesh: node.AdvertisedMesh(), Peer: node.AdvertisedPeer()}
	return node, nil
}

// withoutKeys leaves out the faults whose key already has one.
func withoutKeys(faults, known []Fault) []Fault {
	return slices.DeleteFunc(faults, func(fault Fault) bool {
		return slices.ContainsFunc(known, func(k Fault) bool { return k.Key == fault.Key })
	})
}

// decode reads the document and reports whether all of its known keys were
// taken over; they are when unknown keys are the only faults.
func decode(path string, document []byte, node *Node) (faults []Fault, decoded bool) {
	decoder := toml.NewDecoder(bytes.NewReader(document)).DisallowUnknownFields()
	err := decoder.Decode(node)
	if err == nil {
		return nil, true
	}
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeys(path, unknown), true
	}
	return []Fault{decodeFault(path, err)}, false
}

func decodeFault(path string, err error) Fault {
	var broken *toml.DecodeError
	if !errors.As(err, &broken) {
		return Fault{Source: path, Message: err.Error()}
	}
	line, _ := broken.Position()
	key := strings.Join(broken.Key(), ".")
	return Fault{
		Key:     key,
		Source:  path,
		Line:    line,
		Message: strings.TrimPrefix(broken.Error(), "toml: "),
		Allowed: allowedFor(key),
	}
}

func unknownKeys(path string, unknown *toml.StrictMissingError) []Fault {
	faults := make([]Fault, 0, len(unknown.Errors))
	for i := range unknown.Errors {
		missing := &unknown.Errors[i]
		line, _ := missing.Position()
		faults = append(faults, Fault{
			Key:     strings.Join(missing.Key(), "."),
			Source:  path,
			Line:    line,
			Message: "unknown key",
			Allowed: siblings(missing.Key()),
		})
	}
	return faults
}

func allowedFor(name string) string {
	for _, key := range Keys() {
		if key.Name == name {
			return key.Type + ": " + key.Allowed
		}
	}
	return ""
}

// siblings lists the keys that the section of an unknown key has; without such
// a section, the keys and sections of the file.
func siblings(unknown toml.Key) string {
	section := ""
	if len(unknown) > 1 {
		section = unknown[0] + "."
	}
	var names []string
	for _, key := range Keys() {
		rest, ok := strings.CutPrefix(key.Name, section)
		first, _, _ := strings.Cut(rest, ".")
		if ok && (len(names) == 0 || names[len(names)-1] != first) {
			names = append(names, first)
		}
	}
	if len(names) == 0 {
		return siblings(unknown[:1])
	}
	return strings.Join(names, ", ")
}

// locate says where the value of each fault came from.
func locate(faults []Fault, path string, lines map[string]int, flagSources map[string]string) []Fault {
	for i := range faults {
		fault := &faults[i]
		if source, ok := flagSources[fault.Key]; ok {
			fault.Source = source
			continue
		}
		if line, ok := lines[fault.Key]; ok {
			fault.Source, fault.Line = path, line
		}
	}
	return faults
}

// lines returns the line of every key of a document that decodes.
func lines(document []byte) map[string]int {
	found := make(map[string]int)
	var parser unstable.Parser
	parser.Reset(document)
	section := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := position(&parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = name + "."
		case unstable.KeyValue:
			noteKeys(&parser, expression, section, name, line, found)
		}
	}
	return found
}

// noteKeys notes a key's line, and those of an inline table's keys.
func noteKeys(parser *unstable.Parser, pair *unstable.Node, section, name string, line int, found map[string]int) {
	found[section+name] = line
	value := pair.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	inner := value.Children()
	for inner.Next() {
		innerName, innerLine := position(parser, inner.Node())
		noteKeys(parser, inner.Node(), section+name+".", innerName, innerLine, found)
	}
}

func position(parser *unstable.Parser, expression *unstable.Node) (name string, line int) {
	parts := expression.Key()
	var names []string
	for parts.Next() {
		names = append(names, string(parts.Node().Data))
		if line == 0 {
			line = parser.Shape(parts.Node().Raw).Start.Line
		}
	}
	return strings.Join(names, "."), line
}
