package shed_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/shed"
)

const tick = 100 * time.Millisecond

var epoch = time.Unix(1000, 0)

// service simulates arrivals spread over all ranks at a target that carries
// capacity calls a tick; what the threshold refuses never arrives.
type service struct {
	controller *shed.Controller
	now        time.Time
	capacity   float64
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
	utilization := float64(admitted) / s.capacity
	s.now = s.now.Add(tick)
	s.controller.Tick(s.now, utilization > 1, utilization)
}

func TestThresholdSettlesAtCapacityAndRecoversFast(t *testing.T) {
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
	assert.Assert(t, lowest >= 220, "shed too much: %d", lowest)
	assert.Assert(t, highest <= 300, "shed too little: %d", highest)

	ticks := 0
	for s.controller.Threshold() != shed.None && ticks < 100 {
		s.tick(1)
		ticks++
	}
	assert.Assert(t, ticks <= 5, "recovery took %d ticks", ticks)
}

func TestOverloadNeverRefusesAboveTheFloor(t *testing.T) {
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
			controller.Tick(epoch.Add(time.Duration(i)*tick), true, 3)
		}
		assert.Equal(t, controller.Threshold(), want)
		assert.Assert(t, !controller.Refuses(criticality.Rank{}))
		assert.Assert(t, controller.Refuses(criticality.Lowest))
	}
}

func TestFewCallersAreStillCutAndReleased(t *testing.T) {
	controller := shed.NewController(shed.Config{})
	only := criticality.Rank{Level: criticality.Sheddable, Cohort: 17}
	for i := range 5 {
		controller.Observe(only)
		controller.Tick(epoch.Add(time.Duration(i)*tick), true, 2)
	}
	assert.Assert(t, controller.Refuses(only))
	for i := range 3 {
		controller.Tick(epoch.Add(time.Duration(5+i)*tick), false, 0)
	}
	assert.Equal(t, controller.Threshold(), shed.None)
}

func TestThresholdMovesTheRightWay(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		controller := shed.NewController(shed.Config{})
		now := epoch
		for range rapid.IntRange(1, 60).Draw(r, "ticks") {
			for range rapid.IntRange(0, 50).Draw(r, "arrivals") {
				controller.Observe(criticality.RankOf(rapid.Uint16Range(0, criticality.RankCount-1).Draw(r, "key")))
			}
			before := controller.Threshold()
			overloaded := rapid.Bool().Draw(r, "overloaded")
			now = now.Add(tick)
			controller.Tick(now, overloaded, rapid.Float64Range(0, 3).Draw(r, "utilization"))
			after := controller.Threshold()
			if overloaded && after > before || !overloaded && after < before {
				r.Fatalf("overloaded %t moved the threshold from %d to %d", overloaded, before, after)
			}
			if !overloaded && before < shed.None && after == before {
				r.Fatalf("the threshold stuck at %d without overload", before)
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
		{"nothing known", nil, nil, shed.None},
		{"one of four sheds", []uint16{200, shed.None, shed.None, shed.None}, nil, shed.None},
		{"three of four shed", []uint16{200, 250, 300, shed.None}, nil, 300},
		{"all shed", []uint16{200, 250, 300, 400}, nil, 300},
		{"the only one sheds", []uint16{200}, nil, 200},
		{"the heavy one sheds", []uint16{200, shed.None}, []float64{30, 10}, 200},
		{"the light one sheds", []uint16{200, shed.None}, []float64{10, 30}, shed.None},
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

func TestTableForgetsADeadHome(t *testing.T) {
	table := shed.NewTable(shed.TableConfig{})
	relayed := entry("a", 200, 1)
	relayed.Age = time.Second
	assert.Assert(t, table.Update(relayed, epoch))
	assert.Assert(t, table.Refuses("logs", criticality.Lowest, epoch.Add(1900*time.Millisecond)))
	assert.Equal(t, table.Entries(epoch.Add(time.Second))[0].Age, 2*time.Second)
	assert.Assert(t, !table.Update(relayed, epoch.Add(time.Second)), "a repeat must not extend the expiry")
	assert.Assert(t, !table.Refuses("logs", criticality.Lowest, epoch.Add(2*time.Second)))
	relayed.Age = 3 * time.Second
	assert.Assert(t, !table.Update(relayed, epoch.Add(2*time.Second)), "gossip must not revive it")
	assert.Equal(t, len(table.Entries(epoch.Add(2*time.Second))), 0)
}

func TestTableIsBoundedAndRemoves(t *testing.T) {
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
				r.Fatalf("key %d passes although a more important one is refused", key)
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
