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

// caseSuffix ends the names of files with the cases of policies, which stand
// beside the policies' own files and hold no objects.
const caseSuffix = ".cases.toml"

// Load reads the files, and every file named *.toml, but not *.cases.toml, in
// the directories and below, in order of their paths. An object that is stated
// twice is a fault. The error is an *Error if the contents are at fault.
func Load(paths ...string) ([]Object, error) {
	var objects []Object
	var faults []Fault
	for _, path := range paths {
		files, err := expand(path)
		if err != nil {
			return nil, oops.In("objectfile").With("step", "find files", "path", path).Wrapf(err, "find object files")
		}
		for _, file := range files {
			found, err := loadFile(file)
			var broken *Error
			if errors.As(err, &broken) {
				faults = append(faults, broken.Faults...)
			} else if err != nil {
				return nil, oops.In("objectfile").With("step", "read file", "path", file).Wrapf(err, "read object file")
			}
			objects = append(objects, found...)
		}
	}
	faults = append(faults, duplicates(objects)...)
	if len(faults) > 0 {
		return nil, &Error{Faults: faults}
	}
	return objects, nil
}

// expand returns a file itself, or the object files of a directory.
func expand(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	var files []string
	err = filepath.WalkDir(path, func(file string, entry fs.DirEntry, err error) error {
		if err == nil && !entry.IsDir() && holdsObjects(file) {
			files = append(files, file)
		}
		return err
	})
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s holds no file named *.toml", path)
	}
	slices.Sort(files)
	return files, err
}

func holdsObjects(path string) bool {
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

func duplicates(objects []Object) []Fault {
	seen := make(map[resource.ID]string)
	var faults []Fault
	for _, object := range objects {
		id := object.Envelope.ID
		if earlier, ok := seen[id]; ok {
			faults = append(faults, Fault{
				Source: object.Source,
				Object: id.String(),
				Fault:  admin.Fault{Message: "is stated in " + earlier + " as well"},
			})
		}
		seen[id] = object.Source
	}
	return faults
}
