package faultproxy

import (
	"context"
	"net"
	"time"
)

const (
	// maxDatagramBytes is the maximum size of forwarded datagrams.
	maxDatagramBytes = 64 << 10
	// maxQueuedDatagrams limits the queued datagrams in one direction of a
	// session; more are dropped.
	maxQueuedDatagrams = 1024
	// sessionIdleTimeout is the time without a datagram from the upstream after which a session is closed.
	sessionIdleTimeout = time.Minute
)

// session is a UDP client with its own socket to the upstream.
type session struct {
	client     *net.UDPAddr
	upstream   *net.UDPConn
	toUpstream chan chunk
	toClient   chan chunk
	ctx        context.Context
	cancel     context.CancelFunc
}

func (p *Proxy) receiveFromClients() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, client, err := p.udp.ReadFromUDP(buffer)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		if p.toUpstream.shouldDrop() {
			continue
		}
		if found, ok := p.sessionFor(client); ok {
			enqueue(found.toUpstream, buffer[:count], p.toUpstream)
		}
	}
}

func enqueue(queue chan<- chunk, data []byte, faults *direction) {
	next := chunk{data: append([]byte(nil), data...), due: time.Now().Add(faults.randomDelay())}
	select {
	case queue <- next:
	default:
	}
}

func (p *Proxy) sessionFor(client *net.UDPAddr) (*session, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	key := client.String()
	if found, ok := p.sessions[key]; ok {
		return found, true
	}
	if len(p.sessions) >= maxSessions || p.ctx.Err() != nil {
		return nil, false
	}
	address, err := net.ResolveUDPAddr("udp", p.upstream)
	if err != nil {
		return nil, false
	}
	upstream, err := net.DialUDP("udp", nil, address)
	if err != nil {
		return nil, false
	}
	opened := &session{
		client:     client,
		upstream:   upstream,
		toUpstream: make(chan chunk, maxQueuedDatagrams),
		toClient:   make(chan chunk, maxQueuedDatagrams),
	}
	opened.ctx, opened.cancel = context.WithCancel(p.ctx)
	p.sessions[key] = opened
	p.running.Go(func() { p.receiveFromUpstream(opened) })
	p.running.Go(func() { opened.send(opened.toUpstream, p.toUpstream, opened.writeToUpstream) })
	p.running.Go(func() { opened.send(opened.toClient, p.toClient, p.writeToClient(opened)) })
	return opened, true
}

// receiveFromUpstream reads the upstream's datagrams until the session times out.
func (p *Proxy) receiveFromUpstream(s *session) {
	defer p.closeSession(s)
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = s.upstream.SetReadDeadline(time.Now().Add(sessionIdleTimeout))
		count, err := s.upstream.Read(buffer)
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				return
			}
			// A datagram that the upstream refused is reported as an error of the next read.
			continue
		}
		if !p.toClient.shouldDrop() {
			enqueue(s.toClient, buffer[:count], p.toClient)
		}
	}
}

// send delivers datagrams at their delivery time. It drops datagrams if the
// direction is cut at that time.
func (s *session) send(queue <-chan chunk, faults *direction, write func([]byte)) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case next := <-queue:
			if sleepUntil(s.ctx, next.due) != nil || faults.waitWhileHeld(s.ctx) != nil {
				return
			}
			if current, _ := faults.currentFaults(); current.Cut == CutNone {
				write(next.data)
			}
		}
	}
}

func (s *session) writeToUpstream(data []byte) { _, _ = s.upstream.Write(data) }

func (p *Proxy) writeToClient(s *session) func([]byte) {
	return func(data []byte) { _, _ = p.udp.WriteToUDP(data, s.client) }
}

func (p *Proxy) closeSession(s *session) {
	s.cancel()
	_ = s.upstream.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.sessions, s.client.String())
}

func (p *Proxy) closeSessions() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, open := range p.sessions {
		open.cancel()
		_ = open.upstream.Close()
	}
}
