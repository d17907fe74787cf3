// Package cluster runs a mesh behind lugspur as separate processes on the loopback
// interface: the store, the targets, and the nodes of every zone.
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

// Token is the token for the administration API of the nodes.
const Token = "cluster-administration-token"

// Config is the configuration of a cluster.
type Config struct {
	// Lugspur and Lab are the paths of the programs.
	Lugspur, Lab string
	// MeshFile is the path of the mesh file.
	MeshFile string
	// Policies is the directory of the services' policies; empty means none.
	Policies string
	// Directory is the directory for logs and generated files.
	Directory string
	// NodesPerZone is the number of nodes in each zone, at least one.
	NodesPerZone int
	// NodeFlags are additional flags of every node.
	NodeFlags []string
	// StoreRate is the request limit of the store per second; zero means no
	// limit.
	StoreRate float64
	// StoreFlags are additional flags of the store.
	StoreFlags []string
	// TargetFlags are additional flags of the targets.
	TargetFlags []string
	// Records makes the targets write their executions to a file in Directory.
	Records bool
	Seed    uint64
}

// Addresses are the listen addresses of a node.
type Addresses struct {
	Edge, Mesh, Peer, Admin string
}

// Node is a node of the cluster. A restarted node keeps its name and addresses and
// has a new process.
type Node struct {
	*Process
	Name, Zone, Region string
	Addresses          Addresses
	seeds              []string
}

// Cluster is a running mesh. It is not safe for concurrent use.
type Cluster struct {
	Config Config
	Mesh   *mesh.Mesh
	Nodes  []*Node

	store           *Process
	targets         *Process
	storeAddresses  storeReady
	targetAddresses targetsReady
}

// storeReady is the line that the store prints when it is ready.
type storeReady struct {
	Store   string `json:"store"`
	Control string `json:"control"`
}

// targetsReady is the line that the targets print when they are ready.
type targetsReady struct {
	Targets []emulator.TargetInfo `json:"targets"`
	Control string                `json:"control"`
}

// Start starts all processes, applies the objects of the mesh and waits until the
// nodes are ready. On an error it stops the processes that it started.
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
	if err := c.sendMeshAddresses(ctx); err != nil {
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

// RecordsFile returns the path of the file to which targets write their executions.
func (c *Cluster) RecordsFile() string { return filepath.Join(c.Config.Directory, "records.jsonl") }

// startNodes starts the nodes of every zone. The first node of each zone is a
// membership seed of all nodes.
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

// StartNode starts the node's process, or restarts it after it has ended.
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

// claimReplicas returns the number of claim replicas: three or, with more than five
// nodes, five, which tolerate the loss of two replicas at a time and leave a spare
// node.
func (c *Cluster) claimReplicas() int {
	const small, large = 3, 5
	if len(c.Nodes) > large {
		return large
	}
	return small
}

func (c *Cluster) settingsFile() string { return filepath.Join(c.Config.Directory, "node.toml") }

// writeSettings writes the settings that all nodes share. It replaces the file
// atomically, as a node that is starting may be reading it.
func (c *Cluster) writeSettings() error {
	content := fmt.Sprintf("[admin]\ntoken = %q\n", Token)
	temporary := c.settingsFile() + ".new"
	if err := os.WriteFile(temporary, []byte(content), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, c.settingsFile())
}

// sendMeshAddresses sends the mesh address of the first node of each zone to the
// targets.
func (c *Cluster) sendMeshAddresses(ctx context.Context) error {
	addresses := map[string]string{}
	for _, node := range c.Nodes {
		if addresses[node.Zone] == "" {
			addresses[node.Zone] = node.Addresses.Mesh
		}
	}
	return exchangeJSON(ctx, "POST", c.targetsURL("/mesh-addresses"), addresses, nil)
}

// Edges returns the edge addresses by zone.
func (c *Cluster) Edges() mesh.ZoneAddresses {
	edges := mesh.ZoneAddresses{}
	for _, node := range c.Nodes {
		edges[node.Zone] = append(edges[node.Zone], node.Addresses.Edge)
	}
	return edges
}

// Command runs an operator command against all running nodes and returns its
// output.
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

// stopTimeout is the timeout for the graceful stop of one process.
const stopTimeout = 40 * time.Second

// Stop stops all processes of the cluster, the nodes first.
func (c *Cluster) Stop() error {
	var failures []error
	for _, node := range c.runningNodes() {
		node.Resume()
		node.Terminate()
	}
	for _, node := range c.runningNodes() {
		failures = append(failures, node.Stop(stopTimeout))
	}
	for _, process := range []*Process{c.targets, c.store} {
		if process != nil && process.Running() {
			failures = append(failures, process.Stop(stopTimeout))
		}
	}
	return errors.Join(failures...)
}
