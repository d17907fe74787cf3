package policy

import (
	"fmt"
	"strings"

	"github.com/expr-lang/expr/file"
)

// Fault is an error in an expression.
type Fault struct {
	// Expression is the name of the faulty expression.
	Expression string
	// Line and Column are the position of the fault, counted from 1; the column
	// counts characters.
	Line, Column int
	// Message describes the fault.
	Message string
	// Allowed lists the valid alternatives; empty if the message names them.
	Allowed []string
}

// String formats the fault on one line.
func (f Fault) String() string {
	text := fmt.Sprintf("%s:%d:%d: %s", f.Expression, f.Line, f.Column, f.Message)
	if len(f.Allowed) == 0 {
		return text
	}
	return text + "; allowed: " + strings.Join(f.Allowed, ", ")
}

// CompileError lists all faults of a policy, in the order of the expressions.
type CompileError struct {
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *CompileError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("policy has %d fault(s)", len(e.Faults)))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// position converts an offset in characters to a line and a column.
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

// faultAt returns a fault at a location in an expression's text.
func faultAt(expression, text string, location file.Location, message string, allowed []string) Fault {
	line, column := position(text, location.From)
	return Fault{Expression: expression, Line: line, Column: column, Message: message, Allowed: allowed}
}
