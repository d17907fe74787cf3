package experiment

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/mesh"
)

// policyFile is the content of a policy file in the format of lugspur's command line.
type policyFile struct {
	Kind string          `toml:"kind"`
	Name string          `toml:"name"`
	Spec resource.Policy `toml:"spec"`
}

// writePolicies writes one policy file per service to the directory.
func writePolicies(directory string, m *mesh.Mesh, newPolicy func(mesh.Service) resource.Policy) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for _, service := range m.Services {
		content, err := toml.Marshal(policyFile{Kind: "policy", Name: service.Name, Spec: newPolicy(service)})
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, service.Name+".toml"), content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// uniformPolicy returns a policy that admits all calls, gives them the same rank and
// allows baselineRetries retries.
func uniformPolicy(mesh.Service) resource.Policy {
	return resource.Policy{
		Admit:  "true",
		Rank:   fmt.Sprintf("%q", criticality.SheddablePlus.String()),
		Retry:  fmt.Sprint(baselineRetries),
		Refuse: "1",
	}
}

// criticalityPolicy returns a policy that gives calls of clients the criticality of
// their kind in the mesh file, and downstream calls that of their caller.
func criticalityPolicy(m *mesh.Mesh, service mesh.Service) resource.Policy {
	var rank strings.Builder
	rank.WriteString(`call.incoming_rank != "" ? call.incoming_rank : `)
	for _, kind := range m.Kinds {
		if kind.Service == service.Name {
			fmt.Fprintf(&rank, "call.method == %q && call.path == %q ? %q : ", kind.Method, kind.Path, kind.Criticality)
		}
	}
	fmt.Fprintf(&rank, "%q", criticality.SheddablePlus.String())
	return resource.Policy{Rank: rank.String()}
}

// policyDirectory returns the directory with the policies of the run. Policies are
// generated if the system uses uniform ones or no directory is configured.
func (e *experiment) policyDirectory() (string, error) {
	generatedDirectory := filepath.Join(e.config.Directory, "policies")
	if e.system.PlainPolicies {
		return generatedDirectory, writePolicies(generatedDirectory, e.mesh, uniformPolicy)
	}
	if e.config.Policies != "" {
		return e.config.Policies, nil
	}
	return generatedDirectory, writePolicies(generatedDirectory, e.mesh, func(service mesh.Service) resource.Policy {
		return criticalityPolicy(e.mesh, service)
	})
}
