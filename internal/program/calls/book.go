// Package calls decides which call of a program may run next, recognises
// repeated calls, enforces the caps of the plan and tracks the outcomes. It
// reads no clock and does no I/O.
package calls

import (
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// entry is the state of one call. The bodies of request and answer are kept in
// the journal only.
type entry struct {
	id            zinniapond.CallID
	key           string
	digest        [32]byte
	sequence      uint64
	idempotent    bool
	started       bool
	intentDurable bool
	finished      bool
	outcome       zinniapond.Outcome
}

// Tracker tracks the calls of one program. It is not safe for concurrent use.
type Tracker struct {
	Program zinniapond.Program

	byID          map[zinniapond.CallID]*entry
	byKey         map[string]*entry
	pending       []*entry // admitted and not finished, in the order in which they run
	lastFinished  uint64   // greatest sequence number of a finished call
	finishedCalls int      // number of finished calls
	usedTokens    zinniapond.Tokens
	ended         bool
	endReason     string // why the program has ended
}

// New returns a tracker without calls for the program.
func New(program zinniapond.Program) *Tracker {
	return &Tracker{
		Program: program,
		byID:    make(map[zinniapond.CallID]*entry),
		byKey:   make(map[string]*entry),
	}
}

// findRepeated returns the entry that the call repeats, by id or by idempotency
// key, or nil for a new call.
func (b *Tracker) findRepeated(call *zinniapond.Call) *entry {
	if e, ok := b.byID[call.ID]; ok {
		return e
	}
	if call.IdempotencyKey == "" {
		return nil
	}
	return b.byKey[call.IdempotencyKey]
}

// AdmitCall adds a new call, or recognises the call as a repetition and returns
// the id and the state of the call that it repeats. The error wraps
// ErrKeyReused for a repetition with another digest or a used sequence number,
// ErrProgramEnded for a new call of an ended program, and ErrCapExceeded for a
// new call of a program that has reached a cap of the plan.
func (b *Tracker) AdmitCall(now time.Time, call *zinniapond.Call, plan *zinniapond.Plan) (zinniapond.CallID, zinniapond.CallState, error) {
	if e := b.findRepeated(call); e != nil {
		return b.checkRepetition(e, call)
	}
	if b.ended {
		return "", zinniapond.CallNew, fmt.Errorf("admit call: %w: %s", zinniapond.ErrProgramEnded, b.endReason)
	}
	if err := b.CheckCaps(now, plan); err != nil {
		return "", zinniapond.CallNew, err
	}
	if call.Sequence > 0 && call.Sequence <= b.lastFinished {
		return "", zinniapond.CallNew, fmt.Errorf("admit call: %w: sequence %d was used by another call",
			zinniapond.ErrKeyReused, call.Sequence)
	}
	b.addCall(call)
	return call.ID, zinniapond.CallNew, nil
}

func (b *Tracker) checkRepetition(e *entry, call *zinniapond.Call) (zinniapond.CallID, zinniapond.CallState, error) {
	if e.digest != call.Digest {
		return e.id, zinniapond.CallNew, fmt.Errorf("admit call: %w", zinniapond.ErrKeyReused)
	}
	if e.finished {
		return e.id, zinniapond.CallFinished, nil
	}
	return e.id, zinniapond.CallRunning, nil
}

// CheckCaps returns an error that wraps ErrCapExceeded if the program has
// reached a cap of the plan. A cap of 0 means no cap.
func (b *Tracker) CheckCaps(now time.Time, plan *zinniapond.Plan) error {
	switch {
	case plan.MaxCalls > 0 && b.finishedCalls >= plan.MaxCalls:
		return fmt.Errorf("admit call: %w: %d turns", zinniapond.ErrCapExceeded, plan.MaxCalls)
	case plan.MaxTokens > 0 && b.usedTokens >= plan.MaxTokens:
		return fmt.Errorf("admit call: %w: %d tokens", zinniapond.ErrCapExceeded, plan.MaxTokens)
	case plan.MaxDuration > 0 && now.Sub(b.Program.OpenedAt) >= plan.MaxDuration:
		return fmt.Errorf("admit call: %w: %s since it was opened", zinniapond.ErrCapExceeded, plan.MaxDuration)
	}
	return nil
}

// addCall inserts the call into pending before all calls with greater sequence
// numbers. A call without a sequence number is appended.
func (b *Tracker) addCall(call *zinniapond.Call) *entry {
	e := &entry{
		id: call.ID, key: call.IdempotencyKey, digest: call.Digest,
		sequence: call.Sequence, idempotent: call.Idempotent,
	}
	b.byID[e.id] = e
	if e.key != "" {
		b.byKey[e.key] = e
	}
	position := len(b.pending)
	for e.sequence > 0 && position > 0 && b.pending[position-1].sequence > e.sequence {
		position--
	}
	b.pending = append(b.pending, nil)
	copy(b.pending[position+1:], b.pending[position:])
	b.pending[position] = e
	return e
}

// NextReady returns the next call, if it may start now: no call is running
// and no call with a smaller sequence number is missing.
func (b *Tracker) NextReady() (zinniapond.CallID, bool) {
	if len(b.pending) == 0 || b.pending[0].started {
		return "", false
	}
	e := b.pending[0]
	if e.sequence > b.lastFinished+1 {
		return "", false
	}
	return e.id, true
}

// MarkStarted marks the call that NextReady returned as running.
func (b *Tracker) MarkStarted(id zinniapond.CallID) {
	if e := b.byID[id]; e != nil {
		e.started = true
	}
}

// MarkIntended records that the intent of the call may be durable. From then
// on the call may have run.
func (b *Tracker) MarkIntended(id zinniapond.CallID) {
	if e := b.byID[id]; e != nil {
		e.intentDurable = true
	}
}

// Finish records the outcome of a call and adds its tokens to those used.
func (b *Tracker) Finish(id zinniapond.CallID, answer *zinniapond.Answer) {
	e := b.byID[id]
	if e == nil || e.finished {
		return
	}
	e.finished = true
	e.outcome = answer.Outcome
	b.finishedCalls++
	b.usedTokens += answer.Usage.Total()
	b.lastFinished = max(b.lastFinished, e.sequence)
	b.removePending(e)
}

// Withdraw removes a call that is known not to have run, or an idempotent call
// that was interrupted, so that a later request with the same idempotency key
// runs it.
func (b *Tracker) Withdraw(id zinniapond.CallID) {
	e := b.byID[id]
	if e == nil || e.finished {
		return
	}
	delete(b.byID, id)
	if e.key != "" {
		delete(b.byKey, e.key)
	}
	b.removePending(e)
}

func (b *Tracker) removePending(e *entry) {
	for i, p := range b.pending {
		if p == e {
			b.pending = append(b.pending[:i], b.pending[i+1:]...)
			return
		}
	}
}

// End marks the program as ended, so that AdmitCall refuses new calls. Only the
// first call has an effect.
func (b *Tracker) End(now time.Time, reason string) {
	if b.ended {
		return
	}
	b.ended = true
	b.endReason = reason
	b.Program.EndedAt = now
	b.Program.Reason = reason
}

// Ended reports whether End was called or a replayed record ended the program.
func (b *Tracker) Ended() bool { return b.ended }

// Idle reports whether no admitted call is waiting or running.
func (b *Tracker) Idle() bool { return len(b.pending) == 0 }

// UsedTokens returns the number of tokens that the finished calls have used.
func (b *Tracker) UsedTokens() zinniapond.Tokens { return b.usedTokens }
