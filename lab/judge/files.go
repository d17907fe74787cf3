package judge

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/samber/oops"
)

// WriteLines writes values as JSON lines to a file, replacing any existing one.
func WriteLines[T any](path string, values []T) error {
	file, err := os.Create(path)
	if err != nil {
		return oops.In("judge").With("step", "write").With("file", path).Wrap(err)
	}
	encoder := json.NewEncoder(file)
	for _, value := range values {
		if err = encoder.Encode(value); err != nil {
			break
		}
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return oops.In("judge").With("step", "write").With("file", path).Wrap(err)
}

// ReadLines reads all values from a file of JSON lines.
func ReadLines[T any](path string) ([]T, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, oops.In("judge").With("step", "read").With("file", path).Wrap(err)
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	var values []T
	for {
		var value T
		err := decoder.Decode(&value)
		if err == io.EOF {
			return values, nil
		}
		if err != nil {
			return nil, oops.In("judge").With("step", "read").With("file", path).Wrap(fmt.Errorf("line %d: %w", len(values)+1, err))
		}
		values = append(values, value)
	}
}
