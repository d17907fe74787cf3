package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// The tenants: one with a permanent key and no limit, one that exceeds its rate limit, and
// one whose key is replaced in each version of the configuration.
const (
	steadyTenant   = "steady"
	limitedTenant  = "limited"
	rotatingTenant = "rotating"
	steadyKey      = "key-of-steady"
	limitedKey     = "key-of-limited"
	// limitedRate is in requests per second and limitedBurst in requests.
	limitedRate  = 8
	limitedBurst = 8
	// Shares of the requests with a key that use the other tenants.
	limitedShare  = 0.25
	rotatingShare = 0.15
	// keyVersions is the number of newest versions whose keys are used; all but the newest are revoked.
	keyVersions = 3
)

// Bounds of the guarantees on tenants, as the platform sets them.
const (
	// revokeBound is the maximum time until a revoked key is rejected everywhere.
	revokeBound = 5 * time.Second
	// limitWindow, limitOvershoot and limitSlack bound the requests that run for a tenant.
	limitWindow    = 5 * time.Second
	limitOvershoot = 0.1
	limitSlack     = 20
)

// rotatingKey returns the key of a configuration version.
func rotatingKey(version int) string { return fmt.Sprintf("key-of-version-%d", version) }

// chooseTenant sets a random tenant on a request that needs a key.
func chooseTenant(random *rand.Rand, newest int, request *Request) {
	request.Tenant = steadyTenant
	switch roll := random.Float64(); {
	case roll < limitedShare:
		request.Tenant = limitedTenant
	case roll < limitedShare+rotatingShare:
		request.Tenant = rotatingTenant
		request.KeyVersion = max(newest-random.IntN(keyVersions), 1)
	}
}

// key returns the request's API key, empty on public routes.
func (r *Request) key() string {
	switch r.Tenant {
	case steadyTenant:
		return steadyKey
	case limitedTenant:
		return limitedKey
	case rotatingTenant:
		return rotatingKey(r.KeyVersion)
	}
	return ""
}

// setTenantHeaders sets the request's API key and a forged tenant, which callers may not choose.
func (r *Request) setTenantHeaders(header http.Header) {
	if key := r.key(); key != "" {
		header.Set("X-Api-Key", key)
	}
	header.Set("Lugspur-Tenant", "forged")
}

// judgeTenants checks the tenants that targets received, that revoked keys are rejected
// in time, and that no limit is exceeded.
func (j *judgement) judgeTenants(byID map[string]*Request) {
	var limited []time.Time
	for id, runs := range j.runs {
		request := byID[id]
		if request == nil {
			continue
		}
		if request.Tenant == limitedTenant {
			limited = append(limited, runs[0].At)
		}
		for _, run := range runs {
			if run.Tenant != request.Tenant || run.Key != "" {
				j.addBreach(TenantIdentity, request, "the target received tenant %q and key %q", run.Tenant, run.Key)
			}
		}
		if age := j.revokedSince(request); age > revokeBound {
			j.addBreach(RevokedKeysRejected, request, "its key was revoked %s before", age)
		}
	}
	j.judgeLimit(limited)
}

// revokedSince returns how long before the request its key was revoked.
func (j *judgement) revokedSince(r *Request) time.Duration {
	if r.Tenant != rotatingTenant {
		return 0
	}
	for _, version := range j.recorder.versions {
		if version.version == r.KeyVersion+1 {
			return r.Sent.Sub(version.at)
		}
	}
	return 0
}

// judgeLimit checks the execution times of the limited tenant's requests against its limit.
func (j *judgement) judgeLimit(runs []time.Time) {
	slices.SortFunc(runs, time.Time.Compare)
	const limit = (limitedRate*float64(limitWindow/time.Second)+limitedBurst)*(1+limitOvershoot) + limitSlack
	first := 0
	for last := range runs {
		for runs[last].Sub(runs[first]) > limitWindow {
			first++
		}
		if count := last - first + 1; float64(count) > limit {
			j.addBreach(WithinLimits, nil, "%d requests ran for %s in the %s before %s", count, limitedTenant, limitWindow, runs[last].Format(time.StampMilli))
			return
		}
	}
}

// judgeKey checks that a valid key is not rejected.
func (j *judgement) judgeKey(r *Request) {
	if r.Status != http.StatusUnauthorized {
		return
	}
	if r.Tenant != rotatingTenant {
		j.addBreach(ValidKeysAccepted, r, "the key of %s was rejected", r.Tenant)
		return
	}
	newest, next := j.versionsAt(r.Sent.Add(-applyBound), r.Ended)
	if r.KeyVersion == newest && next == newest && j.undisturbed(r.Machine, r.Sent, r.Sent, true) {
		j.addBreach(ValidKeysAccepted, r, "the key of version %d is not in force", newest)
	}
}
