// Package settings reads what one node is told when it starts: a TOML file and
// the flags that override it.
//
// The doc comments of the fields are the reference of the keys; docs/SETTINGS.md
// lists them with their defaults and what is allowed. Settings are checked as a
// whole: every fault is reported at once, with its key, its line where the file
// gives one, and what is allowed. A key that is not known is a fault.
package settings
