package test

import (
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lugspur/lugspur/lab/platformstub"
)

// pacedAnswer is the response to one request of a pacedLoad.
type pacedAnswer struct {
	node, path string
	status     int
	// sentAt is when the request was sent, duration the time until its response.
	sentAt   time.Time
	duration time.Duration
	// retryAfter is the retry delay of a refused request, in seconds; zero if there is none.
	retryAfter float64
	// rateLimit is the rate limit that the response announces, and leaving whether it
	// announces the target's departure. target is the instance that answered.
	rateLimit, target string
	leaving           bool
}

// pacedLoad sends requests at a constant rate through the nodes in turn.
type pacedLoad struct {
	platform *platform
	stopped  chan struct{}
	group    sync.WaitGroup

	mutex   sync.Mutex
	answers []pacedAnswer
}

// startPacedLoad sends the given number of requests per second, to the paths in turn.
func (p *platform) startPacedLoad(perSecond int, paths ...string) *pacedLoad {
	l := &pacedLoad{platform: p, stopped: make(chan struct{})}
	l.group.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stopped:
				return
			case <-ticker.C:
			}
			l.group.Go(func() { l.send(p.nodes[i%len(p.nodes)], paths[i/len(p.nodes)%len(paths)]) })
		}
	})
	return l
}

func (l *pacedLoad) send(n *platformNode, path string) {
	method := http.MethodGet
	if path == "/once/x" {
		method = http.MethodPost
	}
	request, _ := l.platform.request(n, method, path)
	sentAt := time.Now()
	status, header, _ := doRequest(request)
	retryAfter, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.answers = append(l.answers, pacedAnswer{node: n.name, path: path, status: status, sentAt: sentAt, duration: time.Since(sentAt), retryAfter: retryAfter,
		rateLimit: header.Get("Server-Limit"), target: header.Get("Lugspur-Instance-Id"), leaving: header.Get("Server-Leaving") == "1"})
}

// stop ends the load and returns all answers.
func (l *pacedLoad) stop() []pacedAnswer {
	close(l.stopped)
	l.group.Wait()
	return l.answers
}

// count returns the number of answers that match.
func count(answers []pacedAnswer, matches func(pacedAnswer) bool) int {
	total := 0
	for _, a := range answers {
		if matches(a) {
			total++
		}
	}
	return total
}

func isServed(a pacedAnswer) bool { return a.status == http.StatusOK }

const (
	// limitWindow is the span in which arrivals are counted, limitStart the time from the
	// announcement of a limit until it must be kept.
	limitWindow = 4 * time.Second
	limitStart  = 3 * time.Second
	// limitFactor and limitSlack are the allowed multiple of the limit and the number of
	// requests beyond it in each window.
	limitFactor = 1.5
	limitSlack  = 5
)

// mostInWindow returns the largest number of arrivals in a window that lies between the times.
func mostInWindow(arrivals []platformstub.Arrival, from, to time.Time) int {
	most := 0
	for i, first := range arrivals {
		if first.At.Before(from) || first.At.Add(limitWindow).After(to) {
			continue
		}
		n := 0
		for _, arrival := range arrivals[i:] {
			if arrival.At.Sub(first.At) < limitWindow {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// assertLimitKept asserts that the target received no more than it allows in any window
// between the times.
func assertLimitKept(t *testing.T, target *platformstub.Target, rate float64, from, to time.Time) {
	t.Helper()
	allowed := int(limitFactor*rate*limitWindow.Seconds()) + limitSlack
	most := mostInWindow(target.Arrivals(), from, to)
	t.Logf("%s with a limit of %v/s received %d in %s, allowed %d", target.ID, rate, most, limitWindow, allowed)
	assert.Check(t, most <= allowed, "%s with a limit of %v/s received %d in %s, allowed %d", target.ID, rate, most, limitWindow, allowed)
}

// announce sets the target's rate limit for the duration and returns the times between which
// it must be kept.
func announce(target *platformstub.Target, limit string, duration time.Duration) (from, to time.Time) {
	target.AnnounceRateLimit(limit)
	from = time.Now().Add(limitStart)
	time.Sleep(duration)
	return from, time.Now()
}

// sixNodes are the zones of a platform with six nodes.
var sixNodes = []string{"west", "west", "west", "east", "east", "east"}

func TestPlatformTargetRateLimitIsKept(t *testing.T) {
	p := startPlatform(t, sixNodes...)
	limited := p.target(0)
	load := p.startPacedLoad(120, "/read/x", "/once/x")
	time.Sleep(time.Second)
	from, to := announce(limited, "6.8", 9*time.Second)
	assertLimitKept(t, limited, 6.8, from, to)
	from, to = announce(limited, "3.6", 9*time.Second)
	assertLimitKept(t, limited, 3.6, from, to)
	limited.AnnounceRateLimit()
	time.Sleep(2 * time.Second)
	arrivals := limited.Arrivals()
	time.Sleep(2 * time.Second)
	assert.Check(t, len(limited.Arrivals())-len(arrivals) > 20, "the limit is not lifted")
	answers := load.stop()
	assert.Equal(t, count(answers, isServed), len(answers), "targets without a limit had room for all requests")
}

func TestPlatformRateLimitsOfAllTargetsAreUsed(t *testing.T) {
	const (
		rate     = 10.0
		duration = 12 * time.Second
		// minUsed is the least share of all limits that must be used.
		minUsed = 0.8
		// maxRefusalTime bounds the time until a request is refused.
		maxRefusalTime = 100 * time.Millisecond
	)
	p := startPlatform(t, sixNodes...)
	load := p.startPacedLoad(120, "/read/x", "/once/x")
	time.Sleep(time.Second)
	for i := range p.nodes {
		p.target(i).AnnounceRateLimit("10")
	}
	from := time.Now().Add(limitStart)
	time.Sleep(duration)
	to := time.Now()
	answers := load.stop()
	for i := range p.nodes {
		assertLimitKept(t, p.target(i), rate, from, to)
	}
	steady := func(a pacedAnswer) bool { return a.sentAt.After(from) && a.sentAt.Before(to) }
	served := count(answers, func(a pacedAnswer) bool { return steady(a) && isServed(a) })
	used := float64(served) / (rate * float64(len(p.nodes)) * to.Sub(from).Seconds())
	servedShare := func(path string) float64 {
		total := count(answers, func(a pacedAnswer) bool { return steady(a) && a.path == path })
		return float64(count(answers, func(a pacedAnswer) bool { return steady(a) && a.path == path && isServed(a) })) / float64(total)
	}
	t.Logf("%.2f of the limits used, %.2f of the urgent and %.2f of the other requests served", used, servedShare("/once/x"), servedShare("/read/x"))
	assert.Check(t, used >= minUsed, "%.2f", used)
	assert.Check(t, servedShare("/once/x") > servedShare("/read/x"))
	for _, a := range answers {
		if steady(a) && !isServed(a) {
			assert.Check(t, a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests, "%d", a.status)
			assert.Check(t, a.retryAfter > 0, "no retry delay")
			assert.Check(t, a.duration < maxRefusalTime, "refused after %s", a.duration)
		}
	}
}

func TestPlatformRateLimitOutlastsRestartOfItsHome(t *testing.T) {
	const rate = 3.6
	p := startPlatform(t, sixNodes...)
	load := p.startPacedLoad(120, "/read/x", "/once/x")
	p.target(0).AnnounceRateLimit("3.6")
	from := time.Now().Add(limitStart)
	time.Sleep(4 * time.Second)
	for range 2 {
		assert.NilError(t, p.nodes[0].process.Process.Kill())
		<-p.nodes[0].exited
		p.start(p.nodes[0])
		p.awaitReady(p.nodes[0])
		time.Sleep(4 * time.Second)
	}
	to := time.Now()
	load.stop()
	assertLimitKept(t, p.target(0), rate, from, to)
}

func TestPlatformMalformedRateLimitChangesNothing(t *testing.T) {
	const rate = 5.0
	p := startPlatform(t, "west", "west", "east")
	load := p.startPacedLoad(90, "/read/x")
	p.target(0).AnnounceRateLimit("5")
	from := time.Now().Add(limitStart)
	time.Sleep(time.Second)
	for _, malformed := range [][]string{{""}, {"-1"}, {"NaN"}, {"Inf"}, {"1e400"}, {"many"}, {"8", "x"}, {"0x5"}} {
		p.target(0).AnnounceRateLimit(malformed...)
		time.Sleep(time.Second)
	}
	to := time.Now()
	answers := load.stop()
	assertLimitKept(t, p.target(0), rate, from, to)
	assert.Equal(t, count(answers, isServed), len(answers))
}
