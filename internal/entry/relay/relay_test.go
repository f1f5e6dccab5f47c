package relay

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
	"zinniapond.example/zinniapond/internal/test/proxy"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // the command line overrides it
	goleak.VerifyTestMain(m)
}

var text = bytes.Repeat([]byte("0123456789abcdef"), 20)

func newCall(id zinniapond.CallID) zinniapond.Call {
	return zinniapond.Call{ID: id, Program: "p", Stream: true, Body: text, Wait: time.Minute}
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

// whole checks that an answer came once, complete and in order.
func whole(t testing.TB, got result, sink *buffer) {
	t.Helper()
	assert.NoError(t, got.err)
	assert.Equal(t, got.answer.Outcome, zinniapond.OutcomeDone)
	assert.Equal(t, sink.begun, 1)
	assert.Equal(t, sink.String(), string(text))
}

func TestRelay(t *testing.T) {
	j := &journal{runs: make(map[zinniapond.CallID]int)}
	o := newOwner(j)
	address := serveOwner(t, o)
	d := newDirectory()
	d.assign("owner", address)
	r := newRelay(t, d)
	t.Run("guards against losing or reordering parts", func(t *testing.T) {
		var sink buffer
		whole(t, <-submit(r, newCall("parts"), &sink), &sink)
	})
	t.Run("guards against losing the body of an answer in one piece", func(t *testing.T) {
		call := newCall("whole")
		call.Stream = false
		got := <-submit(r, call, nil)
		assert.NoError(t, got.err)
		assert.Equal(t, string(got.answer.Body), string(text))
	})
	t.Run("guards against the type of the owner's refusal being lost", func(t *testing.T) {
		refusing := newOwner(j)
		refusing.err = &zinniapond.Error{Step: "reserve", RetryAfter: time.Second, Err: zinniapond.ErrBudget}
		d := newDirectory()
		d.assign("owner", serveOwner(t, refusing))
		got := <-submit(newRelay(t, d), newCall("refused"), new(buffer))
		assert.ErrorIs(t, got.err, zinniapond.ErrBudget)
		assert.Equal(t, refusing.count(), 1)
		var e *zinniapond.Error
		assert.True(t, errors.As(got.err, &e) && e.RetryAfter == time.Second, "detail lost: %v", got.err)
	})
	t.Run("guards against a network round for a shard of this host", func(t *testing.T) {
		d := newDirectory()
		d.assign("entry", netip.MustParseAddrPort("127.0.0.1:1"))
		r := newRelay(t, d)
		r.Local = newOwner(j)
		var sink buffer
		whole(t, <-submit(r, newCall("local"), &sink), &sink)
	})
	t.Run("guards against a quiet call being taken for a silent one", func(t *testing.T) {
		quiet := newOwner(j)
		quiet.stall = 70
		d := newDirectory()
		d.assign("owner", serveOwner(t, quiet))
		var sink buffer
		done := submit(newRelay(t, d), newCall("quiet"), &sink)
		<-quiet.stalled
		time.Sleep(2 * silence) // the heartbeats cover this
		close(quiet.resume)
		whole(t, <-done, &sink)
		assert.Equal(t, quiet.count(), 1)
	})
	t.Run("guards against a slow caller being taken for a silent owner", func(t *testing.T) {
		var parts int
		sink := buffer{each: func() {
			if parts++; parts == 2 {
				time.Sleep(3 * silence / 2)
			}
		}}
		before := o.count()
		whole(t, <-submit(r, newCall("slow"), &sink), &sink)
		assert.Equal(t, o.count(), before+1)
	})
	t.Run("guards against requests about programs going nowhere", func(t *testing.T) {
		assert.NoError(t, r.Open(context.Background(), time.Now(), zinniapond.Program{ID: "p"}))
		assert.NoError(t, r.End(context.Background(), time.Now(), "p", "done"))
		h, err := r.View(context.Background(), time.Now(), "p q&r")
		assert.NoError(t, err)
		assert.Equal(t, h.Program.ID, "p q&r")
	})
}

func TestResume(t *testing.T) {
	for name, harm := range map[string]func(*proxy.Proxy){
		"cut": (*proxy.Proxy).Cut, "silent": (*proxy.Proxy).Silence, "half-closed": (*proxy.Proxy).HalfClose,
	} {
		t.Run("guards against losing an answer on a connection that is "+name, func(t *testing.T) {
			t.Parallel()
			o := newOwner(&journal{runs: make(map[zinniapond.CallID]int)})
			o.stall = 70
			link := proxy.New(t, serveOwner(t, o))
			d := newDirectory()
			d.assign("owner", link.Address())
			var sink buffer
			done := submit(newRelay(t, d), newCall("c"), &sink)
			<-o.stalled
			o.set(-1, nil)
			harm(link)
			whole(t, <-done, &sink)
			assert.Equal(t, o.journal.runs, map[zinniapond.CallID]int{"c": 2})
		})
	}
	t.Run("guards against waiting for an owner that has lost the shard", func(t *testing.T) {
		j := &journal{runs: make(map[zinniapond.CallID]int)}
		old, next := newOwner(j), newOwner(j)
		old.stall, next.part = 70, 11
		d := newDirectory()
		d.assign("old", serveOwner(t, old))
		nextAddress := serveOwner(t, next)
		var sink buffer
		done := submit(newRelay(t, d), newCall("c"), &sink)
		<-old.stalled
		d.assign("next", nextAddress) // the old one still sends heartbeats
		whole(t, <-done, &sink)
		assert.Equal(t, next.count(), 1)
	})
	t.Run("guards against joining the parts of two different answers", func(t *testing.T) {
		j := &journal{runs: make(map[zinniapond.CallID]int)}
		old, next := newOwner(j), newOwner(j)
		old.stall = 70
		d := newDirectory()
		d.assign("old", serveOwner(t, old))
		nextAddress := serveOwner(t, &rewriter{next})
		var once sync.Once
		passed := make(chan struct{})
		sink := buffer{each: func() { once.Do(func() { close(passed) }) }}
		done := submit(newRelay(t, d), newCall("c"), &sink)
		<-old.stalled
		<-passed // without a part at the caller, any answer would be whole
		d.assign("next", nextAddress)
		got := <-done
		assert.ErrorIs(t, got.err, zinniapond.ErrUnknown)
		assert.True(t, bytes.HasPrefix(text, sink.Bytes()), "spliced answer %q", sink.String())
	})
}

// TestFirst guards against a caller's first answer being shown as a repetition
// because the relay had to ask twice.
func TestFirst(t *testing.T) {
	j := &journal{runs: make(map[zinniapond.CallID]int)}
	old, next := newOwner(j), newOwner(j)
	old.stall = 0
	next.stored = &zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown, Status: 409, Repeated: true}
	d := newDirectory()
	d.assign("old", serveOwner(t, old))
	nextAddress := serveOwner(t, next)
	r := newRelay(t, d)
	done := submit(r, newCall("c"), new(buffer))
	<-old.stalled
	d.assign("next", nextAddress)
	assert.Equal(t, (<-done).answer, zinniapond.Answer{Outcome: zinniapond.OutcomeUnknown, Status: 502})
	assert.Equal(t, (<-submit(r, newCall("c"), new(buffer))).answer, *next.stored)
}

// rewriter is an owner whose rerun gives another answer.
type rewriter struct{ *owner }

func (r *rewriter) Submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	call.Body = bytes.ToUpper(call.Body)
	return r.owner.Submit(ctx, now, call, sink)
}

// TestJoin guards against a byte of an answer being lost, doubled or moved,
// wherever its streams break and whichever owners continue it.
func TestJoin(t *testing.T) {
	j := &journal{runs: make(map[zinniapond.CallID]int)}
	owners := []*owner{newOwner(j), newOwner(j), newOwner(j)}
	d := newDirectory()
	var taps []*proxy.Proxy
	for _, o := range owners {
		taps = append(taps, proxy.New(t, serveOwner(t, o)))
	}
	r := newRelay(t, d)
	n := 0
	rapid.Check(t, func(rt *rapid.T) {
		n++
		at := rapid.IntRange(0, len(owners)-1).Draw(rt, "first owner")
		for _, o := range owners {
			o.set(-1, nil)
			o.part = rapid.IntRange(1, 40).Draw(rt, "part")
		}
		breaks := rapid.SliceOfN(rapid.IntRange(0, len(text)-1), 0, 4).Draw(rt, "breaks")
		name := func(i int) zinniapond.HostName { return zinniapond.HostName(fmt.Sprint("owner", i)) }
		arm := func() {
			if len(breaks) > 0 {
				owners[at].set(int64(breaks[0]), nil)
				breaks = breaks[1:]
			} else {
				owners[at].set(-1, nil)
			}
		}
		arm()
		d.assign(name(at), taps[at].Address())
		var sink buffer
		done := submit(r, newCall(zinniapond.CallID(fmt.Sprint("c", n))), &sink)
		for {
			select {
			case got := <-done:
				whole(t, got, &sink)
				return
			case <-owners[at].stalled:
			}
			old := at
			at = rapid.IntRange(0, len(owners)-1).Draw(rt, "next owner")
			arm()
			if at == old {
				taps[at].Cut()
			} else {
				d.assign(name(at), taps[at].Address())
			}
		}
	})
}

func TestOutcome(t *testing.T) {
	free := func(t *testing.T) netip.AddrPort {
		t.Helper()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NoError(t, err)
		defer l.Close()
		return l.Addr().(*net.TCPAddr).AddrPort()
	}
	notRun := func(t *testing.T, got result) {
		t.Helper()
		assert.Equal(t, got.answer.Outcome, zinniapond.OutcomeNotRun)
		assert.ErrorIs(t, got.err, zinniapond.ErrOverload)
		assert.True(t, !errors.Is(got.err, zinniapond.ErrUnknown), "got %v", got.err)
	}
	newOwners := func(err error) *owner {
		o := newOwner(&journal{runs: make(map[zinniapond.CallID]int)})
		o.err = err
		return o
	}
	short := func() zinniapond.Call {
		call := newCall("c")
		call.Wait = 300 * time.Millisecond
		return call
	}
	t.Run("guards against calling a call unknown that reached no owner", func(t *testing.T) {
		d := newDirectory()
		d.assign("owner", free(t))
		notRun(t, <-submit(newRelay(t, d), short(), new(buffer)))
	})
	t.Run("guards against waiting past the call's bound without any control state", func(t *testing.T) {
		notRun(t, <-submit(newRelay(t, newDirectory()), short(), new(buffer)))
	})
	for _, e := range []error{zinniapond.ErrNotOwner, zinniapond.ErrStale} {
		t.Run(fmt.Sprintf("guards against spinning on the answer %q", e), func(t *testing.T) {
			o := newOwners(e)
			d := newDirectory()
			d.assign("owner", serveOwner(t, o))
			notRun(t, <-submit(newRelay(t, d), short(), new(buffer)))
			assert.True(t, o.count() > 1 && o.count() < 12, "asked %d times in 300 ms", o.count())
		})
	}
	t.Run("guards against calling a call not run that may have run", func(t *testing.T) {
		for name, err := range map[string]error{"fenced": zinniapond.ErrFenced, "broken": nil} {
			o := newOwners(err)
			if err == nil {
				o.stall = 70
			}
			link := proxy.New(t, serveOwner(t, o))
			d := newDirectory()
			d.assign("owner", link.Address())
			r := newRelay(t, d)
			r.Resume = 400 * time.Millisecond
			done := submit(r, short(), new(buffer))
			if err == nil {
				<-o.stalled
				link.Close()
			}
			got := <-done
			assert.ErrorIs(t, got.err, zinniapond.ErrUnknown)
			assert.Equal(t, got.answer.Outcome, zinniapond.OutcomeUnknown)
			for _, e := range []error{zinniapond.ErrNotSent, zinniapond.ErrFenced, zinniapond.ErrOverload} {
				assert.True(t, !errors.Is(got.err, e), "%s: unknown outcome also wraps %v", name, e)
			}
		}
	})
	t.Run("guards against giving up before the new owner is known", func(t *testing.T) {
		j := &journal{runs: make(map[zinniapond.CallID]int)}
		old, next := newOwner(j), newOwner(j)
		old.err = zinniapond.ErrNotOwner
		d := newDirectory()
		d.assign("old", serveOwner(t, old))
		nextAddress := serveOwner(t, next)
		var sink buffer
		done := submit(newRelay(t, d), newCall("c"), &sink)
		assert.Eventually(t, 5*time.Second, "old owner asked", func() bool { return old.count() > 0 })
		d.assign("next", nextAddress)
		whole(t, <-done, &sink)
	})
	t.Run("guards against the search for an owner adding to the time in queue", func(t *testing.T) {
		o := newOwners(zinniapond.ErrNotOwner)
		d := newDirectory()
		d.assign("owner", serveOwner(t, o))
		notRun(t, <-submit(newRelay(t, d), short(), new(buffer)))
		first, last := o.waits[0], o.waits[len(o.waits)-1]
		assert.True(t, last < first-100*time.Millisecond && first <= short().Wait, "waits of %s to %s", first, last)
	})
	t.Run("guards against a call outliving its caller", func(t *testing.T) {
		o := newOwners(nil)
		o.stall = 70
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
	t.Run("guards against an owner error of its own dial being taken for a call not sent", func(t *testing.T) {
		o := newOwners(fmt.Errorf("attempt: %w", zinniapond.ErrNotSent))
		d := newDirectory()
		d.assign("entry", netip.AddrPortFrom(netip.IPv6Loopback(), 1))
		r := newRelay(t, d)
		r.Local = o
		got := <-submit(r, short(), new(buffer))
		assert.ErrorIs(t, got.err, zinniapond.ErrNotSent)
		assert.Equal(t, o.count(), 1)
	})
}

// BenchmarkRelay measures a relayed call of 320 bytes in one piece, over the
// stream interface of another host.
func BenchmarkRelay(b *testing.B) {
	d := newDirectory()
	d.assign("owner", serveOwner(b, newOwner(&journal{runs: make(map[zinniapond.CallID]int)})))
	r := newRelay(b, d)
	call := newCall("c")
	call.Stream = false
	b.ReportAllocs()
	for b.Loop() {
		_, err := r.Submit(context.Background(), time.Now(), call, nil)
		assert.NoError(b, err)
	}
}
