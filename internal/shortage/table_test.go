package shortage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// newTables returns tables of the homes of a service with 10 slots each, and their clock.
func newTables(count int) ([]*Table, *time.Time) {
	at := time.Unix(1000, 0)
	var tables []*Table
	for i := range count {
		table := New("s", fmt.Sprint(i), func() time.Time { return at })
		table.SetHomes("s", count*10)
		tables = append(tables, table)
	}
	return tables, &at
}

// TestCirculatingCopiesExpire guards against reports that stay valid because the time in transit is not
// counted: copies appear newer with each node that relays them.
func TestCirculatingCopiesExpire(t *testing.T) {
	tables, at := newTables(10)
	random := rand.New(rand.NewPCG(1, 1))
	for _, table := range tables {
		table.SetLocal(300, 10)
	}
	for began := *at; at.Sub(began) < MaxAge+minNewer; {
		for range 20 {
			reports := tables[random.IntN(10)].Append(nil)
			*at = at.Add(time.Millisecond)
			tables[random.IntN(10)].Merge(reports)
		}
	}
	for _, table := range tables {
		assert.Equal(t, table.Threshold("s"), shed.None)
		assert.Equal(t, len(table.Append(nil)), 0)
	}
}

// TestEndIsReported guards against thresholds that remain in force until the reports expire.
func TestEndIsReported(t *testing.T) {
	tables, at := newTables(2)
	exchange := func() { tables[1].Merge(tables[0].Append(nil)) }
	tables[1].SetLocal(300, 10)
	tables[0].SetLocal(400, 10)
	exchange()
	assert.Equal(t, tables[1].Threshold("s"), uint16(400))
	*at = at.Add(100 * time.Millisecond)
	tables[0].SetLocal(shed.None, 10)
	exchange()
	assert.Equal(t, tables[1].Threshold("s"), shed.None)
	*at = at.Add(MaxAge)
	tables[0].SetLocal(shed.None, 10)
	assert.Assert(t, !tables[0].Active(), "no report is created once the shortage has been over for long enough")
}

// TestHomesWithoutReportAccept guards against thresholds derived from a few homes, and follows the
// directory when homes are lost.
func TestHomesWithoutReportAccept(t *testing.T) {
	tables, _ := newTables(4)
	for i := range 2 {
		tables[i].SetLocal(300, 10)
		tables[3].Merge(tables[i].Append(nil))
	}
	assert.Equal(t, tables[3].Threshold("s"), shed.None)
	tables[3].SetHomes("s", 20)
	assert.Equal(t, tables[3].Threshold("s"), uint16(300))
	tables[3].SetHomes("s", 0)
	assert.Equal(t, tables[3].Threshold("s"), shed.None)
	tables[3].Merge([]Report{{Service: "s", Home: "5", Threshold: 200, Weight: 10}})
	assert.Equal(t, tables[3].Counts().Ignored, uint64(1))
}

// TestReportsAreBoundedAndOrdered guards against unbounded state and replies, and against replies that
// leave out the home's own report.
func TestReportsAreBoundedAndOrdered(t *testing.T) {
	tables, at := newTables(1)
	tables[0].SetLocal(300, 10)
	for i := range 3 * maxHomes {
		tables[0].Merge([]Report{{Service: "s", Home: fmt.Sprint("h", i), Threshold: 300, Weight: 1, Age: time.Duration(maxHomes-i%maxHomes) * time.Millisecond / 4}})
	}
	assert.Equal(t, len(tables[0].reports), maxHomes)
	*at = at.Add(time.Millisecond)
	var homes []string
	for _, r := range tables[0].Append(nil) {
		homes = append(homes, r.Home)
	}
	assert.DeepEqual(t, homes, []string{"0", "h1022", "h1021", "h1020"})
	*at = at.Add(MaxAge)
	tables[0].SetLocal(shed.None, 10)
	assert.Equal(t, len(tables[0].reports), 0)
}

// TestNoShortageCostsNothing guards against allocations on the path of replies without shortage.
func TestNoShortageCostsNothing(t *testing.T) {
	tables, _ := newTables(1)
	for _, table := range []*Table{nil, tables[0]} {
		assert.Equal(t, testing.AllocsPerRun(100, func() {
			table.Merge(table.Append(nil))
			table.SetLocal(shed.None, 10)
		}), 0.0)
	}
}

// TestNotableChangesAreLimited guards against a log line for each small change of a threshold.
func TestNotableChangesAreLimited(t *testing.T) {
	var changes Changes
	at := time.Unix(1000, 0)
	for i, step := range []struct {
		after     time.Duration
		threshold uint16
		notable   bool
	}{{0, shed.None, false}, {0, 510, true}, {500 * time.Millisecond, 300, false}, {500 * time.Millisecond, 300, true},
		{time.Second, 310, false}, {time.Second, shed.None, true}, {time.Second, shed.None, false}} {
		at = at.Add(step.after)
		assert.Equal(t, changes.Notable("s", step.threshold, at), step.notable, "step %d", i)
	}
}
