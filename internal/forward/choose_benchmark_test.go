package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/lugspur/lugspur/internal/pace"
	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/routetable"
)

// BenchmarkChoose measures a choice among several numbers of homes: the average number per
// service in a deployment of the design size, and larger ones, and one by pace.
func BenchmarkChoose(b *testing.B) {
	for _, c := range []struct {
		name           string
		homes          int
		percentOfUsual int
	}{{"4", 4, 0}, {"35", 35, 0}, {"200", 200, 0}, {"35-by-pace", 35, 150}} {
		b.Run(c.name, func(b *testing.B) {
			homes := c.homes
			addresses := make([]string, homes)
			for i := range addresses {
				addresses[i] = fmt.Sprintf("10.0.%d.%d:8300", i/250, i%250)
			}
			f := &Forwarder{config: Config{Zone: "z"}, now: time.Now, directory: directoryOf(b, addresses)}
			route := &routetable.Route{Name: "read", Kind: routetable.AtMostOnce}
			now := time.Now()
			for i, address := range addresses {
				load := peering.Load{Limit: 10, InFlight: i % 10, Latency: time.Duration(i%7+1) * time.Millisecond, ErrorPercent: i % 3, Pace: pace.Reading{Percent: c.percentOfUsual}}
				f.homes.state(address).recordLoad(route.Name, load, time.Millisecond, now)
			}
			q := &request{route: route, service: "s", deadline: now.Add(time.Hour)}
			b.ReportAllocs()
			for b.Loop() {
				f.choose(q)
			}
		})
	}
}
