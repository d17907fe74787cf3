package settings

import (
	"flag"
	"fmt"
	"strconv"
)

// Override is a value from a flag that overrides the file.
type Override struct {
	// Flag is the name of the flag, without the dash.
	Flag string
	// Value is the value as text; the items of a list are separated by commas.
	Value string
}

// Overrides are the values from flags in command-line order. The last value of a
// repeated flag applies.
type Overrides []Override

// Register adds the flags of all keys that have one to the flag set.
func (o *Overrides) Register(flags *flag.FlagSet) {
	for _, key := range Keys() {
		if key.Flag != "" {
			flags.Var(&overrideFlag{overrides: o, key: key}, key.Flag, flagUsage(key))
		}
	}
}

func flagUsage(key Key) string {
	usage := fmt.Sprintf("override `%s`", key.Name)
	if key.Default != "" {
		usage += "; default " + key.Default
	}
	return usage + "; allowed: " + key.Allowed
}

// overrideFlag implements flag.Value for one key.
type overrideFlag struct {
	overrides *Overrides
	key       Key
}

// String returns the empty string: the usage text already includes the default.
func (o *overrideFlag) String() string { return "" }

// IsBoolFlag allows a boolean flag without a value.
func (o *overrideFlag) IsBoolFlag() bool { return o.key.Type == "boolean" }

// Set records the value. A value of the wrong type is reported immediately, as a
// usage error.
func (o *overrideFlag) Set(text string) error {
	var scratch Node
	if err := o.key.set(&scratch, text); err != nil {
		return err
	}
	*o.overrides = append(*o.overrides, Override{Flag: o.key.Flag, Value: text})
	return nil
}

// apply sets the overridden keys and returns the flag that set each of them.
func (o Overrides) apply(node *Node) (map[string]string, []Fault) {
	keys := make(map[string]Key)
	for _, key := range Keys() {
		keys[key.Flag] = key
	}
	sources := make(map[string]string)
	var faults []Fault
	for _, override := range o {
		key, ok := keys[override.Flag]
		if !ok || override.Flag == "" {
			faults = append(faults, Fault{Source: "flag -" + override.Flag, Message: "unknown flag " + strconv.Quote(override.Flag)})
			continue
		}
		sources[key.Name] = "flag -" + override.Flag
		if err := key.set(node, override.Value); err != nil {
			faults = append(faults, Fault{Key: key.Name, Source: sources[key.Name], Message: err.Error(), Allowed: key.Allowed})
		}
	}
	return sources, faults
}
