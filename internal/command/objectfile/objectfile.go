// Package objectfile reads the TOML files in which operators declare objects. A
// file contains one object at its top level, or several as [[object]].
package objectfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/store"
)

// Limits of a file.
const (
	// MaxFileBytes bounds the size of a file.
	MaxFileBytes = 4 << 20
	// MaxObjects bounds the number of objects in a file.
	MaxObjects = 10_000
)

// Object is one object declared in a file.
type Object struct {
	// Source is the path of the file.
	Source   string
	Envelope resource.Envelope
	// Expected is the revision that the operator expects to replace; nil means
	// the current one.
	Expected *store.Revision
}

// Fault is one error in a file.
type Fault struct {
	// Source is the path of the file.
	Source string `json:"source"`
	// Line is the line in the file, counted from one; zero if it is unknown.
	Line int `json:"line,omitempty"`
	// Object is the kind and name of the object; empty for a fault of the file
	// itself.
	Object string `json:"object,omitempty"`
	admin.Fault
}

// String returns the fault in one line.
func (f Fault) String() string {
	text := f.Source
	if f.Line > 0 {
		text = fmt.Sprintf("%s:%d", text, f.Line)
	}
	if f.Object != "" {
		text += ": " + f.Object
	}
	return text + ": " + f.Fault.String()
}

// Error reports all faults of the files.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// document is the TOML form of a file.
type document struct {
	object
	Objects []object `toml:"object"`
}

// object is the TOML form of one object. The keys of its specification depend on
// its kind, so they are validated after decoding.
type object struct {
	Kind     string         `toml:"kind"`
	Name     string         `toml:"name"`
	Expected *int64         `toml:"expected_revision"`
	Spec     map[string]any `toml:"spec"`
}

func (o object) empty() bool {
	return o.Kind == "" && o.Name == "" && o.Expected == nil && o.Spec == nil
}

// Parse parses the contents of a file and validates its objects, including
// policies. The source is the file's path, used in faults. The error is an *Error.
func Parse(source string, contents []byte) ([]Object, error) {
	decoded, faults := decode(source, contents)
	objects := make([]Object, 0, len(decoded))
	for _, declared := range decoded {
		object, objectFaults := declared.validate(source)
		faults = append(faults, objectFaults...)
		objects = append(objects, object)
	}
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return objects, nil
}

func decode(source string, contents []byte) ([]object, []Fault) {
	if len(contents) > MaxFileBytes {
		return nil, fileFault(source, "the file is larger than %d bytes", MaxFileBytes)
	}
	var parsed document
	err := toml.NewDecoder(bytes.NewReader(contents)).DisallowUnknownFields().Decode(&parsed)
	switch {
	case err != nil:
		return nil, decodeFaults(source, err)
	case parsed.empty() && len(parsed.Objects) == 0:
		return nil, fileFault(source, "the file contains no object: declare kind, name and [spec], or several [[object]]")
	case len(parsed.Objects) > MaxObjects:
		return nil, fileFault(source, "the file contains %d objects, allowed are %d", len(parsed.Objects), MaxObjects)
	case len(parsed.Objects) == 0:
		return []object{parsed.object}, nil
	case !parsed.empty():
		return nil, fileFault(source, "the file contains both an object at its top level and [[object]]: allowed is one of the two")
	}
	return parsed.Objects, nil
}

func fileFault(source, format string, arguments ...any) []Fault {
	return []Fault{{Source: source, Fault: admin.Fault{Message: fmt.Sprintf(format, arguments...)}}}
}

func decodeFaults(source string, err error) []Fault {
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		return unknownKeyFaults(source, unknownKeys)
	}
	var decodeError *toml.DecodeError
	if !errors.As(err, &decodeError) {
		return fileFault(source, "%v", err)
	}
	line, _ := decodeError.Position()
	faults := fileFault(source, "%s", strings.TrimPrefix(decodeError.Error(), "toml: "))
	faults[0].Line = line
	return faults
}

func unknownKeyFaults(source string, unknown *toml.StrictMissingError) []Fault {
	faults := make([]Fault, 0, len(unknown.Errors))
	for i := range unknown.Errors {
		unknownKey := &unknown.Errors[i]
		line, _ := unknownKey.Position()
		faults = append(faults, Fault{Source: source, Line: line, Fault: admin.Fault{
			Message: "unknown key " + strings.Join(unknownKey.Key(), "."),
			Allowed: []string{"kind", "name", "expected_revision", "spec", "object"},
		}})
	}
	return faults
}

// validate decodes the specification and validates the object.
func (o object) validate(source string) (Object, []Fault) {
	id := resource.ID{Kind: resource.Kind(o.Kind), Name: o.Name}
	fault := func(details admin.Fault) Fault { return Fault{Source: source, Object: id.String(), Fault: details} }
	if err := id.Validate(); err != nil {
		return Object{}, []Fault{fault(admin.Fault{Message: err.Error()})}
	}
	envelope, err := o.decodeSpecification(id)
	if err != nil {
		return Object{}, []Fault{fault(admin.Fault{Message: "spec: " + err.Error()})}
	}
	var faults []Fault
	for _, details := range admin.Check(envelope) {
		faults = append(faults, fault(details))
	}
	if o.Expected != nil && *o.Expected < 0 {
		faults = append(faults, fault(admin.Fault{Message: "expected_revision: allowed are whole numbers from zero"}))
	}
	return Object{Source: source, Envelope: envelope, Expected: (*store.Revision)(o.Expected)}, faults
}

// decodeSpecification decodes the specification as the administration API does,
// so that both accept the same keys.
func (o object) decodeSpecification(id resource.ID) (resource.Envelope, error) {
	if o.Spec == nil {
		o.Spec = map[string]any{}
	}
	encoded, err := json.Marshal(o.Spec)
	if err != nil {
		return resource.Envelope{}, err
	}
	return admin.DecodeSpecification(id, encoded)
}
