package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Key describes a key of the settings.
type Key struct {
	// Name is the key as in the file, prefixed with its section and a dot if it
	// belongs to one.
	Name string
	// Type is "string", "integer", "boolean" or "list of strings".
	Type string
	// Default is the default value; empty if there is none.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	// Flag is the name of the flag that overrides the key, without the dash;
	// empty if there is none.
	Flag string

	index []int
}

// Keys returns all keys, in the order of the sections.
func Keys() []Key {
	return collectKeys(reflect.ValueOf(Default()), "", nil)
}

func collectKeys(section reflect.Value, prefix string, index []int) []Key {
	var keys []Key
	for i := range section.NumField() {
		field := section.Type().Field(i)
		name := prefix + field.Tag.Get("toml")
		path := append(append([]int(nil), index...), i)
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, collectKeys(section.Field(i), name+".", path)...)
			continue
		}
		keys = append(keys, newKey(field, section.Field(i), name, path))
	}
	return keys
}

func newKey(field reflect.StructField, value reflect.Value, name string, index []int) Key {
	key := Key{Name: name, Allowed: describeAllowed(field), Default: formatValue(value), index: index}
	key.Type = typeNames[field.Type.Kind()]
	if field.Tag.Get("flag") != "none" {
		key.Flag = strings.NewReplacer(".", "-", "_", "-").Replace(name)
	}
	return key
}

var typeNames = map[reflect.Kind]string{
	reflect.String: "string",
	reflect.Int:    "integer",
	reflect.Int64:  "integer",
	reflect.Bool:   "boolean",
	reflect.Slice:  "list of strings",
}

func formatValue(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return strings.Join(value.Interface().([]string), ",")
	}
	return fmt.Sprint(value.Interface())
}

// describeAllowed describes the validation rules of a field.
func describeAllowed(field reflect.StructField) string {
	rules := parseRules(field.Tag.Get("validate"))
	var words []string
	if rules["omitempty"] != nil {
		words = append(words, "empty, or")
	}
	switch {
	case rules["dive"] != nil:
		words = append(words, "up to", *rules["max"], "times", ipPortFormat)
	case rules["ip_port"] != nil:
		words = append(words, ipPortFormat)
	case rules["oneof"] != nil:
		words = append(words, strings.Join(strings.Fields(*rules["oneof"]), ", "))
	case rules["node_name"] != nil:
		words = append(words, nameFormat)
	case rules["printascii"] != nil:
		words = append(words, *rules["min"], "to", *rules["max"], "printable ASCII characters")
	case rules["min"] != nil:
		words = append(words, *rules["min"], "to", *rules["max"])
	case field.Type.Kind() == reflect.Bool:
		words = append(words, "true, false")
	}
	return strings.Join(words, " ")
}

// parseRules splits a validate tag into its rules and their parameters.
func parseRules(tag string) map[string]*string {
	rules := make(map[string]*string)
	for rule := range strings.SplitSeq(tag, ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		rules[name] = &parameter
	}
	return rules
}

// set parses the text of a flag and assigns the value to the key.
func (k Key) set(node *Node, text string) error {
	field := reflect.ValueOf(node).Elem().FieldByIndex(k.index)
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("value %q is not a boolean", text)
		}
		field.SetBool(value)
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(text)))
	default:
		value, err := strconv.ParseInt(text, 10, field.Type().Bits())
		if err != nil {
			return fmt.Errorf("value %q is not an integer", text)
		}
		field.SetInt(value)
	}
	return nil
}

func splitList(text string) []string {
	items := []string{}
	for item := range strings.SplitSeq(text, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
