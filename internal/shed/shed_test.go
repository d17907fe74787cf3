package shed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/shed"
)

const tick = 100 * time.Millisecond

var epoch = time.Unix(1000, 0)

// target simulates a target whose calls take half a second on average, with arrivals
// spread evenly over all ranks. Thresholds reach the refusing nodes after delay
// ticks.
type target struct {
	controller *shed.Controller
	random     *rand.Rand
	now        time.Time
	limit      int
	delay      int
	thresholds []uint16

	inFlight, queued int
	served           uint64
	waiting          time.Duration
}

// callTicks is the mean duration of a call in ticks: half a second.
const callTicks = 5

func newTarget(limit, delay int) *target {
	return &target{
		controller: shed.NewController(shed.Config{Floor: 1}),
		random:     rand.New(rand.NewPCG(1, 2)),
		now:        epoch,
		limit:      limit,
		delay:      delay,
		thresholds: []uint16{shed.None},
	}
}

// capacity returns the number of calls that the target can serve per tick.
func (s *target) capacity() float64 { return float64(s.limit) / callTicks }

// tick simulates one tick with the given mean number of arrivals and returns the
// number of calls that the target started.
func (s *target) tick(arrivals float64) int {
	effective := s.thresholds[max(len(s.thresholds)-1-s.delay, 0)]
	for range poisson(s.random, arrivals) {
		if key := uint16(s.random.IntN(criticality.RankCount)); key < effective {
			s.controller.Observe(criticality.RankOf(key))
			s.queued++
		}
	}
	for range s.inFlight {
		if s.random.IntN(callTicks) == 0 {
			s.inFlight--
		}
	}
	started := min(s.queued, s.limit-s.inFlight)
	s.queued -= started
	s.inFlight += started
	s.served += uint64(started)
	s.waiting += tick
	if s.queued == 0 {
		s.waiting = 0
	}
	s.now = s.now.Add(tick)
	s.controller.Tick(s.now, shed.State{
		InFlight: s.inFlight, Limit: s.limit, Queued: s.queued, Overloaded: s.waiting > tick, Served: s.served,
	})
	s.thresholds = append(s.thresholds, s.controller.Threshold())
	return started
}

// poisson draws a sample from the Poisson distribution with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for at := random.ExpFloat64(); at < mean; at += random.ExpFloat64() {
		count++
	}
	return count
}

func TestOverloadedTargetKeepsHighUtilizationAndShortQueue(t *testing.T) {
	for _, limit := range []int{10, 100} {
		for _, overload := range []float64{1.5, 2, 10} {
			t.Run(fmt.Sprintf("limit %d load %g", limit, overload), func(t *testing.T) {
				s := newTarget(limit, 3)
				for range 50 {
					s.tick(0.5 * s.capacity())
				}
				for range 30 {
					s.tick(overload * s.capacity())
				}
				served, queued := 0, 0
				const ticks = 400
				for range ticks {
					served += s.tick(overload * s.capacity())
					queued += s.queued
				}
				assert.Assert(t, float64(served) > 0.95*ticks*s.capacity(), "served %d of %g", served, ticks*s.capacity())
				assert.Assert(t, queued < 3*limit*ticks, "mean queue %d", queued/ticks)

				s.queued = 0
				recovery := 0
				for s.controller.Threshold() != shed.None && recovery < 100 {
					s.tick(0.5 * s.capacity())
					recovery++
				}
				assert.Assert(t, recovery <= 12, "recovery took %d ticks", recovery)
			})
		}
	}
}

// service simulates arrivals spread evenly over all ranks at a target that serves
// capacity calls per tick. Calls that the threshold refuses are never observed.
type service struct {
	controller *shed.Controller
	now        time.Time
	capacity   float64
	served     uint64
}

func (s *service) tick(perRank int) {
	admitted := 0
	for key := range uint16(criticality.RankCount) {
		if key >= s.controller.Threshold() {
			break
		}
		for range perRank {
			s.controller.Observe(criticality.RankOf(key))
			admitted++
		}
	}
	capacity := int(s.capacity)
	started := min(admitted, capacity)
	s.served += uint64(started)
	s.now = s.now.Add(tick)
	s.controller.Tick(s.now, shed.State{
		InFlight: started, Limit: capacity, Queued: admitted - started, Overloaded: admitted > capacity, Served: s.served,
	})
}

func TestThresholdConvergesToCapacityAndRecoversFast(t *testing.T) {
	const perRank = 4
	s := &service{controller: shed.NewController(shed.Config{}), now: epoch}
	s.capacity = perRank * criticality.RankCount / 2
	for range 40 {
		s.tick(perRank)
	}
	lowest, highest := s.controller.Threshold(), uint16(0)
	for range 60 {
		s.tick(perRank)
		lowest = min(lowest, s.controller.Threshold())
		highest = max(highest, s.controller.Threshold())
	}
	assert.Assert(t, lowest >= 220, "threshold %d sheds too much", lowest)
	assert.Assert(t, highest <= 300, "threshold %d sheds too little", highest)

	ticks := 0
	for s.controller.Threshold() != shed.None && ticks < 100 {
		s.tick(1)
		ticks++
	}
	assert.Assert(t, ticks <= 5, "recovery took %d ticks", ticks)
}

// overloaded returns the state of a target with a long queue.
func overloaded(served uint64) shed.State {
	return shed.State{InFlight: 10, Limit: 10, Queued: 20, Overloaded: true, Served: served}
}

func TestOverloadNeverRefusesBelowFloor(t *testing.T) {
	for _, floor := range []uint16{0, 1, 300} {
		controller := shed.NewController(shed.Config{Floor: floor})
		want := floor
		if floor == 0 {
			want = shed.DefaultFloor
		}
		for i := range 500 {
			for key := range uint16(criticality.RankCount) {
				controller.Observe(criticality.RankOf(key))
			}
			controller.Tick(epoch.Add(time.Duration(i)*tick), overloaded(uint64(i)))
		}
		assert.Equal(t, controller.Threshold(), want)
		assert.Assert(t, !controller.Refuses(criticality.Rank{}))
		assert.Assert(t, controller.Refuses(criticality.Lowest))
	}
}

func TestOverloadBeforeMeasurementShedsOnlyLowestRank(t *testing.T) {
	controller := shed.NewController(shed.Config{})
	controller.Tick(epoch, overloaded(0))
	assert.Equal(t, controller.Threshold(), shed.None-1)
}

func TestSingleCallerIsShedAndReadmitted(t *testing.T) {
	controller := shed.NewController(shed.Config{})
	rank := criticality.Rank{Level: criticality.Sheddable, Cohort: 17}
	for i := range 5 {
		controller.Observe(rank)
		controller.Tick(epoch.Add(time.Duration(i)*tick), overloaded(uint64(i)))
	}
	assert.Assert(t, controller.Refuses(rank))
	for i := range 3 {
		controller.Tick(epoch.Add(time.Duration(5+i)*tick), shed.State{Limit: 10, Served: 5})
	}
	assert.Equal(t, controller.Threshold(), shed.None)
}

func TestThresholdMovesInTheRightDirection(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		controller := shed.NewController(shed.Config{})
		now := epoch
		var state shed.State
		for range rapid.IntRange(1, 60).Draw(r, "ticks") {
			for range rapid.IntRange(0, 50).Draw(r, "arrivals") {
				controller.Observe(criticality.RankOf(rapid.Uint16Range(0, criticality.RankCount-1).Draw(r, "key")))
			}
			before := controller.Threshold()
			state.Limit = rapid.IntRange(1, 20).Draw(r, "limit")
			state.InFlight = rapid.IntRange(0, state.Limit).Draw(r, "in flight")
			state.Queued = 0
			if state.InFlight == state.Limit {
				state.Queued = rapid.IntRange(0, 50).Draw(r, "queued")
			}
			state.Overloaded = state.Queued > 0 && rapid.Bool().Draw(r, "overloaded")
			state.Served += rapid.Uint64Range(0, 20).Draw(r, "served")
			now = now.Add(tick)
			controller.Tick(now, state)
			after := controller.Threshold()
			spare := 10*state.InFlight < 8*state.Limit
			switch {
			case after < shed.DefaultFloor:
				r.Fatalf("the threshold fell to %d, below the floor", after)
			case before == shed.None && !state.Overloaded && after != before:
				r.Fatalf("threshold set to %d without overload", after)
			case before == shed.None && state.Overloaded && after == before:
				r.Fatalf("overload left the threshold at %d", after)
			case before < shed.None && spare && after <= before:
				r.Fatalf("the threshold went from %d to %d in spite of spare capacity", before, after)
			case before < shed.None && !spare && after == shed.None:
				r.Fatalf("shedding ended although utilization is high")
			}
		}
	})
}

func entry(target string, threshold uint16, version uint64) shed.Entry {
	return shed.Entry{Service: "logs", Target: target, Origin: "home", Threshold: threshold, Version: version}
}

func TestTableRefusesOnlyWhatMostTargetsRefuse(t *testing.T) {
	tests := []struct {
		name       string
		thresholds []uint16
		weights    []float64
		want       uint16
	}{
		{"no reports", nil, nil, shed.None},
		{"one of four targets sheds", []uint16{200, shed.None, shed.None, shed.None}, nil, shed.None},
		{"three of four targets shed", []uint16{200, 250, 300, shed.None}, nil, 300},
		{"all targets shed", []uint16{200, 250, 300, 400}, nil, 300},
		{"the only target sheds", []uint16{200}, nil, 200},
		{"the target with the larger weight sheds", []uint16{200, shed.None}, []float64{30, 10}, 200},
		{"the target with the smaller weight sheds", []uint16{200, shed.None}, []float64{10, 30}, shed.None},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := shed.NewTable(shed.TableConfig{})
			for i, threshold := range test.thresholds {
				e := entry(fmt.Sprint("target", i), threshold, 1)
				if test.weights != nil {
					e.Weight = test.weights[i]
				}
				assert.Assert(t, table.Update(e, epoch))
			}
			assert.Equal(t, table.Threshold("logs", epoch), test.want)
		})
	}
}

func TestTableMergesByVersionAndOrigin(t *testing.T) {
	table := shed.NewTable(shed.TableConfig{})
	assert.Assert(t, table.Update(entry("a", 300, 5), epoch))
	assert.Assert(t, !table.Update(entry("a", 200, 4), epoch), "older")
	assert.Assert(t, !table.Update(entry("a", 200, 5), epoch), "repeated")
	assert.Equal(t, table.Threshold("logs", epoch), uint16(300))
	moved := entry("a", 250, 5)
	moved.Origin = "home2"
	assert.Assert(t, table.Update(moved, epoch))
	assert.Assert(t, table.Update(entry("a", shed.None, 6), epoch))
	assert.Assert(t, !table.Refuses("logs", criticality.Lowest, epoch))
}

func TestTableExpiresReportsOfFailedHome(t *testing.T) {
	table := shed.NewTable(shed.TableConfig{})
	relayed := entry("a", 200, 1)
	relayed.Age = time.Second
	assert.Assert(t, table.Update(relayed, epoch))
	assert.Assert(t, table.Refuses("logs", criticality.Lowest, epoch.Add(1900*time.Millisecond)))
	assert.Equal(t, table.Entries(epoch.Add(time.Second))[0].Age, 2*time.Second)
	assert.Assert(t, !table.Update(relayed, epoch.Add(time.Second)), "a duplicate must not extend the expiry")
	assert.Assert(t, !table.Refuses("logs", criticality.Lowest, epoch.Add(2*time.Second)))
	relayed.Age = 3 * time.Second
	assert.Assert(t, !table.Update(relayed, epoch.Add(2*time.Second)), "a relayed report must not revive an expired entry")
	assert.Equal(t, len(table.Entries(epoch.Add(2*time.Second))), 0)
}

func TestTableBoundAndRemove(t *testing.T) {
	table := shed.NewTable(shed.TableConfig{MaxEntries: 2})
	assert.Assert(t, table.Update(entry("a", 200, 1), epoch))
	assert.Assert(t, table.Update(entry("b", 200, 1), epoch))
	assert.Assert(t, !table.Update(entry("c", 200, 1), epoch))
	table.Remove("logs", "a")
	assert.Assert(t, table.Update(entry("c", 200, 1), epoch))
	assert.Equal(t, len(table.Entries(epoch)), 2)
}

func TestTableCountsSilentTargetsAsAccepting(t *testing.T) {
	table := shed.NewTable(shed.TableConfig{})
	assert.Assert(t, table.Update(entry("a", 200, 1), epoch))
	table.SetWeight("logs", 2)
	assert.Equal(t, table.Threshold("logs", epoch), shed.None)
	assert.Assert(t, table.Update(entry("b", 300, 1), epoch))
	assert.Equal(t, table.Threshold("logs", epoch), uint16(300))
	table.SetWeight("logs", 0)
	table.Remove("logs", "b")
	assert.Equal(t, table.Threshold("logs", epoch), uint16(200))
}

func TestTableIsMonotone(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table := shed.NewTable(shed.TableConfig{})
		for i := range rapid.IntRange(0, 6).Draw(r, "targets") {
			e := entry(fmt.Sprint(i), rapid.Uint16Range(0, shed.None).Draw(r, "threshold"), 1)
			e.Weight = rapid.Float64Range(0.1, 50).Draw(r, "weight")
			table.Update(e, epoch)
		}
		refused := false
		for key := range uint16(criticality.RankCount) {
			now := table.Refuses("logs", criticality.RankOf(key), epoch)
			if refused && !now {
				r.Fatalf("key %d is admitted although a more important one is refused", key)
			}
			refused = now
		}
	})
}

func BenchmarkTableRefuses(b *testing.B) {
	table := shed.NewTable(shed.TableConfig{})
	table.Update(entry("a", 200, 1), epoch)
	b.ReportAllocs()
	for b.Loop() {
		table.Refuses("logs", criticality.Lowest, epoch)
	}
}
