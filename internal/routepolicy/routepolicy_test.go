package routepolicy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/routetable"
)

func TestDefaultPolicies(t *testing.T) {
	set, err := Compile(Sources{})
	assert.NilError(t, err)
	levels := []criticality.Level{criticality.CriticalPlus, criticality.Critical, criticality.SheddablePlus, criticality.Sheddable, criticality.Sheddable}
	for priority, want := range levels {
		for _, kind := range []routetable.Kind{routetable.AtMostOnce, routetable.Repeatable} {
			level, err := set.For(kind).Rank(policy.Call{Priority: priority})
			assert.NilError(t, err)
			assert.Equal(t, level, want)
		}
	}
	call := policy.Call{Attempts: 3}
	cases := []struct {
		kind     routetable.Kind
		executed string
		retries  int
	}{
		{routetable.Repeatable, policy.ExecutedUnknown, 2},
		{routetable.Repeatable, policy.ExecutedNo, 3},
		{routetable.AtMostOnce, policy.ExecutedUnknown, 0},
		{routetable.AtMostOnce, policy.ExecutedNo, 3},
	}
	for _, c := range cases {
		retries, err := set.For(c.kind).Retry(call, policy.Outcome{Executed: c.executed})
		assert.NilError(t, err)
		assert.Equal(t, retries, c.retries)
	}
	delay, err := set.For(routetable.AtMostOnce).RefuseDelay(call, policy.Load{FreeIn: 0.35}, policy.Outcome{})
	assert.NilError(t, err)
	assert.Equal(t, delay, 350*time.Millisecond)
}

func TestCompileReportsAllErrors(t *testing.T) {
	_, err := Compile(Sources{Repeatable: policy.Source{Rank: `"urgent"`}, Once: policy.Source{Admit: `1 +`}})
	assert.ErrorContains(t, err, "policies.repeatable")
	assert.ErrorContains(t, err, "policies.once")
}

func TestPutTakesEffectImmediately(t *testing.T) {
	first, err := Compile(Sources{})
	assert.NilError(t, err)
	second, err := Compile(Sources{Once: policy.Source{Admit: `call.priority < 1`}})
	assert.NilError(t, err)
	holder := NewHolder(first)
	admits := func() bool {
		admitted, err := holder.For(routetable.AtMostOnce).Admit(policy.Call{Priority: 2}, policy.Load{})
		assert.NilError(t, err)
		return admitted
	}
	assert.Assert(t, admits())
	holder.Put(second)
	assert.Assert(t, !admits())
}
