package cluster

import (
	"context"
	"os"
	"path/filepath"
	"slices"

	"github.com/pelletier/go-toml/v2"

	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/mesh"
)

// objectFile is the format of object files for the apply command.
type objectFile struct {
	Objects []object `toml:"object"`
}

type object struct {
	Kind string `toml:"kind"`
	Name string `toml:"name"`
	Spec any    `toml:"spec"`
}

// applyObjects applies the services and targets of the mesh, and the policies.
func (c *Cluster) applyObjects(ctx context.Context) error {
	file := filepath.Join(c.Config.Directory, "objects.toml")
	content, err := toml.Marshal(objectFile{Objects: append(c.serviceObjects(), c.targetObjects()...)})
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, content, 0o644); err != nil {
		return err
	}
	if _, err := c.Command(ctx, "apply", "-f", file); err != nil {
		return err
	}
	if c.Config.Policies == "" {
		return nil
	}
	for _, service := range c.Mesh.Services {
		policy := filepath.Join(c.Config.Policies, service.Name+".toml")
		if _, err := c.Command(ctx, "apply", "-f", policy); err != nil {
			return err
		}
	}
	return nil
}

// serviceObjects returns the service objects, with the required calls of each service
// and the headers that its targets send.
func (c *Cluster) serviceObjects() []object {
	var objects []object
	for _, service := range c.Mesh.Services {
		objects = append(objects, object{Kind: "service", Name: service.Name, Spec: resource.Service{
			Calls:         requiredCalls(service),
			RefusalHeader: emulator.ShedHeader,
			LoadHeader:    emulator.LoadHeader,
		}})
	}
	return objects
}

func requiredCalls(service mesh.Service) []string {
	var required []string
	for _, call := range service.Calls {
		if !call.Optional && !slices.Contains(required, call.Service) {
			required = append(required, call.Service)
		}
	}
	return required
}

func (c *Cluster) targetObjects() []object {
	var objects []object
	for _, target := range c.targetAddresses.Targets {
		objects = append(objects, object{Kind: "target", Name: target.Name, Spec: resource.Target{
			Service:     target.Service,
			Zone:        target.Zone,
			Address:     target.Address,
			Slots:       target.Slots,
			Connections: target.Connections,
		}})
	}
	return objects
}
