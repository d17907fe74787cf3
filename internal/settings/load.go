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

// Load reads the settings file, applies the overrides and validates the result.
// An empty path means no file. All faults are returned in one *Error; if the file
// can't be read, another error is returned.
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

// Parse is Load with the contents of the file. The path is only used in faults.
func Parse(path string, document []byte, overrides Overrides) (Node, error) {
	node := Default()
	faults, decoded := decode(path, document, &node)
	flagSources, flagFaults := overrides.apply(&node)
	faults = append(faults, flagFaults...)
	if decoded {
		located := locate(check(node), path, keyLines(document), flagSources)
		faults = append(faults, excludeKeys(located, flagFaults)...)
	}
	if len(faults) > 0 {
		return Node{}, &Error{Faults: faults}
	}
	node.Advertise = Advertise{Mesh: node.AdvertisedMesh(), Peer: node.AdvertisedPeer()}
	return node, nil
}

// excludeKeys removes the faults of keys that already have a fault in known.
func excludeKeys(faults, known []Fault) []Fault {
	return slices.DeleteFunc(faults, func(fault Fault) bool {
		return slices.ContainsFunc(known, func(k Fault) bool { return k.Key == fault.Key })
	})
}

// decode parses the document and reports whether all of its known keys were
// decoded, which is also the case if unknown keys are the only faults.
func decode(path string, document []byte, node *Node) (faults []Fault, decoded bool) {
	decoder := toml.NewDecoder(bytes.NewReader(document)).DisallowUnknownFields()
	err := decoder.Decode(node)
	if err == nil {
		return nil, true
	}
	var strictErr *toml.StrictMissingError
	if errors.As(err, &strictErr) {
		return unknownKeys(path, strictErr), true
	}
	return []Fault{decodeFault(path, err)}, false
}

func decodeFault(path string, err error) Fault {
	var decodeErr *toml.DecodeError
	if !errors.As(err, &decodeErr) {
		return Fault{Source: path, Message: err.Error()}
	}
	line, _ := decodeErr.Position()
	key := strings.Join(decodeErr.Key(), ".")
	return Fault{
		Key:     key,
		Source:  path,
		Line:    line,
		Message: strings.TrimPrefix(decodeErr.Error(), "toml: "),
		Allowed: allowedValues(key),
	}
}

func unknownKeys(path string, strictErr *toml.StrictMissingError) []Fault {
	faults := make([]Fault, 0, len(strictErr.Errors))
	for i := range strictErr.Errors {
		keyErr := &strictErr.Errors[i]
		line, _ := keyErr.Position()
		faults = append(faults, Fault{
			Key:     strings.Join(keyErr.Key(), "."),
			Source:  path,
			Line:    line,
			Message: "unknown key",
			Allowed: siblingKeys(keyErr.Key()),
		})
	}
	return faults
}

func allowedValues(name string) string {
	for _, key := range Keys() {
		if key.Name == name {
			return key.Type + ": " + key.Allowed
		}
	}
	return ""
}

// siblingKeys lists the keys of the section that contains an unknown key. If there
// is no such section, it lists the top-level keys and sections.
func siblingKeys(unknown toml.Key) string {
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
		return siblingKeys(unknown[:1])
	}
	return strings.Join(names, ", ")
}

// locate sets the source and the line of each fault.
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

// keyLines returns the line number of each key of a valid document.
func keyLines(document []byte) map[string]int {
	lines := make(map[string]int)
	var parser unstable.Parser
	parser.Reset(document)
	section := ""
	for parser.NextExpression() {
		expression := parser.Expression()
		name, line := keyPosition(&parser, expression)
		switch expression.Kind {
		case unstable.Table, unstable.ArrayTable:
			section = name + "."
		case unstable.KeyValue:
			recordKeyLines(&parser, expression, section, name, line, lines)
		}
	}
	return lines
}

// recordKeyLines records the line of a key and, if its value is an inline table,
// of the keys in the table.
func recordKeyLines(parser *unstable.Parser, pair *unstable.Node, section, name string, line int, lines map[string]int) {
	lines[section+name] = line
	value := pair.Value()
	if value.Kind != unstable.InlineTable {
		return
	}
	inner := value.Children()
	for inner.Next() {
		innerName, innerLine := keyPosition(parser, inner.Node())
		recordKeyLines(parser, inner.Node(), section+name+".", innerName, innerLine, lines)
	}
}

func keyPosition(parser *unstable.Parser, expression *unstable.Node) (name string, line int) {
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
