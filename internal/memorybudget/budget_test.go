package memorybudget

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

const mebibyte = 1 << 20

func TestLimitsAllow(t *testing.T) {
	limits := Limits{Total: 100 * mebibyte}
	for name, c := range map[string]struct {
		held, size int64
		work       Work
		allowed    bool
	}{
		"large request beside nothing":           {0, 64 * mebibyte, Starting, true},
		"second large request":                   {64 * mebibyte, 64 * mebibyte, Starting, false},
		"large request up to its share":          {65 * mebibyte, 10 * mebibyte, Starting, true},
		"large request beyond its share":         {66 * mebibyte, 10 * mebibyte, Starting, false},
		"response of work done, in its place":    {76 * mebibyte, 10 * mebibyte, Completing, true},
		"response of work done, beyond its part": {80 * mebibyte, 10 * mebibyte, Completing, false},
		"small request while large are refused":  {90 * mebibyte, SmallBytes, Starting, true},
		"small request up to the whole":          {100*mebibyte - SmallBytes, SmallBytes, Starting, true},
		"small request beyond the whole":         {100 * mebibyte, 1, Starting, false},
	} {
		assert.Equal(t, limits.Allows(c.held, c.size, c.size, c.work), c.allowed, name)
	}
	assert.Assert(t, Limits{}.Allows(1<<50, 1<<50, 1<<50, Starting), "no bound")
}

func TestLimitsFollowTheMachine(t *testing.T) {
	for _, memoryMB := range []int64{32, 64, 184, 256, 284, 536, 4096} {
		memory := memoryMB * mebibyte
		total := LimitsFor(memory).Total
		assert.Assert(t, total >= minBudgetBytes && total <= memory*6/10, "%d MB: %d", memoryMB, total)
		if memoryMB >= 184 {
			assert.Assert(t, total+processBytes <= CollectorLimit(memory), "%d MB: no room for the process beside its messages", memoryMB)
		}
		if memoryMB >= 256 {
			assert.Assert(t, LimitsFor(memory).MaxMessage() >= 64*mebibyte, "%d MB: a body of 64 MiB can't be held", memoryMB)
		}
	}
	assert.Equal(t, LimitsFor(0).Total, int64(0))
}

// fakeClock is a settable clock.
type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// TestSmallMessagesPassWhileLargeOnesAreRefused plays clients that read large responses slowly.
func TestSmallMessagesPassWhileLargeOnesAreRefused(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1000, 0)}
	refused := 0
	b := New(Limits{Total: 100 * mebibyte}, clock.Now, func(Purpose, int64, int64) { refused++ })
	b.RecordResponse("download", 24*mebibyte)
	var held []*Reservation
	for range 10 {
		r := b.Reservation(Response)
		if r.GrowToUsual("download") {
			held = append(held, &r)
		}
	}
	assert.Equal(t, len(held), 3)
	assert.Equal(t, refused, 7)
	assert.Equal(t, b.Refused(Response), uint64(7))
	small := b.Reservation(Response)
	assert.Assert(t, small.GrowToUsual("page") && small.Grow(1000))
	clock.now = clock.now.Add(time.Second)
	for _, r := range held {
		assert.Assert(t, r.Grow(25*mebibyte), "a response that has run fits")
		r.Release()
		r.Release()
	}
	small.Release()
	assert.Equal(t, b.Held(Response), int64(0))
	assert.Equal(t, b.total.Load(), int64(0))
	assert.Assert(t, b.RetryDelay() > 500*time.Millisecond && b.RetryDelay() <= time.Second, "%s", b.RetryDelay())
}

func TestUsualSizeFollowsResponses(t *testing.T) {
	var sizes ResponseSizes
	assert.Equal(t, sizes.usual("a"), int64(0))
	sizes.record("a", 1000)
	assert.Equal(t, sizes.usual("a"), int64(1000))
	for range 40 {
		sizes.record("a", 5000)
	}
	assert.Assert(t, sizes.usual("a") > 4900)
	for i := range 2 * maxRoutes {
		sizes.record(strings.Repeat("r", i), 1)
	}
	count := 0
	sizes.routes.Range(func(any, any) bool { count++; return true })
	assert.Assert(t, count <= maxRoutes)
}

func TestReadReturnsWholeMessage(t *testing.T) {
	for _, size := range []int{0, 1, 1000, 1024, SmallBytes, SmallBytes + 1, 8*SmallBytes - 1, 8*SmallBytes + 7, 5*mebibyte + 3} {
		content := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
		for name, length := range map[string]int64{"known": int64(size), "unknown": -1} {
			r := New(Limits{Total: 100 * mebibyte}, time.Now, nil).Reservation(Request)
			received, err := Read(iotest.HalfReader(bytes.NewReader(content)), length, 10*mebibyte, &r)
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(received, content), "%s length %d", name, size)
			assert.Assert(t, r.bytes >= int64(size))
			r.Release()
		}
		received, err := Read(bytes.NewReader(content), -1, 10*mebibyte, nil)
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(received, content))
	}
}

func TestReadStopsAtItsBounds(t *testing.T) {
	endless := iotest.DataErrReader(zeros{})
	for name, c := range map[string]struct {
		length int64
		total  int64
		want   error
	}{
		"announced length too large": {900 << 30, 100 * mebibyte, ErrTooLarge},
		"endless":                    {-1, 100 * mebibyte, ErrTooLarge},
		"announced, no memory":       {9 * mebibyte, 2 * mebibyte, ErrExceeded},
		"endless, no memory":         {-1, 2 * mebibyte, ErrExceeded},
	} {
		b := New(Limits{Total: c.total}, time.Now, nil)
		r := b.Reservation(Response)
		_, err := Read(endless, c.length, 10*mebibyte, &r)
		assert.ErrorIs(t, err, c.want, name)
		r.Release()
		assert.Equal(t, b.total.Load(), int64(0), name)
	}
	_, err := Read(strings.NewReader("short"), 100, mebibyte, nil)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	failure := errors.New("reset")
	_, err = Read(iotest.ErrReader(failure), -1, mebibyte, nil)
	assert.ErrorIs(t, err, failure)
}

// zeros is a message without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { clear(p); return len(p), nil }

func TestAnnouncedMessageTakesLittleBeforeItArrives(t *testing.T) {
	b := New(Limits{Total: 100 * mebibyte}, time.Now, nil)
	r := b.Reservation(Request)
	sender, receiver := io.Pipe()
	done := make(chan error)
	go func() {
		_, err := Read(sender, 64*mebibyte, 64*mebibyte, &r)
		done <- err
	}()
	_, err := receiver.Write(make([]byte, 1000))
	assert.NilError(t, err)
	assert.Assert(t, b.Held(Request) <= maxFirstBytes, "%d bytes", b.Held(Request))
	assert.NilError(t, receiver.Close())
	assert.ErrorIs(t, <-done, io.ErrUnexpectedEOF)
}

// TestCollectorRunsBeforeReleasedMessagesPileUp plays large messages one after the other.
func TestCollectorRunsBeforeReleasedMessagesPileUp(t *testing.T) {
	b := New(Limits{Total: 100 * mebibyte}, time.Now, nil)
	collections := 0
	b.collect = func() { collections++ }
	for range 20 {
		r := b.Reservation(Request)
		assert.Assert(t, r.Grow(24*mebibyte))
		assert.Assert(t, b.total.Load()+b.uncollected.Load() <= 100*mebibyte)
		r.Release()
	}
	assert.Equal(t, collections, 4)
	for range 10000 {
		r := b.Reservation(Request)
		assert.Assert(t, r.Grow(SmallBytes))
		r.Release()
	}
	assert.Equal(t, collections, 4, "small messages need no collection")
}

// TestTruncatedMessageIsNotComplete guards against a message of unknown length whose sender broke
// off, which net/http reports as io.ErrUnexpectedEOF, and which passed for a whole one.
func TestTruncatedMessageIsNotComplete(t *testing.T) {
	for name, chunks := range map[string]string{
		"within a chunk":          "8\r\nhalf",
		"after a chunk":           "4\r\nhalf\r\n",
		"within the end":          "4\r\nhalf\r\n0\r\n",
		"before a chunk":          "",
		"within a chunk's length": "4\r\nhalf\r\n1",
		"after several parts":     "2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			raw := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			_, err = Read(response.Body, response.ContentLength, 1<<20, nil)
			assert.ErrorContains(t, err, "unexpected EOF")
		})
	}
}
