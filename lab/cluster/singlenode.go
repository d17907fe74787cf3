package cluster

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/lab/mesh"
)

// SingleNodeZone is the zone and region of a node that StartSingleNode starts.
const SingleNodeZone = "alone"

// StartSingleNode starts a single node with the in-memory store, applies the content of
// an object file, and waits until the node is ready.
func StartSingleNode(ctx context.Context, lugspur, directory, objects string, flags ...string) (*Node, error) {
	addresses, err := freeAddresses()
	if err != nil {
		return nil, err
	}
	c := &Cluster{
		Config: Config{Lugspur: lugspur, Directory: directory, NodeFlags: append([]string{"-store-kind", "memory"}, flags...)},
		Mesh:   &mesh.Mesh{Name: SingleNodeZone},
	}
	node := &Node{Name: "node-1", Zone: SingleNodeZone, Region: SingleNodeZone, Addresses: addresses}
	c.Nodes = []*Node{node}
	if err := c.StartNode(node); err != nil {
		return nil, err
	}
	if err := c.applyObjectFile(ctx, objects); err != nil {
		_ = node.Stop(stopTimeout)
		return nil, err
	}
	return node, nil
}

func (c *Cluster) applyObjectFile(ctx context.Context, objects string) error {
	if err := c.AwaitMembers(ctx); err != nil {
		return err
	}
	file := filepath.Join(c.Config.Directory, "alone.toml")
	if err := os.WriteFile(file, []byte(objects), 0o644); err != nil {
		return err
	}
	if _, err := c.Command(ctx, "apply", "-f", file); err != nil {
		return err
	}
	return c.AwaitReady(ctx)
}

// Usage is the resource usage of a process.
type Usage struct {
	// CPUTime is the CPU time since the start.
	CPUTime time.Duration
	// Allocated is the total memory allocated since the start, in bytes.
	Allocated float64
	// Resident is the current resident memory, in bytes.
	Resident float64
}

// Usage returns the resource usage that the node's metrics report.
func (n *Node) Usage(ctx context.Context) (Usage, error) {
	content, err := sendJSON(ctx, http.MethodGet, "http://"+n.Addresses.Admin+"/metrics", nil)
	if err != nil {
		return Usage{}, err
	}
	values := parseMetrics(content)
	if values["process_cpu_seconds_total"] == 0 {
		return Usage{}, oops.In("cluster").With("step", "usage").With("peer", n.Name).Errorf("metrics of %s have no CPU time", n.Name)
	}
	return Usage{
		CPUTime:   time.Duration(values["process_cpu_seconds_total"] * float64(time.Second)),
		Allocated: values["go_memstats_alloc_bytes_total"],
		Resident:  values["process_resident_memory_bytes"],
	}, nil
}

// parseMetrics returns the values of the metrics without labels.
func parseMetrics(content []byte) map[string]float64 {
	values := map[string]float64{}
	scanner := bufio.NewScanner(bytes.NewReader(content))
	for scanner.Scan() {
		name, text, found := strings.Cut(scanner.Text(), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if value, err := strconv.ParseFloat(text, 64); err == nil {
			values[name] = value
		}
	}
	return values
}
