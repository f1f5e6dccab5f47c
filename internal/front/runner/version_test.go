package runner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// setVersions gives the replicas a, b and so on the given software versions.
func (w *testRunner) setVersions(t *testing.T, versions ...zinniapond.SoftwareVersion) {
	t.Helper()
	base := w.list[0]
	w.list = nil
	for i, v := range versions {
		base.ID, base.Address, base.Version = fmt.Sprintf("replica-%d", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), v
		w.list = append(w.list, base)
	}
	assert.NoError(t, w.update())
}

// sentVersions returns the versions of the replicas that got a request, in order.
func (w *testRunner) sentVersions() []zinniapond.SoftwareVersion {
	var list []zinniapond.SoftwareVersion
	for _, s := range w.sent {
		list = append(list, s.Replica.Version)
	}
	return list
}

func TestVersions(t *testing.T) {
	resumable := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Resumable: true}
	rest := "id: 2\ndata: two\n\n"
	t.Run("guards against a stream that goes on at another software version within one answer", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, first, true, errBroken), answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v2", "v3", "v1", "v2", "v3")
		to := w.forward(zinniapond.Request{ClientTimeout: time.Second})
		assert.Equal(t, to.body.String(), wholeText)
		sent := w.sentVersions()
		assert.Equal(t, len(sent), 2)
		assert.Equal(t, sent[1], sent[0])
	})
	turn := zinniapond.Request{Program: "p", SessionID: "s", TokenBudget: 100, MaxGenerated: 50, Body: []byte("in"), ClientTimeout: time.Second}
	takeUp := turn
	takeUp.LastEventID, takeUp.Resumes = "1", "first"
	begunAt := func(version zinniapond.SoftwareVersion) []zinniapond.Spend {
		return []zinniapond.Spend{{Turn: "before", Version: "v9"}, {Turn: "first", Version: version, Begun: true}}
	}
	t.Run("guards against a client's take-up at another version than the recorded one", func(t *testing.T) {
		for _, version := range []zinniapond.SoftwareVersion{"v1", "v2", "v3"} {
			w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
			w.setVersions(t, "v1", "v2", "v3")
			w.turns.others = begunAt(version)
			assert.True(t, w.forward(takeUp).ended, "the stream is not complete")
			assert.Equal(t, w.sentVersions(), []zinniapond.SoftwareVersion{version})
		}
	})
	t.Run("guards against a take-up at another version while replicas of its own are full", func(t *testing.T) {
		w := newTestRunner(t, resumable, refusesRequest)
		w.setVersions(t, "v1", "v2", "v2", "v1")
		w.turns.others = begunAt("v1")
		w.forward(takeUp)
		for _, v := range w.sentVersions() {
			assert.Equal(t, v, "v1")
		}
	})
	refusedUnsent := func(t *testing.T, w *testRunner, q zinniapond.Request) {
		t.Helper()
		start := time.Now()
		assert.ErrorIs(t, w.forward(q).refused, zinniapond.ErrUnavailable)
		assert.True(t, time.Since(start) < 100*time.Millisecond, "refused after %s", time.Since(start))
		assert.Equal(t, len(w.sent), 0)
	}
	t.Run("guards against a take-up that waits for a version whose last replica has left", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		w.setVersions(t, "v2", "v2")
		w.turns.others = begunAt("v1")
		refusedUnsent(t, w, takeUp)
	})
	t.Run("guards against a guess for a stream without a record", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v2")
		refusedUnsent(t, w, takeUp)
		w.setVersions(t, "v2", "v2")
		w.view.PastVersions = []zinniapond.PastVersion{{Pool: "pool", Version: "v1", GoneAt: time.Now()}}
		refusedUnsent(t, w, takeUp)
	})
	plain := zinniapond.Request{LastEventID: "1", Resumes: "first"}
	t.Run("guards against refusing take-ups in a pool of one version", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v1")
		w.view.PastVersions = []zinniapond.PastVersion{{Pool: "other", Version: "v2", GoneAt: time.Now()}}
		w.turns.others = begunAt("v1")
		assert.True(t, w.forward(takeUp).ended, "the turn is not complete")
		assert.True(t, w.forward(plain).ended, "the stream without a program is not complete")
		w.turns.others = nil
		assert.True(t, w.forward(zinniapond.Request{LastEventID: "1"}).ended, "the stream of a client that does not name its beginning is not complete")
	})
	t.Run("guards against a take-up at the only version that a host knows which has missed the coming of another one", func(t *testing.T) {
		for _, q := range []zinniapond.Request{takeUp, plain} {
			w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
			w.setVersions(t, "v1", "v1")
			w.turns.others = begunAt("v2")
			refusedUnsent(t, w, q)
		}
	})
	t.Run("guards against a guess for a stream without a record at a host that knows one version", func(t *testing.T) {
		for _, q := range []zinniapond.Request{takeUp, plain} {
			w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
			w.setVersions(t, "v1", "v1")
			refusedUnsent(t, w, q)
		}
	})
	t.Run("guards against a client that comes back late to a host which learns of the version of its stream", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v1")
		w.turns.others = begunAt("v2")
		to := w.forward(plain)
		assert.True(t, to.retryAfter > 0 && to.retryAfter <= shortRetryAfter, "to come back after %s", to.retryAfter)
		w.setVersions(t, "v1", "v2")
		assert.True(t, w.forward(plain).ended, "the stream does not go on")
		assert.Equal(t, w.sentVersions(), []zinniapond.SoftwareVersion{"v2"})
	})
	t.Run("guards against a write more for each turn in a pool of one version", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
		w.setVersions(t, "v1", "v1")
		w.forward(turn)
		assert.Equal(t, w.turns.reserved.Version, "v1")
		assert.Equal(t, len(w.turns.begun), 0)
	})
	t.Run("guards against a stream without a budget that has no record as it began before a second version came", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
		w.setVersions(t, "v1", "v1")
		assert.True(t, w.forward(zinniapond.Request{}).ended, "the stream is not complete")
		assert.Equal(t, len(w.turns.begun), 1)
		begun := w.turns.begun[0]
		assert.Equal(t, begun.Version, "v1")

		other := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		other.setVersions(t, "v2", "v1", "v2")
		other.turns.others = []zinniapond.Spend{begun}
		assert.True(t, other.forward(zinniapond.Request{LastEventID: "1", Resumes: begun.Turn}).ended, "the stream does not go on")
		assert.Equal(t, other.sentVersions(), []zinniapond.SoftwareVersion{"v1"})
		assert.Equal(t, other.turns.reserved.Program, begun.Program)
	})
	t.Run("guards against a record for streams of replicas without versions", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
		assert.True(t, w.forward(zinniapond.Request{}).ended, "the stream is not complete")
		assert.Equal(t, len(w.turns.begun), 0)
	})
	t.Run("guards against a first event whose version is not recorded", func(t *testing.T) {
		for _, q := range []zinniapond.Request{turn, {}} {
			w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
			w.setVersions(t, "v1", "v2")
			assert.True(t, w.forward(q).ended, "the stream is not complete")
			assert.Equal(t, w.turns.reserved.Version, "")
			assert.Equal(t, len(w.turns.begun), 1)
			begun := w.turns.begun[0]
			assert.Equal(t, begun.Version, w.sent[0].Replica.Version)
			assert.True(t, begun.Begun && !begun.Settled && begun.Turn == "id" && begun.Program != "", "recorded %+v", begun)
		}
	})
	t.Run("guards against a record of the version that the reservation has though another begins the stream", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
		w.setVersions(t, "v1")
		w.turns.onReserve = func() { w.setVersions(t, "v2") }
		assert.True(t, w.forward(turn).ended, "the stream is not complete")
		assert.Equal(t, w.turns.reserved.Version, "v1")
		assert.Equal(t, w.turns.begun[0].Version, "v2")
	})
	t.Run("guards against a first event while the reservation has another version and the record of this one fails", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
		w.setVersions(t, "v1")
		w.turns.onReserve = func() { w.setVersions(t, "v2") }
		w.turns.beginErr, w.turns.beginFailures = zinniapond.ErrNoQuorum, -1
		to := w.forward(turn)
		assert.Equal(t, to.body.String(), "")
		assert.ErrorIs(t, to.refused, zinniapond.ErrOutcomeUnknown)
	})
	t.Run("guards against a stream that cannot be taken up as the disks were late once", func(t *testing.T) {
		for _, q := range []zinniapond.Request{turn, {}} {
			w := newTestRunner(t, resumable, answersWith(200, wholeText, true, nil))
			w.setVersions(t, "v1", "v2")
			w.turns.beginErr, w.turns.beginFailures = zinniapond.ErrNoQuorum, 2
			assert.True(t, w.forward(q).ended, "the stream is not complete")
			assert.Equal(t, len(w.turns.begun), 1)
			assert.Equal(t, w.turns.begun[0].Version, w.sent[0].Replica.Version)
		}
	})
	t.Run("guards against versions of streams that never go on elsewhere", func(t *testing.T) {
		w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1}, answersWith(200, wholeText, true, nil))
		w.setVersions(t, "v1", "v2")
		assert.True(t, w.forward(turn).ended, "the stream is not complete")
		assert.Equal(t, len(w.turns.begun), 0)
	})
	t.Run("guards against a stream that leaves the only replica of its version", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v2", "v2")
		p, err := w.pool("pool")
		assert.NoError(t, err)
		assert.True(t, !p.hasOtherOf(w.list[0]), "the only replica of v1 has another one")
		assert.True(t, p.hasOtherOf(w.list[1]), "one of two replicas of v2 has no other one")
	})
	t.Run("guards against room that is lost on a request which needs another version", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v2")
		p, err := w.pool("pool")
		assert.NoError(t, err)
		now := time.Now()
		next := p.waiters.enter(now, now, zinniapond.WaitingRequest{Ticket: p.waiters.ticket(), EnteredAt: now, LeaveAt: now.Add(time.Second), Deadline: now.Add(time.Second)})
		woken := &waitState{run: &run{Runner: w.Runner}, waiters: p.waiters, only: w.list[1].Address, isUnused: true}
		woken.passMisfit(now, p, zinniapond.PickInfo{Version: "v2"})
		assert.Equal(t, len(next), 0)
		woken.passMisfit(now, p, zinniapond.PickInfo{Version: "v1"})
		assert.Equal(t, len(next), 1)
		assert.Equal(t, (<-next).replica, w.list[1].Address)
		assert.True(t, !woken.isUnused, "the room is offered twice")
	})
}
