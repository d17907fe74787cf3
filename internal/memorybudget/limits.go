package memorybudget

import "math"

const (
	// SmallBytes is the size of the largest message that may use the reserve for small messages.
	SmallBytes = 64 << 10
	// startShare is the share of the budget that is available to large messages of work that has
	// not started, and completionShare the share that is available to responses of work that has
	// been done. The rest is the reserve for small messages.
	startShare      = 0.75
	completionShare = 0.875

	// processBytes is the memory that a process needs without messages.
	processBytes = 40 << 20
	// messageShare is the share of the other memory that messages may take. The rest is for
	// messages that are no longer referenced but not yet collected.
	messageShare = 0.6
	// minBudgetBytes is the smallest budget.
	minBudgetBytes = 4 << 20
	// collectorShare is the share of the memory above which the garbage collector works as hard as
	// needed. It leaves room for memory that the Go runtime does not count, such as the program
	// itself, and for what is allocated while the collector works.
	collectorShare = 0.7
)

// Work is the state of the work that a message belongs to.
type Work uint8

const (
	// Starting work can be refused without loss.
	Starting Work = iota
	// Completing work has been done, so that a refusal wastes it.
	Completing
)

// Limits decides which messages may be held.
type Limits struct {
	// Total is the number of bytes that all messages together may take; zero means no bound.
	Total int64
}

// LimitsFor returns the limits of a process with the memory, in bytes; zero means no bound.
func LimitsFor(memory int64) Limits {
	if memory <= 0 {
		return Limits{}
	}
	return Limits{Total: max(int64(messageShare*float64(memory-processBytes)), minBudgetBytes)}
}

// CollectorLimit returns the limit for debug.SetMemoryLimit in a process with the memory, in bytes.
func CollectorLimit(memory int64) int64 { return int64(collectorShare * float64(memory)) }

// Allows reports whether a message may grow to the size while all messages, without the growth,
// take held bytes.
func (l Limits) Allows(held, growth, size int64, work Work) bool {
	return l.Total == 0 || held+growth <= l.ceiling(size, work)
}

// MaxMessage returns the largest message of starting work that can be held if there is no other.
func (l Limits) MaxMessage() int64 {
	if l.Total == 0 {
		return math.MaxInt64 - 1
	}
	return l.ceiling(l.Total, Starting)
}

func (l Limits) ceiling(size int64, work Work) int64 {
	switch {
	case size <= SmallBytes:
		return l.Total
	case work == Completing:
		return int64(completionShare * float64(l.Total))
	}
	return int64(startShare * float64(l.Total))
}
