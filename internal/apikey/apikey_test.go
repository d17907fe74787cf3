package apikey

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// fakeVerification is a verification that tests set.
type fakeVerification struct {
	mutex    sync.Mutex
	verified time.Time
	changed  chan struct{}
}

func (s *fakeVerification) VerifiedAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.verified
}

func (s *fakeVerification) Await(ctx context.Context, condition func(time.Time) bool) error {
	for {
		s.mutex.Lock()
		verified, changed := s.verified, s.changed
		s.mutex.Unlock()
		if condition(verified) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// markVerified records that the applied configuration is current now.
func (s *fakeVerification) markVerified() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.verified = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// fixture holds a checker with a maximum age of 5 s.
type fixture struct {
	t            *testing.T
	routes       *routetable.Holder
	verification *fakeVerification
	checker      *Checker
}

const testMaxAge = 5 * time.Second

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, routes: &routetable.Holder{}, verification: &fakeVerification{changed: make(chan struct{})}}
	f.checker = NewChecker(f.routes, f.verification, testMaxAge)
	return f
}

// apply applies a configuration in which the tenants hold the keys.
func (f *fixture) apply(version routetable.Version, keys map[string][]string) {
	configuration := &routetable.Configuration{Version: version}
	for name, digests := range keys {
		tenant := routetable.Tenant{Name: name}
		for _, key := range digests {
			tenant.Keys = append(tenant.Keys, routetable.DigestKey(key))
		}
		configuration.Tenants = append(configuration.Tenants, tenant)
	}
	assert.NilError(f.t, configuration.Validate())
	f.routes.Update(configuration)
}

func (f *fixture) check(keys ...string) Decision {
	return f.checker.Check(f.t.Context(), keys, time.Now())
}

func TestKeyIdentifiesTenant(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a", "b"}, "two": {"c"}})
		f.verification.markVerified()
		assert.Equal(t, f.check("a").Tenant.Name, "one")
		assert.Equal(t, f.check("c").Tenant.Name, "two")
	})
}

func TestNoKeyIsNeededWithoutTenants(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, nil)
		assert.Equal(t, f.check().Outcome, Allowed)
		assert.Equal(t, f.check("a").Outcome, Allowed)
	})
}

// TestMalformedKeysAreRejected checks that values which can't be keys are rejected for good,
// whatever their bytes, length and number.
func TestMalformedKeysAreRejected(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a"}})
		f.verification.markVerified()
		long := string(make([]byte, 1<<20))
		for _, keys := range [][]string{nil, {""}, {"a", "a"}, {"", "a"}} {
			assert.Equal(t, f.check(keys...).Outcome, Missing, "%q", keys)
		}
		for _, key := range []string{"A", " a", "a ", "\x00", "\xff\xfe", long} {
			go func() {
				time.Sleep(time.Second)
				f.verification.markVerified()
			}()
			assert.Equal(t, f.check(key).Outcome, Unknown)
		}
	})
}

// TestRevokedKeyIsRejectedAtOnce checks that a revoked key is rejected without waiting for a
// verification.
func TestRevokedKeyIsRejectedAtOnce(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a", "b"}})
		f.apply(2, map[string][]string{"one": {"b"}})
		f.apply(3, map[string][]string{"one": {}})
		f.verification.markVerified()
		start := time.Now()
		assert.Equal(t, f.check("a").Outcome, Unknown)
		assert.Equal(t, f.check("b").Outcome, Unknown, "the last key of a tenant")
		assert.Equal(t, time.Since(start), time.Duration(0))
		f.apply(4, map[string][]string{"two": {"a"}, "one": {"b"}})
		assert.Equal(t, f.check("a").Tenant.Name, "two", "a key that moved")
		assert.Equal(t, f.check("b").Tenant.Name, "one", "a key that was given back")
	})
}

// TestNewKeyIsLookedUp checks that a request with a new key waits for the configuration that
// holds it.
func TestNewKeyIsLookedUp(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a"}})
		f.verification.markVerified()
		go func() {
			time.Sleep(300 * time.Millisecond)
			f.apply(2, map[string][]string{"one": {"a", "new"}})
			f.verification.markVerified()
		}()
		start := time.Now()
		assert.Equal(t, f.check("new").Outcome, Allowed)
		assert.Equal(t, time.Since(start), 300*time.Millisecond)
	})
}

// TestUnknownKeyIsUnverifiedWhenStale checks that an unknown key is not rejected for good once
// the verification is no longer recent, as the key may be new.
func TestUnknownKeyIsUnverifiedWhenStale(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a", "b"}})
		f.apply(2, map[string][]string{"one": {"a"}})
		f.verification.markVerified()
		time.Sleep(maxRecentAge + time.Millisecond)
		for _, keys := range [][]string{{"new"}, {"b"}, {}} {
			decision := f.check(keys...)
			assert.Equal(t, decision.Outcome, Unverified)
			assert.Assert(t, decision.RetryAfter >= minRetryDelay)
		}
	})
}

// TestKeyStopsWorkingAtMaxAge has no verification for 9 s: the key must stop working at the
// maximum age, and work again after the next verification.
func TestKeyStopsWorkingAtMaxAge(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a"}})
		assert.Equal(t, f.check("a").Outcome, Unverified, "never verified")
		f.verification.markVerified()
		time.Sleep(4500 * time.Millisecond)
		assert.Equal(t, f.check("a").Outcome, Allowed)
		time.Sleep(testMaxAge - 4500*time.Millisecond)
		assert.Equal(t, f.check("a").Outcome, Unverified)
		time.Sleep(4 * time.Second)
		f.verification.markVerified()
		assert.Equal(t, f.check("a").Outcome, Allowed)
	})
}

// TestLookupsAreBounded sends more requests with unknown keys than may wait at once.
func TestLookupsAreBounded(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.apply(1, map[string][]string{"one": {"a"}})
		f.verification.markVerified()
		for range maxLookups {
			go f.check("new")
		}
		synctest.Wait()
		start := time.Now()
		assert.Equal(t, f.check("new").Outcome, Unverified)
		assert.Equal(t, time.Since(start), time.Duration(0))
		time.Sleep(lookupTimeout)
		assert.Equal(t, f.check("a").Outcome, Allowed)
	})
}

// BenchmarkCheck measures the cost per request of checking a key. It was 0 before API keys existed.
func BenchmarkCheck(b *testing.B) {
	routes := &routetable.Holder{}
	routes.Update(&routetable.Configuration{Version: 1, Tenants: []routetable.Tenant{{Name: "one", Keys: []routetable.KeyDigest{routetable.DigestKey("kmgjqnirth5mgjy5rcpi")}}}})
	verification := &fakeVerification{changed: make(chan struct{})}
	verification.markVerified()
	checker := NewChecker(routes, verification, time.Hour)
	arrived, keys := time.Now(), []string{"kmgjqnirth5mgjy5rcpi"}
	for b.Loop() {
		checker.Check(b.Context(), keys, arrived)
	}
}
