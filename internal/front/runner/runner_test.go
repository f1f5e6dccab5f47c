package runner

import (
	"context"
	"math"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	wholeText = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	first     = "id: 1\ndata: one\n\n"
)

func TestAttempts(t *testing.T) {
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	unsafe := zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 2}
	whole := answersWith(200, "answer", false, nil)
	t.Run("guards against running an unsafe request twice", func(t *testing.T) {
		for _, failure := range []reply{failsAfterSend, answersWith(200, "ans", false, errBroken)} {
			w := newTestRunner(t, unsafe, failure, whole)
			to := w.forward(zinniapond.Request{})
			assert.Equal(t, len(w.sent), 1)
			assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
		}
	})
	t.Run("guards against giving up a request that provably did not run", func(t *testing.T) {
		for _, refusal := range []reply{refusesRequest, failsBeforeSend} {
			w := newTestRunner(t, unsafe, refusal, refusal, whole)
			to := w.forward(zinniapond.Request{})
			assert.Equal(t, to.body.String(), "answer")
			assert.True(t, to.ended, "the answer is not complete")
		}
	})
	t.Run("guards against a safe request failing with its first replica", func(t *testing.T) {
		w := newTestRunner(t, safe, failsAfterSend, whole)
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		assert.True(t, w.sent[0].Replica.ID != w.sent[1].Replica.ID, "the request was sent to the same replica again")
	})
	t.Run("guards against more attempts than the route allows", func(t *testing.T) {
		w := newTestRunner(t, safe, failsAfterSend)
		assert.ErrorIs(t, w.forward(zinniapond.Request{}).refused, zinniapond.ErrOutcomeUnknown)
		assert.Equal(t, len(w.sent), 2)
	})
	t.Run("guards against passing on an answer that is not the replica's", func(t *testing.T) {
		w := newTestRunner(t, unsafe, func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			r, err := answersWith(200, "foreign", false, nil)(zinniapond.ReplicaRequest{})
			r.Verified = false
			return r, err
		})
		to := w.forward(zinniapond.Request{})
		assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
		assert.Equal(t, to.body.Len(), 0)
	})
	t.Run("guards against reporting that a request was not run although an attempt may have run", func(t *testing.T) {
		w := newTestRunner(t, safe, failsAfterSend, refusesRequest)
		to := w.forward(zinniapond.Request{})
		assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
	})
	t.Run("guards against a late refusal while all replicas are full", func(t *testing.T) {
		w := newTestRunner(t, unsafe, refusesRequest)
		start := time.Now()
		assert.ErrorIs(t, w.forward(zinniapond.Request{}).refused, zinniapond.ErrOverload)
		assert.True(t, time.Since(start) < 350*time.Millisecond, "refused after %s of 400 ms", time.Since(start))
	})
	t.Run("guards against new requests to a leaving replica", func(t *testing.T) {
		w := newTestRunner(t, unsafe, whole)
		for i := range w.list {
			w.list[i].State = zinniapond.BackendLeaving
		}
		w.list[1].State = zinniapond.BackendLive
		assert.NoError(t, w.update())
		for range 4 {
			w.forward(zinniapond.Request{})
		}
		for _, s := range w.sent {
			assert.Equal(t, s.Replica.ID, "b")
		}
	})
	t.Run("guards against new requests to a replica whose answer says that it leaves", func(t *testing.T) {
		leaving := func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			r, err := whole(s)
			r.Leaving = true
			return r, err
		}
		w := newTestRunner(t, unsafe, leaving)
		w.forward(zinniapond.Request{})
		assert.Equal(t, w.marked, []netip.AddrPort{w.sent[0].Replica.Address})
	})
	// endedDuring forwards a request whose context ends with a cause during its attempt.
	endedDuring := func(t *testing.T, cause error) *recorder {
		t.Helper()
		ctx, cancel := context.WithCancelCause(t.Context())
		w := newTestRunner(t, unsafe, func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			cancel(cause)
			return nil, context.Canceled
		})
		to := new(recorder)
		w.Forward(ctx, time.Now(), zinniapond.Request{ID: "id", Host: "h", Path: "/r/x", ReceivedAt: time.Now(), ClientTimeout: time.Second}, to)
		return to
	}
	t.Run("guards against a request without an answer at the end of a stop", func(t *testing.T) {
		to := endedDuring(t, zinniapond.ErrUnavailable)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
		assert.True(t, !to.aborted, "the connection is closed")
	})
	t.Run("guards against an answer to a client that is gone", func(t *testing.T) {
		to := endedDuring(t, nil)
		assert.True(t, to.aborted && to.refused == nil, "answered: %v", to.refused)
	})
	t.Run("guards against relaying bytes without end", func(t *testing.T) {
		w := newTestRunner(t, safe, func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, Body: &body{endless{}, nil}}, nil
		})
		to := new(counter)
		request := zinniapond.Request{ID: "id", Host: "h", Path: "/r/x", ReceivedAt: time.Now(), ClientTimeout: 10 * time.Second}
		w.Forward(t.Context(), time.Now(), request, to)
		assert.True(t, to.aborted && !to.ended, "the answer ends as complete")
		assert.True(t, to.written <= maxAnswerBytes, "%d bytes relayed", to.written)
	})
	t.Run("guards against a prompt whose size takes the memory or the time of the host", func(t *testing.T) {
		w := newTestRunner(t, safe, whole)
		q := zinniapond.Request{PromptParts: []zinniapond.PromptPart{{ID: "a", Tokens: math.MaxInt64}, {ID: "b", Tokens: math.MaxInt64}}}
		assert.Equal(t, w.forward(q).body.String(), "answer")
		u := &run{Runner: w.Runner, request: &q, route: &safe}
		assert.Equal(t, len(u.routingNeed().PrefixHashes), maxPrefixBlocks)
	})
	t.Run("guards against an answer for a path without a route", func(t *testing.T) {
		w := newTestRunner(t, safe, whole)
		to := new(recorder)
		w.Forward(t.Context(), time.Now(), zinniapond.Request{Host: "h", Path: "/other/", ReceivedAt: time.Now(), ClientTimeout: time.Second}, to)
		assert.ErrorIs(t, to.refused, zinniapond.ErrNotFound)
	})
	t.Run("guards against going back to an older configuration", func(t *testing.T) {
		w := newTestRunner(t, safe, whole)
		old := *w.view.Routing
		old.Version, old.Routes = 2, nil
		w.view.Routing = &old
		assert.NoError(t, w.update())
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
	})
}

func TestStreams(t *testing.T) {
	kept := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1, Retained: true, Retention: time.Minute}
	resumable := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Resumable: true}
	turn := zinniapond.Request{Program: "p", SessionID: "s", TokenBudget: 100, MaxGenerated: 50, Body: []byte("in")}
	t.Run("guards against a stream that ends as complete before its turn is stored", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		w.turns.keepErr = zinniapond.ErrNoQuorum
		to := w.forward(turn)
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
	})
	t.Run("guards against a turn kept with other data than was sent", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		to := w.forward(turn)
		assert.Equal(t, to.body.String(), wholeText)
		assert.Equal(t, string(w.turns.kept[0].Output), "one\ntwo\n")
		assert.Equal(t, string(w.turns.kept[0].Input), "in")
		assert.Equal(t, w.turns.settled[0].Used, zinniapond.Tokens(20))
	})
	t.Run("guards against a settlement with another time than its reservation", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		w.forward(turn)
		assert.True(t, !w.turns.reserved.ReservedAt.IsZero(), "the reservation has no time")
		assert.True(t, w.turns.settled[0].ReservedAt.Equal(w.turns.reserved.ReservedAt), "settled at %s, reserved at %s", w.turns.settled[0].ReservedAt, w.turns.reserved.ReservedAt)
	})
	t.Run("guards against turns and spends that expire while a turn that continues them is running", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		w.forward(turn)
		longest := kept.Retention + w.view.Routing.Routes[0].Timeout
		assert.Equal(t, w.turns.kept[0].Retention, longest)
		assert.True(t, w.turns.reserved.KeepTime() > longest, "spends are kept for %s", w.turns.reserved.KeepTime())
	})
	t.Run("guards against a budget that is had again within a long retention", func(t *testing.T) {
		long := kept
		long.Retention = time.Hour
		w := newTestRunner(t, long, answersWith(200, wholeText, true, nil))
		w.forward(turn)
		assert.True(t, w.turns.reserved.KeepTime() > time.Hour, "spends are kept for %s", w.turns.reserved.KeepTime())
	})
	t.Run("guards against a chain that is not in order before the new input", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		w.turns.chain = []zinniapond.Turn{{ID: "1", Input: []byte("a"), Output: []byte("b\n")}, {ID: "2", Input: []byte("c"), Output: []byte("d\n")}}
		q := turn
		q.PreviousTurn = "2"
		w.forward(q)
		assert.Equal(t, string(w.sent[0].Body), "ab\ncd\nin")
		assert.Equal(t, len(w.turns.kept[0].Chain), 2)
	})
	t.Run("guards against running a turn over its budget", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		w.turns.reserve = zinniapond.ErrBudgetExhausted
		assert.ErrorIs(t, w.forward(turn).refused, zinniapond.ErrBudgetExhausted)
		assert.Equal(t, len(w.sent), 0)
	})
	t.Run("guards against tokens that stay reserved after a refusal, or are given back after a part was sent", func(t *testing.T) {
		w := newTestRunner(t, kept, refusesRequest)
		w.forward(turn)
		assert.Equal(t, w.turns.settled[0].Used, zinniapond.Tokens(0))
		w = newTestRunner(t, kept, answersWith(200, first, true, errBroken))
		w.forward(turn)
		assert.Equal(t, w.turns.settled[0].Used, zinniapond.Tokens(10))
	})
	t.Run("guards against a stream without length that looks complete though it ends within an event", func(t *testing.T) {
		for _, rest := range []string{"id: 2", "id: 2\ndata: tw", "id: 2\ndata: two\n"} {
			w := newTestRunner(t, kept, answersWith(200, first+rest, true, nil))
			to := w.forward(turn)
			assert.Equal(t, to.body.String(), first)
			assert.True(t, to.aborted && !to.ended, "the stream ends as complete after %q", rest)
			assert.Equal(t, len(w.turns.kept), 0)
		}
	})
	t.Run("guards against breaking off a stream without length that ends after an event", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		to := w.forward(turn)
		assert.True(t, to.ended && to.body.String() == wholeText, "body %q", to.body.String())
	})
	t.Run("guards against a broken stream that looks complete", func(t *testing.T) {
		w := newTestRunner(t, kept, answersWith(200, first+"id: 2\nda", true, errBroken))
		to := w.forward(turn)
		assert.Equal(t, to.body.String(), first)
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
		assert.Equal(t, len(w.sent), 1)
	})
	// A stream is resumed once the broken run is known to have ended.
	patient := zinniapond.Request{SessionID: "s", ClientTimeout: time.Second}
	for name, second := range map[string]reply{
		"an error":                    answersWith(500, "HTTP/1.1 500 failed\r\n\r\nfailed", false, nil),
		"an error of its status":      answersWith(200, "failed", false, nil),
		"an error that breaks off":    answersWith(500, "fai", false, errBroken),
		"a stream of an error":        answersWith(500, "id: 2\ndata: failed\n\n", true, nil),
		"a stream from its beginning": answersWith(200, wholeText, true, nil),
		"a refusal":                   refusesRequest,
	} {
		t.Run("guards against "+name+" in the middle of a stream that broke off", func(t *testing.T) {
			w := newTestRunner(t, resumable, answersWith(200, first+"id: 2\nda", true, errBroken), second)
			to := w.forward(patient)
			assert.True(t, len(w.sent) > 1, "the stream was not resumed")
			assert.Equal(t, to.status, 200)
			assert.Equal(t, to.body.String(), first)
			assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
		})
	}
	t.Run("guards against giving up a broken stream when a replica refuses to resume it", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, first, true, errBroken), refusesRequest, answersWith(200, "id: 2\ndata: two\n\n", true, nil))
		to := w.forward(patient)
		assert.Equal(t, to.body.String(), wholeText)
		assert.True(t, to.ended, "the stream is broken off")
	})
	t.Run("guards against duplicate or missing events in a resumed stream", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, first+"id: 2\nda", true, errBroken), answersWith(200, "id: 2\ndata: two\n\n", true, nil))
		to := w.forward(patient)
		assert.Equal(t, to.body.String(), wholeText)
		assert.Equal(t, w.sent[1].LastEventID, "1")
	})
	// resumedAfter forwards a stream that breaks off, while its replica reports its run
	// the given number of times or fails to report.
	resumedAfter := func(t *testing.T, reports int, reportErr error) (*testRunner, *recorder) {
		t.Helper()
		w := newTestRunner(t, resumable, answersWith(200, first, true, errBroken), answersWith(200, "id: 2\ndata: two\n\n", true, nil))
		w.runsOn, w.reportErr = reports, reportErr
		return w, w.forward(patient)
	}
	t.Run("guards against resuming a stream while its first replica works on", func(t *testing.T) {
		w, to := resumedAfter(t, 100, nil)
		assert.Equal(t, len(w.sent), 1)
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
	})
	t.Run("guards against resuming a stream whose first replica does not say what it works on", func(t *testing.T) {
		w, to := resumedAfter(t, 0, errBroken)
		assert.Equal(t, len(w.sent), 1)
		assert.True(t, to.aborted && !to.ended, "the stream ends as complete")
	})
	t.Run("guards against giving up a stream whose first replica has ended its run", func(t *testing.T) {
		w, to := resumedAfter(t, 0, nil)
		assert.Equal(t, to.body.String(), wholeText)
		assert.Equal(t, w.reports, 1)
	})
	t.Run("guards against waiting for the report of a replica that has ended", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, first, true, errBroken), answersWith(200, "id: 2\ndata: two\n\n", true, nil))
		w.gone = map[netip.AddrPort]bool{}
		for _, b := range w.list {
			w.gone[b.Address] = true
		}
		start := time.Now()
		assert.Equal(t, w.forward(patient).body.String(), wholeText)
		assert.True(t, w.reports == 0 && time.Since(start) < reportAge, "resumed after %s and %d reports", time.Since(start), w.reports)
	})
}

func TestAwait(t *testing.T) {
	t.Run("guards against refusing a request that comes before the first configuration", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestSafe}, answersWith(200, "answer", false, nil))
		routing := w.view.Routing
		fresh := &Runner{
			Directory: w, Roster: w, Turns: &w.turns, Client: w, Stats: w.Stats, Logger: w.Logger, Clock: time.Now, Urgency: w.Urgency, Limits: w.Limits, Blame: w.Blame, Throttle: w.Throttle, NewRouter: w.NewRouter, NewWaitQueue: w.NewWaitQueue, NewMigration: w.NewMigration, NewRetrier: w.NewRetrier,
		}
		w.view.Routing = nil
		assert.NoError(t, func() error { fresh.initialise(); return fresh.update() }())
		w.Runner = fresh
		done := make(chan *recorder, 1)
		go func() { done <- w.forward(zinniapond.Request{ClientTimeout: time.Second}) }()
		time.Sleep(20 * time.Millisecond)
		w.view.Routing = routing
		assert.NoError(t, fresh.update())
		assert.Equal(t, (<-done).body.String(), "answer")
	})
}

func TestHome(t *testing.T) {
	place := func(session, replica string, number int) zinniapond.Spend {
		return zinniapond.Spend{Settled: true, CacheLocation: zinniapond.CacheLocation{
			SessionID: session, Replica: netip.MustParseAddrPort(replica), Tokens: 9000, TurnNumber: number,
		}}
	}
	request := &zinniapond.Request{SessionID: "s", PromptParts: []zinniapond.PromptPart{{ID: "a", Tokens: 5000}, {ID: "b", Tokens: 2000}}}
	spends := []zinniapond.Spend{place("s", "10.0.0.1:80", 1), place("s", "10.0.0.2:80", 3), place("t", "10.0.0.3:80", 4), {}}
	t.Run("guards against routing by another turn than the last of the session", func(t *testing.T) {
		assert.Equal(t, findHome(request, spends).Replica.String(), "10.0.0.2:80")
	})
	t.Run("guards against routing a new session without the last turn of its program", func(t *testing.T) {
		helper := *request
		helper.SessionID = "new"
		got := findHome(&helper, spends)
		assert.Equal(t, got.Replica.String(), "10.0.0.3:80")
		assert.Equal(t, got.Tokens, zinniapond.Tokens(5000))
	})
	t.Run("guards against a home from a spend without a replica", func(t *testing.T) {
		assert.True(t, !findHome(request, []zinniapond.Spend{{}}).Replica.IsValid(), "a replica is named")
	})
}
