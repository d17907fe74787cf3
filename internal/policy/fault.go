package policy

import (
	"fmt"
	"strings"

	"github.com/expr-lang/expr/file"
)

// Fault is one thing wrong with one expression.
type Fault struct {
	// Expression is the name of the faulty expression.
	Expression string
	// Line and Column say where the fault is, counted from 1; the column
	// counts characters.
	Line, Column int
	// Message says what is wrong.
	Message string
	// Allowed lists what could stand there; empty when the message says it.
	Allowed []string
}

// String returns the fault on one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s", f.Expression, f.Line, f.Column, f.Message)
	if len(f.Allowed) == 0 {
		return text
	}
	return text + "; allowed: " + strings.Join(f.Allowed, ", ")
}

// CompileError lists every fault found in a policy, in the order of the
// expressions.
type CompileError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *CompileError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("policy has %d fault(s)", len(e.Faults)))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// position returns the line and column of an offset counted in characters.
func position(text string, offset int) (line, column int) {
	line, column = 1, 1
	seen := 0
	for _, character := range text {
		if seen == offset {
			break
		}
		seen++
		column++
		if character == '\n' {
			line++
			column = 1
		}
	}
	return line, column
}

// faultAt makes a fault at a place in an expression's text.
func faultAt(expression, text string, at file.Location, message string, allowed []string) Fault {
	line, column := position(text, at.From)
	return Fault{Expression: expression, Line: line, Column: column, Message: message, Allowed: allowed}
}
