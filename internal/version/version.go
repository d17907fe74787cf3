// Package version tells what the running program was built from.
package version

import (
	"runtime"
	"runtime/debug"
)

// Build is what a program was built from.
type Build struct {
	Version string `json:"version"`
	// Commit is the revision of the source, empty when it is not known.
	Commit string `json:"commit,omitempty"`
	// Modified says that the source was changed after the commit.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// Current returns the build of the running program.
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
