// Package command implements the operator's command line on top of the
// administration API, with one file per verb. docs/COMMAND-LINE.md
// lists the verbs and exit codes.
package command
