package mesh

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"
)

// Load reads and validates a mesh file. Unknown keys and references to undefined
// names are errors.
func Load(path string) (*Mesh, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, oops.In("mesh").With("step", "read").With("file", path).Wrapf(err, "read mesh file")
	}
	loaded, err := Parse(content)
	if err != nil {
		return nil, oops.In("mesh").With("step", "parse").With("file", path).Wrapf(err, "mesh file %s", path)
	}
	return loaded, nil
}

// Parse parses and validates the content of a mesh file.
func Parse(content []byte) (*Mesh, error) {
	var parsed Mesh
	decoder := toml.NewDecoder(bytes.NewReader(content)).DisallowUnknownFields()
	if err := decoder.Decode(&parsed); err != nil {
		return nil, describeDecodeError(err)
	}
	if err := validator.New(validator.WithRequiredStructEnabled()).Struct(&parsed); err != nil {
		return nil, err
	}
	if err := parsed.checkReferences(); err != nil {
		return nil, err
	}
	return &parsed, nil
}

func describeDecodeError(err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		return fmt.Errorf("unknown keys:\n%s", unknown.String())
	}
	return err
}

func (m *Mesh) checkReferences() error {
	checks := []func() error{m.checkTargets, m.checkPairs, m.checkCalls, m.checkKinds, m.checkAcyclic}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (m *Mesh) hasZone(name string) bool {
	for _, zone := range m.Zones {
		if zone.Name == name {
			return true
		}
	}
	return false
}

func (m *Mesh) checkTargets() error {
	for _, target := range m.Targets {
		if _, ok := m.Service(target.Service); !ok {
			return fmt.Errorf("target %s: unknown service %q", target.Name, target.Service)
		}
		if !m.hasZone(target.Zone) {
			return fmt.Errorf("target %s: unknown zone %q", target.Name, target.Zone)
		}
		if _, err := netip.ParseAddrPort(target.Address); err != nil {
			return fmt.Errorf("target %s: address: %w", target.Name, err)
		}
	}
	for _, service := range m.Services {
		if len(m.TargetsOf(service.Name)) == 0 {
			return fmt.Errorf("service %s has no target", service.Name)
		}
	}
	return nil
}

func (m *Mesh) checkPairs() error {
	for _, pair := range m.Latency.Pairs {
		if !m.hasZone(pair.From) || !m.hasZone(pair.To) {
			return fmt.Errorf("latency pair %s-%s: unknown zone", pair.From, pair.To)
		}
	}
	return nil
}

func (m *Mesh) checkCalls() error {
	for _, service := range m.Services {
		for _, call := range service.allCalls() {
			if err := m.checkWork(call.Service, call.Method, call.Path); err != nil {
				return fmt.Errorf("service %s: %w", service.Name, err)
			}
		}
	}
	return nil
}

func (m *Mesh) checkKinds() error {
	total := 0.0
	for _, kind := range m.Kinds {
		if err := m.checkWork(kind.Service, kind.Method, kind.Path); err != nil {
			return fmt.Errorf("kind %s: %w", kind.Name, err)
		}
		total += kind.Share
	}
	if total <= 0 {
		return errors.New("the shares of all kinds are zero")
	}
	return nil
}

func (m *Mesh) checkWork(serviceName, method, path string) error {
	service, ok := m.Service(serviceName)
	if !ok {
		return fmt.Errorf("unknown service %q", serviceName)
	}
	if _, ok := service.Work(method, path); !ok {
		return fmt.Errorf("service %s has no operation for %s %s", serviceName, method, path)
	}
	return nil
}

func (s Service) allCalls() []Call {
	calls := append([]Call(nil), s.Calls...)
	for _, operation := range s.Operations {
		if operation.Calls != nil {
			calls = append(calls, *operation.Calls...)
		}
	}
	return calls
}

func (m *Mesh) checkAcyclic() error {
	const visiting, done = 1, 2
	state := make(map[string]int, len(m.Services))
	var visit func(name string) error
	visit = func(name string) error {
		if state[name] == done {
			return nil
		}
		if state[name] == visiting {
			return fmt.Errorf("service %s calls itself through others", name)
		}
		state[name] = visiting
		service, _ := m.Service(name)
		for _, call := range service.allCalls() {
			if err := visit(call.Service); err != nil {
				return err
			}
		}
		state[name] = done
		return nil
	}
	for _, service := range m.Services {
		if err := visit(service.Name); err != nil {
			return err
		}
	}
	return nil
}
