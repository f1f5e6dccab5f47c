package runner

import (
	"bytes"
	"context"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/quota"
	"zinniapond.example/zinniapond/internal/test/assert"
)

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
	t.Run("guards against a request that waits for a place which is free while a slow client reads", func(t *testing.T) {
		w, to := newSlowRunner(t, kept, &partsBody{parts: parts, err: io.EOF}), newSlowClient()
		p, ok := w.pools.Get("pool")
		assert.True(t, ok, "no pool")
		wait := w.start(t.Context(), patient, to)
		assert.Eventually(t, 600*time.Millisecond, "the request runs", func() bool { return len(w.localLoads()) == 1 })
		now := time.Now()
		woken := p.waiters.enter(now, now, zinniapond.WaitingRequest{Ticket: 1000, EnteredAt: now, LeaveAt: now.Add(time.Minute)})
		p.waiters.scan.Stop()
		select {
		case reason := <-woken:
			assert.True(t, reason.replica.IsValid(), "woken without a place")
		case <-time.After(400 * time.Millisecond):
			t.Error("the place is not offered")
		}
		close(to.release)
		wait()
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

// observingRouter notes what is observed of attempts.
type observingRouter struct {
	zinniapond.Router
	seen chan zinniapond.Observation
}

func (r *observingRouter) AttemptFinished(now time.Time, replica netip.AddrPort, need zinniapond.PickInfo, observation zinniapond.Observation) {
	r.Router.AttemptFinished(now, replica, need, observation)
	r.seen <- observation
}

func TestSlowObservations(t *testing.T) {
	const late = 400 * time.Millisecond
	// observe returns what is observed of a stream of events whose client is slow.
	observe := func(t *testing.T, count, size int) zinniapond.Observation {
		t.Helper()
		body := &partsBody{err: io.EOF}
		for range count {
			body.parts = append(body.parts, "data: "+strings.Repeat("x", size)+"\n\n")
		}
		w, to := newSlowRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream}, body), newSlowClient()
		p, ok := w.pools.Get("pool")
		assert.True(t, ok, "no pool")
		router := &observingRouter{p.router, make(chan zinniapond.Observation, 2)}
		p.router = router
		wait := w.start(t.Context(), zinniapond.Request{ClientTimeout: time.Second}, to)
		time.Sleep(late)
		close(to.release)
		wait()
		assert.True(t, to.ended, "the stream is broken off")
		assert.Equal(t, len(router.seen), 1)
		return <-router.seen
	}
	for _, c := range []struct {
		name        string
		count, size int
	}{{"that is read ahead", 40, 100}, {"that fills the buffer", 100, 4000}} {
		t.Run("guards against a replica that counts as slow or failed because of its client, for a stream "+c.name, func(t *testing.T) {
			got := observe(t, c.count, c.size)
			assert.True(t, got.Duration < late/2, "the replica took %s", got.Duration)
			assert.True(t, !got.Failed && !got.Cancelled, "the attempt failed")
			// An end of an event that is split between two chunks is not seen.
			want := zinniapond.Tokens(10 * c.count)
			assert.True(t, got.Usage.Generated <= want && got.Usage.Generated >= want*9/10, "%d tokens of %d", got.Usage.Generated, want)
		})
	}
}

// endCounter counts the streams whose times are learned.
type endCounter struct {
	zinniapond.Migration
	ends int
}

func (c *endCounter) ObserveEnd(now time.Time, progress zinniapond.StreamProgress) {
	c.ends++
	c.Migration.ObserveEnd(now, progress)
}

func TestSlowUsualTimes(t *testing.T) {
	parts, whole := numbered(1, 20)
	// assertLearned fails unless the times of a number of streams are learned from one whose
	// client takes nothing for some time.
	assertLearned := func(t *testing.T, pause time.Duration, want int) {
		t.Helper()
		w, to := newSlowRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Resumable: true}, &partsBody{parts: parts, err: io.EOF}), newSlowClient()
		p, ok := w.pools.Get("pool")
		assert.True(t, ok, "no pool")
		c := &endCounter{Migration: p.migration}
		p.migration = c
		release := time.AfterFunc(pause, func() { close(to.release) })
		defer release.Stop()
		w.start(t.Context(), zinniapond.Request{MaxGenerated: 200, ClientTimeout: time.Second}, to)()
		assert.Equal(t, to.body.String(), whole)
		assert.Equal(t, c.ends, want)
	}
	t.Run("guards against usual times of replicas that include the pauses of slow clients", func(t *testing.T) {
		assertLearned(t, 200*time.Millisecond, 0)
	})
	t.Run("guards against times of replicas that are not learned", func(t *testing.T) {
		assertLearned(t, 0, 1)
	})
}
