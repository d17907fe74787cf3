package cluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"
)

// Process is a child process of the cluster.
type Process struct {
	// Name identifies the process in errors.
	Name string

	command *exec.Cmd
	output  *os.File
	done    chan struct{}
	// outputCopied is closed once standard output has been copied to the log file.
	// It is nil if the process writes to the file directly.
	outputCopied    chan struct{}
	signalErrorOnce sync.Once
	err             error
}

// startProcess starts a program. Its output is appended to the log file. If ready is
// not nil, the first line of its standard output is decoded into it as JSON.
func startProcess(name, logFile string, ready any, program string, arguments ...string) (*Process, error) {
	output, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, oops.In("cluster").With("step", "start").With("peer", name).Wrapf(err, "open log file of %s", name)
	}
	p := &Process{Name: name, command: exec.Command(program, arguments...), output: output, done: make(chan struct{})}
	p.command.Stderr = output
	if ready == nil {
		p.command.Stdout = output
		err = p.command.Start()
	} else {
		err = p.startAndRead(ready)
	}
	if err != nil {
		_ = output.Close()
		return nil, oops.In("cluster").With("step", "start").With("peer", name).Wrapf(err, "start %s", name)
	}
	go p.wait()
	return p, nil
}

func (p *Process) startAndRead(ready any) error {
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	reader := bufio.NewReader(stdout)
	line, err := reader.ReadBytes('\n')
	if err == nil {
		err = json.Unmarshal(line, ready)
	}
	if err != nil {
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
		return fmt.Errorf("ready line %q: %w", line, err)
	}
	p.outputCopied = make(chan struct{})
	go func() {
		_, _ = io.Copy(p.output, reader)
		close(p.outputCopied)
	}()
	return nil
}

// wait waits for the process to end. It first waits until the output is copied, as
// exec.Cmd.Wait closes the pipe and unread output would be lost.
func (p *Process) wait() {
	if p.outputCopied != nil {
		<-p.outputCopied
	}
	p.err = p.command.Wait()
	_ = p.output.Close()
	close(p.done)
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Err returns the error with which the process ended, nil if it exited with code 0. It must only be
// called after Done was closed.
func (p *Process) Err() error { return p.err }

// Running reports whether the process is still running.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ID returns the process ID.
func (p *Process) ID() int { return p.command.Process.Pid }

// Kill sends SIGKILL and waits for the process to end.
func (p *Process) Kill() { p.signal(syscall.SIGKILL); <-p.done }

// Freeze suspends the process until Resume.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Resume continues a suspended process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// Terminate sends SIGTERM, which requests a graceful stop. It does not wait.
func (p *Process) Terminate() { p.signal(syscall.SIGTERM) }

// Hangup sends SIGHUP. It does not wait.
func (p *Process) Hangup() { p.signal(syscall.SIGHUP) }

// Stop requests a graceful stop, waits for it, and kills the process after the
// timeout. It returns an error if the process was killed or exited with an error.
func (p *Process) Stop(timeout time.Duration) error {
	p.Resume()
	p.Terminate()
	select {
	case <-p.done:
	case <-time.After(timeout):
		p.Kill()
		return oops.In("cluster").With("step", "stop").With("peer", p.Name).Errorf("%s did not stop within %s", p.Name, timeout)
	}
	if p.err != nil {
		return oops.In("cluster").With("step", "stop").With("peer", p.Name).Wrapf(p.err, "%s", p.Name)
	}
	return nil
}

// signal sends a signal to the process, unless it has ended.
func (p *Process) signal(signal syscall.Signal) {
	err := p.command.Process.Signal(signal)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.signalErrorOnce.Do(func() { fmt.Fprintf(os.Stderr, "signal %s: %v\n", p.Name, err) })
	}
}
