package runner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/fleet/limits"
	"zinniapond.example/zinniapond/internal/policy/blame"
	"zinniapond.example/zinniapond/internal/policy/leave"
	"zinniapond.example/zinniapond/internal/policy/origin"
	"zinniapond.example/zinniapond/internal/policy/retry"
	"zinniapond.example/zinniapond/internal/policy/robin"
	"zinniapond.example/zinniapond/internal/policy/urgent"
	"zinniapond.example/zinniapond/internal/policy/wait"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// testRunner is a runner with fakes of its directory, roster, replica client and turns.
type testRunner struct {
	*Runner
	mu      sync.Mutex // guards sent
	view    zinniapond.ControlView
	list    []zinniapond.Backend
	replies []func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error)
	sent    []zinniapond.ReplicaRequest
	turns   fakeTurns
	marked  []netip.AddrPort
	shares  shard.Map[netip.AddrPort, zinniapond.ConnectionShare]
	gone    map[netip.AddrPort]bool // replicas that have ended
	reports int                     // number of reports that were asked for
	runsOn  int                     // number of reports that name the run of a broken stream
	// hasQueue is set if reports show that requests wait at the replica.
	hasQueue bool
	// reportErr is the error of each report, or only of those that name the run.
	reportErr      error
	errsOnlyActive bool
	// confirmedAge is the time since the configuration was last known to be current.
	confirmedAge time.Duration
}

func (w *testRunner) View() *zinniapond.ControlView  { return &w.view }
func (w *testRunner) Catalog() *zinniapond.Catalog   { return nil }
func (w *testRunner) LeaseValid(time.Time) bool      { return true }
func (w *testRunner) ConfirmedAt() time.Time         { return time.Now().Add(-w.confirmedAge) }
func (w *testRunner) Changed() <-chan struct{}       { return nil }
func (w *testRunner) Backends() []zinniapond.Backend { return w.list }
func (w *testRunner) SetState(_ time.Time, a netip.AddrPort, _ zinniapond.BackendState) {
	w.marked = append(w.marked, a)
}

func (w *testRunner) MarkLeaving(_ time.Time, b zinniapond.Backend) {
	w.marked = append(w.marked, b.Address)
}

// Send answers with the next reply; the last one is repeated.
func (w *testRunner) Send(_ context.Context, _ time.Time, s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	w.mu.Lock()
	n := min(len(w.sent), len(w.replies)-1)
	w.sent = append(w.sent, s)
	w.mu.Unlock()
	return w.replies[n](s)
}

func (w *testRunner) HasEnded(_ context.Context, a netip.AddrPort) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gone[a]
}

func (w *testRunner) RunState(context.Context, zinniapond.Backend, zinniapond.AttemptID) (zinniapond.RunState, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports++
	switch {
	case w.reports <= w.runsOn:
		return zinniapond.RunActive, w.reportErr
	case w.errsOnlyActive:
		return zinniapond.RunEnded, nil
	case w.hasQueue:
		return zinniapond.RunUnknown, w.reportErr
	}
	return zinniapond.RunEnded, w.reportErr
}

func (w *testRunner) CloseIdle(time.Time, []zinniapond.Backend) {}

func (w *testRunner) HasIdleConnection(time.Time, netip.AddrPort, bool) bool { return false }

func (w *testRunner) CanConnect(a netip.AddrPort) bool {
	share, ok := w.shares.Get(a)
	return !ok || !share.IsLimited || share.Open > 0
}

func (w *testRunner) LimitConnections(a netip.AddrPort, share zinniapond.ConnectionShare) {
	w.shares.Set(a, share)
}

// body is the body of an answer that may break off.
type body struct {
	io.Reader
	err error
}

func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) && b.err != nil {
		err = b.err
	}
	return n, err
}
func (b *body) Close() error { return nil }

type reply = func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error)

// answersWith answers with a status and a body that breaks off with err, or ends normally
// if err is nil.
func answersWith(status int, text string, stream bool, err error) reply {
	return func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
		r := &zinniapond.ReplicaAnswer{
			Status: status, Length: -1, Verified: true, IsStream: stream, Body: &body{bytes.NewReader([]byte(text)), err},
		}
		return r, nil
	}
}

// refusesRequest answers that the request was not run.
func refusesRequest(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	return &zinniapond.ReplicaAnswer{Status: 503, NotRun: true, Body: &body{Reader: bytes.NewReader(nil)}}, nil
}

var errBroken = errors.New("connection reset")

func failsAfterSend(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	return nil, errBroken
}

func failsBeforeSend(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	return nil, zinniapond.ErrNotSent
}

// fakeTurns keeps turns in memory.
type fakeTurns struct {
	mu       sync.Mutex
	kept     []zinniapond.Turn
	chain    []zinniapond.Turn
	others   []zinniapond.Spend
	reserved zinniapond.Spend
	reserve  error
	keepErr  error
	settled  []zinniapond.Spend
	begun    []zinniapond.Spend
	beginErr error
	// beginFailures is the number of records that fail with beginErr; negative for all.
	beginFailures int
	asked         []zinniapond.TurnID // turns whose chains were read
	// onReserve is called during each reservation; may be nil.
	onReserve func()
	// reached is closed when a disk is reached again; may be nil.
	reached chan struct{}
}

func (f *fakeTurns) Reached() <-chan struct{} { return f.reached }

func (f *fakeTurns) ReadChain(_ context.Context, _ time.Time, id zinniapond.TurnID) ([]zinniapond.Turn, error) {
	f.asked = append(f.asked, id)
	if f.chain == nil {
		return nil, zinniapond.ErrNotFound
	}
	return f.chain, nil
}

func (f *fakeTurns) Reserve(_ context.Context, _ time.Time, s zinniapond.Spend, _ zinniapond.Tokens) ([]zinniapond.Spend, error) {
	f.reserved = s
	if f.onReserve != nil {
		f.onReserve()
	}
	return f.others, f.reserve
}

func (f *fakeTurns) Begin(_ context.Context, _ time.Time, s zinniapond.Spend) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.beginFailures != 0 {
		f.beginFailures--
		return f.beginErr
	}
	f.begun = append(f.begun, s)
	return nil
}

func (f *fakeTurns) Settle(_ context.Context, _ time.Time, s zinniapond.Spend) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.settled = append(f.settled, s)
	return nil
}

func (f *fakeTurns) Keep(ctx context.Context, _ time.Time, t zinniapond.Turn, s zinniapond.Spend) error {
	if err := zinniapond.Join(f.keepErr, ctx.Err()); err != nil {
		return err
	}
	f.kept = append(f.kept, t)
	return f.Settle(context.Background(), time.Time{}, s)
}

// recorder is a responder that records the answer.
type recorder struct {
	status  int
	body    bytes.Buffer
	ended   bool
	aborted bool
	refused error
	// retryAfter is the time after which the client may return that was refused.
	retryAfter time.Duration
}

func (r *recorder) Begin(status int, _ []zinniapond.HeaderField, _ int64) error {
	r.status = status
	return nil
}
func (r *recorder) Write(p []byte) error { _, err := r.body.Write(p); return err }
func (r *recorder) End() error           { r.ended = true; return nil }
func (r *recorder) Abort()               { r.aborted = true }
func (r *recorder) Refuse(f zinniapond.Refusal) error {
	r.refused, r.retryAfter = f.Reason, f.RetryAfter
	return nil
}

// endless is a body without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// counter is a responder that counts the bytes of the answer.
type counter struct {
	recorder
	written int64
}

func (c *counter) Write(p []byte) error {
	c.written += int64(len(p))
	return nil
}

// newTestRunner returns a runner with three replicas and one route.
func newTestRunner(t *testing.T, route zinniapond.Route, replies ...reply) *testRunner {
	t.Helper()
	route.Name, route.Host, route.PathPrefix, route.Timeout = "r", "h", "/r/", time.Second
	route.Splits = []zinniapond.Split{{Service: "pool", Weight: 1}}
	w := &testRunner{replies: replies}
	w.view.Routing = &zinniapond.Routing{
		Version: 3, Routes: []zinniapond.Route{route},
		Services: []zinniapond.Service{{Name: "pool", Engine: &zinniapond.Engine{TokensPerEvent: 10}}},
	}
	for i := range 3 {
		w.list = append(w.list, zinniapond.Backend{
			ID: string(rune('a' + i)), Pool: "pool", State: zinniapond.BackendLive,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	w.Runner = &Runner{
		Directory: w, Roster: w, Turns: &w.turns, Client: w, Stats: new(stats.Set[string]), Logger: hclog.NewNullLogger(),
		Clock: time.Now, Urgency: urgent.Policy{}, Limits: &limits.Book{Logger: hclog.NewNullLogger()}, Blame: &blame.Book{Logger: hclog.NewNullLogger()}, Origins: origin.Policy{}, Throttle: &fakeThrottle{}, NewRouter: func() (zinniapond.Router, error) { return new(robin.Router), nil },
		NewWaitQueue: func() (zinniapond.WaitQueue, error) { return new(wait.Queue), nil },
		NewMigration: func() (zinniapond.Migration, error) { return new(leave.Policy), nil },
		NewRetrier:   func() (zinniapond.Retrier, error) { return new(retry.Budget), nil },
	}
	w.initialise()
	assert.NoError(t, w.update())
	return w
}

// forward runs a request for the route, and returns what its client received.
func (w *testRunner) forward(q zinniapond.Request) *recorder {
	q.ID, q.Host, q.Path, q.ReceivedAt = "id", "h", "/r/x", time.Now()
	if q.ClientTimeout == 0 {
		q.ClientTimeout = 400 * time.Millisecond
	}
	to := new(recorder)
	w.Forward(context.Background(), time.Now(), q, to)
	w.background.Wait()
	return to
}
