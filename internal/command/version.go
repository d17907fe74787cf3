package command

import (
	"context"
	"runtime"
	"runtime/debug"

	"github.com/google/subcommands"
)

// BuildVersion is what the program was built from.
type BuildVersion struct {
	Version string `json:"version"`
	// Commit is the revision of the source, empty when it is not known.
	Commit string `json:"commit,omitempty"`
	// Modified says that the source was changed after the commit.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// CurrentVersion returns the version of the running program.
func CurrentVersion() BuildVersion {
	version := BuildVersion{Version: "unknown", Go: runtime.Version()}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version
	}
	if info.Main.Version != "" {
		version.Version = info.Main.Version
	}
	for _, setting := range info.Settings {
		switch setting.Key {
		case "vcs.revision":
			version.Commit = setting.Value
		case "vcs.modified":
			version.Modified = setting.Value == "true"
		}
	}
	return version
}

func newVersion(program *Program) subcommands.Command {
	return &verb{
		program:  program,
		name:     "version",
		synopsis: "show the program's version",
		example:  "lugspur version -output json",
		run: func(context.Context, []string) error {
			version := CurrentVersion()
			return printResult(program, version, func(t *table) {
				t.row("VERSION", "COMMIT", "MODIFIED", "GO")
				t.row(version.Version, version.Commit, version.Modified, version.Go)
			})
		},
	}
}
