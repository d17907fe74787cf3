package faultproxy

import (
	"errors"
	"time"
)

// Cut is how a direction is interrupted.
type Cut string

// The cuts.
const (
	// CutNone lets traffic pass.
	CutNone Cut = ""
	// CutReset resets open TCP connections, and new ones at once; UDP
	// datagrams are dropped.
	CutReset Cut = "reset"
	// CutBlackhole discards what is sent in the direction, and nobody is
	// told. A TCP connection that has lost bytes is reset when the cut ends.
	CutBlackhole Cut = "blackhole"
)

// Faults are the faults of one direction. The zero value lets all pass.
type Faults struct {
	// Latency is added to every chunk of bytes or datagram.
	Latency time.Duration `json:"latency_ns,omitempty"`
	// Jitter is the largest further latency, drawn evenly for each chunk; it
	// never changes the order inside a TCP connection.
	Jitter time.Duration `json:"jitter_ns,omitempty"`
	// Loss is the fraction of UDP datagrams dropped, from 0 to 1. TCP isn't
	// touched: its loss shows as latency, which Latency and Hold give.
	Loss float64 `json:"loss,omitempty"`
	// Cut interrupts the direction.
	Cut Cut `json:"cut,omitempty"`
	// Hold keeps all that is sent, in order, until the hold is lifted. A TCP
	// sender is slowed down once buffers are full; datagrams over the bound
	// are dropped.
	Hold bool `json:"hold,omitempty"`
	// HalfOpen keeps the end of a TCP connection from the receiver, which
	// goes on believing that it is open.
	HalfOpen bool `json:"half_open,omitempty"`
	// BytesPerSecond bounds each TCP connection; zero means unbounded.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// TruncateAfter ends each TCP connection after as many bytes in the
	// direction, counted from the connection's start; zero means never. The
	// receiver sees an orderly end.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
}

// Validate reports values out of range.
func (f Faults) Validate() error {
	if f.Loss < 0 || f.Loss > 1 {
		return errors.New("loss goes from 0 to 1")
	}
	if f.Latency < 0 || f.Jitter < 0 || f.BytesPerSecond < 0 || f.TruncateAfter < 0 {
		return errors.New("latency, jitter, bytes_per_second and truncate_after aren't negative")
	}
	switch f.Cut {
	case CutNone, CutReset, CutBlackhole:
		return nil
	}
	return errors.New("cut is reset, blackhole or empty")
}

// Both are the faults of both directions.
type Both struct {
	ToUpstream Faults `json:"to_upstream"`
	ToClient   Faults `json:"to_client"`
}
