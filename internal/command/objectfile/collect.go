package objectfile

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/resource"
)

// caseSuffix is the suffix of policy test files, which lie beside the policies'
// files and contain no objects.
const caseSuffix = ".cases.toml"

// Load reads the given files, and in the given directories and below every file
// named *.toml but not *.cases.toml, in order of their paths. An object that is
// declared twice is a fault. The error is an *Error if the contents are invalid.
func Load(paths ...string) ([]Object, error) {
	var objects []Object
	var faults []Fault
	for _, path := range paths {
		files, err := expandPath(path)
		if err != nil {
			return nil, oops.In("objectfile").With("step", "find files", "path", path).Wrapf(err, "find object files")
		}
		for _, file := range files {
			parsed, err := loadFile(file)
			var parseError *Error
			if errors.As(err, &parseError) {
				faults = append(faults, parseError.Faults...)
			} else if err != nil {
				return nil, oops.In("objectfile").With("step", "read file", "path", file).Wrapf(err, "read object file")
			}
			objects = append(objects, parsed...)
		}
	}
	faults = append(faults, duplicateFaults(objects)...)
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return objects, nil
}

// expandPath returns the path of a file, or the object files of a directory.
func expandPath(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && isObjectFile(file) {
			files = append(files, file)
		}
		return err
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s contains no file named *.toml", path)
	}
	slices.Sort(files)
	return files, err
}

func isObjectFile(path string) bool {
	return filepath.Ext(path) == ".toml" && !strings.HasSuffix(path, caseSuffix)
}

func loadFile(path string) ([]Object, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	contents, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	return Parse(path, contents)
}

func duplicateFaults(objects []Object) []Fault {
	sources := make(map[resource.ID]string)
	var faults []Fault
	for _, object := range objects {
		id := object.Envelope.ID
		if previous, ok := sources[id]; ok {
			faults = append(faults, Fault{
				Source: object.Source,
				Object: id.String(),
				Fault:  admin.Fault{Message: "is declared in " + previous + " as well"},
			})
		}
		sources[id] = object.Source
	}
	return faults
}
