package runner

import (
	"context"
	"fmt"
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

// allGone marks all replicas as ended.
func allGone(w *testRunner) map[netip.AddrPort]bool {
	gone := map[netip.AddrPort]bool{}
	for _, b := range w.list {
		gone[b.Address] = true
	}
	return gone
}
