package scale

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
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
	listenAttempts   = 20
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
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// startHollow starts a node.
func startHollow(config HollowConfig, cut *cut, recorder *recorder) (*hollow, error) {
	h := &hollow{config: config, traffic: &traffic{}, recorder: recorder, shedding: shed.NewTable(shed.TableConfig{})}
	listener, transport, err := listenPeer(config.Listen)
	if err != nil {
		return nil, err
	}
	h.address = listener.Addr().String()
	h.packets = newDatagrams(transport, h.address, cut)
	if err := h.provision(cut); err != nil {
		_ = listener.Close()
		_ = h.packets.Close()
		return nil, err
	}
	h.run(countedListener{Listener: listener, traffic: h.traffic})
	return h, nil
}

// listenPeer opens a TCP listener and a UDP socket of the same port.
func listenPeer(address string) (net.Listener, *membership.UDPTransport, error) {
	wanted := address
	if wanted == "" {
		wanted = "127.0.0.1:0"
	}
	var err error
	for range listenAttempts {
		var listener net.Listener
		listener, err = net.Listen("tcp", wanted)
		if err != nil {
			continue
		}
		var transport *membership.UDPTransport
		transport, err = membership.ListenUDP(listener.Addr().String())
		if err == nil {
			return listener, transport, nil
		}
		_ = listener.Close()
	}
	return nil, nil, oops.In("scale").With("step", "listen").With("peer", wanted).Wrap(err)
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
		Membership: h,
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

func (h *hollow) run(listener net.Listener) {
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	h.running.Go(func() { _ = h.members.Run(ctx) })
	h.running.Go(func() { h.spreader.Run(ctx) })
	h.running.Go(func() { h.keepGossiping(ctx) })
	h.running.Go(func() { _ = h.server.Serve(listener) })
}

// stop ends the node without a word to the others.
func (h *hollow) stop() {
	h.cancel()
	_ = h.packets.Close()
	_ = h.server.Close()
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

// Members implements configuration.Membership.
func (h *hollow) Members() []configuration.Member {
	known := h.members.Members()
	members := make([]configuration.Member, 0, len(known))
	for _, member := range known {
		members = append(members, configurationMember(member))
	}
	return members
}

func configurationMember(member membership.Member) configuration.Member {
	return configuration.Member{
		Name:        member.Name,
		Zone:        member.Zone,
		PeerAddress: member.PeerAddress,
		Live:        member.State.Live(),
	}
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
	h.spreader.HandleDigest(configurationMember(from), received.Digest)
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
