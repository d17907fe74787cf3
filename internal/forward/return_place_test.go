package forward

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/criticality"
	"github.com/lugspur/lugspur/internal/policy"
	"github.com/lugspur/lugspur/internal/pressure"
	"github.com/lugspur/lugspur/internal/quarantine"
	"github.com/lugspur/lugspur/internal/returnplace"
	"github.com/lugspur/lugspur/internal/routepolicy"
	"github.com/lugspur/lugspur/internal/virtualtime"
)

// TestRefusedRequestReturnsToItsPlace refuses requests whose whole level is shed, after 20 were
// admitted. One returns after the delay that it was told, with a new ID. The place of the next
// follows at half of the admitted rate.
func TestRefusedRequestReturnsToItsPlace(t *testing.T) {
	for _, c := range []struct {
		name, refuse, body, told, next, detail string
		off                                    bool
		status                                 int
	}{
		{name: "on time", told: "0.200", next: "0.400", detail: ", place in 200 ms", status: 200},
		{name: "delay of the policy", refuse: "load.free_in * 2.0", told: "0.400", next: "0.800", detail: ", place in 400 ms", status: 200},
		{name: "refused after the place was spent", body: strings.Repeat("b", 101), told: "0.200", next: "0.400", detail: ", place in 200 ms", status: 413},
		{name: "not expecting shortage", off: true, told: "1.000", next: "1.000", detail: "threshold 0", status: 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Run(t, func(t *testing.T) {
				f := &fixture{levels: pressure.New(time.Now), quarantine: quarantine.New(quarantine.Config{Now: time.Now})}
				f.forwarder = newForwarder(t, f, []string{localAddress})
				f.setPolicies(t, routepolicy.Sources{Repeatable: policy.Source{Refuse: c.refuse}})
				if !c.off {
					f.forwarder.places = returnplace.New(time.Now())
				}
				for i := range 20 {
					assert.Equal(t, f.do("POST", "/read/y", strconv.Itoa(i), "").Code, 200)
				}
				f.levels.Report("read", "home", pressure.Level{Threshold: 0}, 1000)
				refused := f.do("POST", "/read/x", "a", c.body)
				assert.Equal(t, refused.Header().Get("Retry-After"), c.told)
				assert.Equal(t, f.do("POST", "/read/z", "z", "").Header().Get("Retry-After"), c.next)
				assert.Assert(t, strings.Contains(refused.Body.String(), c.detail+`"`), refused.Body.String())
				delay, err := time.ParseDuration(c.told + "s")
				assert.NilError(t, err)
				time.Sleep(delay)
				f.levels.Report("read", "home", pressure.Level{Threshold: 0}, 1000)
				assert.Equal(t, f.do("POST", "/read/x", "b", c.body).Code, c.status)
				assert.Equal(t, f.do("POST", "/read/x", "c", c.body).Code, 503, "the place is spent")
				if calls := f.forwarder.local.(*fakeHome).calls; c.status == 200 {
					assert.Equal(t, calls[len(calls)-1].Rank, criticality.Rank{Level: criticality.SheddablePlus}.Key())
				}
			})
		})
	}
}
