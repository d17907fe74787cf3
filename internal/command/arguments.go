package command

import (
	"strings"

	"github.com/lugspur/lugspur/internal/admin"
	"github.com/lugspur/lugspur/internal/adminclient"
	"github.com/lugspur/lugspur/internal/resource"
)

// parseKind parses the name of a kind, singular or plural.
func parseKind(text string) (resource.Kind, error) {
	names := make([]string, 0, len(resource.OperatorKinds()))
	for _, kind := range resource.OperatorKinds() {
		if text == string(kind) || text == admin.Plural(kind) {
			return kind, nil
		}
		names = append(names, string(kind))
	}
	return "", usageErrorf("unknown kind %q: allowed are %s", text, strings.Join(names, ", "))
}

// parseID parses a kind and a name.
func parseID(arguments []string) (resource.ID, error) {
	if len(arguments) != 2 {
		return resource.ID{}, usageErrorf("needs KIND NAME, after the flags")
	}
	kind, err := parseKind(arguments[0])
	if err != nil {
		return resource.ID{}, err
	}
	id := resource.ID{Kind: kind, Name: arguments[1]}
	if err := id.Validate(); err != nil {
		return id, usageErrorf("%v", err)
	}
	return id, nil
}

// parseDrainSubject parses what to drain or to join again.
func parseDrainSubject(arguments []string) (adminclient.DrainSubject, error) {
	if len(arguments) != 2 {
		return adminclient.DrainSubject{}, usageErrorf("needs target NAME or machine NAME, after the flags")
	}
	switch arguments[0] {
	case "target", "targets":
		return adminclient.DrainSubject{Collection: "targets", Name: arguments[1]}, nil
	case "machine", "machines":
		return adminclient.DrainSubject{Collection: "machines", Name: arguments[1]}, nil
	}
	return adminclient.DrainSubject{}, usageErrorf("unknown %q: allowed are target and machine", arguments[0])
}
