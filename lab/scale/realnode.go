package scale

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/samber/oops"

	"github.com/lugspur/lugspur/lab/cluster"
)

// realNode is a process of the product among the hollow nodes.
type realNode struct {
	*cluster.Process
	name  string
	admin string
}

// startReal starts a real node in the zone of its index.
func (f *fleet) startReal(lugspur, directory string, index int) error {
	addresses, err := cluster.FreeAddresses()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("real-%02d", index)
	settings := filepath.Join(directory, "real.toml")
	content := fmt.Sprintf("[admin]\ntoken = %q\n", cluster.Token)
	if err := os.WriteFile(settings, []byte(content), 0o600); err != nil {
		return oops.In("scale").With("step", "settings").Wrap(err)
	}
	process, err := cluster.Launch(name, filepath.Join(directory, name+".log"), nil, lugspur, "node",
		"-name", name, "-zone", zoneOf(index%(zoneCount-1)), "-region", regionOf(index%(zoneCount-1)), "-cluster", clusterName,
		"-listen-edge", addresses.Edge, "-listen-mesh", addresses.Mesh,
		"-listen-peer", addresses.Peer, "-listen-admin", addresses.Admin,
		"-store-endpoints", f.store.Address(), "-membership-seeds", strings.Join(f.seeds, ","),
		"-f", settings)
	if err != nil {
		return err
	}
	f.reals = append(f.reals, &realNode{Process: process, name: name, admin: addresses.Admin})
	return nil
}

// get reads a path of the administration listener.
func (n *realNode) get(ctx context.Context, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.admin+path, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+cluster.Token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
}

// awaitTarget polls until the node serves the target with the warm-up and
// returns when that was, in microseconds since 1970, zero if it never was.
func (n *realNode) awaitTarget(ctx context.Context, name string, warmup int) int64 {
	const pollInterval = 20 * time.Millisecond
	wanted := fmt.Sprintf("\"warmup_seconds\":%d", warmup)
	for ctx.Err() == nil {
		body, err := n.get(ctx, "/v1/targets/"+name)
		if err == nil && strings.Contains(strings.ReplaceAll(string(body), " ", ""), wanted) {
			return time.Now().UnixMicro()
		}
		if pause(ctx, pollInterval) != nil {
			break
		}
	}
	return 0
}
