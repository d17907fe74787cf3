package settings

import (
	"fmt"
	"strings"
)

// Fault is an error in the settings.
type Fault struct {
	// Key is the invalid key; empty if the file itself can't be parsed.
	Key string `json:"key,omitempty"`
	// Source is the origin of the value: the path of the file, "flag -NAME", or
	// empty for a default value or a missing key.
	Source string `json:"source,omitempty"`
	// Line is the line number in the file, starting at one; zero if there is none.
	Line int `json:"line,omitempty"`
	// Message describes the fault.
	Message string `json:"message"`
	// Allowed describes the allowed values; empty if Message is sufficient.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the fault on one line.
func (f Fault) String() string {
	var text strings.Builder
	if f.Source != "" {
		text.WriteString(f.Source)
		if f.Line > 0 {
			fmt.Fprintf(&text, ":%d", f.Line)
		}
		text.WriteString(": ")
	}
	if f.Key != "" {
		text.WriteString(f.Key + ": ")
	}
	text.WriteString(f.Message)
	if f.Allowed != "" {
		text.WriteString("; allowed: " + f.Allowed)
	}
	return text.String()
}

// Error reports all faults of the settings.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, "settings are not valid:")
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}
