package startup

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var errWrong = errors.New("wrong")

func socketError(errno syscall.Errno) error {
	return fmt.Errorf("listen: %w", &net.OpError{Op: "listen", Err: os.NewSyscallError("bind", errno)})
}

// recorder is a clock and the observer of a start.
type recorder struct {
	now    time.Time
	events []string
	waits  int
	// endAfter is the number of waits after which the context has ended, 0 for never.
	endAfter int
}

func (r *recorder) StartDelayed(step Step, err error) {
	r.events = append(r.events, fmt.Sprintf("delayed %s: %v", step.Subject, err))
}

func (r *recorder) StartResumed(step Step, delayed time.Duration) {
	r.events = append(r.events, fmt.Sprintf("resumed %s after %v", step.Subject, delayed))
}

func (r *recorder) StartFailed(step Step, delayed time.Duration, err error) {
	r.events = append(r.events, fmt.Sprintf("failed %s after %v: %v", step.Subject, delayed, err))
}

func (r *recorder) wait(ctx context.Context, duration time.Duration) bool {
	r.waits++
	r.now = r.now.Add(duration)
	return r.waits != r.endAfter
}

func TestStartGivesUpAtFirstError(t *testing.T) {
	inUse := socketError(syscall.EADDRINUSE)
	errorsFor := func(duration time.Duration, err error) func(time.Duration) error {
		return func(elapsed time.Duration) error {
			if elapsed < duration {
				return err
			}
			return nil
		}
	}
	required, optional := Limit{GiveUpAfter: 10 * time.Second}, Limit{Optional: true}
	starts := []struct {
		name     string
		limit    Limit
		result   func(elapsed time.Duration) error
		endAfter int
		tries    int
		events   []string
		failure  error
	}{
		{"no error", required, errorsFor(0, nil), 0, 1, nil, nil},
		{"address in use for a moment", required, errorsFor(5*time.Millisecond, inUse), 0, 2,
			[]string{"delayed a: listen: listen: bind: address already in use", "resumed a after 10ms"}, nil},
		{"address in use for seconds", required, errorsFor(3*time.Second, inUse), 0, 12,
			[]string{"delayed a: listen: listen: bind: address already in use", "resumed a after 3.13s"}, nil},
		{"address in use for good", required, errorsFor(time.Hour, inUse), 0, 26,
			[]string{"delayed a: listen: listen: bind: address already in use", "failed a after 10s: listen: listen: bind: address already in use"}, inUse},
		{"error that does not pass", required, errorsFor(time.Hour, errWrong), 0, 1, []string{"failed a after 0s: wrong"}, errWrong},
		{"transient error that does not pass later", required, func(elapsed time.Duration) error {
			if elapsed == 0 {
				return inUse
			}
			return errWrong
		}, 0, 2, []string{"delayed a: listen: listen: bind: address already in use", "failed a after 10ms: wrong"}, errWrong},
		{"optional step", optional, errorsFor(time.Minute, errWrong), 0, 126, []string{"delayed a: wrong", "resumed a after 1m0.13s"}, nil},
		{"stopped while waiting", required, errorsFor(time.Hour, inUse), 3, 3,
			[]string{"delayed a: listen: listen: bind: address already in use"}, context.Canceled},
	}
	for _, start := range starts {
		t.Run(start.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			began := time.Unix(1000, 0)
			r := &recorder{now: began, endAfter: start.endAfter}
			tries := 0
			starter := Starter{Observer: r, Now: func() time.Time { return r.now }, Wait: r.wait}
			err := starter.Run(ctx, Step{Name: "listen", Subject: "a", Limit: start.limit, Try: func() error {
				tries++
				return start.result(r.now.Sub(began))
			}})
			assert.Equal(t, err, start.failure)
			assert.Equal(t, tries, start.tries)
			assert.DeepEqual(t, r.events, start.events)
		})
	}
}

func TestTransientErrors(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EADDRINUSE, syscall.EADDRNOTAVAIL, syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.ENOBUFS, syscall.EAGAIN} {
		assert.Assert(t, Transient(socketError(errno)), "%v", errno)
	}
	for _, errno := range []syscall.Errno{syscall.EACCES, syscall.EINVAL, syscall.EAFNOSUPPORT} {
		assert.Assert(t, !Transient(socketError(errno)), "%v", errno)
	}
	assert.Assert(t, Transient(fmt.Errorf("read: %w", MarkTransient(errWrong))))
	assert.Assert(t, !Transient(errWrong))
}

func TestFileSettlesAfterLastChange(t *testing.T) {
	var settling Settling
	at := func(milliseconds int) time.Time { return time.UnixMilli(int64(milliseconds)) }
	assert.Assert(t, !settling.Settled(at(0), []byte("a")))
	assert.Assert(t, !settling.Settled(at(900), []byte("ab")))
	assert.Assert(t, !settling.Settled(at(1800), []byte("ab")))
	assert.Assert(t, settling.Settled(at(1900), []byte("ab")))
	assert.Assert(t, !settling.Settled(at(2000), nil))
}
