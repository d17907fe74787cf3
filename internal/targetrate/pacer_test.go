package targetrate

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
)

var (
	urgent    = criticality.Rank{Level: criticality.CriticalPlus}
	sheddable = criticality.Rank{Level: criticality.LevelCount - 1, Cohort: criticality.CohortCount - 1}
)

// admittedTimes offers calls at random, at the given rate for each rank, and returns the
// times at which those of each rank were admitted.
func admittedTimes(p *Pacer, seed uint64, seconds float64, rates map[criticality.Rank]float64) map[criticality.Rank][]float64 {
	const step = 0.001
	random := rand.New(rand.NewPCG(seed, 0))
	admitted := make(map[criticality.Rank][]float64)
	for now := 0.0; now < seconds; now += step {
		for _, rank := range []criticality.Rank{sheddable, urgent} {
			if random.Float64() < rates[rank]*step && p.Take(Call{Rank: rank}, at(now)).Admitted {
				admitted[rank] = append(admitted[rank], now)
			}
		}
	}
	return admitted
}

// mostWithin returns the largest number of times within a span of the given length.
func mostWithin(times []float64, span float64) int {
	most, first := 0, 0
	for i := range times {
		for times[i]-times[first] >= span {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func TestPacerAdmitsLimitAndLittleMore(t *testing.T) {
	const window, factor, slack = 4.0, 1.5, 5.0
	for seed := range uint64(20) {
		for _, rate := range []float64{0, 0.05, 1, 3.6, 6.8, 40, 400} {
			var p Pacer
			p.Set(limitOf(rate), at(0))
			demand := 2*rate + 5
			admitted := admittedTimes(&p, seed, 60, map[criticality.Rank]float64{sheddable: demand})[sheddable]
			assert.Assert(t, float64(mostWithin(admitted, window)) <= factor*window*rate+slack, "rate %v: %d", rate, mostWithin(admitted, window))
			assert.Assert(t, float64(len(admitted)) >= 0.9*60*max(rate, MinRate)-1, "rate %v: %d", rate, len(admitted))
		}
	}
}

func TestPacerPrefersImportantCalls(t *testing.T) {
	var p Pacer
	p.Set(limitOf(10), at(0))
	admitted := admittedTimes(&p, 1, 60, map[criticality.Rank]float64{urgent: 8, sheddable: 40})
	assert.Assert(t, float64(len(admitted[urgent])) >= 0.9*8*60, "%d", len(admitted[urgent]))
	assert.Assert(t, len(admitted[urgent])+len(admitted[sheddable]) >= 540)
}

func TestCallsOfBegunRequestsGoFirst(t *testing.T) {
	var p Pacer
	p.Set(limitOf(1), at(0))
	assert.Assert(t, !p.Take(Call{Rank: sheddable}, at(1)).Admitted)
	assert.Assert(t, p.Take(Call{Rank: sheddable, Continues: true}, at(1)).Admitted)
}

func TestPacerWithoutLimitAdmitsAll(t *testing.T) {
	var p Pacer
	p.Set(limitOf(0), at(0))
	p.Set(Announcement{}, at(1))
	for range 100 {
		assert.Equal(t, p.Take(Call{Rank: sheddable}, at(1)), Decision{Admitted: true})
	}
}

func TestWaitingTimesOfRefusedCallsAreSpread(t *testing.T) {
	var p Pacer
	p.Set(limitOf(10), at(0))
	for i := range 10 {
		decision := p.Take(Call{Rank: urgent}, at(0))
		assert.Assert(t, !decision.Admitted)
		assert.Equal(t, decision.Wait.Round(time.Millisecond), time.Duration(i+1)*100*time.Millisecond)
	}
}

func TestReturnedTokenIsTakenAgain(t *testing.T) {
	var p Pacer
	p.Set(limitOf(1), at(0))
	decision := p.Take(Call{Rank: urgent}, at(1))
	p.Return(decision)
	assert.Assert(t, p.Take(Call{Rank: urgent}, at(1)).Admitted)
	assert.Assert(t, !p.Take(Call{Rank: urgent}, at(1)).Admitted)
}
