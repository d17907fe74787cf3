//go:build review

// Package rig starts a small deployment for the cases of this review: the project's own node
// program as separate processes, beside stand-ins of the platform's store, of targets and of
// clients in the process of the case. Every address is a loopback address.
package rig

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lugspur/lugspur/internal/store"
	"github.com/lugspur/lugspur/internal/store/memory"
	"github.com/lugspur/lugspur/lab/platformstub"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Rig is a running deployment.
type Rig struct {
	Store   *memory.Store
	Stub    *platformstub.Store
	Address string
	Nodes   []*Node
	started time.Time
	dir     string
	// network is the beginning of the machines' addresses, other for each run, as the port of the
	// metrics is the same on all machines.
	network string
	record  *os.File
	mutex   sync.Mutex
	server  *http.Server
}

// Node is a machine: a node process and the addresses of its target.
type Node struct {
	Name, Zone, Service, IP                           string
	Calls, Peers, Ready, Heartbeats, Target, Settings string
	// StoreAddress is where the node reaches the store, if not at its own address.
	StoreAddress string
	permits      int
	rig          *Rig
	process      *exec.Cmd
	exited       chan struct{}
	startedOnce  bool
}

// New creates the record and the store. The configuration is what the operator wrote first.
func New(configuration string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	r := &Rig{Store: memory.New(time.Now), started: time.Now(), dir: dir, record: record,
		network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))}
	r.Stub = platformstub.NewStore(r.Store)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.Address = listener.Addr().String()
	r.server = &http.Server{Handler: r.Stub.Handler()}
	go func() { _ = r.server.Serve(listener) }()
	_, err = r.Store.CompareAndSwap(context.Background(), "op/config", 0, []byte(configuration), store.NoLease)
	return r, err
}

// Logf writes a line with the time since the start to the record.
func (r *Rig) Logf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, arguments...)...)
}

// Since returns a moment as seconds since the start.
func (r *Rig) Since(at time.Time) float64 { return at.Sub(r.started).Seconds() }

// Close ends every process that the rig started.
func (r *Rig) Close() {
	for _, n := range r.Nodes {
		n.Kill()
	}
	_ = r.server.Close()
	_ = r.record.Close()
	_ = os.RemoveAll(r.dir)
}

// freePorts returns different free ports of the address.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// AddNode adds a machine with its own loopback address. The process is not started.
func (r *Rig) AddNode(zone, service string) (*Node, error) {
	i := len(r.Nodes) + 1
	n := &Node{Name: fmt.Sprintf("sidecar-%s-%d", zone, i), Zone: zone, Service: service, IP: r.network + strconv.Itoa(i), rig: r}
	addresses := []*string{&n.Calls, &n.Peers, &n.Ready, &n.Heartbeats, &n.Target}
	ports, err := freePorts(n.IP, len(addresses)+1)
	if err != nil {
		return nil, err
	}
	for i, address := range addresses {
		*address = fmt.Sprintf("%s:%d", n.IP, ports[i])
	}
	n.permits = ports[len(addresses)]
	n.Settings = filepath.Join(r.dir, n.Name+".toml")
	r.Nodes = append(r.Nodes, n)
	return n, nil
}

// fields are the platform's settings of the machine, with the bounds of the site file naidu-grow.
func (n *Node) fields() map[string]any {
	return map[string]any{
		"node": n.Name, "zone": n.Zone, "service": n.Service, "app-addr": n.Target, "ip": n.IP, "bootstrap": !n.startedOnce,
		"platform":        map[string]any{"address": cmp.Or(n.StoreAddress, n.rig.Address)},
		"listen":          map[string]any{"inbound": n.Peers, "outbound": n.Calls, "ready": n.Ready, "control": n.Heartbeats},
		"ephemeral-ports": map[string]any{"0": n.permits},
		"bounds":          map[string]any{"grace-s": 6, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 57},
		"fault-tolerance": map[string]any{"zones": false},
	}
}

func lookUp(fields map[string]any, name string) any {
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		table, ok := value.(map[string]any)
		if !ok {
			return nil
		}
		value = table[part]
	}
	return value
}

var (
	sections = regexp.MustCompile(`(?s)\{\{#([a-z0-9.-]+)\}\}(.*?)\{\{/([a-z0-9.-]+)\}\}`)
	gaps     = regexp.MustCompile(`\{\{([a-z0-9.-]+)(\|json)?\}\}`)
)

// render fills in the project's own settings template as the platform does.
func render(template string, fields map[string]any) string {
	template = sections.ReplaceAllStringFunc(template, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if value := lookUp(fields, parts[1]); value == nil || value == false {
			return ""
		}
		return parts[2]
	})
	return gaps.ReplaceAllStringFunc(template, func(gap string) string {
		parts := gaps.FindStringSubmatch(gap)
		value := lookUp(fields, parts[1])
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, _ := json.Marshal(value)
		return string(encoded)
	})
}

// Start starts the node's process with the command of the deploy file.
func (n *Node) Start() error {
	template, err := os.ReadFile(filepath.Join(os.Getenv("ROOT"), "deploy", "node.toml.tmpl"))
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.Settings, []byte(render(string(template), n.fields())), 0o600); err != nil {
		return err
	}
	n.startedOnce = true
	output, err := os.OpenFile(n.Settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(filepath.Join(os.Getenv("ROOT"), "target", "lugspur-sidecar"), "run", "-f", n.Settings)
	n.process.Stdout, n.process.Stderr = output, output
	n.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.process.Start(); err != nil {
		return err
	}
	n.exited = make(chan struct{})
	process, exited := n.process, n.exited
	go func() {
		err := process.Wait()
		_ = output.Close()
		n.rig.Logf("process of %s ended: %v", n.Name, err)
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the node's process.
func (n *Node) Signal(signal syscall.Signal) {
	if n.process != nil {
		_ = n.process.Process.Signal(signal)
	}
}

// Kill ends the process and waits for its end.
func (n *Node) Kill() {
	if n.process == nil {
		return
	}
	n.Signal(syscall.SIGCONT)
	n.Signal(syscall.SIGKILL)
	<-n.exited
}

// Pid returns the process's id.
func (n *Node) Pid() int { return n.process.Process.Pid }

// AwaitEnd waits for the process's end.
func (n *Node) AwaitEnd(limit time.Duration) bool {
	select {
	case <-n.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// IsReady asks the node's ready address once.
func (n *Node) IsReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + n.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Logs returns the lines of the node's log that contain the text.
func (n *Node) Logs(text string) []string {
	content, _ := os.ReadFile(n.Settings + ".log")
	var found []string
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// Answer is the end of one request at a client.
type Answer struct {
	ID     string
	Sent   time.Time
	Ended  time.Time
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Send sends one request, as a client on the node's machine does, over a new connection.
func (n *Node) Send(id, method, host, uri string, deadline time.Duration, body []byte) Answer {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline}
	a := Answer{ID: id, Sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+n.Calls+uri, bytes.NewReader(body))
	if err != nil {
		a.Err = err
		return a
	}
	request.Host = host
	request.Header.Set("Lugspur-Attempt-Id", id)
	request.Header.Set("Lugspur-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err == nil {
		a.Status, a.Header = response.StatusCode, response.Header
		a.Body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	a.Err, a.Ended = err, time.Now()
	return a
}

// AwaitReady waits until every node is ready.
func (r *Rig) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, n := range r.Nodes {
			ready = ready && n.IsReady()
		}
		if ready {
			return true
		}
	}
	for _, n := range r.Nodes {
		r.Logf("log of %s: %q", n.Name, n.Logs(""))
	}
	return false
}

// Memory returns the resident memory of the node's process in MB, zero if it has none.
func (n *Node) Memory() int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", n.Pid()))
	fields := strings.Fields(string(content))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// Guard kills the node's process whenever its memory exceeds the limit, and starts it again, as the
// platform does. It returns the number of kills once done is closed.
func (n *Node) Guard(limitMB int, done <-chan struct{}) (kills int) {
	for {
		select {
		case <-done:
			return kills
		case <-time.After(2 * time.Millisecond):
		}
		memory := n.Memory()
		if memory <= limitMB {
			continue
		}
		n.Signal(syscall.SIGKILL)
		<-n.exited
		kills++
		n.rig.Logf("%s held %d MB, over memory-mb %d: killed, and started again", n.Name, memory, limitMB)
		time.Sleep(300 * time.Millisecond)
		if err := n.Start(); err != nil {
			n.rig.Logf("start %s: %v", n.Name, err)
			return kills
		}
	}
}
