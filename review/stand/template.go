//go:build review

package stand

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// Fields are the fields of a process's settings, as tables and values.
type Fields map[string]any

// lookup returns the value of a dotted name, nil if there is none.
func (f Fields) lookup(name string) any {
	var value any = map[string]any(f)
	for part := range strings.SplitSeq(name, ".") {
		switch container := value.(type) {
		case map[string]any:
			value = container[part]
		case []any:
			value = nil
			for i, entry := range container {
				if part == fmt.Sprint(i) {
					value = entry
				}
			}
		default:
			return nil
		}
	}
	return value
}

// holds reports whether a block of the name stands.
func (f Fields) holds(name string) bool {
	switch value := f.lookup(name).(type) {
	case nil:
		return false
	case bool:
		return value
	case int:
		return value != 0
	default:
		return true
	}
}

var (
	block = regexp.MustCompile(`(?s)\{\{#([a-z.-]+)\}\}`)
	gap   = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)
)

// Fill fills a template of the deploy file: gaps, and blocks of values that are given.
func Fill(template string, fields Fields) string {
	for {
		found := block.FindStringSubmatchIndex(template)
		if found == nil {
			break
		}
		name := template[found[2]:found[3]]
		end := "{{/" + name + "}}"
		inside, after, ok := strings.Cut(template[found[1]:], end)
		if !ok {
			break
		}
		if !fields.holds(name) {
			inside = ""
		}
		template = template[:found[0]] + inside + after
	}
	return gap.ReplaceAllStringFunc(template, func(text string) string {
		parts := gap.FindStringSubmatch(text)
		value := fields.lookup(parts[1])
		if parts[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}
