// Package cluster runs a mesh with lugspur in front of it as separate processes
// on the loopback interface: the store, the targets, and the nodes of every
// zone.
package cluster

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/lab/emulator"
	"github.com/lugspur/lugspur/lab/mesh"
)

// Token is the token of the administration API of a cluster's nodes.
const Token = "cluster-administration-token"

// Config says what a cluster consists of.
type Config struct {
	// Lugspur and Lab are the programs.
	Lugspur, Lab string
	// MeshFile is the mesh that the targets come from.
	MeshFile string
	// Policies is the directory of the services' policies; empty means none.
	Policies string
	// Directory holds logs and generated files.
	Directory string
	// NodesPerZone is the number of nodes in each zone, at least one.
	NodesPerZone int
	// NodeFlags are further flags of every node.
	NodeFlags []string
	// StoreRate bounds the requests a second that the store takes; zero is no
	// bound.
	StoreRate float64
	// StoreSettings are further flags of the store.
	StoreFlags []string
	// TargetFlags are further flags of the targets.
	TargetFlags []string
	// Records has the targets write their executions to a file in Directory.
	Records bool
	Seed    uint64
}

// Addresses are where a node listens.
type Addresses struct {
	Edge, Mesh, Peer, Admin string
}

// Node is a node of the cluster. A node that was started again keeps its name
// and addresses and gets a new process.
type Node struct {
	*Process
	Name, Zone, Region string
	Addresses          Addresses
	seeds              []string
}

// Cluster is a running mesh. Its methods may not be used at the same time.
type Cluster struct {
	Config Config
	Mesh   *mesh.Mesh
	Nodes  []*Node

	store           *Process
	targets         *Process
	storeAddresses  storeReady
	targetAddresses targetsReady
}

// storeReady is the line that the store prints.
type storeReady struct {
	Store   string `json:"store"`
	Control string `json:"control"`
}

// targetsReady is the line that the targets print.
type targetsReady struct {
	Targets []emulator.TargetInfo `json:"targets"`
	Control string                `json:"control"`
}

// Start starts everything, applies the objects of the mesh and waits until
// every node has them. On error nothing is left running.
func Start(ctx context.Context, config Config) (*Cluster, error) {
	loaded, err := mesh.Load(config.MeshFile)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Config: config, Mesh: loaded}
	if err := c.start(ctx); err != nil {
		return nil, errors.Join(err, c.Stop())
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	if err := os.MkdirAll(c.Config.Directory, 0o755); err != nil {
		return err
	}
	if err := c.startStore(); err != nil {
		return err
	}
	if err := c.startTargets(); err != nil {
		return err
	}
	if err := c.startNodes(); err != nil {
		return err
	}
	if err := c.announceMesh(ctx); err != nil {
		return err
	}
	if err := c.AwaitMembers(ctx); err != nil {
		return err
	}
	if err := c.applyObjects(ctx); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

func (c *Cluster) logFile(name string) string { return filepath.Join(c.Config.Directory, name+".log") }

func (c *Cluster) startStore() error {
	arguments := append([]string{"store", "-rate", strconv.FormatFloat(c.Config.StoreRate, 'f', -1, 64),
		"-seed", strconv.FormatUint(c.Config.Seed, 10)}, c.Config.StoreFlags...)
	var err error
	c.store, err = startProcess("store", c.logFile("store"), &c.storeAddresses, c.Config.Lab, arguments...)
	return err
}

func (c *Cluster) startTargets() error {
	arguments := []string{"targets", "-mesh", c.Config.MeshFile, "-seed", strconv.FormatUint(c.Config.Seed, 10)}
	if c.Config.Records {
		arguments = append(arguments, "-records", c.RecordsFile())
	}
	arguments = append(arguments, c.Config.TargetFlags...)
	var err error
	c.targets, err = startProcess("targets", c.logFile("targets"), &c.targetAddresses, c.Config.Lab, arguments...)
	return err
}

// RecordsFile is where the targets write their executions.
func (c *Cluster) RecordsFile() string { return filepath.Join(c.Config.Directory, "records.jsonl") }

// startNodes starts the nodes of every zone. The first node of each zone is a
// seed of all others.
func (c *Cluster) startNodes() error {
	var seeds []string
	for index := range max(c.Config.NodesPerZone, 1) {
		for _, zone := range c.Mesh.Zones {
			addresses, err := freeAddresses()
			if err != nil {
				return err
			}
			if index == 0 {
				seeds = append(seeds, addresses.Peer)
			}
			c.Nodes = append(c.Nodes, &Node{
				Name:      fmt.Sprintf("%s-%d", zone.Name, index+1),
				Zone:      zone.Name,
				Region:    zone.Region,
				Addresses: addresses,
			})
		}
	}
	for _, node := range c.Nodes {
		node.seeds = seeds
		if err := c.StartNode(node); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts the node's process, also after it has ended.
func (c *Cluster) StartNode(node *Node) error {
	arguments := []string{"node",
		"-name", node.Name, "-zone", node.Zone, "-region", node.Region, "-cluster", c.Mesh.Name,
		"-listen-edge", node.Addresses.Edge, "-listen-mesh", node.Addresses.Mesh,
		"-listen-peer", node.Addresses.Peer, "-listen-admin", node.Addresses.Admin,
		"-store-endpoints", c.storeAddresses.Store,
		"-membership-seeds", strings.Join(node.seeds, ","),
		"-claims-replicas", strconv.Itoa(c.claimReplicas()),
		"-f", c.settingsFile(),
	}
	if err := c.writeSettings(); err != nil {
		return err
	}
	process, err := startProcess(node.Name, c.logFile(node.Name), nil, c.Config.Lugspur, append(arguments, c.Config.NodeFlags...)...)
	node.Process = process
	return err
}

// claimReplicas returns how many claim replicas suit the number of nodes: three,
// or five, which outlive the loss of two at once, with a node to spare.
func (c *Cluster) claimReplicas() int {
	const few, many = 3, 5
	if len(c.Nodes) > many {
		return many
	}
	return few
}

func (c *Cluster) settingsFile() string { return filepath.Join(c.Config.Directory, "node.toml") }

// writeSettings writes the settings that all nodes share. The file is replaced
// as a whole, because nodes may start meanwhile.
func (c *Cluster) writeSettings() error {
	content := fmt.Sprintf("[admin]\ntoken = %q\n", Token)
	fresh := c.settingsFile() + ".new"
	if err := os.WriteFile(fresh, []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(fresh, c.settingsFile())
}

// announceMesh tells the targets where the nodes of their zones are.
func (c *Cluster) announceMesh(ctx context.Context) error {
	addresses := map[string]string{}
	for _, node := range c.Nodes {
		if addresses[node.Zone] == "" {
			addresses[node.Zone] = node.Addresses.Mesh
		}
	}
	return exchange(ctx, "POST", c.targetsURL("/mesh-addresses"), addresses, nil)
}

// Edges returns the edge addresses by zone.
func (c *Cluster) Edges() mesh.ZoneAddresses {
	edges := mesh.ZoneAddresses{}
	for _, node := range c.Nodes {
		edges[node.Zone] = append(edges[node.Zone], node.Addresses.Edge)
	}
	return edges
}

// Command runs a verb of the operator's command line against all nodes and
// returns its output.
func (c *Cluster) Command(ctx context.Context, arguments ...string) (string, error) {
	var admins []string
	for _, node := range c.Nodes {
		if node.Process != nil && node.Running() {
			admins = append(admins, node.Addresses.Admin)
		}
	}
	arguments = append([]string{"-admin", strings.Join(admins, ","), "-token", Token}, arguments...)
	command := exec.CommandContext(ctx, c.Config.Lugspur, arguments...)
	var output bytes.Buffer
	command.Stdout = &output
	command.Stderr = &output
	if err := command.Run(); err != nil {
		return output.String(), oops.In("cluster").With("step", "command").
			Wrapf(err, "lugspur %s: %s", strings.Join(arguments[4:], " "), output.String())
	}
	return output.String(), nil
}

// stopTimeout bounds the planned stop of one process.
const stopTimeout = 40 * time.Second

// Stop ends all processes of the cluster, the nodes first.
func (c *Cluster) Stop() error {
	var failures []error
	for _, node := range c.running() {
		node.Resume()
		node.Terminate()
	}
	for _, node := range c.running() {
		failures = append(failures, node.Stop(stopTimeout))
	}
	for _, process := range []*Process{c.targets, c.store} {
		if process != nil && process.Running() {
			failures = append(failures, process.Stop(stopTimeout))
		}
	}
	return errors.Join(failures...)
}
