package relay

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/ports"
	"zinniapond.example/zinniapond/internal/test/proxy"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the command line overrides it
	goleak.VerifyTestMain(m)
}

var answerText = bytes.Repeat([]byte("0123456789abcdef"), 20)

func newCall(id zinniapond.CallID) zinniapond.Call {
	return zinniapond.Call{ID: id, Program: "p", Stream: true, Body: answerText, MaxQueueTime: time.Minute}
}

type result struct {
	answer zinniapond.Answer
	err    error
}

func submit(r *Relay, call zinniapond.Call, sink zinniapond.Sink) chan result {
	done := make(chan result, 1)
	go func() {
		a, err := r.Submit(context.Background(), time.Now(), call, sink)
		done <- result{a, err}
	}()
	return done
}

// assertCompleteAnswer checks that an answer arrived once, complete and in
// order.
func assertCompleteAnswer(t testing.TB, got result, sink *buffer) {
	t.Helper()
	assert.NoError(t, got.err)
	assert.Equal(t, got.answer.Outcome, zinniapond.OutcomeDone)
	assert.Equal(t, sink.beginCount, 1)
	assert.Equal(t, sink.String(), string(answerText))
}

func TestRelay(t *testing.T) {
	j := &runCounts{byCall: make(map[zinniapond.CallID]int)}
	o := newOwner(j)
	address := serveOwner(t, o)
	d := newDirectory()
	d.assign("owner", address)
	r := newRelay(t, d)
	t.Run("guards against losing or reordering parts", func(t *testing.T) {
		var sink buffer
		assertCompleteAnswer(t, <-submit(r, newCall("parts"), &sink), &sink)
	})
	t.Run("guards against losing the body of an answer that is not streamed", func(t *testing.T) {
		call := newCall("whole")
		call.Stream = false
		got := <-submit(r, call, nil)
		assert.NoError(t, got.err)
		assert.Equal(t, string(got.answer.Body), string(answerText))
	})
	t.Run("guards against the type of the owner's refusal being lost", func(t *testing.T) {
		refusing := newOwner(j)
		refusing.err = &zinniapond.Error{Step: "reserve", RetryAfter: time.Second, Err: zinniapond.ErrBudgetExhausted}
		d := newDirectory()
		d.assign("owner", serveOwner(t, refusing))
		got := <-submit(newRelay(t, d), newCall("refused"), new(buffer))
		assert.ErrorIs(t, got.err, zinniapond.ErrBudgetExhausted)
		assert.Equal(t, refusing.requestCount(), 1)
		var e *zinniapond.Error
		assert.True(t, errors.As(got.err, &e) && e.RetryAfter == time.Second, "detail lost: %v", got.err)
	})
	t.Run("guards against a network round trip for a shard of this host", func(t *testing.T) {
		d := newDirectory()
		d.assign("entry", netip.MustParseAddrPort("127.0.0.1:1"))
		r := newRelay(t, d)
		r.LocalOwner = newOwner(j)
		var sink buffer
		assertCompleteAnswer(t, <-submit(r, newCall("local"), &sink), &sink)
	})
	t.Run("guards against taking a call without output for a dead connection", func(t *testing.T) {
		quiet := newOwner(j)
		quiet.stallAt = 70
		d := newDirectory()
		d.assign("owner", serveOwner(t, quiet))
		var sink buffer
		done := submit(newRelay(t, d), newCall("quiet"), &sink)
		<-quiet.stalled
		time.Sleep(2 * silenceTimeout) // heartbeats keep the stream open
		close(quiet.resume)
		assertCompleteAnswer(t, <-done, &sink)
		assert.Equal(t, quiet.requestCount(), 1)
	})
	t.Run("guards against taking a slow caller for a dead owner", func(t *testing.T) {
		var parts int
		sink := buffer{beforePart: func() {
			if parts++; parts == 2 {
				time.Sleep(3 * silenceTimeout / 2)
			}
		}}
		before := o.requestCount()
		assertCompleteAnswer(t, <-submit(r, newCall("slow"), &sink), &sink)
		assert.Equal(t, o.requestCount(), before+1)
	})
	t.Run("guards against program requests that do not reach the owner", func(t *testing.T) {
		assert.NoError(t, r.Open(context.Background(), time.Now(), zinniapond.Program{ID: "p"}))
		assert.NoError(t, r.End(context.Background(), time.Now(), "p", "done"))
		h, err := r.View(context.Background(), time.Now(), "p q&r")
		assert.NoError(t, err)
		assert.Equal(t, h.Program.ID, "p q&r")
	})
}

func TestResume(t *testing.T) {
	for name, disrupt := range map[string]func(*proxy.Proxy){
		"cut": (*proxy.Proxy).CloseConnections, "silent": (*proxy.Proxy).DropBytes, "half-closed": (*proxy.Proxy).HalfClose,
	} {
		t.Run("guards against losing an answer on a connection that is "+name, func(t *testing.T) {
			t.Parallel()
			o := newOwner(&runCounts{byCall: make(map[zinniapond.CallID]int)})
			o.stallAt = 70
			proxied := proxy.New(t, serveOwner(t, o))
			d := newDirectory()
			d.assign("owner", proxied.Address())
			var sink buffer
			done := submit(newRelay(t, d), newCall("c"), &sink)
			<-o.stalled
			o.setBehaviour(-1, nil)
			disrupt(proxied)
			assertCompleteAnswer(t, <-done, &sink)
			assert.Equal(t, o.runs.byCall, map[zinniapond.CallID]int{"c": 2})
		})
	}
	t.Run("guards against waiting for an owner that has lost the shard", func(t *testing.T) {
		j := &runCounts{byCall: make(map[zinniapond.CallID]int)}
		old, next := newOwner(j), newOwner(j)
		old.stallAt, next.partSize = 70, 11
		d := newDirectory()
		d.assign("old", serveOwner(t, old))
		nextAddress := serveOwner(t, next)
		var sink buffer
		done := submit(newRelay(t, d), newCall("c"), &sink)
		<-old.stalled
		d.assign("next", nextAddress) // the former owner still sends heartbeats
		assertCompleteAnswer(t, <-done, &sink)
		assert.Equal(t, next.requestCount(), 1)
	})
	t.Run("guards against joining the parts of two different answers", func(t *testing.T) {
		j := &runCounts{byCall: make(map[zinniapond.CallID]int)}
		old, next := newOwner(j), newOwner(j)
		old.stallAt = 70
		d := newDirectory()
		d.assign("old", serveOwner(t, old))
		nextAddress := serveOwner(t, &rewriter{next})
		var once sync.Once
		delivered := make(chan struct{})
		sink := buffer{beforePart: func() { once.Do(func() { close(delivered) }) }}
		done := submit(newRelay(t, d), newCall("c"), &sink)
		<-old.stalled
		<-delivered // without a delivered part, either answer would be complete
		d.assign("next", nextAddress)
		got := <-done
		assert.ErrorIs(t, got.err, zinniapond.ErrOutcomeUnknown)
		assert.True(t, bytes.HasPrefix(answerText, sink.Bytes()), "spliced answer %q", sink.String())
	})
}

// TestFirstAnswerNotRepeated guards against marking a caller's first answer as
// repeated because the relay had to retry at a new owner.
func TestFirstAnswerNotRepeated(t *testing.T) {
	j := &runCounts{byCall: make(map[zinniapond.CallID]int)}
	old, next := newOwner(j), newOwner(j)
	old.stallAt = 0
	next.storedAnswer = &zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown, Status: 409, Repeated: true}
	d := newDirectory()
	d.assign("old", serveOwner(t, old))
	nextAddress := serveOwner(t, next)
	r := newRelay(t, d)
	done := submit(r, newCall("c"), new(buffer))
	<-old.stalled
	d.assign("next", nextAddress)
	assert.Equal(t, (<-done).answer, zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown, Status: 502})
	assert.Equal(t, (<-submit(r, newCall("c"), new(buffer))).answer, *next.storedAnswer)
}

// rewriter is an owner whose rerun of a call gives a different answer.
type rewriter struct{ *owner }

func (r *rewriter) Submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	call.Body = bytes.ToUpper(call.Body)
	return r.owner.Submit(ctx, now, call, sink)
}

// TestJoinedStreams guards against losing, duplicating or reordering bytes of
// an answer, wherever its streams break and whichever owners resume it.
func TestJoinedStreams(t *testing.T) {
	j := &runCounts{byCall: make(map[zinniapond.CallID]int)}
	owners := []*owner{newOwner(j), newOwner(j), newOwner(j)}
	d := newDirectory()
	var proxies []*proxy.Proxy
	for _, o := range owners {
		proxies = append(proxies, proxy.New(t, serveOwner(t, o)))
	}
	r := newRelay(t, d)
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		current := rapid.IntRange(0, len(owners)-1).Draw(rt, "first owner")
		for _, o := range owners {
			o.setBehaviour(-1, nil)
			o.partSize = rapid.IntRange(1, 40).Draw(rt, "part")
		}
		breaks := rapid.SliceOfN(rapid.IntRange(0, len(answerText)-1), 0, 4).Draw(rt, "breaks")
		hostName := func(i int) zinniapond.HostName { return zinniapond.HostName(fmt.Sprint("owner", i)) }
		armNextBreak := func() {
			if len(breaks) > 0 {
				owners[current].setBehaviour(int64(breaks[0]), nil)
				breaks = breaks[1:]
			} else {
				owners[current].setBehaviour(-1, nil)
			}
		}
		armNextBreak()
		d.assign(hostName(current), proxies[current].Address())
		var sink buffer
		done := submit(r, newCall(zinniapond.CallID(fmt.Sprint("c", n))), &sink)
		for {
			select {
			case got := <-done:
				assertCompleteAnswer(t, got, &sink)
				return
			case <-owners[current].stalled:
			}
			old := current
			current = rapid.IntRange(0, len(owners)-1).Draw(rt, "next owner")
			armNextBreak()
			if current == old {
				proxies[current].CloseConnections()
			} else {
				d.assign(hostName(current), proxies[current].Address())
			}
		}
	})
}

func TestOutcome(t *testing.T) {
	assertNotRun := func(t *testing.T, got result) {
		t.Helper()
		assert.Equal(t, got.answer.Outcome, zinniapond.OutcomeNotRun)
		assert.ErrorIs(t, got.err, zinniapond.ErrOverload)
		assert.True(t, !errors.Is(got.err, zinniapond.ErrOutcomeUnknown), "got %v", got.err)
	}
	newFailingOwner := func(err error) *owner {
		o := newOwner(&runCounts{byCall: make(map[zinniapond.CallID]int)})
		o.err = err
		return o
	}
	newShortCall := func() zinniapond.Call {
		call := newCall("c")
		call.MaxQueueTime = 300 * time.Millisecond
		return call
	}
	t.Run("guards against reporting an unknown outcome for a call that reached no owner", func(t *testing.T) {
		d := newDirectory()
		d.assign("owner", ports.Reserve(t, 1).Address(0))
		assertNotRun(t, <-submit(newRelay(t, d), newShortCall(), new(buffer)))
	})
	t.Run("guards against waiting past the call's bound without a control state", func(t *testing.T) {
		assertNotRun(t, <-submit(newRelay(t, newDirectory()), newShortCall(), new(buffer)))
	})
	for _, e := range []error{zinniapond.ErrNotOwner, zinniapond.ErrStaleConfig} {
		t.Run(fmt.Sprintf("guards against retrying without back-off on the error %q", e), func(t *testing.T) {
			o := newFailingOwner(e)
			d := newDirectory()
			d.assign("owner", serveOwner(t, o))
			assertNotRun(t, <-submit(newRelay(t, d), newShortCall(), new(buffer)))
			assert.True(t, o.requestCount() > 1 && o.requestCount() < 12, "asked %d times in 300 ms", o.requestCount())
		})
	}
	t.Run("guards against reporting a call as not run that may have run", func(t *testing.T) {
		for name, err := range map[string]error{"fenced": zinniapond.ErrFenced, "broken": nil} {
			o := newFailingOwner(err)
			if err == nil {
				o.stallAt = 70
			}
			link := proxy.New(t, serveOwner(t, o))
			d := newDirectory()
			d.assign("owner", link.Address())
			r := newRelay(t, d)
			r.ResumeTimeout = 400 * time.Millisecond
			done := submit(r, newShortCall(), new(buffer))
			if err == nil {
				<-o.stalled
				link.Close()
			}
			got := <-done
			assert.ErrorIs(t, got.err, zinniapond.ErrOutcomeUnknown)
			assert.Equal(t, got.answer.Outcome, zinniapond.OutcomeUnknown)
			for _, e := range []error{zinniapond.ErrNotSent, zinniapond.ErrFenced, zinniapond.ErrOverload} {
				assert.True(t, !errors.Is(got.err, e), "%s: unknown outcome also wraps %v", name, e)
			}
		}
	})
	t.Run("guards against giving up before the new owner is assigned", func(t *testing.T) {
		j := &runCounts{byCall: make(map[zinniapond.CallID]int)}
		old, next := newOwner(j), newOwner(j)
		old.err = zinniapond.ErrNotOwner
		d := newDirectory()
		d.assign("old", serveOwner(t, old))
		nextAddress := serveOwner(t, next)
		var sink buffer
		done := submit(newRelay(t, d), newCall("c"), &sink)
		assert.Eventually(t, 5*time.Second, "old owner asked", func() bool { return old.requestCount() > 0 })
		d.assign("next", nextAddress)
		assertCompleteAnswer(t, <-done, &sink)
	})
	t.Run("guards against the search for an owner adding to the time in queue", func(t *testing.T) {
		o := newFailingOwner(zinniapond.ErrNotOwner)
		d := newDirectory()
		d.assign("owner", serveOwner(t, o))
		assertNotRun(t, <-submit(newRelay(t, d), newShortCall(), new(buffer)))
		first, last := o.waits[0], o.waits[len(o.waits)-1]
		assert.True(t, last < first-100*time.Millisecond && first <= newShortCall().MaxQueueTime, "waits of %s to %s", first, last)
	})
	t.Run("guards against a call that runs on after its caller cancels", func(t *testing.T) {
		o := newFailingOwner(nil)
		o.stallAt = 70
		d := newDirectory()
		d.assign("owner", serveOwner(t, o))
		r := newRelay(t, d)
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			<-o.stalled
			cancel()
		}()
		a, err := r.Submit(ctx, time.Now(), newCall("c"), new(buffer))
		assert.True(t, err != nil, "no error")
		assert.Equal(t, a.Outcome, zinniapond.OutcomeUnknown)
	})
	t.Run("guards against taking an error of the owner's own dial for a call that was not sent", func(t *testing.T) {
		o := newFailingOwner(fmt.Errorf("attempt: %w", zinniapond.ErrNotSent))
		d := newDirectory()
		d.assign("entry", netip.AddrPortFrom(netip.IPv6Loopback(), 1))
		r := newRelay(t, d)
		r.LocalOwner = o
		got := <-submit(r, newShortCall(), new(buffer))
		assert.ErrorIs(t, got.err, zinniapond.ErrNotSent)
		assert.Equal(t, o.requestCount(), 1)
	})
}

// BenchmarkRelay measures a relayed call of 320 bytes whose answer is not
// streamed, over the stream interface of another host.
func BenchmarkRelay(b *testing.B) {
	d := newDirectory()
	d.assign("owner", serveOwner(b, newOwner(&runCounts{byCall: make(map[zinniapond.CallID]int)})))
	r := newRelay(b, d)
	call := newCall("c")
	call.Stream = false
	b.ReportAllocs()
	for b.Loop() {
		_, err := r.Submit(context.Background(), time.Now(), call, nil)
		assert.NoError(b, err)
	}
}
