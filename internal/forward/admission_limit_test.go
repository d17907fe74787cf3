package forward

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/downstream"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/routetable"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/shortage"
)

// newShortageFixture returns a fixture with thresholds by service. Services x and y have ten slots each.
func newShortageFixture(t *testing.T, reply func(context.Context, *peering.Call) *peering.Reply) *fixture {
	f := newFixture(t, reply)
	f.forwarder.shortages, f.forwarder.costs = shortage.New("caller", "here", time.Now), downstream.New("caller", time.Now)
	f.forwarder.shortages.SetHomes("x", 10)
	f.forwarder.shortages.SetHomes("y", 10)
	return f
}

// TestServiceWithoutRoomRefusesWhereRequestsEnter guards against requests that are started although a
// service at the end of their chain has no room, and against refusals of nested calls and of requests
// that don't need the service.
func TestServiceWithoutRoomRefusesWhereRequestsEnter(t *testing.T) {
	f := newShortageFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := replyOK(ctx, call)
		if call.Route == "read" && call.WantCost {
			reply.Costs = []downstream.Cost{{Service: "s", Calls: 1, Share: 1}, {Service: "x", Calls: 8, Share: 1}}
			reply.Shortages = []shortage.Report{{Service: "x", Home: "10.0.0.1:1", Threshold: 0, Weight: 8}}
		}
		return reply
	})
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusOK)
	refused := f.do("GET", "/read/x", "b", "")
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(refused.Body.String(), "service x has no room: rank "), refused.Body.String())
	assert.Equal(t, f.do("GET", "/read/x", "running.1", "").Code, http.StatusOK, "nested calls are always admitted")
	assert.Equal(t, f.do("GET", "/once/x", "c", "").Code, http.StatusOK, "the route is not known to need the service")
	f.forwarder.shortages.SetHomes("x", 100)
	assert.Equal(t, f.do("GET", "/read/x", "d", "").Code, http.StatusOK, "most of the weight accepts")
}

// TestLimitOfRoute guards against refusals of requests of a split route that another service could serve,
// against thresholds of routes that hold on to a shortage after its end, and against dropping them where
// homes don't report.
func TestLimitOfRoute(t *testing.T) {
	never, x, y := shed.None, admissionLimit{100, "x"}, admissionLimit{200, "y"}
	for _, c := range []struct {
		name string
		// route is the threshold of the route, weight that of the reports.
		route    uint16
		weight   int
		slotTime time.Duration
		yKnown   bool
		limit    admissionLimit
	}{
		{"nothing is known of y", never, 10, 1, false, admissionLimit{threshold: never}},
		{"both services refuse", never, 10, 1, true, y},
		{"the route refuses more, but is older", 150, 10, 1, true, y},
		{"a home does not report what lies behind it", 150, 10, 0, true, admissionLimit{threshold: 150}},
		{"too few homes report", 150, 7, 1, true, admissionLimit{threshold: 150}},
	} {
		f := newShortageFixture(t, replyOK)
		f.levels.Report("r", "home", pressure.Level{Threshold: c.route}, 10)
		for _, limit := range []admissionLimit{x, y} {
			f.forwarder.shortages.Merge([]shortage.Report{{Service: limit.service, Home: limit.service, Threshold: limit.threshold, Weight: c.weight}})
			if limit == x || c.yKnown {
				f.forwarder.costs.Merge("r", limit.service, []downstream.Cost{{Service: limit.service, Calls: 1, Share: 1, SlotTime: c.slotTime}})
			}
		}
		route := &routetable.Route{Name: "r", Services: []routetable.WeightedService{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}, {Name: "z"}}}
		assert.Equal(t, f.forwarder.admissionLimitOf(route), c.limit, c.name)
	}
}

// TestPartOfHomesReports guards against dropping the threshold of a route that needs two services, one of
// which has homes of the previous build.
func TestPartOfHomesReports(t *testing.T) {
	f := newShortageFixture(t, replyOK)
	f.levels.Report("r", "home", pressure.Level{Threshold: 150}, 10)
	f.forwarder.costs.Merge("r", "x", []downstream.Cost{{Service: "x", Calls: 1, Share: 1, SlotTime: 1}, {Service: "y", Calls: 1, Share: 1, SlotTime: 1}})
	f.forwarder.shortages.Merge([]shortage.Report{{Service: "x", Home: "1", Threshold: shed.None, Weight: 10}, {Service: "y", Home: "2", Threshold: 100, Weight: 5}})
	route := &routetable.Route{Name: "r", Services: []routetable.WeightedService{{Name: "x", Weight: 1}}}
	assert.Equal(t, f.forwarder.admissionLimitOf(route).threshold, uint16(150))
}
