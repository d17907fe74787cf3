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

// bootstrap looks for a roster in the store and creates the first one if there
// is none. Nodes that other nodes gave a roster never come here.
func (m *Manager) bootstrap(ctx context.Context, now time.Time) error {
	if now.Sub(m.refreshed) < time.Duration(m.rank(0))*m.config.Interval {
		return nil
	}
	m.refreshed = now
	_, _, err := m.read(ctx)
	if !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if now.Sub(m.started) < m.config.SettleTime {
		return nil
	}
	members := m.planGenesis(now)
	if members == nil {
		return nil
	}
	genesis, err := NewGenesis(m.config.Retention, members)
	if err != nil {
		return err
	}
	return m.write(ctx, 0, genesis, ChangeGenesis)
}

// planGenesis returns the members of the first roster, none while there are too
// few nodes. Nodes that come late are waited for; after that a smaller roster
// is better than none, down to smallestGenesis.
func (m *Manager) planGenesis(now time.Time) []Member {
	view := View{Self: m.self, Nodes: m.config.Members.Members()}
	members := PlanGenesis(view, m.config.Size)
	if members != nil || now.Sub(m.started) < m.config.SettleTime+genesisPatience {
		return members
	}
	alive := len(view.alive())
	size := min(alive-1+alive%2, m.config.Size)
	if size < smallestGenesis {
		return nil
	}
	return PlanGenesis(view, size)
}

// rank is the node's place among the live ones in an order drawn by the epoch.
func (m *Manager) rank(epoch uint64) int {
	type place struct {
		name string
		hash uint64
	}
	var places []place
	for _, n := range m.config.Members.Members() {
		if n.Alive || n.Name == m.self.Name {
			places = append(places, place{name: n.Name, hash: hashPlace(n.Name, epoch)})
		}
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
	})
	rank := slices.IndexFunc(places, func(p place) bool { return p.name == m.self.Name })
	if rank < 0 {
		return maximumRank
	}
	return min(rank, maximumRank)
}

func hashPlace(name string, epoch uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(strconv.FormatUint(epoch, 10)))
	h.Write([]byte(name))
	return h.Sum64()
}

// copyClaims fetches pages while the node is joining, from all voters at once.
// A failed source is asked again at the next look.
func (m *Manager) copyClaims(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for range pageRoundsPerTry {
		requests := m.config.Service.pageRequests()
		if len(requests) == 0 || !m.fetch(ctx, requests) {
			return
		}
	}
}

// fetch asks for one page of each source and reports whether the copy advanced.
func (m *Manager) fetch(ctx context.Context, requests []OutgoingPageRequest) bool {
	pages := make([]Page, len(requests))
	var running sync.WaitGroup
	for i, q := range requests {
		running.Go(func() { pages[i] = m.fetchPage(ctx, q) })
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

func (m *Manager) fetchPage(ctx context.Context, q OutgoingPageRequest) Page {
	page, err := exchange[Page](ctx, m.config.Client, q.Member.Address, PathPage, q.Request)
	if err != nil {
		m.config.Logger.WithError(err).Warn("claims not copied")
		return Page{Refused: true}
	}
	return page
}
