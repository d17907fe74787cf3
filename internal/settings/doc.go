// Package settings reads the settings of a node at startup: a TOML file and the
// flags that override it.
//
// The doc comments of the fields document the keys; docs/SETTINGS.md lists the
// keys with their defaults and allowed values. The settings are validated as a
// whole: all faults are reported at once, each with its key, its line in the file
// if there is one, and the allowed values. An unknown key is a fault.
package settings
