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

// ProxiedCluster is a cluster whose nodes reach each other through fault proxies. The
// proxy of a node forwards the UDP and TCP traffic that other nodes send to it, and
// the responses on those connections. Traffic that the node itself initiates passes
// through the proxies of the receivers. ProxiedCluster is not safe for concurrent use.
type ProxiedCluster struct {
	*Cluster
	// Proxies are the proxies in front of the peer listeners, by node.
	Proxies map[string]*faultproxy.Proxy
	// settings is the path of the nodes' settings file. The file is written only
	// once, so that a node that starts can't read a partly written file.
	settings string
}

// StartProxied starts a cluster as Start does, with a proxy in front of the peer
// listener of each node. On an error it stops the processes that it started.
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
		p.sendMeshAddresses,
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

// startNodes starts the proxies and then the nodes. The first node of each zone is a
// membership seed of all nodes.
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

// NodeName returns the name of the zone's node with the given index, from zero.
func NodeName(zone string, index int) string { return fmt.Sprintf("%s-%d", zone, index+1) }

// StartNode starts the node's process behind its proxy, or restarts it after it has
// ended.
func (p *ProxiedCluster) StartNode(node *Node) error {
	flags := p.Config.NodeFlags
	defer func() { p.Config.NodeFlags = flags }()
	p.Config.NodeFlags = append(slices.Clone(flags), "-advertise-peer", p.Proxies[node.Name].Address())
	return p.Cluster.StartNode(node)
}

// Stop stops all processes and closes the proxies.
func (p *ProxiedCluster) Stop() error {
	failures := []error{p.Cluster.Stop()}
	for _, proxy := range p.Proxies {
		failures = append(failures, proxy.Close())
	}
	return errors.Join(failures...)
}

// SetMeshAddresses sets the addresses, by zone, to which the targets send their
// downstream calls.
func (c *Cluster) SetMeshAddresses(ctx context.Context, addresses map[string]string) error {
	return exchangeJSON(ctx, "POST", c.targetsURL("/mesh-addresses"), addresses, nil)
}
