package command

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/command/objectfile"
	"github.com/lugspur/lugspur/internal/settings"
)

// printResult prints a document as JSON, or the table written by writeTable.
func printResult[T any](p *Program, document T, writeTable func(*table)) error {
	if p.connection.output == outputJSON {
		return printJSON(p.Output, document)
	}
	rows := newTable(p.Output)
	writeTable(rows)
	return rows.writer.Flush()
}

func printJSON[T any](w io.Writer, document T) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// table prints aligned columns.
type table struct {
	writer *tabwriter.Writer
}

func newTable(w io.Writer) *table {
	return &table{writer: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
}

// row prints one row.
func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := strings.NewReplacer("\t", " ", "\n", " ").Replace(fmt.Sprint(cell))
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

// section starts a new table with a title.
func (t *table) section(title string) {
	_ = t.writer.Flush()
	fmt.Fprintf(t.writer, "\n%s\n", title)
	_ = t.writer.Flush()
}

// ErrorReport is the form in which -output json prints an error, on the error
// stream.
type ErrorReport struct {
	Error    string             `json:"error"`
	ExitCode int                `json:"exit_code"`
	Step     string             `json:"step,omitempty"`
	Peer     string             `json:"peer,omitempty"`
	Problem  *admin.Problem     `json:"problem,omitempty"`
	Settings []settings.Fault   `json:"settings_faults,omitempty"`
	Objects  []objectfile.Fault `json:"object_faults,omitempty"`
}

func (p *Program) printError(err error) {
	if errors.Is(err, errFailed) {
		return
	}
	if p.connection.output == outputJSON {
		_ = json.NewEncoder(p.ErrorOutput).Encode(newErrorReport(err))
		return
	}
	fmt.Fprintln(p.ErrorOutput, "lugspur:", err)
	var clientError *adminclient.Error
	if errors.As(err, &clientError) && clientError.Problem != nil && clientError.Problem.ResolveURL != "" {
		fmt.Fprintf(p.ErrorOutput, "ask for change %s at http://ADMIN-ADDRESS%s\n", clientError.Problem.ChangeID, clientError.Problem.ResolveURL)
	}
}

func newErrorReport(err error) ErrorReport {
	report := ErrorReport{Error: err.Error(), ExitCode: exitCode(err)}
	var clientError *adminclient.Error
	if errors.As(err, &clientError) {
		report.Step, report.Peer, report.Problem = clientError.Step, clientError.Address, clientError.Problem
	}
	var settingsError *settings.Error
	if errors.As(err, &settingsError) {
		report.Settings = settingsError.Faults
	}
	var fileError *objectfile.Error
	if errors.As(err, &fileError) {
		report.Objects = fileError.Faults
	}
	return report
}
