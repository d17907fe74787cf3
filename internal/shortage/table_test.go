package shortage

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/shed"
)

// newTables returns tables of the homes of a service with 10 slots each, and their clock.
func newTables(count int) (tables []*Table, at *time.Time) {
	at = new(time.Time)
	*at = time.Unix(1000, 0)
	for i := range count {
		tables = append(tables, New("s", strconv.Itoa(i), func() time.Time { return *at }))
		tables[i].SetHomes("s", count*10)
	}
	return tables, at
}

// TestCirculatingCopiesExpire guards against reports that stay valid because the time in transit is not
// counted: copies appear newer with each node that relays them.
func TestCirculatingCopiesExpire(t *testing.T) {
	tables, at := newTables(10)
	random := rand.New(rand.NewPCG(1, 1))
	for _, table := range tables {
		table.SetLocal(300, 10)
	}
	for end := at.Add(MaxAge + 2*minNewer); at.Before(end); {
		var sent [][]Report
		for _, table := range tables {
			sent = append(sent, table.Append(nil))
		}
		*at = at.Add(2 * time.Millisecond)
		for _, table := range tables {
			table.Merge(sent[random.IntN(len(sent))])
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
	tables[1].SetLocal(300, 10)
	for _, threshold := range []uint16{400, shed.None} {
		*at = at.Add(100 * time.Millisecond)
		tables[0].SetLocal(threshold, 10)
		tables[1].Merge(tables[0].Append(nil))
		assert.Equal(t, tables[1].Threshold("s"), threshold)
	}
	*at = at.Add(MaxAge)
	tables[0].SetLocal(shed.None, 10)
	assert.Assert(t, !tables[0].Active(), "no report is created once the shortage has been over for long enough")
}

// TestHomesWithoutReportAccept guards against thresholds derived from a few homes, or from homes that the
// directory no longer lists.
func TestHomesWithoutReportAccept(t *testing.T) {
	tables, _ := newTables(4)
	for i := range 2 {
		tables[i].SetLocal(300, 10)
		tables[3].Merge(tables[i].Append(nil))
	}
	for _, step := range []struct {
		weight    int
		threshold uint16
	}{{40, shed.None}, {20, 300}, {0, shed.None}} {
		tables[3].SetHomes("s", step.weight)
		assert.Equal(t, tables[3].Threshold("s"), step.threshold)
	}
	tables[3].Merge([]Report{{Service: "s", Home: "5", Threshold: 200, Weight: 10}})
	assert.Equal(t, tables[3].Counts().Ignored, uint64(1))
}

// TestReportsAreBoundedAndOrdered guards against unbounded state and replies, and against replies that
// leave out the home's own report.
func TestReportsAreBoundedAndOrdered(t *testing.T) {
	tables, at := newTables(1)
	tables[0].SetLocal(300, 10)
	for i := range 3 * maxHomes {
		tables[0].Merge([]Report{{Service: "s", Home: strconv.Itoa(i + 1), Threshold: 300, Weight: 1, Age: time.Duration(maxHomes-i%maxHomes) * time.Millisecond / 4}})
	}
	assert.Equal(t, len(tables[0].reports), maxHomes)
	reports := tables[0].Append(nil)
	assert.Equal(t, len(reports), MaxReports)
	for i, home := range []string{"0", "1023", "1022", "1021"} {
		assert.Equal(t, reports[i].Home, home)
	}
	*at = at.Add(MaxAge)
	tables[0].SetLocal(shed.None, 10)
	assert.Equal(t, len(tables[0].reports), 0)
}

// TestNoShortageCostsNothing guards against allocations on the path of replies without shortage.
func TestNoShortageCostsNothing(t *testing.T) {
	tables, _ := newTables(1)
	for _, table := range []*Table{nil, tables[0]} {
		assert.Equal(t, testing.AllocsPerRun(100, func() { table.Merge(table.Append(nil)); table.SetLocal(shed.None, 10) }), 0.0)
	}
}

// TestNotableChangesAreLimited guards against a log line for each small change of a threshold.
func TestNotableChangesAreLimited(t *testing.T) {
	var changes Changes
	for i, threshold := range []uint16{shed.None, 510, 300, 300, 310, shed.None, shed.None} {
		at := time.Unix(0, 0).Add(time.Duration(i) * minNoteInterval / 2)
		assert.Equal(t, changes.Notable("s", threshold, at), i == 1 || i == 3 || i == 5, "step %d", i)
	}
}
