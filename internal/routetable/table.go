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
	// routes maps each host to its routes, longest prefix first.
	routes map[string][]*Route
	// tenants is indexed by name, and tenantsByKey by the digests of the API keys.
	tenants      map[string]*Tenant
	tenantsByKey map[KeyDigest]*Tenant
	// hasTenantLimits reports whether any tenant has a rate limit.
	hasTenantLimits bool
	// revoked is the set of keys in earlier configurations that are not in this one.
	revoked map[KeyDigest]bool
}

// NewTable indexes a valid configuration. The caller must not modify it afterwards.
func NewTable(configuration *Configuration) *Table {
	t := &Table{
		version:      configuration.Version,
		limits:       configuration.Limits,
		services:     make(map[string]*Service, len(configuration.Services)),
		routes:       make(map[string][]*Route),
		tenants:      make(map[string]*Tenant, len(configuration.Tenants)),
		tenantsByKey: make(map[KeyDigest]*Tenant, len(configuration.Tenants)),
	}
	for i := range configuration.Tenants {
		tenant := &configuration.Tenants[i]
		t.tenants[tenant.Name] = tenant
		t.hasTenantLimits = t.hasTenantLimits || tenant.Limited()
		for _, key := range tenant.Keys {
			t.tenantsByKey[key] = tenant
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

// HasTenants reports whether requests to routes that are not public need an API key.
func (t *Table) HasTenants() bool { return len(t.tenants) > 0 }

// HasTenantLimits reports whether any tenant has a rate limit.
func (t *Table) HasTenantLimits() bool { return t.hasTenantLimits }

// Tenant returns a tenant by its name, nil if there is none.
func (t *Table) Tenant(name string) *Tenant { return t.tenants[name] }

// TenantByKey returns the tenant that an API key belongs to, nil if there is none.
func (t *Table) TenantByKey(key string) *Tenant { return t.tenantsByKey[DigestKey(key)] }

// Revoked reports whether an API key belonged to a tenant in an earlier configuration and no longer does.
func (t *Table) Revoked(key string) bool { return t.revoked[DigestKey(key)] }

// maxRevoked bounds the number of revoked keys that are remembered.
const maxRevoked = 4096

// recordRevoked records the keys of the previous table, including its revoked ones, that are not in this one.
func (t *Table) recordRevoked(previous *Table) {
	if previous == nil {
		return
	}
	t.revoked = make(map[KeyDigest]bool)
	for key := range previous.tenantsByKey {
		t.revoke(key)
	}
	for key := range previous.revoked {
		t.revoke(key)
	}
}

func (t *Table) revoke(key KeyDigest) {
	if t.tenantsByKey[key] == nil && len(t.revoked) < maxRevoked {
		t.revoked[key] = true
	}
}

// Match returns the host's route with the longest matching path prefix, nil if
// there is none. The host may include a port.
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

// Holder publishes the newest table. Its version never decreases. It is safe for
// concurrent use.
type Holder struct {
	mutex   sync.Mutex
	current atomic.Pointer[Table]
}

// Current returns the newest table, nil before the first.
func (h *Holder) Current() *Table { return h.current.Load() }

// Version returns the version of the newest table, zero before the first.
func (h *Holder) Version() Version {
	if table := h.current.Load(); table != nil {
		return table.version
	}
	return 0
}

// Update installs the configuration if it is newer than the current one, and
// reports whether it did.
func (h *Holder) Update(configuration *Configuration) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if configuration.Version <= h.Version() {
		return false
	}
	table := NewTable(configuration)
	table.recordRevoked(h.current.Load())
	h.current.Store(table)
	return true
}
