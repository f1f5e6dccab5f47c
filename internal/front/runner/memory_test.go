package runner

import (
	"bytes"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// heldAnswer is a responder whose client stops reading after some bytes, until it is
// released. It reports once that the client stops, or that the answer was aborted or refused.
type heldAnswer struct {
	recorder
	reads   int
	stopped func()
	release chan struct{}
	part    []byte // that the client does not read
}

func (h *heldAnswer) Write(part []byte) error {
	if h.reads -= len(part); h.reads > 0 {
		return nil
	}
	h.part = part
	h.stopped()
	<-h.release
	return errBroken
}

func (h *heldAnswer) Abort() {
	h.recorder.Abort()
	h.stopped()
}

func (h *heldAnswer) Refuse(f zinniapond.Refusal) error {
	h.stopped()
	return h.recorder.Refuse(f)
}

// endlessEvents is a body of events without end.
type endlessEvents struct{ event []byte }

func (e endlessEvents) Read(p []byte) (int, error) { return copy(p, e.event), nil }

// heapBytes returns the size of the live objects in bytes.
func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func TestMemory(t *testing.T) {
	const requests, bound = 64, 8 << 20
	request := zinniapond.Request{ID: "id", Host: "h", Path: "/r/x", Program: "p"}
	forward := func(t *testing.T, w *testRunner, to zinniapond.Responder) {
		t.Helper()
		q := request
		q.ReceivedAt, q.ClientTimeout = time.Now(), time.Minute
		w.Forward(t.Context(), time.Now(), q, to)
	}
	assertGivenBack := func(t *testing.T, w *testRunner) {
		t.Helper()
		assert.Equal(t, w.Memory.Used(), int64(0))
	}
	// assertBounded forwards requests at once whose clients stop reading after some
	// bytes, and compares the memory that their answers hold with the bound.
	assertBounded := func(t *testing.T, w *testRunner, reads int) {
		t.Helper()
		w.Memory = &quota.Quota{Bytes: bound}
		w.view.Routing.Routes[0].Timeout = time.Minute // a busy machine may begin them late
		before := heapBytes()
		var refused atomic.Int64
		var stopped, ended sync.WaitGroup
		stopped.Add(requests)
		release := make(chan struct{})
		for range requests {
			to := &heldAnswer{reads: reads, stopped: sync.OnceFunc(stopped.Done), release: release}
			ended.Go(func() {
				forward(t, w, to)
				if to.refused != nil {
					refused.Add(1)
				}
			})
		}
		stopped.Wait()
		held := heapBytes() - before
		close(release)
		ended.Wait()
		assert.Equal(t, refused.Load(), int64(0))
		assert.True(t, held < 2*bound, "%d answers hold %d bytes", requests, held)
		assertGivenBack(t, w)
	}
	t.Run("guards against answers without end that together take the memory of the host", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestSafe}, func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, Body: &body{endless{}, nil}}, nil
		})
		assertBounded(t, w, 1)
	})
	t.Run("guards against streams without end that together take the memory of the host", func(t *testing.T) {
		event := append(append([]byte("data: "), bytes.Repeat([]byte("x"), 1000)...), "\n\n"...)
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, Retained: true}, func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, IsStream: true, Body: &body{endlessEvents{event}, nil}}, nil
		})
		assertBounded(t, w, 1<<20)
	})
	t.Run("guards against a conversation that is read into memory beyond the bound", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, Retained: true}, answersWith(200, wholeText, true, nil))
		w.Memory = &quota.Quota{Bytes: bound}
		w.turns.chain = []zinniapond.Turn{{ID: "1", Input: make([]byte, bound)}}
		q := request
		q.PreviousTurn = "1"
		to := w.forward(q)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOverload)
		assert.Equal(t, len(w.sent), 0)
		assertGivenBack(t, w)
	})
}
