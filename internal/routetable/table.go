package routetable

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Table is an immutable snapshot of a configuration, indexed for lookups.
type Table struct {
	version  Version
	limits   Limits
	services map[string]*Service
	// routes holds each host's routes, the longest prefix first.
	routes map[string][]*Route
	// tenants are found by their names, and holders by their keys.
	tenants map[string]*Tenant
	holders map[KeyDigest]*Tenant
	// limited tells that a tenant has a limit.
	limited bool
	// withdrawn are keys that an earlier configuration knew and this one doesn't.
	withdrawn map[KeyDigest]bool
}

// NewTable indexes a valid configuration. The caller must not change it later.
func NewTable(configuration *Configuration) *Table {
	t := &Table{
		version:  configuration.Version,
		limits:   configuration.Limits,
		services: make(map[string]*Service, len(configuration.Services)),
		routes:   make(map[string][]*Route),
		tenants:  make(map[string]*Tenant, len(configuration.Tenants)),
		holders:  make(map[KeyDigest]*Tenant, len(configuration.Tenants)),
	}
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		t.tenants[tenant.Name] = tenant
		t.limited = t.limited || tenant.Limited()
		for _, key := range tenant.Keys {
			t.holders[key] = tenant
		}
	}
	for i := range configuration.Services {
		service := &configuration.Services[i]
		t.services[service.Name] = service
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, routes := range t.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return t
}

// Version returns the configuration's version.
func (t *Table) Version() Version { return t.version }

// Limits returns the bounds on what callers may send.
func (t *Table) Limits() Limits { return t.limits }

// Service returns a service by its name, nil if there is none.
func (t *Table) Service(name string) *Service { return t.services[name] }

// HasTenants reports whether requests to routes that are not public need a key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// HasTenantLimits reports whether any tenant has a limit.
func (t *Table) HasTenantLimits() bool { return t.limited }

// Tenant returns a tenant by its name, nil if there is none.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// TenantByKey returns the tenant that holds an API key, nil if none does.
func (t *Table) TenantByKey(key string) *Tenant { return t.holders[DigestKey(key)] }

// Revoked reports whether an API key was held by a tenant before.
func (t *Table) Revoked(key string) bool { return t.withdrawn[DigestKey(key)] }

// maxWithdrawn bounds the keys that are remembered after they were taken away.
const maxWithdrawn = 4096

// remember takes the keys that the previous table knows and this one does not.
func (t *Table) remember(previous *Table) {
	if previous == nil {
		return
	}
	t.withdrawn = make(map[KeyDigest]bool)
	for key := range previous.holders {
		t.withdraw(key)
	}
	for key := range previous.withdrawn {
		t.withdraw(key)
	}
}

func (t *Table) withdraw(key KeyDigest) {
	if t.holders[key] == nil && len(t.withdrawn) < maxWithdrawn {
		t.withdrawn[key] = true
	}
}

// Match returns the host's route with the longest prefix of the path, nil if
// there is none. The host may carry a port.
func (t *Table) Match(host, path string) *Route {
	for _, route := range t.routes[hostName(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Holder publishes the newest table. Versions only rise during its life. It is
// safe for concurrent use.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[Table]
}

// Current returns the newest table, nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Version returns the version in force, zero before the first.
func (h *Holder) Version() Version {
	if table := h.current.Load(); table != nil {
		return table.version
	}
	return 0
}

// Update puts the configuration in force if it is newer than the one in force,
// and reports whether it did.
func (h *Holder) Update(configuration *Configuration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if configuration.Version <= h.Version() {
		return false
	}
	table := NewTable(configuration)
	table.remember(h.current.Load())
	h.current.Store(table)
	return true
}
