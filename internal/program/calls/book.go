// Package calls decides on the calls of one program: their order, duplicates,
// caps, and what is known of their outcomes. It reads no clock and does no I/O.
package calls

import (
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// step is what the book keeps of one call. Bodies stay in the journal.
type step struct {
	id         zinniapond.CallID
	key        string
	digest     [32]byte
	sequence   uint64
	idempotent bool
	started    bool
	intended   bool
	finished   bool
	outcome    zinniapond.Outcome
}

// Book has the calls of one program. It is not safe for concurrent use.
type Book struct {
	Program zinniapond.Program

	byID    map[zinniapond.CallID]*step
	byKey   map[string]*step
	waiting []*step // admitted, not finished, in the order they may run
	done    uint64  // greatest sequence number that has finished
	turns   int     // calls that have finished
	used    zinniapond.Tokens
	ended   bool
	reason  string
}

// New returns the book of a program without calls.
func New(program zinniapond.Program) *Book {
	return &Book{
		Program: program,
		byID:    make(map[zinniapond.CallID]*step),
		byKey:   make(map[string]*step),
	}
}

// find returns the step that the call repeats, by id or by idempotency key.
func (b *Book) find(call *zinniapond.Call) *step {
	if s, ok := b.byID[call.ID]; ok {
		return s
	}
	if call.Key == "" {
		return nil
	}
	return b.byKey[call.Key]
}

// Admit takes a call in or recognises it as a repetition, whose first request
// has the returned id. A repetition with another digest returns ErrReused. A
// new call of an ended program returns ErrEnded, and one that is over a cap of
// the plan ErrCap.
func (b *Book) Admit(now time.Time, call *zinniapond.Call, plan *zinniapond.Plan) (zinniapond.CallID, zinniapond.CallState, error) {
	if s := b.find(call); s != nil {
		return b.repeat(s, call)
	}
	if b.ended {
		return "", zinniapond.CallNew, fmt.Errorf("admit call: %w: %s", zinniapond.ErrEnded, b.reason)
	}
	if err := b.Over(now, plan); err != nil {
		return "", zinniapond.CallNew, err
	}
	if call.Sequence > 0 && call.Sequence <= b.done {
		return "", zinniapond.CallNew, fmt.Errorf("admit call: %w: sequence %d was used by another call",
			zinniapond.ErrReused, call.Sequence)
	}
	b.add(call)
	return call.ID, zinniapond.CallNew, nil
}

func (b *Book) repeat(s *step, call *zinniapond.Call) (zinniapond.CallID, zinniapond.CallState, error) {
	if s.digest != call.Digest {
		return s.id, zinniapond.CallNew, fmt.Errorf("admit call: %w", zinniapond.ErrReused)
	}
	if s.finished {
		return s.id, zinniapond.CallFinished, nil
	}
	return s.id, zinniapond.CallRunning, nil
}

// Over returns an error that wraps ErrCap if the program has reached a cap of
// the plan. A cap of 0 is no cap.
func (b *Book) Over(now time.Time, plan *zinniapond.Plan) error {
	switch {
	case plan.Turns > 0 && b.turns >= plan.Turns:
		return fmt.Errorf("admit call: %w: %d turns", zinniapond.ErrCap, plan.Turns)
	case plan.Tokens > 0 && b.used >= plan.Tokens:
		return fmt.Errorf("admit call: %w: %d tokens", zinniapond.ErrCap, plan.Tokens)
	case plan.Time > 0 && now.Sub(b.Program.Opened) >= plan.Time:
		return fmt.Errorf("admit call: %w: %s since it was opened", zinniapond.ErrCap, plan.Time)
	}
	return nil
}

func (b *Book) add(call *zinniapond.Call) *step {
	s := &step{
		id: call.ID, key: call.Key, digest: call.Digest,
		sequence: call.Sequence, idempotent: call.Idempotent,
	}
	b.byID[s.id] = s
	if s.key != "" {
		b.byKey[s.key] = s
	}
	at := len(b.waiting)
	for s.sequence > 0 && at > 0 && b.waiting[at-1].sequence > s.sequence {
		at--
	}
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = s
	return s
}

// Ready returns the call that may run now: the first in order, if none runs
// and no earlier sequence number is missing.
func (b *Book) Ready() (zinniapond.CallID, bool) {
	if len(b.waiting) == 0 || b.waiting[0].started {
		return "", false
	}
	s := b.waiting[0]
	if s.sequence > b.done+1 {
		return "", false
	}
	return s.id, true
}

// Start marks the ready call as running.
func (b *Book) Start(id zinniapond.CallID) {
	if s := b.byID[id]; s != nil {
		s.started = true
	}
}

// Intend marks that the call's intent may be durable, so that from now on it
// may have run.
func (b *Book) Intend(id zinniapond.CallID) {
	if s := b.byID[id]; s != nil {
		s.intended = true
	}
}

// Finish stores the outcome of a call.
func (b *Book) Finish(id zinniapond.CallID, answer *zinniapond.Answer) {
	s := b.byID[id]
	if s == nil || s.finished {
		return
	}
	s.finished = true
	s.outcome = answer.Outcome
	b.turns++
	b.used += answer.Usage.Total()
	b.done = max(b.done, s.sequence)
	b.unlist(s)
}

// Withdraw forgets a call that provably did not run, or an idempotent one that
// was interrupted, so that a later request with the same key runs it.
func (b *Book) Withdraw(id zinniapond.CallID) {
	s := b.byID[id]
	if s == nil || s.finished {
		return
	}
	delete(b.byID, id)
	if s.key != "" {
		delete(b.byKey, s.key)
	}
	b.unlist(s)
}

func (b *Book) unlist(s *step) {
	for i, w := range b.waiting {
		if w == s {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return
		}
	}
}

// End closes the program to new calls.
func (b *Book) End(now time.Time, reason string) {
	if b.ended {
		return
	}
	b.ended = true
	b.reason = reason
	b.Program.Ended = now
	b.Program.Reason = reason
}

// Ended tells whether the program has ended.
func (b *Book) Ended() bool { return b.ended }

// Idle tells whether no call waits or runs.
func (b *Book) Idle() bool { return len(b.waiting) == 0 }

// Used returns the tokens that the program's calls have used.
func (b *Book) Used() zinniapond.Tokens { return b.used }
