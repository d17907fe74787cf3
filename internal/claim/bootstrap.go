package claim

import (
	"cmp"
	"context"
	"errors"
	"hash/fnv"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lugspur/lugspur/internal/store"
)

// bootstrap reads the roster from the store and creates the first one if there
// is none. It isn't called on nodes that received a roster from a peer.
func (m *Manager) bootstrap(ctx context.Context, now time.Time) error {
	if now.Sub(m.lastRead) < time.Duration(m.rank(0))*m.config.Interval {
		return nil
	}
	m.lastRead = now
	_, _, err := m.readRoster(ctx)
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if now.Sub(m.started) < m.config.SettleTime {
		return nil
	}
	members := m.genesisMembers(now)
	if members == nil {
		return nil
	}
	genesis, err := NewGenesis(m.config.Retention, members)
	if err != nil {
		return err
	}
	return m.writeRoster(ctx, 0, genesis, ChangeGenesis)
}

// genesisMembers returns the members of the first roster, or nil while there are
// too few nodes. After genesisGracePeriod it accepts a smaller roster of at
// least minimumGenesisSize, which is better than none.
func (m *Manager) genesisMembers(now time.Time) []Member {
	view := View{Self: m.self, Nodes: m.config.Members.Members()}
	members := GenesisMembers(view, m.config.Size)
	if members != nil || now.Sub(m.started) < m.config.SettleTime+genesisGracePeriod {
		return members
	}
	alive := len(view.aliveMembers())
	size := min(alive-1+alive%2, m.config.Size) // largest odd size with enough nodes
	if size < minimumGenesisSize {
		return nil
	}
	return GenesisMembers(view, size)
}

// rank returns the node's position among the live nodes in a pseudorandom order
// that depends on the epoch. It is at most maximumRank.
func (m *Manager) rank(epoch uint64) int {
	type rankedNode struct {
		name string
		hash uint64
	}
	var ranked []rankedNode
	for _, n := range m.config.Members.Members() {
		if n.Alive || n.Name == m.self.Name {
			ranked = append(ranked, rankedNode{name: n.Name, hash: rankHash(n.Name, epoch)})
		}
	}
	slices.SortFunc(ranked, func(a, b rankedNode) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	rank := slices.IndexFunc(ranked, func(n rankedNode) bool { return n.name == m.self.Name })
	if rank < 0 {
		return maximumRank
	}
	return min(rank, maximumRank)
}

// rankHash returns the value by which rank orders the nodes.
func rankHash(name string, epoch uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(strconv.FormatUint(epoch, 10)))
	h.Write([]byte(name))
	return h.Sum64()
}

// copyClaims fetches pages from all voters concurrently while the node is
// joining. A source that failed is retried in the next reconciliation.
func (m *Manager) copyClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	for range maximumPageRounds {
		requests := m.config.Service.pageRequests()
		if len(requests) == 0 || !m.fetchPages(ctx, requests) {
			return
		}
	}
}

// fetchPages fetches one page from each source and reports whether the copy
// progressed.
func (m *Manager) fetchPages(ctx context.Context, requests []OutgoingPageRequest) bool {
	pages := make([]Page, len(requests))
	var running sync.WaitGroup
	for i, req := range requests {
		running.Go(func() { pages[i] = m.fetchPage(ctx, req) })
	}
	running.Wait()
	progress := false
	for _, page := range pages {
		if m.config.Service.receivePage(page) {
			progress = true
		}
	}
	return progress
}

func (m *Manager) fetchPage(ctx context.Context, req OutgoingPageRequest) Page {
	page, err := exchange[Page](ctx, m.config.Client, req.Member.Address, PathPage, req.Request)
	if err != nil {
		m.config.Logger.WithError(err).Warn("failed to copy claims from a replica")
		return Page{Refused: true}
	}
	return page
}
