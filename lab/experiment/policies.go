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

// policyFile is a policy as the command line takes it.
type policyFile struct {
	Kind string          `toml:"kind"`
	Name string          `toml:"name"`
	Spec resource.Policy `toml:"spec"`
}

// writePolicies writes a policy for each service to the directory.
func writePolicies(directory string, m *mesh.Mesh, policyOf func(mesh.Service) resource.Policy) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	for _, service := range m.Services {
		content, err := toml.Marshal(policyFile{Kind: "policy", Name: service.Name, Spec: policyOf(service)})
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(directory, service.Name+".toml"), content, 0o644); err != nil {
			return err
		}
	}
	return nil
}

// plainPolicy admits everything, ranks all calls alike and retries.
func plainPolicy(mesh.Service) resource.Policy {
	return resource.Policy{
		Admit:  "true",
		Rank:   fmt.Sprintf("%q", criticality.SheddablePlus.String()),
		Retry:  fmt.Sprint(plainRetries),
		Refuse: "1",
	}
}

// expectedPolicy gives calls of clients the criticality that the mesh file
// expects, and calls inside a chain that of the chain.
func expectedPolicy(m *mesh.Mesh, service mesh.Service) resource.Policy {
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

// policies returns the directory of the policies that the run uses.
func (e *experiment) policies() (string, error) {
	generated := filepath.Join(e.config.Directory, "policies")
	if e.system.PlainPolicies {
		return generated, writePolicies(generated, e.mesh, plainPolicy)
	}
	if e.config.Policies != "" {
		return e.config.Policies, nil
	}
	return generated, writePolicies(generated, e.mesh, func(service mesh.Service) resource.Policy {
		return expectedPolicy(e.mesh, service)
	})
}
