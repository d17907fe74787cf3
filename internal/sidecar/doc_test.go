package sidecar

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEverySettingIsDocumented checks that docs/SIDECAR-SETTINGS.md lists all keys of the
// settings in order.
func TestEverySettingIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/SIDECAR-SETTINGS.md")
	assert.NilError(t, err)
	var documented []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cell := strings.Split(line, "|")[1]
		for _, key := range strings.Split(cell, ",") {
			documented = append(documented, strings.Trim(key, " `"))
		}
	}
	assert.DeepEqual(t, documented, keysOf("", reflect.TypeFor[Settings]()))
}

func keysOf(prefix string, settings reflect.Type) []string {
	var keys []string
	for i := range settings.NumField() {
		field := settings.Field(i)
		key := prefix + field.Tag.Get("toml")
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, keysOf(key+".", field.Type)...)
			continue
		}
		keys = append(keys, key)
	}
	return keys
}
