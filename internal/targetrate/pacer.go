package targetrate

import (
	"math"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/criticality"
)

const (
	// MinRate is the rate, in calls per second, at which calls are sent even if the target
	// accepts fewer: only a response can lift the limit.
	MinRate = 0.5
	// baseDepth is the depth in calls of the token bucket of a low limit, and depthTime the
	// time in seconds in which the rest of a deeper bucket is refilled. A bucket that is
	// shallower leaves tokens unused when calls arrive at random.
	baseDepth = 1.5
	depthTime = 0.5
	// reservedShare is the share of the bucket that the least important calls leave to others.
	reservedShare = 0.7
	// MinWait and MaxWait bound the waiting time that is reported to refused calls.
	MinWait = 100 * time.Millisecond
	MaxWait = 5 * time.Second
)

// Pacer admits calls at a rate with a token bucket. The less important a call, the more
// tokens it leaves in the bucket, so that more important calls find some. The zero value has
// no limit and is ready to use. It is safe for concurrent use.
type Pacer struct {
	mutex sync.Mutex
	rate  float64
	// tokens are the calls that may be sent at the time updatedAt.
	tokens    float64
	updatedAt time.Time
	// backlog is, by level, the number of refused calls whose waiting time has not passed yet.
	// Each gets another waiting time, so that they return at the rate of the limit.
	backlog [criticality.LevelCount]float64
	// admitted and refused count calls.
	admitted, refused uint64
}

// Set applies an announcement. A limit begins with an empty bucket, because calls were sent
// before, without a limit or by an earlier process.
func (p *Pacer) Set(announcement Announcement, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !announcement.Limited {
		p.rate, p.backlog = 0, [criticality.LevelCount]float64{}
		return
	}
	p.refill(now)
	if p.rate == 0 {
		p.tokens = 0
	}
	p.rate = max(announcement.Rate, MinRate)
	p.tokens = min(p.tokens, p.depth())
}

// Decision is the result of asking for a token.
type Decision struct {
	Admitted bool
	// Limited reports whether a limit is in force, so that an admitted call has taken a token.
	Limited bool
	// Wait is the time after which a refused call is expected to be admitted.
	Wait time.Duration
}

// Call describes a call that needs a token.
type Call struct {
	Rank criticality.Rank
	// Continues reports whether the request that makes the call has made others like it before.
	// Such a call goes first: refusing it wastes the work for the others.
	Continues bool
}

// Take takes a token for a call.
func (p *Pacer) Take(call Call, now time.Time) Decision {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rate == 0 {
		return Decision{Admitted: true}
	}
	p.refill(now)
	needed := p.needed(call)
	if p.tokens >= needed {
		p.tokens--
		p.admitted++
		return Decision{Admitted: true, Limited: true}
	}
	p.refused++
	wait := p.waitFor(call.Rank.Level, needed)
	if wait < MaxWait {
		p.backlog[call.Rank.Level]++
	}
	return Decision{Limited: true, Wait: wait}
}

// Return returns the token of a call that was not sent.
func (p *Pacer) Return(d Decision) {
	if !d.Limited || !d.Admitted {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.admitted--
	p.tokens = min(p.tokens+1, p.depth())
}

// Room returns the time after which a call is expected to be admitted; zero if
// it would be admitted now.
func (p *Pacer) Room(call Call, now time.Time) time.Duration {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rate == 0 {
		return 0
	}
	p.refill(now)
	needed := p.needed(call)
	if p.tokens >= needed && p.backlogOf(call.Rank.Level) == 0 {
		return 0
	}
	return p.waitFor(call.Rank.Level, needed)
}

// Rate returns the rate at which calls are admitted, zero if there is no limit.
func (p *Pacer) Rate() float64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.rate
}

// Usage describes how much of the limit is in use.
type Usage struct {
	// Used and Depth are the tokens taken from the bucket, and all that it holds.
	Used, Depth float64
	// Admitted and Refused count the calls since the target started.
	Admitted, Refused uint64
}

// Usage returns the current usage, and false if there is no limit.
func (p *Pacer) Usage(now time.Time) (Usage, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.rate == 0 {
		return Usage{Refused: p.refused}, false
	}
	p.refill(now)
	return Usage{Used: p.depth() - p.tokens, Depth: p.depth(), Admitted: p.admitted, Refused: p.refused}, true
}

func (p *Pacer) depth() float64 { return baseDepth + p.rate*depthTime }

// needed returns the number of tokens at which a call is admitted. It rises fastest between the
// most important levels.
func (p *Pacer) needed(call Call) float64 {
	if call.Continues {
		return 1
	}
	share := math.Sqrt(float64(call.Rank.Key()) / float64(criticality.RankCount))
	return 1 + share*reservedShare*(p.depth()-1)
}

// refill adds the tokens since the last update and removes refused calls from the backlog
// at the same rate, the most important ones first.
func (p *Pacer) refill(now time.Time) {
	if elapsed := now.Sub(p.updatedAt).Seconds(); elapsed > 0 {
		added := elapsed * p.rate
		p.tokens = min(p.tokens+added, p.depth())
		for level := range p.backlog {
			returned := min(p.backlog[level], added)
			p.backlog[level] -= returned
			added -= returned
		}
	}
	p.updatedAt = now
}

// backlogOf returns the number of refused calls that are at least as important as the level.
func (p *Pacer) backlogOf(level criticality.Level) float64 {
	total := 0.0
	for _, refused := range p.backlog[:level+1] {
		total += refused
	}
	return total
}

// waitFor returns the time until the bucket holds the tokens and the refused calls that are at
// least as important as the level have returned.
func (p *Pacer) waitFor(level criticality.Level, needed float64) time.Duration {
	missing := max(needed-p.tokens, 0) + p.backlogOf(level)
	seconds := min(missing/p.rate, MaxWait.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), MinWait)
}
