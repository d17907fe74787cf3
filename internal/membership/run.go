package membership

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
)

// errClosed ends the goroutines of Run.
var errClosed = errors.New("membership is closed")

// exchangeJob is a due exchange: the address of the peer and the digest of the node's own list.
type exchangeJob struct {
	address string
	digest  uint64
}

// Run drives the protocol with the configured clock and transport until the context ends, Close
// is called or the transport is closed. It returns the context's error in the first case and nil
// in the others.
func (m *Membership) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	jobs := make(chan exchangeJob, 1)
	group.Go(func() error { return m.runProtocol(ctx, jobs) })
	group.Go(func() error { return m.runDelivery(ctx) })
	group.Go(func() error { return m.runExchanges(ctx, jobs) })
	err := group.Wait()
	if errors.Is(err, errClosed) {
		return nil
	}
	return err
}

// runProtocol is the only goroutine that calls Step and HandlePacket.
func (m *Membership) runProtocol(ctx context.Context, jobs chan<- exchangeJob) error {
	ticker := time.NewTicker(max(m.config.Period/stepsPerPeriod, time.Millisecond))
	defer ticker.Stop()
	packets := m.config.Transport.Receive()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.closing:
			return errClosed
		case packet, open := <-packets:
			if !open {
				return errClosed
			}
			m.HandlePacket(m.config.Clock(), packet)
		case <-ticker.C:
			m.Step(m.config.Clock())
			m.scheduleExchange(jobs)
		}
	}
}

// scheduleExchange queues a due exchange unless one is already queued.
func (m *Membership) scheduleExchange(jobs chan<- exchangeJob) {
	if m.config.Exchange == nil || len(jobs) == cap(jobs) {
		return
	}
	if address, digest, due := m.ExchangeDue(); due {
		jobs <- exchangeJob{address: address, digest: digest}
	}
}

func (m *Membership) runDelivery(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			m.DeliverEvents()
			return ctx.Err()
		case <-m.wake:
			m.DeliverEvents()
		}
	}
}

func (m *Membership) runExchanges(ctx context.Context, jobs <-chan exchangeJob) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-jobs:
			m.exchangeWith(ctx, job.address, job.digest)
		}
	}
}
