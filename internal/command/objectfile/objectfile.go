// Package objectfile reads the TOML files in which operators keep their
// objects. A file holds one object at its top level, or several as [[object]].
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

// Bounds of a file.
const (
	// MaxFileBytes bounds a file, in bytes.
	MaxFileBytes = 4 << 20
	// MaxObjects bounds the objects of a file.
	MaxObjects = 10_000
)

// Object is one object as a file states it.
type Object struct {
	// Source is the path of the file.
	Source   string
	Envelope resource.Envelope
	// Expected is the revision that the operator expects to replace; nil means
	// the one that is found.
	Expected *store.Revision
}

// Fault is one thing that is wrong with a file.
type Fault struct {
	// Source is the path of the file.
	Source string `json:"source"`
	// Line is the line in the file, from one; zero where it is not known.
	Line int `json:"line,omitempty"`
	// Object is the kind and name of the object; empty when the file is at
	// fault.
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

// Error holds every fault of the files.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// document is a whole file.
type document struct {
	object
	Objects []object `toml:"object"`
}

// object is the form of one object. The keys of its specification depend on its
// kind, so that they are checked afterwards.
type object struct {
	Kind     string         `toml:"kind"`
	Name     string         `toml:"name"`
	Expected *int64         `toml:"expected_revision"`
	Spec     map[string]any `toml:"spec"`
}

func (o object) empty() bool {
	return o.Kind == "" && o.Name == "" && o.Expected == nil && o.Spec == nil
}

// Parse reads a file's contents; the source is its path, for faults. The
// objects are checked, policies included. The error is an *Error.
func Parse(source string, contents []byte) ([]Object, error) {
	stated, faults := decode(source, contents)
	objects := make([]Object, 0, len(stated))
	for _, one := range stated {
		object, found := one.convert(source)
		faults = append(faults, found...)
		objects = append(objects, object)
	}
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return objects, nil
}

func decode(source string, contents []byte) ([]object, []Fault) {
	if len(contents) > MaxFileBytes {
		return nil, fileFault(source, "the file has more than %d bytes", MaxFileBytes)
	}
	var parsed document
	err := toml.NewDecoder(bytes.NewReader(contents)).DisallowUnknownFields().Decode(&parsed)
	switch {
	case err != nil:
		return nil, decodeFaults(source, err)
	case parsed.empty() && len(parsed.Objects) == 0:
		return nil, fileFault(source, "the file holds no object: give kind, name and [spec], or several [[object]]")
	case len(parsed.Objects) > MaxObjects:
		return nil, fileFault(source, "the file holds %d objects, allowed are %d", len(parsed.Objects), MaxObjects)
	case len(parsed.Objects) == 0:
		return []object{parsed.object}, nil
	case !parsed.empty():
		return nil, fileFault(source, "the file holds an object at its top level and [[object]] as well: allowed is one of the two")
	}
	return parsed.Objects, nil
}

func fileFault(source, format string, arguments ...any) []Fault {
	return []Fault{{Source: source, Fault: admin.Fault{Message: fmt.Sprintf(format, arguments...)}}}
}

func decodeFaults(source string, err error) []Fault {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return unknownKeys(source, unknown)
	}
	var broken *toml.DecodeError
	if !errors.As(err, &broken) {
		return fileFault(source, "%v", err)
	}
	line, _ := broken.Position()
	faults := fileFault(source, "%s", strings.TrimPrefix(broken.Error(), "toml: "))
	faults[0].Line = line
	return faults
}

func unknownKeys(source string, unknown *toml.StrictMissingError) []Fault {
	faults := make([]Fault, 0, len(unknown.Errors))
	for i := range unknown.Errors {
		missing := &unknown.Errors[i]
		line, _ := missing.Position()
		faults = append(faults, Fault{Source: source, Line: line, Fault: admin.Fault{
			Message: "unknown key " + strings.Join(missing.Key(), "."),
			Allowed: []string{"kind", "name", "expected_revision", "spec", "object"},
		}})
	}
	return faults
}

// convert checks one object.
func (o object) convert(source string) (Object, []Fault) {
	id := resource.ID{Kind: resource.Kind(o.Kind), Name: o.Name}
	fault := func(found admin.Fault) Fault { return Fault{Source: source, Object: id.String(), Fault: found} }
	if err := id.Validate(); err != nil {
		return Object{}, []Fault{fault(admin.Fault{Message: err.Error()})}
	}
	envelope, err := o.specification(id)
	if err != nil {
		return Object{}, []Fault{fault(admin.Fault{Message: "spec: " + err.Error()})}
	}
	var faults []Fault
	for _, found := range admin.Check(envelope) {
		faults = append(faults, fault(found))
	}
	if o.Expected != nil && *o.Expected < 0 {
		faults = append(faults, fault(admin.Fault{Message: "expected_revision: allowed are whole numbers from zero"}))
	}
	return Object{Source: source, Envelope: envelope, Expected: (*store.Revision)(o.Expected)}, faults
}

// specification reads the specification as the administration API does, so
// that both take the same keys.
func (o object) specification(id resource.ID) (resource.Envelope, error) {
	if o.Spec == nil {
		o.Spec = map[string]any{}
	}
	encoded, err := json.Marshal(o.Spec)
	if err != nil {
		return resource.Envelope{}, err
	}
	return admin.DecodeSpecification(id, encoded)
}
