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

// source is a verification that tests set.
type source struct {
	mutex    sync.Mutex
	verified time.Time
	changed  chan struct{}
}

func (s *source) VerifiedAt() time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.verified
}

func (s *source) Await(ctx context.Context, settled func(time.Time) bool) error {
	for {
		s.mutex.Lock()
		verified, changed := s.verified, s.changed
		s.mutex.Unlock()
		if settled(verified) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// verify notes that the configuration in force is current now.
func (s *source) verify() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.verified = time.Now()
	close(s.changed)
	s.changed = make(chan struct{})
}

// fixture is a checker whose bound is 5 s.
type fixture struct {
	t       *testing.T
	routes  *routetable.Holder
	source  *source
	checker *Checker
}

const bound = 5 * time.Second

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, routes: &routetable.Holder{}, source: &source{changed: make(chan struct{})}}
	f.checker = NewChecker(f.routes, f.source, bound)
	return f
}

// put brings a configuration into force in which the tenants hold the keys.
func (f *fixture) put(version routetable.Version, keys map[string][]string) {
	configuration := &routetable.Configuration{Version: version}
	for name, held := range keys {
		tenant := routetable.Tenant{Name: name}
		for _, key := range held {
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

func TestAKeyNamesItsTenant(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a", "b"}, "two": {"c"}})
		f.source.verify()
		assert.Equal(t, f.check("a").Tenant.Name, "one")
		assert.Equal(t, f.check("c").Tenant.Name, "two")
	})
}

func TestWithoutTenantsNoKeyIsNeeded(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, nil)
		assert.Equal(t, f.check().Outcome, Allowed)
		assert.Equal(t, f.check("a").Outcome, Allowed)
	})
}

// TestKeysOfAnyForm has callers send what is no key: whatever its bytes, length and number,
// it is turned away for good.
func TestKeysOfAnyForm(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a"}})
		f.source.verify()
		long := string(make([]byte, 1<<20))
		for _, keys := range [][]string{nil, {""}, {"a", "a"}, {"", "a"}} {
			assert.Equal(t, f.check(keys...).Outcome, Missing, "%q", keys)
		}
		for _, key := range []string{"A", " a", "a ", "\x00", "\xff\xfe", long} {
			go func() {
				time.Sleep(time.Second)
				f.source.verify()
			}()
			assert.Equal(t, f.check(key).Outcome, Unknown)
		}
	})
}

// TestAKeyThatWasTakenAwayIsTurnedAwayAtOnce has a caller go on with a key that the
// configuration no longer holds: it need not wait for a verification.
func TestAKeyThatWasTakenAwayIsTurnedAwayAtOnce(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a", "b"}})
		f.put(2, map[string][]string{"one": {"b"}})
		f.put(3, map[string][]string{"one": {}})
		f.source.verify()
		began := time.Now()
		assert.Equal(t, f.check("a").Outcome, Unknown)
		assert.Equal(t, f.check("b").Outcome, Unknown, "the last key of a tenant")
		assert.Equal(t, time.Since(began), time.Duration(0))
		f.put(4, map[string][]string{"two": {"a"}, "one": {"b"}})
		assert.Equal(t, f.check("a").Tenant.Name, "two", "a key that moved")
		assert.Equal(t, f.check("b").Tenant.Name, "one", "a key that was given back")
	})
}

// TestAKeyThatWasJustAddedIsLookedUp has a caller use a key before the node has the
// configuration that holds it.
func TestAKeyThatWasJustAddedIsLookedUp(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a"}})
		f.source.verify()
		go func() {
			time.Sleep(300 * time.Millisecond)
			f.put(2, map[string][]string{"one": {"a", "new"}})
			f.source.verify()
		}()
		began := time.Now()
		assert.Equal(t, f.check("new").Outcome, Allowed)
		assert.Equal(t, time.Since(began), 300*time.Millisecond)
	})
}

// TestAnUnknownKeyIsNotTurnedAwayUnproved has the configuration be verified no more: that
// a key is unknown proves nothing.
func TestAnUnknownKeyIsNotTurnedAwayUnproved(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a", "b"}})
		f.put(2, map[string][]string{"one": {"a"}})
		f.source.verify()
		time.Sleep(recent + time.Millisecond)
		for _, keys := range [][]string{{"new"}, {"b"}, {}} {
			decision := f.check(keys...)
			assert.Equal(t, decision.Outcome, Unverified)
			assert.Assert(t, decision.RetryAfter >= unprovedDelay)
		}
	})
}

// TestAKeyWorksNoLongerThanItsBound has the store be away for 9 s: the key works for as
// long as it may, and again with the next verification.
func TestAKeyWorksNoLongerThanItsBound(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a"}})
		assert.Equal(t, f.check("a").Outcome, Unverified, "never verified")
		f.source.verify()
		time.Sleep(4500 * time.Millisecond)
		assert.Equal(t, f.check("a").Outcome, Allowed)
		time.Sleep(bound - 4500*time.Millisecond)
		assert.Equal(t, f.check("a").Outcome, Unverified)
		time.Sleep(4 * time.Second)
		f.source.verify()
		assert.Equal(t, f.check("a").Outcome, Allowed)
	})
}

// TestLookupsAreBounded has more callers with unknown keys than may wait.
func TestLookupsAreBounded(t *testing.T) {
	virtualtime.Run(t, func(t *testing.T) {
		f := newFixture(t)
		f.put(1, map[string][]string{"one": {"a"}})
		f.source.verify()
		for range maxLookups {
			go f.check("new")
		}
		synctest.Wait()
		began := time.Now()
		assert.Equal(t, f.check("new").Outcome, Unverified)
		assert.Equal(t, time.Since(began), time.Duration(0))
		time.Sleep(lookupTimeout)
		assert.Equal(t, f.check("a").Outcome, Allowed)
	})
}

// BenchmarkCheck measures what a key adds to a request. It was 0 before there were keys.
func BenchmarkCheck(b *testing.B) {
	routes := &routetable.Holder{}
	routes.Update(&routetable.Configuration{Version: 1, Tenants: []routetable.Tenant{{Name: "one", Keys: []routetable.KeyDigest{routetable.DigestKey("kmgjqnirth5mgjy5rcpi")}}}})
	verification := &source{changed: make(chan struct{})}
	verification.verify()
	checker := NewChecker(routes, verification, time.Hour)
	arrived, keys := time.Now(), []string{"kmgjqnirth5mgjy5rcpi"}
	for b.Loop() {
		checker.Check(b.Context(), keys, arrived)
	}
}
