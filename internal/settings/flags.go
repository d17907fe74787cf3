package settings

import (
	"flag"
	"fmt"
	"strconv"
)

// Override is one value that a flag gives over the file.
type Override struct {
	// Flag is the flag's name, without the dash.
	Flag string
	// Value is the value as text; a list has commas between its items.
	Value string
}

// Overrides are the values that flags give, in the order of the command line;
// the last one of a flag holds.
type Overrides []Override

// Register adds a flag for every key that has one.
func (o *Overrides) Register(flags *flag.FlagSet) {
	for _, key := range Keys() {
		if key.Flag != "" {
			flags.Var(&override{overrides: o, key: key}, key.Flag, usageOf(key))
		}
	}
}

func usageOf(key Key) string {
	usage := fmt.Sprintf("override `%s`", key.Name)
	if key.Default != "" {
		usage += "; default " + key.Default
	}
	return usage + "; allowed: " + key.Allowed
}

// override is the flag.Value of one key.
type override struct {
	overrides *Overrides
	key       Key
}

// String returns nothing, so that usage texts don't show a second default.
func (o *override) String() string { return "" }

// IsBoolFlag lets a boolean be set by the flag alone.
func (o *override) IsBoolFlag() bool { return o.key.Type == "boolean" }

// Set notes the value. A value of the wrong type is a usage error at once.
func (o *override) Set(text string) error {
	var scratch Node
	if err := o.key.set(&scratch, text); err != nil {
		return err
	}
	*o.overrides = append(*o.overrides, Override{Flag: o.key.Flag, Value: text})
	return nil
}

// apply puts the overrides over the settings and returns the flag that set each
// key.
func (o Overrides) apply(node *Node) (map[string]string, []Fault) {
	keys := make(map[string]Key)
	for _, key := range Keys() {
		keys[key.Flag] = key
	}
	sources := make(map[string]string)
	var faults []Fault
	for _, given := range o {
		key, ok := keys[given.Flag]
		if !ok || given.Flag == "" {
			faults = append(faults, Fault{Source: "flag -" + given.Flag, Message: "unknown flag " + strconv.Quote(given.Flag)})
			continue
		}
		sources[key.Name] = "flag -" + given.Flag
		if err := key.set(node, given.Value); err != nil {
			faults = append(faults, Fault{Key: key.Name, Source: sources[key.Name], Message: err.Error(), Allowed: key.Allowed})
		}
	}
	return sources, faults
}
