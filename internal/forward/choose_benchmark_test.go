package forward

import (
	"fmt"
	"testing"
	"time"

	"github.com/lugspur/lugspur/internal/peering"
	"github.com/lugspur/lugspur/internal/routetable"
)

// BenchmarkChoose measures a choice among several numbers of homes: the average number per
// service in a deployment of the design size, and larger ones.
func BenchmarkChoose(b *testing.B) {
	for _, homes := range []int{4, 35, 200} {
		b.Run(fmt.Sprint(homes), func(b *testing.B) {
			addresses := make([]string, homes)
			for i := range addresses {
				addresses[i] = fmt.Sprintf("10.0.%d.%d:8300", i/250, i%250)
			}
			f := &Forwarder{config: Config{Zone: "z"}, now: time.Now, directory: directoryOf(b, addresses)}
			route := &routetable.Route{Name: "read", Kind: routetable.AtMostOnce}
			now := time.Now()
			for i, address := range addresses {
				load := peering.Load{Limit: 10, InFlight: i % 10, Latency: time.Duration(i%7+1) * time.Millisecond, ErrorPercent: i % 3}
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
