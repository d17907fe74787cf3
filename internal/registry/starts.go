package registry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/eventlog"
	"github.com/lugspur/lugspur/internal/store"
)

const (
	// startRetryDelay is the delay before a notice is sent again to the peers that did not receive
	// it, once.
	startRetryDelay = 500 * time.Millisecond
	// startResendInterval is the interval at which a notice is sent again to all peers during an
	// outage, for those that were restarted or cut off. With 300 nodes, each of which has a notice
	// to send, a node sends and receives 30 a second.
	startResendInterval = 10 * time.Second
	// outageReportValidity is how long a notice of a peer counts as evidence that the store is
	// unavailable. A node whose record was just written makes no further call to the store until
	// its replica of the records is stale, which takes 2.4 s.
	outageReportValidity = 3 * time.Second
	// maxStartSends bounds the notices that are sent concurrently.
	maxStartSends = 8
)

// startsConfig holds the dependencies of starts.
type startsConfig struct {
	ownAddress string
	peers      Peers
	// reachable reports whether the store answered the latest call, and written returns the
	// revision of this process's latest write of its record.
	reachable func() bool
	written   func() store.Revision
	log       *eventlog.Log
	now       func() time.Time
}

// starts sends notices of the local target's latest change to peers while the store is
// unavailable. It sends none for a change that the node's own replica of the store shows.
type starts struct {
	config startsConfig
	wake   chan struct{}

	mutex sync.Mutex
	// latest is the notice of the latest change; its sequence number is zero if there was none.
	latest StartNotice
	// observed is the highest revision of the node's record in its replica of the store, and
	// confirmed is set once the replica shows the latest change.
	observed  store.Revision
	confirmed bool
	// nextSend is when the notice is due, to the peers in failed if there are any, otherwise to
	// all.
	nextSend time.Time
	failed   []string
	// outageReportedAt is when a peer last sent a notice.
	outageReportedAt time.Time
}

func newStarts(config startsConfig) *starts {
	return &starts{config: config, wake: make(chan struct{}, 1)}
}

// update sets the node's current record, and returns its notice if the target's incarnation or
// state has changed.
func (s *starts) update(record Record) (StartNotice, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.latest.Sequence > 0 && s.latest.Record.equivalent(&record) {
		// Slots and the rate limit may have changed.
		s.latest.Record = record
		return StartNotice{}, false
	}
	s.latest = StartNotice{Record: record, Sequence: s.latest.Sequence + 1}
	s.confirmed, s.nextSend, s.failed = false, s.config.now(), nil
	s.signal()
	return s.withBase(), true
}

// sequence returns the sequence number of the latest change.
func (s *starts) sequence() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.latest.Sequence
}

// withBase returns the latest notice with the highest known revision of the stored record.
func (s *starts) withBase() StartNotice {
	notice := s.latest
	notice.Base = max(s.observed, s.config.written())
	return notice
}

// observe processes the node's record in its replica of the store.
func (s *starts) observe(revision store.Revision, record *Record) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.observed = max(s.observed, revision)
	if s.latest.Record.equivalent(record) && revision >= s.config.written() {
		s.confirmed = true
	}
}

// handleStoreRestored handles a restore of the store from a backup, which may lack the change.
func (s *starts) handleStoreRestored() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.confirmed = false
	s.signal()
}

// reportOutage records that a peer finds the store unavailable.
func (s *starts) reportOutage() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.outageReportedAt = s.config.now()
	s.signal()
}

func (s *starts) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// next returns the notice to send next, the peers that it is for, and the time until it is due.
func (s *starts) next() (notice StartNotice, peers []string, wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.latest.Sequence == 0 || s.confirmed || !s.outage() || s.config.peers.NotifyStart == nil {
		return StartNotice{}, nil, startResendInterval
	}
	peers = s.failed
	if len(peers) == 0 {
		peers = s.otherNodes()
	}
	return s.withBase(), peers, s.nextSend.Sub(s.config.now())
}

// outage reports whether this node, or a peer shortly before, found the store unavailable.
func (s *starts) outage() bool {
	return !s.config.reachable() || s.config.now().Sub(s.outageReportedAt) < outageReportValidity
}

func (s *starts) otherNodes() []string {
	var others []string
	for _, address := range s.config.peers.Addresses() {
		if address != s.config.ownAddress {
			others = append(others, address)
		}
	}
	return others
}

// markSent schedules the next sending of a notice, unless a newer one is due.
func (s *starts) markSent(notice StartNotice, failed []string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.latest.Sequence != notice.Sequence {
		return
	}
	isRetry := len(s.failed) > 0
	s.failed, s.nextSend = nil, s.config.now().Add(startResendInterval)
	if len(failed) > 0 && !isRetry {
		s.failed, s.nextSend = failed, s.config.now().Add(startRetryDelay)
	}
}

// run sends notices when they are due, until the context ends.
func (s *starts) run(ctx context.Context) {
	for ctx.Err() == nil {
		notice, peers, wait := s.next()
		if wait > 0 {
			s.sleep(ctx, wait)
			continue
		}
		s.markSent(notice, s.send(ctx, notice, peers))
	}
}

func (s *starts) sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-s.wake:
	case <-timer.C:
	}
}

// send sends a notice to peers and returns those that did not acknowledge it.
func (s *starts) send(ctx context.Context, notice StartNotice, peers []string) []string {
	errs := make([]error, len(peers))
	slots := make(chan struct{}, maxStartSends)
	var sending sync.WaitGroup
	for i, address := range peers {
		slots <- struct{}{}
		sending.Go(func() {
			errs[i] = s.sendTo(ctx, address, notice)
			<-slots
		})
	}
	sending.Wait()
	var failed []string
	var reason string
	for i, err := range errs {
		if err != nil {
			failed, reason = append(failed, peers[i]), err.Error()
		}
	}
	s.config.log.Record(eventlog.Event{Kind: eventlog.StartSent, Target: notice.Record.Instance, Count: len(peers) - len(failed), Reason: reason})
	return failed
}

// sendTo sends a notice to the node at an address.
func (s *starts) sendTo(ctx context.Context, address string, notice StartNotice) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := s.config.peers.NotifyStart(ctx, address, notice); err != nil {
		return fmt.Errorf("send state of %s to %s: %w", notice.Record.Instance, address, err)
	}
	return nil
}

// HandleStoreLost handles the beginning of an outage of the store: a change of the local target
// that the store may not have passed on is sent to peers. It does not block.
func (r *Registrar) HandleStoreLost() { r.starts.signal() }

// HandleStart handles a peer's notice of its target. It also shows that the store is unavailable
// to that peer, so that this node sends its own change if the store may not have passed it on.
func (r *Registrar) HandleStart(notice StartNotice) {
	if notice.Record.Address == r.config.Address {
		return
	}
	r.starts.reportOutage()
	if notice.Record.State == Ready && r.departures.isKnown(notice.Record.Instance) {
		return
	}
	r.config.OnStart(notice)
}
