// Package version reports the build information of the running program.
package version

import (
	"runtime"
	"runtime/debug"
)

// Build is the build information of a program.
type Build struct {
	Version string `json:"version"`
	// Commit is the VCS revision of the source, empty if unknown.
	Commit string `json:"commit,omitempty"`
	// Modified reports whether the source had uncommitted changes.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// Current returns the build information of the running program.
func Current() Build {
	build := Build{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return build
	}
	if info.Main.Version != "" {
		build.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			build.Commit = setting.Value
		case "vcs.modified":
			build.Modified = setting.Value == "true"
		}
	}
	return build
}
