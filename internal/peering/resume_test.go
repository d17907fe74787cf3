package peering

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blackholeProxy forwards connections. After a call of blackhole, the open connections
// stay open but drop all bytes, while new connections work.
type blackholeProxy struct {
	listener net.Listener
	upstream string

	mutex      sync.Mutex
	blackholed []*atomic.Bool
}

func newBlackholeProxy(t *testing.T, upstream string) *blackholeProxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p := &blackholeProxy{listener: listener, upstream: upstream}
	t.Cleanup(func() { _ = listener.Close() })
	go p.serve()
	return p
}

func (p *blackholeProxy) serve() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = client.Close()
			continue
		}
		dropping := &atomic.Bool{}
		p.mutex.Lock()
		p.blackholed = append(p.blackholed, dropping)
		p.mutex.Unlock()
		go forwardBytes(upstream, client, dropping)
		go forwardBytes(client, upstream, dropping)
	}
}

func forwardBytes(to, from net.Conn, dropping *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if dropping.Load() {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			_ = to.Close()
			return
		}
		_, _ = to.Write(buffer[:n])
	}
}

// blackhole makes all open connections drop what is sent on them.
func (p *blackholeProxy) blackhole() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, dropping := range p.blackholed {
		dropping.Store(true)
	}
}

// slowHome takes a fixed time for each call and counts runs and cancellations.
type slowHome struct {
	duration time.Duration
	started  chan struct{}
	runs     atomic.Int64
	canceled atomic.Int64
}

func (h *slowHome) Run(ctx context.Context, call *Call) *Reply {
	h.runs.Add(1)
	select {
	case h.started <- struct{}{}:
	default:
	}
	select {
	case <-ctx.Done():
		h.canceled.Add(1)
		return &Reply{Outcome: Failed, Reason: CallCanceled}
	case <-time.After(h.duration):
	}
	return &Reply{Outcome: Answered, Status: http.StatusOK, Header: http.Header{}, Body: []byte(call.RequestID)}
}

// resumeFixture is a client that reaches a slowHome through a blackholeProxy.
type resumeFixture struct {
	home   *slowHome
	proxy  *blackholeProxy
	client *Client
	// resumed counts the client's OnResume calls.
	resumed atomic.Int64
}

func newResumeFixture(t *testing.T, duration time.Duration) *resumeFixture {
	t.Helper()
	home := &slowHome{duration: duration, started: make(chan struct{}, 1)}
	server := httptest.NewServer(Handler(ServerConfig{Home: home, AntiEntropy: newFakeAntiEntropy(1), Codec: testCodec, MaxMessageBytes: testMaxBytes, Process: testProcess}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	f := &resumeFixture{home: home, proxy: newBlackholeProxy(t, strings.TrimPrefix(server.URL, "http://"))}
	f.client = NewClient(ClientConfig{MaxMessageBytes: testMaxBytes, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Address: callerAddress, Codec: testCodec,
		OnResume: func(*Call, string, time.Duration) { f.resumed.Add(1) }})
	return f
}

// callTimeout bounds calls that would never return.
const callTimeout = 10 * silenceTimeout

func (f *resumeFixture) call(ctx context.Context, id string, process uint32) (*Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return f.client.Call(ctx, f.proxy.listener.Addr().String(), &Call{Service: "s", RequestID: id, Method: "POST", URI: "/x", Remaining: 5 * time.Second, Process: process})
}

// TestResumedCallRunsOnce guards against failed calls on connections that stay open but
// carry no data, while new ones work. When half of the connections between nodes went
// silent, calls waiting on them, and the next call on each idle one, received nothing for
// a second or until their deadline: a sixth of the requests of two seconds failed, and 488
// requests that had reached no target got 502 or 504. Nodes detected silence only by
// unacknowledged bytes (TCP_USER_TIMEOUT) and could not determine whether the call had run.
func TestResumedCallRunsOnce(t *testing.T) {
	t.Run("while it runs", func(t *testing.T) {
		f := newResumeFixture(t, 300*time.Millisecond)
		go func() {
			<-f.home.started
			f.proxy.blackhole()
		}()
		reply, err := f.call(t.Context(), "a", testProcess)
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "a")
		assert.Equal(t, f.home.runs.Load(), int64(1))
		assert.Equal(t, f.resumed.Load(), int64(1))
	})
	t.Run("before it is sent", func(t *testing.T) {
		f := newResumeFixture(t, time.Millisecond)
		_, err := f.call(t.Context(), "a", testProcess)
		assert.NilError(t, err)
		f.proxy.blackhole()
		reply, err := f.call(t.Context(), "b", testProcess)
		assert.NilError(t, err)
		assert.Equal(t, string(reply.Body), "b")
		assert.Equal(t, f.home.runs.Load(), int64(2))
	})
}

// TestLongCallRunsOnce checks that a call that takes longer than the silence timeout runs
// once: interim responses arrive meanwhile, and if one is late, the call is resumed.
func TestLongCallRunsOnce(t *testing.T) {
	f := newResumeFixture(t, 3*silenceTimeout)
	reply, err := f.call(t.Context(), "a", testProcess)
	assert.NilError(t, err)
	assert.Equal(t, string(reply.Body), "a")
	assert.Equal(t, f.home.runs.Load(), int64(1))
}

func TestHomeSendsInterimResponses(t *testing.T) {
	f := newResumeFixture(t, 2*interimInterval)
	message := encodedCall(&Call{Service: "s", RequestID: "a", Method: "POST", URI: "/x", Remaining: time.Minute, From: callerAddress})
	interim := 0
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{Got1xxResponse: func(status int, _ textproto.MIMEHeader) error {
		assert.Equal(t, status, http.StatusProcessing)
		interim++
		return nil
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+f.proxy.listener.Addr().String()+callPath, bytes.NewReader(message))
	assert.NilError(t, err)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, interim > 0)
}

// TestRestartedHomeDoesNotRunResumedCall covers a home that restarts between the first
// message and its resumption. It must not run the call, because the earlier process may
// have run it.
func TestRestartedHomeDoesNotRunResumedCall(t *testing.T) {
	f := newResumeFixture(t, time.Minute)
	go func() {
		<-f.home.started
		f.proxy.blackhole()
	}()
	reply, err := f.call(t.Context(), "a", testProcess+1)
	assert.NilError(t, err)
	assert.Equal(t, reply.Outcome, Failed)
	assert.Equal(t, f.home.runs.Load(), int64(1))
}

func TestCancellationStopsResumedCall(t *testing.T) {
	f := newResumeFixture(t, time.Minute)
	go func() {
		<-f.home.started
		f.proxy.blackhole()
	}()
	ctx, cancel := context.WithTimeout(t.Context(), 5*silenceTimeout)
	defer cancel()
	_, err := f.call(ctx, "a", testProcess)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	for deadline := time.Now().Add(20 * time.Second); f.home.canceled.Load() == 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the run was not canceled")
	}
}

// TestDelayedFirstMessageDoesNotRun covers a network partition that delays the first
// message until long after the resumption got its reply.
func TestDelayedFirstMessageDoesNotRun(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newExchangeTable(func() time.Time { return now })
	resumption := &Call{From: "a", RequestID: "x", Process: testProcess, Resumed: true}
	e, runs := table.open(resumption, func() {})
	assert.Assert(t, runs)
	table.finish(e, &encodedMessage{envelope: []byte("reply")})
	now = now.Add(exchangeRetention - time.Second)
	_, runs = table.open(&Call{From: "a", RequestID: "x"}, func() {})
	assert.Assert(t, !runs)
	_, runs = table.open(&Call{From: "a", RequestID: "x", OfferIndex: 1}, func() {})
	assert.Assert(t, runs, "another attempt of the request must run")
}

// TestLateResumptionDoesNotRerunCall covers a resumption that arrives long after the run
// has ended and its reply was dropped.
func TestLateResumptionDoesNotRerunCall(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newExchangeTable(func() time.Time { return now })
	e, runs := table.open(&Call{From: "a", RequestID: "x", AtMostOnce: true}, func() {})
	assert.Assert(t, runs)
	table.finish(e, &encodedMessage{envelope: []byte("reply")})
	now = now.Add(exchangeRetention - time.Second)
	e, runs = table.open(&Call{From: "a", RequestID: "x", AtMostOnce: true, Process: testProcess, Resumed: true}, func() {})
	assert.Assert(t, !runs)
	assert.Assert(t, table.reply(e) == nil, "the reply should have been dropped")
}

func TestReusedRequestIDRunsAgain(t *testing.T) {
	table := newExchangeTable(time.Now)
	call := &Call{From: "a", RequestID: "x"}
	first, runs := table.open(call, func() {})
	assert.Assert(t, runs)
	table.finish(first, &encodedMessage{envelope: []byte("reply")})
	second, runs := table.open(call, func() {})
	assert.Assert(t, runs)
	third, _ := table.open(call, func() {})
	table.finish(second, &encodedMessage{envelope: []byte("reply")})
	assert.Equal(t, table.retainedBytes, 0, "the reply of a replaced exchange was retained")
	table.finish(third, &encodedMessage{envelope: []byte("reply")})
	assert.Equal(t, table.retainedBytes, len("reply"))
}

func TestReplyRetentionIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := newExchangeTable(func() time.Time { return now })
	open := func(id string) *exchange {
		e, _ := table.open(&Call{RequestID: id}, func() {})
		return e
	}
	large := open("large")
	table.finish(large, &encodedMessage{envelope: make([]byte, maxRetainedBytes)})
	second := open("second")
	table.finish(second, &encodedMessage{envelope: []byte("x")})
	assert.Assert(t, table.reply(large) != nil)
	assert.Assert(t, table.reply(second) == nil, "the reply exceeds maxRetainedBytes")
	now = now.Add(replyRetention)
	open("third")
	assert.Equal(t, table.retainedBytes, 0)
	assert.Equal(t, len(table.exchanges), 1)
}

// TestCancellationAlwaysStopsResumedCall guards against a race after which a run continued
// although its caller had disconnected; on a busy machine it failed one in 24 runs of
// TestCancellationStopsResumedCall. The end of the context could wake the waiting exchange
// before the AfterFunc that cancels the run had started, and the exchange's return then
// removed the AfterFunc.
func TestCancellationAlwaysStopsResumedCall(t *testing.T) {
	for range 3000 {
		home := &slowHome{duration: time.Minute, started: make(chan struct{}, 1)}
		s := &server{ServerConfig: ServerConfig{Home: home, AntiEntropy: newFakeAntiEntropy(1), Codec: testCodec, Process: testProcess}, exchanges: newExchangeTable(time.Now)}
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.runOrResume(context.Background(), &Call{From: "a", RequestID: "x", Process: testProcess})
		}()
		<-home.started
		ctx, cancel := context.WithCancel(context.Background())
		disconnected := make(chan struct{})
		go func() {
			defer close(disconnected)
			s.runOrResume(ctx, &Call{From: "a", RequestID: "x", Process: testProcess, Resumed: true})
		}()
		runtime.Gosched()
		cancel()
		<-disconnected
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("the run was not canceled")
		}
	}
}
