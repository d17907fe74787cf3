package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"
)

// Key describes one key of the settings.
type Key struct {
	// Name is the key as the file writes it, sections before a dot.
	Name string
	// Type is "string", "integer", "boolean" or "list of strings".
	Type string
	// Default is the value without a setting, empty where there is none.
	Default string
	// Allowed says which values are taken.
	Allowed string
	// Flag is the flag that overrides the key, without the dash; empty where
	// there is none.
	Flag string

	index []int
}

// Keys lists every key, in the order of the sections.
func Keys() []Key {
	return collectKeys(reflect.ValueOf(Default()), "", nil)
}

func collectKeys(section reflect.Value, prefix string, index []int) []Key {
	var keys []Key
	for i := range section.NumField() {
		field := section.Type().Field(i)
		name := prefix + field.Tag.Get("toml")
		at := append(append([]int(nil), index...), i)
		if field.Type.Kind() == reflect.Struct {
			keys = append(keys, collectKeys(section.Field(i), name+".", at)...)
			continue
		}
		keys = append(keys, newKey(field, section.Field(i), name, at))
	}
	return keys
}

func newKey(field reflect.StructField, value reflect.Value, name string, index []int) Key {
	key := Key{Name: name, Allowed: allowedOf(field), Default: textOf(value), index: index}
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

func textOf(value reflect.Value) string {
	if value.Kind() == reflect.Slice {
		return strings.Join(value.Interface().([]string), ",")
	}
	return fmt.Sprint(value.Interface())
}

// allowedOf puts a field's rules into words.
func allowedOf(field reflect.StructField) string {
	rules := rulesOf(field.Tag.Get("validate"))
	var words []string
	if rules["omitempty"] != nil {
		words = append(words, "empty, or")
	}
	switch {
	case rules["dive"] != nil:
		words = append(words, "up to", *rules["max"], "times", ipPortWords)
	case rules["ip_port"] != nil:
		words = append(words, ipPortWords)
	case rules["oneof"] != nil:
		words = append(words, strings.Join(strings.Fields(*rules["oneof"]), ", "))
	case rules["node_name"] != nil:
		words = append(words, nameWords)
	case rules["printascii"] != nil:
		words = append(words, *rules["min"], "to", *rules["max"], "printable ASCII characters")
	case rules["min"] != nil:
		words = append(words, *rules["min"], "to", *rules["max"])
	case field.Type.Kind() == reflect.Bool:
		words = append(words, "true, false")
	}
	return strings.Join(words, " ")
}

// rulesOf splits a validate tag into its rules and their parameters.
func rulesOf(tag string) map[string]*string {
	rules := make(map[string]*string)
	for rule := range strings.SplitSeq(tag, ",") {
		name, parameter, _ := strings.Cut(rule, "=")
		rules[name] = &parameter
	}
	return rules
}

// set gives the key a value written as text, as flags do.
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
