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

// TestServiceWithoutRoomRefusesWhereRequestsEnter guards against requests that are started although a
// service at the end of their chain has no room, and against refusals of nested calls and of requests
// that don't need the service.
func TestServiceWithoutRoomRefusesWhereRequestsEnter(t *testing.T) {
	f := newFixture(t, func(ctx context.Context, call *peering.Call) *peering.Reply {
		reply := replyOK(ctx, call)
		if call.Route == "read" && call.WantCost {
			reply.Costs = []downstream.Cost{{Service: "s", Calls: 1, Share: 1}, {Service: "last", Calls: 8, Share: 1}}
			reply.Shortages = []shortage.Report{{Service: "last", Home: "10.0.0.1:1", Threshold: 0, Weight: 8}}
		}
		return reply
	})
	f.forwarder.shortages = shortage.New("caller", "here", time.Now)
	f.forwarder.shortages.SetHomes("last", 10)
	f.forwarder.costs = downstream.New("caller", time.Now)
	assert.Equal(t, f.do("GET", "/read/x", "a", "").Code, http.StatusOK)
	refused := f.do("GET", "/read/x", "b", "")
	assert.Equal(t, refused.Code, http.StatusServiceUnavailable)
	assert.Assert(t, strings.Contains(refused.Body.String(), "service last has no room: rank "), refused.Body.String())
	assert.Equal(t, f.do("GET", "/read/x", "running.1", "").Code, http.StatusOK, "nested calls are always admitted")
	assert.Equal(t, f.do("GET", "/once/x", "c", "").Code, http.StatusOK, "the route is not known to need the service")
	f.forwarder.shortages.SetHomes("last", 100)
	assert.Equal(t, f.do("GET", "/read/x", "d", "").Code, http.StatusOK, "most of the weight accepts")
}

// TestSplitRoutesAreRefusedOnlyIfAllServicesAre guards against refusals of requests that another service
// of their route could serve, or may be able to.
func TestSplitRoutesAreRefusedOnlyIfAllServicesAre(t *testing.T) {
	f := newFixture(t, replyOK)
	f.forwarder.shortages = shortage.New("caller", "here", time.Now)
	f.forwarder.costs = downstream.New("caller", time.Now)
	for service, threshold := range map[string]uint16{"x": 100, "y": 200} {
		f.forwarder.shortages.SetHomes(service, 10)
		f.forwarder.shortages.Merge([]shortage.Report{{Service: service, Home: service, Threshold: threshold, Weight: 10}})
	}
	f.forwarder.costs.Merge("r", "x", []downstream.Cost{{Service: "x", Calls: 1, Share: 1}, {Service: "y", Calls: 1, Share: 1}})
	route := &routetable.Route{Name: "r", Services: []routetable.WeightedService{{Name: "x", Weight: 1}, {Name: "y", Weight: 1}, {Name: "z"}}}
	assert.Equal(t, f.forwarder.admissionLimitOf(route).threshold, shed.None, "nothing is known of y")
	f.forwarder.costs.Merge("r", "y", []downstream.Cost{{Service: "y", Calls: 1, Share: 1}})
	assert.Equal(t, f.forwarder.admissionLimitOf(route), admissionLimit{200, "y"})
}

// TestOlderRouteThresholdIsReplaced guards against thresholds of routes that hold on to a shortage after its
// end, and against dropping them where homes don't report, or derive them from other things.
func TestOlderRouteThresholdIsReplaced(t *testing.T) {
	f := newFixture(t, replyOK)
	f.forwarder.costs = downstream.New("caller", time.Now)
	f.levels.Report("r", "home", pressure.Level{Threshold: 50}, 10)
	route := &routetable.Route{Name: "r", Services: []routetable.WeightedService{{Name: "x", Weight: 1}}}
	cost := downstream.Cost{Service: "x", Calls: 1, Share: 1}
	for _, step := range []struct {
		slotTime time.Duration
		weight   int
		always   bool
		limit    uint16
	}{{time.Millisecond, 7, false, 50}, {0, 8, false, 50}, {time.Millisecond, 8, true, 50}, {time.Millisecond, 8, false, shed.None}} {
		cost.SlotTime = step.slotTime
		f.forwarder.costs.Merge("r", "x", []downstream.Cost{cost})
		f.forwarder.shortages = shortage.New("caller", "here", time.Now)
		f.forwarder.shortages.SetHomes("x", 10)
		f.forwarder.shortages.Merge([]shortage.Report{{Service: "x", Home: "h", Threshold: shed.None, Weight: step.weight}})
		f.forwarder.config.RouteThresholds = step.always
		assert.Equal(t, f.forwarder.admissionLimitOf(route).threshold, step.limit, "%+v", step)
	}
}
