package faultproxy

import (
	"errors"
	"time"
)

// Cut is the way in which a direction is interrupted.
type Cut string

// The cuts.
const (
	// CutNone forwards traffic.
	CutNone Cut = ""
	// CutReset resets open TCP connections and new ones immediately; UDP
	// datagrams are dropped.
	CutReset Cut = "reset"
	// CutBlackhole silently discards traffic in the direction. A TCP connection
	// that has lost bytes is reset when the cut ends.
	CutBlackhole Cut = "blackhole"
)

// Faults are the faults of one direction. The zero value has none.
type Faults struct {
	// Latency delays every chunk of bytes and every datagram.
	Latency time.Duration `json:"latency_ns,omitempty"`
	// Jitter is the maximum additional latency, uniformly distributed per chunk;
	// it never reorders bytes of a TCP connection.
	Jitter time.Duration `json:"jitter_ns,omitempty"`
	// Loss is the fraction of UDP datagrams dropped, from 0 to 1. It doesn't
	// affect TCP, where loss appears as latency; use Latency and Hold for that.
	Loss float64 `json:"loss,omitempty"`
	// Cut interrupts the direction.
	Cut Cut `json:"cut,omitempty"`
	// Hold queues all traffic, in order, until Hold is cleared. TCP senders
	// block once buffers are full; datagrams beyond the queue limit are dropped.
	Hold bool `json:"hold,omitempty"`
	// HalfOpen doesn't forward the close of a TCP connection, so that it stays
	// open for the receiver.
	HalfOpen bool `json:"half_open,omitempty"`
	// BytesPerSecond limits each TCP connection; zero means no limit.
	BytesPerSecond int `json:"bytes_per_second,omitempty"`
	// TruncateAfter closes each TCP connection after this number of bytes in
	// the direction, counted from the connection's start; zero means never.
	// The receiver gets an orderly close.
	TruncateAfter int64 `json:"truncate_after,omitempty"`
}

// Validate returns an error if a value is out of range.
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

// RouteFaults holds the faults of both directions of a proxy.
type RouteFaults struct {
	ToUpstream Faults `json:"to_upstream"`
	ToClient   Faults `json:"to_client"`
}
