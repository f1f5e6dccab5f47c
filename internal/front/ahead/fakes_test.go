package ahead

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	testDelay = 5 * time.Millisecond
	maxBytes  = maxChunks * chunkBytes
)

var errBroken = errors.New("connection reset")

// source is the body of an answer whose parts arrive one by one. It ends with err after
// the last one.
type source struct {
	parts chan []byte
	err   error
	ctx   context.Context
	read  atomic.Int64 // bytes
	rest  []byte
}

func (s *source) Read(p []byte) (int, error) {
	if len(s.rest) == 0 {
		select {
		case part, ok := <-s.parts:
			if !ok {
				return 0, s.err
			}
			s.rest = part
		case <-s.ctx.Done():
			return 0, s.ctx.Err()
		}
	}
	n := copy(p, s.rest)
	s.rest = s.rest[n:]
	s.read.Add(int64(n))
	return n, nil
}

// client is a responder whose client takes a part only when it is allowed to.
type client struct {
	zinniapond.Responder
	allow chan struct{} // a write waits for one; all writes end at once after its close
	got   bytes.Buffer
	gone  chan struct{} // closed when writes are to fail
	mu    sync.Mutex
	until []time.Time // of BoundWrites
	once  sync.Once
}

func (c *client) Write(part []byte) error {
	select {
	case <-c.allow:
		c.got.Write(part)
		return nil
	case <-c.gone:
		return errBroken
	}
}

func (c *client) BoundWrites(until time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = append(c.until, until)
	if !until.After(time.Now()) {
		c.once.Do(func() { close(c.gone) })
	}
	return nil
}

func (c *client) bounds() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.until)
}

// testRelay is a relay with fakes of its source and client.
type testRelay struct {
	*Relay
	source *source
	client *client
	leave  func() // the client goes away
	ends   atomic.Int64
}

func newTestRelay(t *testing.T, memory *quota.Quota, parts [][]byte, err error) *testRelay {
	t.Helper()
	reading, interrupt := context.WithCancel(t.Context())
	gone, leave := context.WithCancel(t.Context())
	w := &testRelay{
		source: &source{parts: make(chan []byte, len(parts)), err: err, ctx: reading},
		client: &client{allow: make(chan struct{}), gone: make(chan struct{})}, leave: leave,
	}
	for _, part := range parts {
		w.source.parts <- part
	}
	if err != nil {
		close(w.source.parts)
	}
	w.Relay = &Relay{
		Responder: w.client, Source: w.source, Reading: reading, Interrupt: interrupt, Memory: memory, SlowDelay: testDelay,
		Client: gone, WriteUntil: time.Now().Add(time.Minute), OnEnd: func(error, int) { w.ends.Add(1) },
	}
	t.Cleanup(interrupt)
	t.Cleanup(leave)
	return w
}

// run relays until an error, closes the relay and sends the error.
func (w *testRelay) run() <-chan error {
	done := make(chan error, 1)
	go func() {
		part := make([]byte, 8<<10)
		for {
			n, err := w.Read(part)
			if n > 0 {
				if err := w.Write(part[:n]); err != nil {
					w.Close()
					done <- err
					return
				}
			}
			if err != nil {
				w.Close()
				done <- err
				return
			}
		}
	}()
	return done
}

// pieces returns count parts of the given size that differ from each other.
func pieces(count, size int) (parts [][]byte, whole []byte) {
	for i := range count {
		part := bytes.Repeat([]byte{byte('a' + i%26)}, size)
		parts = append(parts, part)
		whole = append(whole, part...)
	}
	return parts, whole
}

func assertGivenBack(t *testing.T, memory *quota.Quota) {
	t.Helper()
	assert.Equal(t, memory.Used(), int64(0))
}

func assertWhole(t *testing.T, w *testRelay, whole []byte) {
	t.Helper()
	assert.True(t, bytes.Equal(w.client.got.Bytes(), whole), "the client got %d bytes of %d, or others", w.client.got.Len(), len(whole))
}
