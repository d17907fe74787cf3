package scale

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/lugspur/lugspur/internal/configuration"
	"github.com/lugspur/lugspur/internal/gossip"
	"github.com/lugspur/lugspur/internal/membership"
	"github.com/lugspur/lugspur/internal/resource"
	"github.com/lugspur/lugspur/internal/shed"
	"github.com/lugspur/lugspur/internal/store/etcd"
)

// Limits of a hollow node's connections.
const (
	dialTimeout      = time.Second
	maxIdle          = 16
	idleTimeout      = 20 * time.Second
	storeRequestRate = 20
	// gossipInterval is how often the payload is made anew, as in a real node.
	gossipInterval = 100 * time.Millisecond
)

// HollowConfig describes one hollow node.
type HollowConfig struct {
	Name    string   `json:"name"`
	Zone    string   `json:"zone"`
	Region  string   `json:"region"`
	Cluster string   `json:"cluster"`
	Seeds   []string `json:"seeds"`
	Store   string   `json:"store"`
	// Listen is the peer address to take; empty means a free port.
	Listen string `json:"listen,omitempty"`
	// Incarnation and BootID are those of the run; zero draws new ones.
	Incarnation uint64 `json:"incarnation,omitempty"`
	BootID      uint64 `json:"boot_id,omitempty"`
	// PeriodMillis is the time between two heartbeats; zero is the default.
	PeriodMillis int `json:"period_ms,omitempty"`
}

// hollow is one hollow node.
type hollow struct {
	config   HollowConfig
	address  string
	traffic  *traffic
	packets  *datagrams
	server   *http.Server
	client   *http.Transport
	store    *gatedStore
	etcd     *etcd.Client
	members  *membership.Membership
	replica  *configuration.Replica
	spreader *configuration.Spreader
	writer   *configuration.Writer
	shedding *shed.Table
	levels   atomic.Pointer[[]gossip.Level]
	recorder *recorder
	streams  net.Listener
	lifetime context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newHollow returns a node on its sockets, which it closes when it ends. It
// knows the given members from the start, as after a comparison of lists.
func newHollow(config HollowConfig, sockets peerSockets, known []membership.Member, cut *cut, recorder *recorder) (*hollow, error) {
	h := &hollow{config: config, traffic: &traffic{}, recorder: recorder, shedding: shed.NewTable(shed.TableConfig{})}
	h.lifetime, h.cancel = context.WithCancel(context.Background())
	h.address = sockets.address()
	h.packets = newDatagrams(sockets.datagrams, h.address, cut)
	if err := h.provision(cut); err != nil {
		_ = sockets.streams.Close()
		_ = h.packets.Close()
		return nil, err
	}
	h.members.Merge(known)
	h.streams = countedListener{Listener: sockets.streams, traffic: h.traffic}
	return h, nil
}

func (h *hollow) provision(cut *cut) error {
	h.client = &http.Transport{
		DialContext:         h.traffic.dial,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	client := &http.Client{Transport: &requests{inner: h.client, own: h.address, cut: cut}}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	logger.SetLevel(logrus.ErrorLevel)
	log := logrus.NewEntry(logger)
	var err error
	h.etcd, err = etcd.New(etcd.Config{Endpoints: []string{h.config.Store}, RequestsPerSecond: storeRequestRate})
	if err != nil {
		return err
	}
	h.store = newGatedStore(h.etcd)
	h.members, err = membership.New(membership.Config{
		ClusterName: h.config.Cluster,
		Self: membership.Member{
			Name:        h.config.Name,
			Zone:        h.config.Zone,
			Region:      h.config.Region,
			PeerAddress: h.address,
			MeshAddress: h.address,
			Incarnation: h.config.Incarnation,
			BootID:      h.config.BootID,
		},
		Seeds:     h.config.Seeds,
		Period:    time.Duration(h.config.PeriodMillis) * time.Millisecond,
		Transport: h.packets,
		Exchange:  membership.HTTPExchange(client, h.config.Cluster),
		OnPayload: h.takeGossip,
		Logger:    log,
	})
	if err != nil {
		h.etcd.Close()
		return err
	}
	h.members.Subscribe(h.observe)
	h.replica = configuration.NewReplica(time.Now)
	h.replica.Subscribe(h.changed)
	h.spreader = configuration.NewSpreader(configuration.Options{
		Self:       configuration.Member{Name: h.config.Name, Zone: h.config.Zone, PeerAddress: h.address, Live: true},
		Store:      h.store,
		Membership: gossip.Members{Membership: h.members},
		Seeds:      h.config.Seeds,
		Client:     client,
		Log:        log,
	}, h.replica)
	h.writer = configuration.NewWriter(h.store, h.replica, h.spreader.Announce, time.Now)
	mux := http.NewServeMux()
	h.spreader.Register(mux)
	mux.Handle(membership.ExchangePath, h.members.Handler())
	h.server = &http.Server{Handler: refuseCut(h.address, cut, mux), IdleTimeout: 2 * idleTimeout, ReadHeaderTimeout: idleTimeout}
	return nil
}

// run starts the node's work, which ends with stop.
func (h *hollow) run() {
	ctx := h.lifetime
	h.running.Go(func() { _ = h.members.Run(ctx) })
	h.running.Go(func() { h.spreader.Run(ctx) })
	h.running.Go(func() { h.keepGossiping(ctx) })
	h.running.Go(func() { _ = h.server.Serve(h.streams) })
}

// stop ends the node without a word to the others.
func (h *hollow) stop() {
	h.cancel()
	_ = h.packets.Close()
	_ = h.server.Close()
	_ = h.streams.Close()
	h.etcd.Close()
	h.running.Wait()
	h.client.CloseIdleConnections()
}

// leave ends the node as planned.
func (h *hollow) leave(pause time.Duration) {
	h.members.Leave()
	time.Sleep(pause)
	h.members.Close()
	h.stop()
}

func (h *hollow) keepGossiping(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		h.updateGossip()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (h *hollow) updateGossip() {
	payload := gossip.Payload{Digest: h.spreader.Digest(), Version: uint64(time.Now().UnixMilli())}
	if levels := h.levels.Load(); levels != nil {
		payload.Levels = *levels
	}
	encoded, err := payload.Encode()
	if err == nil {
		err = h.members.SetPayload(encoded)
	}
	if err != nil {
		logrus.WithError(err).WithField("node", h.config.Name).Error("gossip payload not sent")
	}
}

func (h *hollow) takeGossip(from membership.Member, payload []byte) {
	received, err := gossip.Decode(payload)
	if err != nil {
		return
	}
	h.spreader.HandleDigest(gossip.MemberOf(from), received.Digest)
	for _, level := range received.Levels {
		if target, known := targetByHash[level.Target]; known {
			h.shedding.Update(shed.Entry{
				Service:   target.service,
				Target:    target.name,
				Origin:    from.Name,
				Threshold: level.Threshold,
				Weight:    targetSlots,
				Version:   received.Version,
			}, time.Now())
		}
	}
}

func (h *hollow) changed(versions []resource.Versioned) { h.recorder.changed(h.config.Name, versions) }

func (h *hollow) observe(event membership.Event) {
	switch event.Kind {
	case membership.EventDied:
		h.recorder.died(h.config.Name, event.Member.Name)
	case membership.EventJoined, membership.EventRecovered:
		h.recorder.returned(h.config.Name, event.Member.Name)
	}
}
