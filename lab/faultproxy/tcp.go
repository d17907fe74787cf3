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
	// chunkBytes is the most that is read at a time.
	chunkBytes = 16 << 10
	// maxChunks bounds the chunks on their way in one direction of one
	// connection.
	maxChunks = 64
)

// chunk is a piece of a TCP stream on its way.
type chunk struct {
	data []byte
	due  time.Time
}

// pair is a client's connection and the one to the upstream, which is nil
// until it has been opened.
type pair struct {
	proxy    *Proxy
	client   *net.TCPConn
	upstream *net.TCPConn
	ctx      context.Context
	cancel   context.CancelFunc
}

// reset ends both connections with a TCP reset.
func (p *pair) reset() {
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
func (p *pair) run() {
	toUpstream := stream{pair: p, from: p.client, to: p.upstream, faults: p.proxy.toUpstream, opposite: p.proxy.toClient}
	toClient := stream{pair: p, from: p.upstream, to: p.client, faults: p.proxy.toClient, opposite: p.proxy.toUpstream}
	var running sync.WaitGroup
	running.Go(toUpstream.forward)
	running.Go(toClient.forward)
	running.Wait()
	p.cancel()
	_ = p.client.Close()
	_ = p.upstream.Close()
}

// stream is one direction of a pair.
type stream struct {
	*pair
	from     *net.TCPConn
	to       *net.TCPConn
	faults   *direction
	opposite *direction
	written  int64
	readErr  error
}

// forward moves the stream's bytes: a reader stamps chunks with the time at
// which they are due, so that latency doesn't cost throughput.
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
			next := chunk{data: buffer[:count], due: time.Now().Add(s.faults.delay())}
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
		// The sender of a half-open connection isn't told that it is over.
		if current, _ := s.opposite.current(); !current.HalfOpen {
			s.reset()
		}
		drain(chunks)
		return
	}
	s.end()
}

func drain(chunks <-chan chunk) {
	for range chunks {
		continue
	}
}

// deliver writes one chunk; false means that the connection is done for.
func (s *stream) deliver(next chunk) bool {
	if waitUntil(s.ctx, next.due) != nil || s.faults.waitReleased(s.ctx) != nil {
		return false
	}
	current, _ := s.faults.current()
	if current.Cut == CutBlackhole {
		s.waitJoined()
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

// waitJoined waits for the end of a black hole. A chunk has been discarded: the
// stream has a hole, so that the connection can't go on.
func (s *stream) waitJoined() {
	_ = s.faults.waitWhile(s.ctx, func(f Faults) bool { return f.Cut == CutBlackhole })
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
		if waitUntil(s.ctx, time.Now().Add(pause)) != nil {
			return false
		}
	}
	return true
}

// end passes on the end of the stream, in order or as a reset, once the
// direction isn't cut, held or half-open.
func (s *stream) end() {
	hidden := func(f Faults) bool { return f.HalfOpen || f.Hold || f.Cut == CutBlackhole }
	if s.faults.waitWhile(s.ctx, hidden) != nil {
		return
	}
	if !errors.Is(s.readErr, io.EOF) {
		s.reset()
		return
	}
	_ = s.to.CloseWrite()
}
