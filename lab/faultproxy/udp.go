package faultproxy

import (
	"context"
	"net"
	"time"
)

const (
	// maxDatagramBytes is the longest datagram forwarded.
	maxDatagramBytes = 64 << 10
	// maxHeldDatagrams bounds the datagrams on their way in one direction of
	// one session; more are dropped.
	maxHeldDatagrams = 1024
	// sessionIdle is after how long without a datagram a session is forgotten.
	sessionIdle = time.Minute
)

// session is one UDP client with its own socket to the upstream.
type session struct {
	client     *net.UDPAddr
	upstream   *net.UDPConn
	toUpstream chan chunk
	toClient   chan chunk
	ctx        context.Context
	cancel     context.CancelFunc
}

func (p *Proxy) receiveUDP() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, client, err := p.udp.ReadFromUDP(buffer)
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			continue
		}
		if p.toUpstream.lost() {
			continue
		}
		if found, ok := p.session(client); ok {
			enqueue(found.toUpstream, buffer[:count], p.toUpstream)
		}
	}
}

func enqueue(queue chan<- chunk, data []byte, faults *direction) {
	next := chunk{data: append([]byte(nil), data...), due: time.Now().Add(faults.delay())}
	select {
	case queue <- next:
	default:
	}
}

func (p *Proxy) session(client *net.UDPAddr) (*session, bool) {
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
		toUpstream: make(chan chunk, maxHeldDatagrams),
		toClient:   make(chan chunk, maxHeldDatagrams),
	}
	opened.ctx, opened.cancel = context.WithCancel(p.ctx)
	p.sessions[key] = opened
	p.running.Go(func() { p.receiveAnswers(opened) })
	p.running.Go(func() { opened.send(opened.toUpstream, p.toUpstream, opened.writeUpstream) })
	p.running.Go(func() { opened.send(opened.toClient, p.toClient, p.writeClient(opened)) })
	return opened, true
}

// receiveAnswers reads the upstream's datagrams until the session is idle.
func (p *Proxy) receiveAnswers(s *session) {
	defer p.forget(s)
	buffer := make([]byte, maxDatagramBytes)
	for {
		_ = s.upstream.SetReadDeadline(time.Now().Add(sessionIdle))
		count, err := s.upstream.Read(buffer)
		if s.ctx.Err() != nil {
			return
		}
		if err != nil {
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				return
			}
			// A refused datagram shows as an error of the next read.
			continue
		}
		if !p.toClient.lost() {
			enqueue(s.toClient, buffer[:count], p.toClient)
		}
	}
}

// send delivers datagrams when they are due. One that is cut off on its way is
// dropped.
func (s *session) send(queue <-chan chunk, faults *direction, write func([]byte)) {
	for {
		select {
		case <-s.ctx.Done():
			return
		case next := <-queue:
			if waitUntil(s.ctx, next.due) != nil || faults.waitReleased(s.ctx) != nil {
				return
			}
			if current, _ := faults.current(); current.Cut == CutNone {
				write(next.data)
			}
		}
	}
}

func (s *session) writeUpstream(data []byte) { _, _ = s.upstream.Write(data) }

func (p *Proxy) writeClient(s *session) func([]byte) {
	return func(data []byte) { _, _ = p.udp.WriteToUDP(data, s.client) }
}

func (p *Proxy) forget(s *session) {
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
