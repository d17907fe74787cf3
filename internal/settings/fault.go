package settings

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong with the settings.
type Fault struct {
	// Key is the key at fault; empty when the file itself can't be read.
	Key string `json:"key,omitempty"`
	// Source is where the value came from: the file's path, "flag -NAME", or
	// empty for a default or a key that is missing.
	Source string `json:"source,omitempty"`
	// Line is the line in the file, from one; zero where there is none.
	Line int `json:"line,omitempty"`
	// Message says what is wrong.
	Message string `json:"message"`
	// Allowed says what would be right; empty where Message says it all.
	Allowed string `json:"allowed,omitempty"`
}

// String returns the fault in one line.
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

// Error holds every fault of the settings.
type Error struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, "settings are not valid:")
	for _, fault := range e.Faults {
		lines = append(lines, "  "+fault.String())
	}
	return strings.Join(lines, "\n")
}
