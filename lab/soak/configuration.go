package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/lugspur/lugspur/internal/store"
)

const (
	// host is the host of all routes.
	host = "soak.example"
	// configurationKey is the store key of the operator's configuration.
	configurationKey = "op/config"
	// routeTimeout is the timeout of a request and objective its latency objective,
	// both in seconds.
	routeTimeout = 3
	objective    = 1
)

// readPath and oncePath are the path prefixes of a service's idempotent and
// non-idempotent requests, crashPath is the path of requests that crash their
// target, largePath is the path of requests with a large response, and versionPath is the prefix that exists only in one version of the
// configuration.
func readPath(service string) string  { return "/read/" + service + "/" }
func crashPath(service string) string { return readPath(service) + "deadly" }
func largePath(service string) string { return readPath(service) + "large" }
func oncePath(service string) string  { return "/once/" + service + "/" }
func versionPath(version int) string  { return fmt.Sprintf("/version/%d/", version) }

type documentResource struct {
	Type     string           `json:"resource-type"`
	Metadata documentMetadata `json:"metadata"`
	Spec     any              `json:"spec"`
}

type documentMetadata struct {
	Name string `json:"name"`
}

type routeSpec struct {
	Host        string  `json:"host"`
	Prefix      string  `json:"path-prefix"`
	Type        string  `json:"route-type"`
	Timeout     float64 `json:"timeout-s"`
	Objective   float64 `json:"aim-s"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max-attempts"`
	Public      bool    `json:"public"`
}

type tenantSpec struct {
	APIKeys       []string `json:"api-keys"`
	Priority      int      `json:"priority"`
	RatePerSecond float64  `json:"rate-per-s"`
	Burst         float64  `json:"burst"`
}

type serviceSpec struct {
	HealthPath     string `json:"health-path"`
	MaxConnections int    `json:"max-connections"`
}

type limitsSpec struct {
	MaxHeaderBytes int     `json:"max-header-bytes"`
	MaxBodyBytes   int     `json:"max-body-bytes"`
	HeaderTimeout  float64 `json:"header-timeout-s"`
	IdleTimeout    float64 `json:"idle-timeout-s"`
}

type configurationDocument struct {
	Version   string             `json:"version"`
	Resources []documentResource `json:"resources"`
}

func route(name, prefix, kind, service string, priority int) documentResource {
	const attempts = 2
	return documentResource{Type: "routes", Metadata: documentMetadata{Name: name}, Spec: routeSpec{Host: host, Prefix: prefix, Type: kind,
		Timeout: routeTimeout, Objective: objective, Priority: priority, Service: service, MaxAttempts: attempts}}
}

func tenant(name string, keys []string, rate, burst float64) documentResource {
	return documentResource{Type: "tenants", Metadata: documentMetadata{Name: name}, Spec: tenantSpec{APIKeys: keys, Priority: 1, RatePerSecond: rate, Burst: burst}}
}

// public returns the route without the need for an API key.
func public(route documentResource) documentResource {
	spec := route.Spec.(routeSpec)
	spec.Public = true
	route.Spec = spec
	return route
}

// encodeConfiguration returns the configuration document of a version.
func encodeConfiguration(version int) []byte {
	document := configurationDocument{Version: fmt.Sprintf("r%d", version)}
	for _, service := range services {
		document.Resources = append(document.Resources,
			route("read-"+service, readPath(service), "idempotent", service, 1),
			route("once-"+service, oncePath(service), "non_idempotent", service, 0),
			documentResource{Type: "services", Metadata: documentMetadata{Name: service}, Spec: serviceSpec{HealthPath: "/health", MaxConnections: 64}})
	}
	document.Resources = append(document.Resources,
		public(route("version", versionPath(version), "idempotent", services[version%len(services)], 1)),
		tenant(steadyTenant, []string{steadyKey}, 0, 0),
		tenant(limitedTenant, []string{limitedKey}, limitedRate, limitedBurst),
		tenant(rotatingTenant, []string{rotatingKey(version)}, 0, 0),
		documentResource{Type: "limits", Spec: limitsSpec{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 2 * largeMessageBytes, HeaderTimeout: 3, IdleTimeout: 15}})
	content, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	return content
}

// writeConfiguration stores a version of the configuration. A nil error is the
// acknowledgement, from which all time bounds are measured.
func (d *deployment) writeConfiguration(ctx context.Context, version int) error {
	entry, err := d.store.Get(ctx, configurationKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	_, err = d.store.CompareAndSwap(ctx, configurationKey, entry.Revision, encodeConfiguration(version), store.NoLease)
	return err
}
