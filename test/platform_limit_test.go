package test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/internal/ratelimit"
)

// The limit of the tenant of these tests, in requests a second and requests, and how many
// times of it callers send.
const (
	limitRate  = 50
	limitBurst = 10
	limitTimes = 8
)

// served is the kind of answers of targets.
const served = "200"

const limitedTenant = `,
 {"resource-type":"tenants","metadata":{"name":"limited"},"spec":{"api-keys":["key-of-limited"],"priority":1,"rate-per-s":50,"burst":10}}`

// answers counts what callers got, by second since the load began.
type answers struct {
	mutex sync.Mutex
	// kinds counts answers by status and, for refusals, by the type that their body tells.
	kinds    map[string]int
	bySecond map[int]int
}

// startLimited starts nodes with a limited tenant.
func startLimited(t *testing.T, zones ...string) *platform {
	p := startPlatform(t, zones...)
	p.write(2, limitedTenant)
	p.awaitVersion(2, p.nodes...)
	return p
}

// sendLimited sends requests of the tenant by all nodes, evenly, for so long.
func (p *platform) sendLimited(length time.Duration) *answers {
	counted := &answers{kinds: make(map[string]int), bySecond: make(map[int]int)}
	begun := time.Now()
	period := time.Second * time.Duration(len(p.nodes)) / (limitRate * limitTimes)
	var group sync.WaitGroup
	for i, n := range p.nodes {
		group.Go(func() {
			ticker := time.NewTicker(period)
			defer ticker.Stop()
			time.Sleep(period * time.Duration(i) / time.Duration(len(p.nodes)))
			for time.Since(begun) < length {
				<-ticker.C
				group.Go(func() { counted.note(p.sendAsTenant(n), time.Since(begun)) })
			}
		})
	}
	group.Wait()
	return counted
}

func (a *answers) note(kind string, at time.Duration) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.kinds[kind]++
	if kind == served {
		a.bySecond[int(at/time.Second)]++
	}
}

// sendAsTenant returns the status, and the type of a refusal.
func (p *platform) sendAsTenant(n *platformNode) string {
	request, _ := p.request(n, http.MethodGet, "/read/x")
	request.Header.Set("X-Api-Key", "key-of-limited")
	status, _, body := answerTo(request)
	if status == http.StatusOK {
		return served
	}
	_, kind, _ := strings.Cut(body, "problem:")
	kind, _, _ = strings.Cut(kind, "\"")
	return fmt.Sprintf("%d %s", status, kind)
}

// awaitShards waits until all shards of limits have a holder.
func (p *platform) awaitShards() {
	p.t.Helper()
	eventually(p.t, 20*time.Second, "all shards have a holder", func() bool {
		held := 0
		for _, n := range p.nodes {
			_, text := p.get(n.metrics + "/metrics")
			for _, line := range strings.Split(text, "\n") {
				if count, found := strings.CutPrefix(line, "lugspur_limit_shards_held "); found {
					number, err := strconv.Atoi(count)
					assert.NilError(p.t, err)
					held += number
				}
			}
		}
		return held == ratelimit.Shards
	})
}

// TestPlatformALimitIsUsed has callers send 8 times the limit of a tenant whose burst fills in
// 0.2 s, by five nodes: on a calm day, and while the store comes back from a copy twice. Before
// shares held more than their part of such a burst, 0.84 of what is due was admitted on a calm
// day.
func TestPlatformALimitIsUsed(t *testing.T) {
	const length = 10 * time.Second
	for name, test := range map[string]struct {
		least   float64
		disturb func(p *platform)
	}{
		"calm":           {0.9, func(*platform) {}},
		"restored twice": {0.85, (*platform).restoreTwice},
	} {
		t.Run(name, func(t *testing.T) {
			p := startLimited(t, "west", "west", "west", "east", "east")
			p.awaitShards()
			var disturbing sync.WaitGroup
			disturbing.Go(func() { test.disturb(p) })
			got := p.sendLimited(length)
			disturbing.Wait()
			admitted := float64(got.kinds[served]) / (limitRate * length.Seconds())
			t.Logf("%.2f of what is due admitted, %v, by second %v", admitted, got.kinds, got.bySecond)
			assert.Assert(t, admitted >= test.least, "%.2f", admitted)
			const window = 5
			for first := range int(length/time.Second) - window + 1 {
				ran := 0
				for second := first; second < first+window; second++ {
					ran += got.bySecond[second]
				}
				assert.Assert(t, float64(ran) <= (limitRate*(window+1)+limitBurst)*1.1+20, "%d within 5 s after second %d", ran, first)
			}
		})
	}
}

// restoreTwice has the store come back twice from copies that are 1 s old.
func (p *platform) restoreTwice() {
	for range 2 {
		copied := p.held.Backup()
		time.Sleep(time.Second)
		p.restore(copied, nil)
		time.Sleep(2 * time.Second)
	}
}
