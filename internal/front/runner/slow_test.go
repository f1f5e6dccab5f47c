package runner

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// slowClient is a responder whose client takes nothing before it is released. It notes
// calls that come at the same time as another one, or after the last one.
type slowClient struct {
	recorder
	release chan struct{}
	gone    chan struct{} // closed when the client has gone
	busy    atomic.Int32
	wrong   atomic.Int32
	over    bool
}

func newSlowClient() *slowClient {
	return &slowClient{release: make(chan struct{}), gone: make(chan struct{})}
}

// call counts a call and returns a function for its end.
func (c *slowClient) call(last bool) func() {
	if c.busy.Add(1) > 1 || c.over {
		c.wrong.Add(1)
	}
	c.over = last
	return func() { c.busy.Add(-1) }
}

func (c *slowClient) Begin(status int, fields []zinniapond.HeaderField, length int64) error {
	defer c.call(false)()
	return c.recorder.Begin(status, fields, length)
}

func (c *slowClient) Write(part []byte) error {
	defer c.call(false)()
	select {
	case <-c.release:
		return c.recorder.Write(part)
	case <-c.gone:
		return errBroken
	}
}

func (c *slowClient) End() error {
	defer c.call(true)()
	return c.recorder.End()
}

func (c *slowClient) Abort() {
	defer c.call(true)()
	c.recorder.Abort()
}

// partsBody is a body of parts that arrive one by one. It ends with err after the last
// one; if err is nil it goes on until the end of ctx.
type partsBody struct {
	parts  []string
	err    error
	ctx    context.Context
	read   atomic.Int64 // number of parts that were begun
	rest   string       // of the last one
	closed atomic.Bool
}

func (b *partsBody) Read(p []byte) (int, error) {
	if n := int(b.read.Load()); b.rest == "" && n < len(b.parts) {
		b.read.Add(1)
		b.rest = b.parts[n]
	}
	if b.rest != "" {
		n := copy(p, b.rest)
		b.rest = b.rest[n:]
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func (b *partsBody) Close() error {
	b.closed.Store(true)
	return nil
}

// slowRunner is a runner whose replicas send answers in parts.
type slowRunner struct {
	*testRunner
	stream bool
	bodies []*partsBody // of the attempts, in their order
	next   atomic.Int64
}

func (w *slowRunner) Send(ctx context.Context, _ time.Time, s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	w.mu.Lock()
	w.sent = append(w.sent, s)
	w.mu.Unlock()
	b := w.bodies[w.next.Add(1)-1]
	b.ctx = ctx
	return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, IsStream: w.stream, Body: b}, nil
}

func newSlowRunner(t *testing.T, route zinniapond.Route, bodies ...*partsBody) *slowRunner {
	t.Helper()
	w := &slowRunner{testRunner: newTestRunner(t, route), stream: route.IsStream(), bodies: bodies}
	w.Client = w
	w.Memory = &quota.Quota{Bytes: 64 << 20}
	return w
}

// start forwards a request to a slow client, and returns a function that waits for the
// end.
func (w *slowRunner) start(ctx context.Context, q zinniapond.Request, to zinniapond.Responder) (wait func()) {
	q.ID, q.Host, q.Path, q.ReceivedAt = "id", "h", "/r/x", time.Now()
	var group sync.WaitGroup
	group.Go(func() { w.Forward(ctx, time.Now(), q, to) })
	return func() {
		group.Wait()
		w.background.Wait()
	}
}

// numbered returns the events from first to last, and their text.
func numbered(first, last int) (parts []string, whole string) {
	for n := first; n <= last; n++ {
		parts = append(parts, fmt.Sprintf("id: %d\ndata: %d\n\n", n, n))
	}
	return parts, strings.Join(parts, "")
}

func assertCallsInOrder(t *testing.T, to *slowClient) {
	t.Helper()
	assert.Equal(t, to.wrong.Load(), int32(0))
}

func assertNothingHeld(t *testing.T, w *slowRunner) {
	t.Helper()
	assert.Equal(t, w.Memory.Used(), int64(0))
	assert.Equal(t, len(w.localLoads()), 0)
}

func TestSlowClients(t *testing.T) {
	kept := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1, Retained: true, Retention: time.Minute}
	resumable := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Resumable: true}
	turn := zinniapond.Request{Program: "p", SessionID: "s", TokenBudget: 1000, MaxGenerated: 50, Body: []byte("in"), ClientTimeout: 300 * time.Millisecond}
	patient := zinniapond.Request{SessionID: "s", ClientTimeout: time.Second}
	parts, whole := numbered(1, 20)
	t.Run("guards against a turn that is lost because its client reads it after the deadline", func(t *testing.T) {
		w, to := newSlowRunner(t, kept, &partsBody{parts: parts, err: io.EOF}), newSlowClient()
		wait := w.start(t.Context(), turn, to)
		time.Sleep(turn.ClientTimeout + 100*time.Millisecond)
		close(to.release)
		wait()
		assert.Equal(t, to.body.String(), whole)
		assert.True(t, to.ended && !to.aborted, "the stream is broken off")
		assert.Equal(t, len(w.turns.kept), 1)
		assert.Equal(t, w.turns.settled[0].Used, zinniapond.Tokens(200))
		assertCallsInOrder(t, to)
		assertNothingHeld(t, w)
	})
	t.Run("guards against a stream that its deadline broke off and that looks complete, or lacks what was read before", func(t *testing.T) {
		w, to := newSlowRunner(t, kept, &partsBody{parts: parts}), newSlowClient()
		wait := w.start(t.Context(), turn, to)
		time.Sleep(turn.ClientTimeout + 100*time.Millisecond)
		assert.Equal(t, len(w.localLoads()), 0)
		close(to.release)
		wait()
		assert.Equal(t, to.body.String(), whole)
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
		assert.Equal(t, len(w.turns.kept), 0)
		assertCallsInOrder(t, to)
		assertNothingHeld(t, w)
	})
	t.Run("guards against a broken stream that looks complete to a slow client", func(t *testing.T) {
		w, to := newSlowRunner(t, kept, &partsBody{parts: append(parts[:10:10], "id: 11\nda"), err: errBroken}), newSlowClient()
		wait := w.start(t.Context(), turn, to)
		time.Sleep(150 * time.Millisecond)
		close(to.release)
		wait()
		assert.Equal(t, to.body.String(), strings.Join(parts[:10], ""))
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
		assertCallsInOrder(t, to)
	})
	t.Run("guards against events of a second run before those of the first", func(t *testing.T) {
		w, to := newSlowRunner(t, resumable, &partsBody{parts: parts[:10], err: errBroken}, &partsBody{parts: parts[10:], err: io.EOF}), newSlowClient()
		w.gone = allGone(w.testRunner)
		wait := w.start(t.Context(), patient, to)
		time.Sleep(150 * time.Millisecond)
		close(to.release)
		wait()
		assert.Equal(t, to.body.String(), whole)
		assert.Equal(t, w.sent[1].LastEventID, "10")
		assert.True(t, to.ended && !to.aborted, "the stream is broken off")
		assertCallsInOrder(t, to)
		assertNothingHeld(t, w)
	})
	t.Run("guards against a replica that counts as busy while a slow client reads what the replica has sent", func(t *testing.T) {
		for _, route := range []zinniapond.Route{kept, {Kind: zinniapond.RequestSafe}} {
			body := &partsBody{parts: parts, err: io.EOF}
			w, to := newSlowRunner(t, route, body), newSlowClient()
			wait := w.start(t.Context(), patient, to)
			assert.Eventually(t, 600*time.Millisecond, "the replica is free", func() bool { return len(w.localLoads()) == 0 && body.closed.Load() })
			assert.Equal(t, to.body.Len(), 0)
			close(to.release)
			wait()
			assert.Equal(t, to.body.String(), whole)
			assertNothingHeld(t, w)
		}
	})
	t.Run("guards against a large answer that the replica aborts because it remains unread", func(t *testing.T) {
		large := strings.Repeat("x", 4<<10)
		body := &partsBody{err: io.EOF}
		for range (maxBufferedBytes + 128<<10) / len(large) {
			body.parts = append(body.parts, large)
		}
		w, to := newSlowRunner(t, zinniapond.Route{Kind: zinniapond.RequestSafe}, body), newSlowClient()
		wait := w.start(t.Context(), patient, to)
		assert.Eventually(t, 600*time.Millisecond, "the answer is read", func() bool { return int(body.read.Load()) == len(body.parts) })
		close(to.release)
		wait()
		assert.True(t, to.body.Len() == len(body.parts)*len(large), "%d bytes", to.body.Len())
		assert.True(t, to.ended && !to.aborted, "the answer is broken off")
		assertCallsInOrder(t, to)
		assertNothingHeld(t, w)
	})
	t.Run("guards against goroutines and memory that outlive a client that has gone", func(t *testing.T) {
		body := &partsBody{parts: parts}
		w, to := newSlowRunner(t, kept, body), newSlowClient()
		ctx, leave := context.WithCancel(t.Context())
		wait := w.start(ctx, patient, to)
		assert.Eventually(t, 600*time.Millisecond, "the answer is read", func() bool { return int(body.read.Load()) == len(parts) })
		leave()
		close(to.gone)
		wait()
		assert.True(t, body.ctx.Err() != nil && body.closed.Load(), "the replica's run goes on")
		assertCallsInOrder(t, to)
		assertNothingHeld(t, w)
	})
	t.Run("guards against a slow client's buffer that takes the memory of requests", func(t *testing.T) {
		event := "data: " + string(bytes.Repeat([]byte("x"), 4000)) + "\n\n"
		body := &partsBody{err: io.EOF}
		for range 100 {
			body.parts = append(body.parts, event)
		}
		w, to := newSlowRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream}, body), newSlowClient()
		w.Memory = &quota.Quota{Bytes: 128 << 10}
		wait := w.start(t.Context(), patient, to)
		time.Sleep(200 * time.Millisecond)
		assert.True(t, w.Memory.Used() <= 80<<10, "%d bytes in use", w.Memory.Used())
		close(to.release)
		wait()
		assert.True(t, to.body.String() == strings.Repeat(event, 100), "the client got %d bytes, or others", to.body.Len())
		assertNothingHeld(t, w)
	})
}

// allGone marks all replicas as ended.
func allGone(w *testRunner) map[netip.AddrPort]bool {
	gone := map[netip.AddrPort]bool{}
	for _, b := range w.list {
		gone[b.Address] = true
	}
	return gone
}
