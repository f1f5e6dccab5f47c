package calls

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newCall(id, key string, sequence uint64) *zinniapond.Call {
	c := &zinniapond.Call{ID: zinniapond.CallID(id), IdempotencyKey: key, Sequence: sequence}
	c.Digest[0] = byte(sequence)
	return c
}

func checkAdmit(t assert.TB, b *Tracker, c *zinniapond.Call, want zinniapond.CallState) {
	t.Helper()
	_, state, err := b.AdmitCall(startTime, c, &zinniapond.Plan{})
	assert.NoError(t, err)
	assert.Equal(t, state, want)
}

func checkReady(t assert.TB, b *Tracker, want zinniapond.CallID) {
	t.Helper()
	id, _ := b.NextReady()
	assert.Equal(t, id, want)
}

func newDoneAnswer(id zinniapond.CallID, tokens zinniapond.Tokens) *zinniapond.Answer {
	return &zinniapond.Answer{
		Call: id, Outcome: zinniapond.OutcomeDone, Usage: zinniapond.Usage{Generated: tokens},
	}
}

func TestOrder(t *testing.T) {
	t.Run("guards against two calls of a program at once", func(t *testing.T) {
		b := New(zinniapond.Program{})
		checkAdmit(t, b, newCall("a", "", 0), zinniapond.CallNew)
		checkAdmit(t, b, newCall("b", "", 0), zinniapond.CallNew)
		checkReady(t, b, "a")
		b.MarkStarted("a")
		checkReady(t, b, "")
		b.Finish("a", newDoneAnswer("a", 0))
		checkReady(t, b, "b")
	})
	t.Run("guards against running a later sequence number first", func(t *testing.T) {
		b := New(zinniapond.Program{})
		checkAdmit(t, b, newCall("b", "", 2), zinniapond.CallNew)
		checkReady(t, b, "")
		checkAdmit(t, b, newCall("a", "", 1), zinniapond.CallNew)
		checkReady(t, b, "a")
		b.MarkStarted("a")
		b.Finish("a", newDoneAnswer("a", 0))
		checkReady(t, b, "b")
	})
	t.Run("guards against a second call under a used sequence number", func(t *testing.T) {
		b := New(zinniapond.Program{})
		checkAdmit(t, b, newCall("a", "", 1), zinniapond.CallNew)
		b.MarkStarted("a")
		b.Finish("a", newDoneAnswer("a", 0))
		_, _, err := b.AdmitCall(startTime, newCall("other", "", 1), &zinniapond.Plan{})
		assert.ErrorIs(t, err, zinniapond.ErrKeyReused)
	})
}

func TestRepetition(t *testing.T) {
	t.Run("guards against running a repeated key again", func(t *testing.T) {
		b := New(zinniapond.Program{})
		checkAdmit(t, b, newCall("a", "key", 0), zinniapond.CallNew)
		checkAdmit(t, b, newCall("b", "key", 0), zinniapond.CallRunning)
		b.Finish("a", newDoneAnswer("a", 0))
		checkAdmit(t, b, newCall("c", "key", 0), zinniapond.CallFinished)
	})
	t.Run("guards against one key for two requests", func(t *testing.T) {
		b := New(zinniapond.Program{})
		checkAdmit(t, b, newCall("a", "key", 0), zinniapond.CallNew)
		_, _, err := b.AdmitCall(startTime, newCall("b", "key", 9), &zinniapond.Plan{})
		assert.ErrorIs(t, err, zinniapond.ErrKeyReused)
	})
	t.Run("guards against remembering a call that did not run", func(t *testing.T) {
		b := New(zinniapond.Program{})
		checkAdmit(t, b, newCall("a", "key", 1), zinniapond.CallNew)
		b.Withdraw("a")
		checkAdmit(t, b, newCall("a", "key", 1), zinniapond.CallNew)
		checkReady(t, b, "a")
	})
}

func TestCaps(t *testing.T) {
	newFinishedBook := func() *Tracker {
		b := New(zinniapond.Program{OpenedAt: startTime})
		b.addCall(newCall("a", "", 0))
		b.Finish("a", newDoneAnswer("a", 10))
		return b
	}
	for name, plan := range map[string]zinniapond.Plan{
		"guards against endless turns":  {MaxCalls: 1},
		"guards against endless tokens": {MaxTokens: 10},
		"guards against endless time":   {MaxDuration: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := newFinishedBook().AdmitCall(startTime.Add(time.Hour), newCall("b", "", 0), &plan)
			assert.ErrorIs(t, err, zinniapond.ErrCapExceeded)
		})
	}
	t.Run("guards against calls after the end", func(t *testing.T) {
		b := newFinishedBook()
		b.End(startTime, "ended by its caller")
		_, _, err := b.AdmitCall(startTime, newCall("b", "", 0), &zinniapond.Plan{})
		assert.ErrorIs(t, err, zinniapond.ErrProgramEnded)
		checkAdmit(t, b, newCall("a", "", 0), zinniapond.CallFinished)
	})
}

// TestReplay checks that no interrupted non-idempotent call is sent a second
// time by the next owner. It writes random histories of calls to a journal,
// loses the owner after a random record, lets the next owner replay the
// journal, and counts the sends that may have happened.
func TestReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var journal []zinniapond.Record
		sendCounts := make(map[string]int) // sends by key, of non-idempotent calls
		owner := New(zinniapond.Program{})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			key := rapid.StringMatching("[a-e]").Draw(t, "key")
			c := &zinniapond.Call{ID: zinniapond.CallID("call-" + key), IdempotencyKey: key}
			c.Idempotent = key < "c"
			_, state, err := owner.AdmitCall(startTime, c, &zinniapond.Plan{})
			assert.NoError(t, err)
			if state != zinniapond.CallNew {
				continue
			}
			owner.MarkStarted(c.ID)
			if rapid.Bool().Draw(t, "refused before the intent") {
				owner.Withdraw(c.ID)
				continue
			}
			journal = append(journal, zinniapond.Record{Kind: zinniapond.RecordIntent, Call: c})
			owner.MarkIntended(c.ID)
			if !c.Idempotent {
				sendCounts[key]++
			}
			if rapid.Bool().Draw(t, "owner lost after the intent") {
				owner = New(zinniapond.Program{})
				for _, r := range journal {
					owner.Replay(&r)
				}
				for _, id := range owner.Interrupted() {
					unknown := &zinniapond.Answer{Call: id, Outcome: zinniapond.OutcomeUnknown}
					journal = append(journal, zinniapond.Record{Kind: zinniapond.RecordResult, Answer: unknown})
					owner.Finish(id, unknown)
				}
				continue
			}
			answer := newDoneAnswer(c.ID, 1)
			journal = append(journal, zinniapond.Record{Kind: zinniapond.RecordResult, Answer: answer})
			owner.Finish(c.ID, answer)
		}
		for key, n := range sendCounts {
			assert.True(t, n <= 1, "non-idempotent call %s was sent %d times", key, n)
		}
	})
}
