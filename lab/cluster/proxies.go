package cluster

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/lugspur/lugspur/lab/faultproxy"
	"github.com/lugspur/lugspur/lab/mesh"
)

// ProxiedCluster is a cluster whose nodes reach each other through fault proxies. A
// node's proxy carries what others send to it, over UDP and TCP, and its
// answers on those connections; what the node itself sends goes through the
// proxies of the receivers. Its methods may not be used at the same time.
type ProxiedCluster struct {
	*Cluster
	// Proxies are the proxies in front of the peer listeners, by node.
	Proxies map[string]*faultproxy.Proxy
	// settings is the nodes' settings file. It is written once: a node that
	// starts while another one does must not read half of it.
	settings string
}

// StartProxied starts a cluster as Start does, with a proxy in front of the peer
// listener of each node. On error nothing is left running.
func StartProxied(ctx context.Context, config Config) (*ProxiedCluster, error) {
	loaded, err := mesh.Load(config.MeshFile)
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(config.Directory, "proxied-node.toml")
	config.NodeFlags = append(slices.Clone(config.NodeFlags), "-f", settings)
	p := &ProxiedCluster{Cluster: &Cluster{Config: config, Mesh: loaded}, Proxies: map[string]*faultproxy.Proxy{}, settings: settings}
	if err := p.start(ctx); err != nil {
		return nil, errors.Join(err, p.Stop())
	}
	return p, nil
}

func (p *ProxiedCluster) start(ctx context.Context) error {
	if err := os.MkdirAll(p.Config.Directory, 0o755); err != nil {
		return err
	}
	content := fmt.Sprintf("[admin]\ntoken = %q\n", Token)
	if err := os.WriteFile(p.settings, []byte(content), 0o600); err != nil {
		return err
	}
	steps := []func(context.Context) error{
		func(context.Context) error { return p.startStore() },
		func(context.Context) error { return p.startTargets() },
		func(context.Context) error { return p.startNodes() },
		p.announceMesh,
		p.AwaitMembers,
		p.applyObjects,
		p.AwaitReady,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts the proxies and then the nodes. The first node of each zone
// is a seed of all others.
func (p *ProxiedCluster) startNodes() error {
	var seeds []string
	for index := range max(p.Config.NodesPerZone, 1) {
		for _, zone := range p.Mesh.Zones {
			node, proxy, err := newProxiedNode(zone, index)
			if err != nil {
				return err
			}
			p.Nodes = append(p.Nodes, node)
			p.Proxies[node.Name] = proxy
			if index == 0 {
				seeds = append(seeds, proxy.Address())
			}
		}
	}
	for _, node := range p.Nodes {
		node.seeds = seeds
		if err := p.StartNode(node); err != nil {
			return err
		}
	}
	return nil
}

func newProxiedNode(zone mesh.Zone, index int) (*Node, *faultproxy.Proxy, error) {
	addresses, err := freeAddresses()
	if err != nil {
		return nil, nil, err
	}
	proxy, err := faultproxy.New("127.0.0.1:0", addresses.Peer)
	if err != nil {
		return nil, nil, err
	}
	return &Node{
		Name:      NodeName(zone.Name, index),
		Zone:      zone.Name,
		Region:    zone.Region,
		Addresses: addresses,
	}, proxy, nil
}

// NodeName returns the name of a zone's node, counted from zero.
func NodeName(zone string, index int) string { return fmt.Sprintf("%s-%d", zone, index+1) }

// StartNode starts the node's process behind its proxy, also after it has ended.
func (p *ProxiedCluster) StartNode(node *Node) error {
	flags := p.Config.NodeFlags
	defer func() { p.Config.NodeFlags = flags }()
	p.Config.NodeFlags = append(slices.Clone(flags), "-advertise-peer", p.Proxies[node.Name].Address())
	return p.Cluster.StartNode(node)
}

// Stop ends all processes and the proxies.
func (p *ProxiedCluster) Stop() error {
	failures := []error{p.Cluster.Stop()}
	for _, proxy := range p.Proxies {
		failures = append(failures, proxy.Close())
	}
	return errors.Join(failures...)
}

// SetMeshAddresses tells the targets of the named zones where to send their
// calls.
func (c *Cluster) SetMeshAddresses(ctx context.Context, addresses map[string]string) error {
	return exchange(ctx, "POST", c.targetsURL("/mesh-addresses"), addresses, nil)
}
