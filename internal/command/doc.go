// Package command is the operator's command line: one verb a file, over the
// administration API. docs/COMMAND-LINE.md lists the verbs and exit codes.
package command
