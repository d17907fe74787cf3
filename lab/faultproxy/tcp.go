package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// chunkBytes is the read buffer size.
	chunkBytes = 16 << 10
	// maxChunks limits the queued chunks in one direction of a connection.
	maxChunks = 64
)

// chunk is queued data of a TCP stream, or a queued datagram, with its delivery time.
type chunk struct {
	data []byte
	due  time.Time
}

// connectionPair is a client's connection and its connection to the upstream,
// which is nil until it is open.
type connectionPair struct {
	proxy    *Proxy
	client   *net.TCPConn
	upstream *net.TCPConn
	ctx      context.Context
	cancel   context.CancelFunc
}

// reset closes both connections with a TCP reset.
func (p *connectionPair) reset() {
	p.cancel()
	resetConn(p.client)
	if p.upstream != nil {
		resetConn(p.upstream)
	}
}

func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// run forwards until both directions have ended.
func (p *connectionPair) run() {
	toUpstream := stream{connectionPair: p, from: p.client, to: p.upstream, direction: p.proxy.toUpstream, oppositeDirection: p.proxy.toClient}
	toClient := stream{connectionPair: p, from: p.upstream, to: p.client, direction: p.proxy.toClient, oppositeDirection: p.proxy.toUpstream}
	var running sync.WaitGroup
	running.Go(toUpstream.forward)
	running.Go(toClient.forward)
	running.Wait()
	p.cancel()
	_ = p.client.Close()
	_ = p.upstream.Close()
}

// stream is one direction of a connection pair.
type stream struct {
	*connectionPair
	from              *net.TCPConn
	to                *net.TCPConn
	direction         *direction
	oppositeDirection *direction
	written           int64
	readErr           error
}

// forward copies the stream's bytes. The reader sets each chunk's delivery time,
// so that latency doesn't reduce throughput.
func (s *stream) forward() {
	chunks := make(chan chunk, maxChunks)
	var reading sync.WaitGroup
	reading.Go(func() {
		defer close(chunks)
		s.readErr = s.read(chunks)
	})
	s.write(chunks)
	reading.Wait()
}

func (s *stream) read(chunks chan<- chunk) error {
	for {
		buffer := make([]byte, chunkBytes)
		count, err := s.from.Read(buffer)
		if count > 0 {
			next := chunk{data: buffer[:count], due: time.Now().Add(s.direction.randomDelay())}
			select {
			case chunks <- next:
			case <-s.ctx.Done():
				return s.ctx.Err()
			}
		}
		if err != nil {
			return err
		}
	}
}

// write forwards chunks until the stream or the connection ends.
func (s *stream) write(chunks <-chan chunk) {
	for next := range chunks {
		if s.deliver(next) {
			continue
		}
		// The close of a half-open connection isn't forwarded to the sender.
		if current, _ := s.oppositeDirection.currentFaults(); !current.HalfOpen {
			s.reset()
		}
		discardChunks(chunks)
		return
	}
	s.forwardClose()
}

func discardChunks(chunks <-chan chunk) {
	for range chunks {
		continue
	}
}

// deliver writes one chunk. It returns false if the connection must be closed.
func (s *stream) deliver(next chunk) bool {
	if sleepUntil(s.ctx, next.due) != nil || s.direction.waitWhileHeld(s.ctx) != nil {
		return false
	}
	current, _ := s.direction.currentFaults()
	if current.Cut == CutBlackhole {
		s.waitForBlackholeEnd()
		return false
	}
	data := next.data
	truncated := current.TruncateAfter > 0 && s.written+int64(len(data)) >= current.TruncateAfter
	if truncated {
		data = data[:max(0, current.TruncateAfter-s.written)]
	}
	if !s.writePaced(data, current.BytesPerSecond) {
		return false
	}
	s.written += int64(len(data))
	if truncated {
		_ = s.to.Close()
		return false
	}
	return true
}

// waitForBlackholeEnd waits until the direction isn't blackholed. A discarded chunk
// leaves a gap in the stream, so the connection can't continue afterwards.
func (s *stream) waitForBlackholeEnd() {
	_ = s.direction.waitWhile(s.ctx, func(f Faults) bool { return f.Cut == CutBlackhole })
}

const pacingInterval = 10 * time.Millisecond

func (s *stream) writePaced(data []byte, bytesPerSecond int) bool {
	if bytesPerSecond == 0 {
		_, err := s.to.Write(data)
		return err == nil
	}
	step := max(1, int(float64(bytesPerSecond)*pacingInterval.Seconds()))
	for len(data) > 0 {
		count := min(step, len(data))
		if _, err := s.to.Write(data[:count]); err != nil {
			return false
		}
		data = data[count:]
		pause := time.Duration(float64(count) / float64(bytesPerSecond) * float64(time.Second))
		if sleepUntil(s.ctx, time.Now().Add(pause)) != nil {
			return false
		}
	}
	return true
}

// forwardClose forwards the end of the stream, as an orderly close or a reset, once
// the direction isn't blackholed, held or half-open.
func (s *stream) forwardClose() {
	suppressed := func(f Faults) bool { return f.HalfOpen || f.Hold || f.Cut == CutBlackhole }
	if s.direction.waitWhile(s.ctx, suppressed) != nil {
		return
	}
	if !errors.Is(s.readErr, io.EOF) {
		s.reset()
		return
	}
	_ = s.to.CloseWrite()
}
