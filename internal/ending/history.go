package ending

import (
	"cmp"
	"time"
)

// historyPeriod is the length of one of the two periods that a history covers.
const historyPeriod = time.Minute

// Recent holds the largest value of the last one to two periods. It is not safe for concurrent use.
type Recent[T cmp.Ordered] struct {
	current, previous T
	started           time.Time
}

// Record records a value.
func (r *Recent[T]) Record(value T, now time.Time) {
	r.rotate(now)
	r.current = max(r.current, value)
}

// Max returns the largest recent value, the zero value if there is none.
func (r *Recent[T]) Max(now time.Time) T {
	r.rotate(now)
	return max(r.current, r.previous)
}

func (r *Recent[T]) rotate(now time.Time) {
	age := now.Sub(r.started)
	if age < historyPeriod {
		return
	}
	var none T
	r.previous, r.current = r.current, none
	if age >= 2*historyPeriod {
		r.previous = none
	}
	r.started = now
}
