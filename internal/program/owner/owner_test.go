package owner

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func checkOutcome(t *testing.T, a zinniapond.Answer, err error, want zinniapond.Outcome, status int) {
	t.Helper()
	assert.NoError(t, err)
	assert.Equal(t, a.Outcome, want)
	assert.Equal(t, a.Status, status)
}

// checkInterrupted fails the test unless err leaves open whether the call was
// run. ErrNotOwner and ErrStaleConfig would tell the caller that it was not
// run.
func checkInterrupted(t *testing.T, err error) {
	t.Helper()
	assert.ErrorIs(t, err, zinniapond.ErrFenced)
	assert.True(t, !errors.Is(err, zinniapond.ErrNotOwner) && !errors.Is(err, zinniapond.ErrStaleConfig), "%v", err)
}

func TestAtMostOnce(t *testing.T) {
	t.Run("guards against sending before the intent is durable", func(t *testing.T) {
		f := newFixture(t)
		durable := make(chan bool, 1)
		f.client.handle = func(context.Context, int, netip.AddrPort, zinniapond.Sink) (zinniapond.Answer, error) {
			durable <- f.journal.hasRecord(zinniapond.RecordIntent, "a")
			return newOKAnswer("released")
		}
		f.start(t)
		a, err := f.submit(newCall("a"), nil)
		assert.True(t, <-durable, "sent without a durable intent")
		checkOutcome(t, a, err, zinniapond.OutcomeDone, 200)
		assert.True(t, f.journal.hasRecord(zinniapond.RecordResult, "a"), "answered without a durable result")
	})
	t.Run("guards against sending when the journal has no majority", func(t *testing.T) {
		f := newFixture(t)
		f.journal.appendError = zinniapond.ErrNoQuorum
		f.start(t)
		_, err := f.submit(newCall("a"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrNoQuorum)
		assert.Equal(t, f.client.sendCount(), 0)
	})
	t.Run("guards against sending under a lapsed lease", func(t *testing.T) {
		f := newFixture(t)
		f.start(t)
		f.directory.mu.Lock()
		f.directory.stale = true
		f.directory.mu.Unlock()
		_, err := f.submit(newCall("a"), nil)
		assert.ErrorIs(t, err, zinniapond.ErrStaleConfig)
		assert.Equal(t, f.client.sendCount(), 0)
	})
	t.Run("guards against sending again after a broken connection", func(t *testing.T) {
		f := newFixture(t)
		f.client.handle = func(context.Context, int, netip.AddrPort, zinniapond.Sink) (zinniapond.Answer, error) {
			return zinniapond.Answer{}, errConnectionBroken
		}
		f.start(t)
		a, err := f.submit(newCall("a"), nil)
		checkOutcome(t, a, err, zinniapond.OutcomeUnknown, 502)
		a, err = f.submit(newCall("a"), nil)
		checkOutcome(t, a, err, zinniapond.OutcomeUnknown, 409)
		assert.Equal(t, f.client.sendCount(), 1)
	})
	t.Run("guards against two sends for two requests at once", func(t *testing.T) {
		f := newFixture(t)
		release := make(chan struct{})
		f.client.handle = func(context.Context, int, netip.AddrPort, zinniapond.Sink) (zinniapond.Answer, error) {
			<-release
			return newOKAnswer("released")
		}
		f.start(t)
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				a, err := f.submit(newCall("a"), nil)
				checkOutcome(t, a, err, zinniapond.OutcomeDone, 200)
				assert.Equal(t, string(a.Body), "released")
			})
		}
		assert.Eventually(t, 2*time.Second, "the call is sent", func() bool { return f.client.sendCount() > 0 })
		close(release)
		group.Wait()
		assert.Equal(t, f.client.sendCount(), 1)
	})
	t.Run("guards against giving up when no byte was sent", func(t *testing.T) {
		f := newFixture(t)
		f.client.handle = func(_ context.Context, _ int, server netip.AddrPort, _ zinniapond.Sink) (zinniapond.Answer, error) {
			if server == serverA {
				return zinniapond.Answer{}, zinniapond.Wrap("dial", server, zinniapond.ErrNotSent)
			}
			return newOKAnswer("released")
		}
		f.start(t)
		a, err := f.submit(newCall("a"), nil)
		checkOutcome(t, a, err, zinniapond.OutcomeDone, 200)
		assert.Equal(t, a.Backend, serverB)
	})
	t.Run("guards against work for a server that is leaving", func(t *testing.T) {
		f := newFixture(t)
		f.client.handle = func(_ context.Context, _ int, server netip.AddrPort, _ zinniapond.Sink) (zinniapond.Answer, error) {
			if server == serverA {
				return zinniapond.Answer{}, zinniapond.Wrap("read answer", server, zinniapond.ErrUnavailable)
			}
			return newOKAnswer("released")
		}
		f.start(t)
		a, err := f.submit(newCall("a"), nil)
		checkOutcome(t, a, err, zinniapond.OutcomeDone, 200)
		assert.Equal(t, f.stubs.marked, []netip.AddrPort{serverA})
	})
}

func TestTakeOver(t *testing.T) {
	t.Run("guards against running an interrupted call again", func(t *testing.T) {
		f := newFixture(t)
		call := newCall("a")
		f.journal.records = []zinniapond.Record{
			{Kind: zinniapond.RecordOpen, Program: "drum-17", OpenedProgram: &zinniapond.Program{ID: "drum-17", Customer: "foreman"}},
			{Kind: zinniapond.RecordIntent, Program: "drum-17", Call: &call},
		}
		f.start(t)
		a, err := f.submit(call, nil)
		checkOutcome(t, a, err, zinniapond.OutcomeUnknown, 409)
		assert.Equal(t, f.client.sendCount(), 0)
	})
	t.Run("guards against answering for a shard that was lost", func(t *testing.T) {
		f := newFixture(t)
		f.client.handle = func(context.Context, int, netip.AddrPort, zinniapond.Sink) (zinniapond.Answer, error) {
			f.journal.mu.Lock()
			f.journal.sealed = 2 // another host has taken over
			f.journal.mu.Unlock()
			return newOKAnswer("released")
		}
		f.start(t)
		_, err := f.submit(newCall("a"), nil)
		checkInterrupted(t, err)
	})
	for name, idempotent := range map[string]bool{"an idempotent": true, "a non-idempotent": false} {
		t.Run("guards against reporting "+name+" call as not run after the shard is lost during the call", func(t *testing.T) {
			f := newFixture(t)
			f.client.handle = func(ctx context.Context, _ int, _ netip.AddrPort, _ zinniapond.Sink) (zinniapond.Answer, error) {
				f.journal.mu.Lock()
				f.journal.sealed = 2
				f.journal.mu.Unlock()
				f.directory.assign("host-2", 2)
				<-ctx.Done()
				return zinniapond.Answer{}, context.Cause(ctx)
			}
			f.start(t)
			call := newCall("a")
			call.Idempotent = idempotent
			_, err := f.submit(call, nil)
			checkInterrupted(t, err)
		})
	}
	t.Run("guards against losing calls when only the epoch changes", func(t *testing.T) {
		f := newFixture(t)
		release := make(chan struct{})
		f.client.handle = func(context.Context, int, netip.AddrPort, zinniapond.Sink) (zinniapond.Answer, error) {
			<-release
			return newOKAnswer("released")
		}
		f.start(t)
		answers := make(chan zinniapond.Answer, 1)
		go func() {
			a, err := f.submit(newCall("a"), nil)
			assert.NoError(t, err)
			answers <- a
		}()
		assert.Eventually(t, 2*time.Second, "the call is sent", func() bool { return f.client.sendCount() > 0 })
		f.directory.assign("host-1", 2)
		f.awaitEpoch(t, 2)
		close(release)
		assert.Equal(t, (<-answers).Outcome, zinniapond.OutcomeDone)
	})
}

func TestHandOver(t *testing.T) {
	t.Run("guards against moving a shard under a running call", func(t *testing.T) {
		f := newFixture(t)
		release := make(chan struct{})
		f.client.handle = func(context.Context, int, netip.AddrPort, zinniapond.Sink) (zinniapond.Answer, error) {
			<-release
			return newOKAnswer("released")
		}
		f.start(t)
		answers := make(chan error, 1)
		go func() {
			_, err := f.submit(newCall("a"), nil)
			answers <- err
		}()
		assert.Eventually(t, 2*time.Second, "the call is sent", func() bool { return f.client.sendCount() > 0 })
		var reply zinniapond.HandoverReply
		r := &handoverReceiver{owner: f.owner}
		assert.NoError(t, r.Handover(zinniapond.HandoverRequest{Epoch: 1, NewOwner: "host-2"}, &reply))
		assert.True(t, reply.Accepted, "hand-over refused")
		assert.Equal(t, len(f.control.commands), 0)
		close(release)
		assert.NoError(t, <-answers)
		command := <-f.control.commands
		assert.Equal(t, command.Assignments[0].Owner, "host-2")
		assert.Equal(t, command.Assignments[0].Epoch, 2)
	})
}

// recordingSink records the body that a caller receives.
type recordingSink struct {
	mu   sync.Mutex
	body string
}

func (*recordingSink) Begin(int, []zinniapond.HeaderField) error { return nil }

func (s *recordingSink) Write(part []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.body += string(part)
	return nil
}

func (s *recordingSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.body
}

func TestStream(t *testing.T) {
	newStreamedCall := func(id string) zinniapond.Call {
		c := newCall(id)
		c.Stream, c.Idempotent = true, true
		return c
	}
	t.Run("guards against showing the end before it is durable", func(t *testing.T) {
		f := newFixture(t)
		f.journal.resultGate = make(chan struct{})
		f.client.handle = func(_ context.Context, _ int, _ netip.AddrPort, sink zinniapond.Sink) (zinniapond.Answer, error) {
			assert.NoError(t, sink.Begin(200, nil))
			assert.NoError(t, sink.Write([]byte("one ")))
			return newOKAnswer("one end")
		}
		f.start(t)
		var received recordingSink
		answers := make(chan error, 1)
		go func() {
			_, err := f.submit(newStreamedCall("a"), &received)
			answers <- err
		}()
		assert.Eventually(t, 2*time.Second, "the first part is seen", func() bool { return received.text() == "one " })
		close(f.journal.resultGate)
		assert.NoError(t, <-answers)
		assert.Equal(t, received.text(), "one end")
	})
	t.Run("guards against joining two different answers", func(t *testing.T) {
		f := newFixture(t)
		f.client.handle = func(_ context.Context, send int, _ netip.AddrPort, sink zinniapond.Sink) (zinniapond.Answer, error) {
			assert.NoError(t, sink.Begin(200, nil))
			if send == 1 {
				assert.NoError(t, sink.Write([]byte("one ")))
				return zinniapond.Answer{}, errConnectionBroken
			}
			return zinniapond.Answer{}, sink.Write([]byte("two "))
		}
		f.start(t)
		var received recordingSink
		_, err := f.submit(newStreamedCall("a"), &received)
		assert.ErrorIs(t, err, zinniapond.ErrBackendFailed)
		assert.Equal(t, received.text(), "one ")
	})
	t.Run("guards against repeating bytes that the caller has received", func(t *testing.T) {
		f := newFixture(t)
		f.client.handle = func(_ context.Context, send int, _ netip.AddrPort, sink zinniapond.Sink) (zinniapond.Answer, error) {
			assert.NoError(t, sink.Begin(200, nil))
			if send == 1 {
				assert.NoError(t, sink.Write([]byte("one ")))
				return zinniapond.Answer{}, errConnectionBroken
			}
			assert.NoError(t, sink.Write([]byte("one two ")))
			return newOKAnswer("one two end")
		}
		f.start(t)
		var received recordingSink
		_, err := f.submit(newStreamedCall("a"), &received)
		assert.NoError(t, err)
		assert.Equal(t, received.text(), "one two end")
	})
}
