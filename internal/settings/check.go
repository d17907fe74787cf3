package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

// MaxNameLength bounds the names of nodes, zones, regions and clusters, in bytes.
const MaxNameLength = 64

const (
	ipPortFormat = "IP address and port, such as 10.0.0.1:7400"
	nameFormat   = "1 to 64 of a-z, 0-9, '.' and '-', starting and ending with a letter or digit"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

var validate = newValidator()

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	mustRegister(validate, "ip_port", isIPPort)
	mustRegister(validate, "node_name", isName)
	return validate
}

func mustRegister(validate *validator.Validate, tag string, check validator.Func) {
	if err := validate.RegisterValidation(tag, check); err != nil {
		panic(err)
	}
}

func isIPPort(level validator.FieldLevel) bool {
	address, err := netip.ParseAddrPort(level.Field().String())
	return err == nil && address.Port() != 0
}

func isName(level validator.FieldLevel) bool {
	name := level.Field().String()
	return len(name) <= MaxNameLength && namePattern.MatchString(name)
}

// check returns all faults of the settings, without their sources.
func check(node Node) []Fault {
	faults := checkFields(node)
	faults = append(faults, checkStore(node.Store)...)
	faults = append(faults, checkListeners(node.Listen)...)
	faults = append(faults, checkAdvertise(node)...)
	faults = append(faults, checkTimeouts(node)...)
	return faults
}

func checkFields(node Node) []Fault {
	var fieldErrors validator.ValidationErrors
	if !errors.As(validate.Struct(node), &fieldErrors) {
		return nil
	}
	allowed := make(map[string]string)
	for _, key := range Keys() {
		allowed[key.Name] = key.Allowed
	}
	faults := make([]Fault, 0, len(fieldErrors))
	for _, fieldError := range fieldErrors {
		_, path, _ := strings.Cut(fieldError.Namespace(), ".")
		key, _, _ := strings.Cut(path, "[")
		faults = append(faults, Fault{Key: key, Message: faultMessage(fieldError, key), Allowed: allowed[key]})
	}
	return faults
}

func faultMessage(fieldError validator.FieldError, key string) string {
	if fieldError.Tag() == "required" {
		return "must be given"
	}
	if key == "admin.token" {
		return "value does not have the allowed form"
	}
	if value, ok := fieldError.Value().(string); ok {
		return fmt.Sprintf("value %q is not allowed", value)
	}
	return fmt.Sprintf("value %v is not allowed", fieldError.Value())
}

func checkStore(store Store) []Fault {
	if store.Kind != StoreEtcd || len(store.Endpoints) > 0 {
		return nil
	}
	return []Fault{{
		Key:     "store.endpoints",
		Message: "must be given when store.kind is etcd",
		Allowed: "at least one " + ipPortFormat,
	}}
}

// checkListeners reports listeners whose addresses conflict. An unspecified IP
// address conflicts with every address on the same port.
func checkListeners(listen Listen) []Fault {
	listeners := []struct{ key, address string }{
		{"listen.edge", listen.Edge},
		{"listen.mesh", listen.Mesh},
		{"listen.peer", listen.Peer},
		{"listen.admin", listen.Admin},
	}
	var faults []Fault
	for i, current := range listeners {
		for _, earlier := range listeners[:i] {
			if !addressesOverlap(earlier.address, current.address) {
				continue
			}
			faults = append(faults, Fault{
				Key:     current.key,
				Message: fmt.Sprintf("address %s is taken by %s (%s)", current.address, earlier.key, earlier.address),
				Allowed: "an address and port that no other listener has",
			})
			break
		}
	}
	return faults
}

func addressesOverlap(first, second string) bool {
	a, errFirst := netip.ParseAddrPort(first)
	b, errSecond := netip.ParseAddrPort(second)
	if errFirst != nil || errSecond != nil || a.Port() != b.Port() {
		return false
	}
	return a.Addr().Unmap() == b.Addr().Unmap() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// checkAdvertise reports advertised addresses that other nodes could not reach.
func checkAdvertise(node Node) []Fault {
	var faults []Fault
	for _, advertised := range []struct{ key, address string }{
		{"advertise.mesh", node.AdvertisedMesh()},
		{"advertise.peer", node.AdvertisedPeer()},
	} {
		address, err := netip.ParseAddrPort(advertised.address)
		if err == nil && address.Addr().IsUnspecified() {
			faults = append(faults, Fault{
				Key:     advertised.key,
				Message: fmt.Sprintf("other nodes can't call %s", advertised.address),
				Allowed: "the IP address and port by which other nodes reach this one; needed when the listener takes every address",
			})
		}
	}
	return faults
}

func checkTimeouts(node Node) []Fault {
	var faults []Fault
	if node.Limits.DefaultTimeout > node.Limits.MaxTimeout {
		faults = append(faults, Fault{
			Key:     "limits.default_timeout_ms",
			Message: fmt.Sprintf("value %d is over limits.max_timeout_ms (%d)", node.Limits.DefaultTimeout, node.Limits.MaxTimeout),
			Allowed: "at most limits.max_timeout_ms",
		})
	}
	if node.Claims.Retention.Duration() < node.Limits.MaxTimeout.Duration() {
		faults = append(faults, Fault{
			Key:     "claims.retention_s",
			Message: fmt.Sprintf("value %d is less than limits.max_timeout_ms (%d)", node.Claims.Retention, node.Limits.MaxTimeout),
			Allowed: "at least as long as limits.max_timeout_ms, so that a claim outlives its call",
		})
	}
	return faults
}

// AdvertisedMesh returns the address at which other nodes reach the mesh listener.
func (n Node) AdvertisedMesh() string {
	if n.Advertise.Mesh != "" {
		return n.Advertise.Mesh
	}
	return n.Listen.Mesh
}

// AdvertisedPeer returns the address at which other nodes reach the peer listener.
func (n Node) AdvertisedPeer() string {
	if n.Advertise.Peer != "" {
		return n.Advertise.Peer
	}
	return n.Listen.Peer
}
