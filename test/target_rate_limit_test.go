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
