package owner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/program/calls"
	"zinniapond.example/zinniapond/internal/program/flow"
)

// program is one program of a shard that this host owns.
type program struct {
	shard zinniapond.ShardID

	load   sync.Mutex // held while the history is read
	loaded bool

	mu      sync.Mutex
	book    *calls.Book
	running map[zinniapond.CallID]*running
	opened  bool // the open record is durable or about to be
	touched time.Time
	gone    bool // no longer in memory; a request looks the program up again
}

// running is a call that waits or runs.
type running struct {
	call   zinniapond.Call
	flow   flow.Flow
	turn   chan struct{} // closed when the call may run
	cancel context.CancelCauseFunc
}

func newProgram(shard zinniapond.ShardID, p zinniapond.Program) *program {
	return &program{
		shard: shard, book: calls.New(p), touched: p.Opened,
		running: make(map[zinniapond.CallID]*running),
	}
}

// advance lets the next call in order run. The lock is held.
func (p *program) advance() {
	id, ok := p.book.Ready()
	if !ok {
		return
	}
	p.book.Start(id)
	if r := p.running[id]; r != nil {
		close(r.turn)
	}
}

// finish removes a call that has ended and lets the next one run.
func (p *program) finish(now time.Time, id zinniapond.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, id)
	p.touched = now
	p.advance()
}

// program returns the program of a call, from memory or from its journal. A
// program that is in neither is new.
func (o *Owner) program(ctx context.Context, now time.Time, h *holding, call *zinniapond.Call) (*program, error) {
	fresh := zinniapond.Program{
		ID: call.Program, Parent: call.Parent, Plan: call.Plan, Customer: call.Customer, Opened: now,
	}
	p := o.programs.GetOrCreate(call.Program, func() *program { return newProgram(h.shard, fresh) })
	// The id of a single call without a key is random, so it has no history.
	known := call.Single && call.Key == ""
	if err := o.load(ctx, now, p, call.Program, known); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.book.Program.Customer != call.Customer {
		return nil, fmt.Errorf("find program %s: %w", call.Program, zinniapond.ErrNotFound)
	}
	return p, nil
}

// load reads the history of a program that is not in memory: one that has
// ended, or none.
func (o *Owner) load(ctx context.Context, now time.Time, p *program, id zinniapond.ProgramID, known bool) error {
	p.load.Lock()
	defer p.load.Unlock()
	if p.loaded {
		return nil
	}
	if !known {
		err := o.Journal.History(ctx, now, p.shard, id, func(r zinniapond.Record) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.opened = true
			p.book.Replay(&r)
			return nil
		})
		if err != nil {
			return fmt.Errorf("read history of program %s: %w", id, err)
		}
	}
	p.loaded = true
	return nil
}

// Open makes a program durable before its first call.
func (o *Owner) Open(ctx context.Context, now time.Time, opened zinniapond.Program) error {
	h, err := o.enter(now, opened.ID)
	if err != nil {
		return err
	}
	defer o.leave(h)
	p, err := o.program(ctx, now, h, &zinniapond.Call{
		Program: opened.ID, Parent: opened.Parent, Plan: opened.Plan, Customer: opened.Customer,
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	done := p.opened
	record := p.openRecord(now)
	p.mu.Unlock()
	if done {
		return nil
	}
	if err := o.append(ctx, now, h, record); err != nil {
		return err
	}
	p.mu.Lock()
	p.opened = true
	p.mu.Unlock()
	return nil
}

// openRecord returns the record that opens the program. The lock is held.
func (p *program) openRecord(now time.Time) zinniapond.Record {
	opened := p.book.Program
	return zinniapond.Record{Kind: zinniapond.RecordOpen, Program: opened.ID, At: now, Opened: &opened}
}

// End ends a program, cancels its calls and releases its cache.
func (o *Owner) End(ctx context.Context, now time.Time, id zinniapond.ProgramID, reason string) error {
	h, err := o.enter(now, id)
	if err != nil {
		return err
	}
	defer o.leave(h)
	p, ok := o.programs.Get(id)
	if !ok {
		return fmt.Errorf("end program %s: %w", id, zinniapond.ErrNotFound)
	}
	return o.end(ctx, now, h, p, reason)
}

func (o *Owner) end(ctx context.Context, now time.Time, h *holding, p *program, reason string) error {
	p.mu.Lock()
	id := p.book.Program.ID
	was := p.book.Ended()
	records := []zinniapond.Record{{Kind: zinniapond.RecordEnd, Program: id, At: now, Reason: reason}}
	if !p.opened {
		records = append([]zinniapond.Record{p.openRecord(now)}, records...)
	}
	p.opened = true
	p.book.End(now, reason)
	for _, r := range p.running {
		r.cancel(fmt.Errorf("%w: %s", zinniapond.ErrEnded, reason))
	}
	p.mu.Unlock()
	if !was {
		if err := o.append(ctx, now, h, records...); err != nil {
			return fmt.Errorf("end program %s: %w", id, err)
		}
	}
	o.forget(id)
	return nil
}

// forget drops what is kept of an ended program. Its history stays in the
// journal, from which repeated requests are answered.
func (o *Owner) forget(id zinniapond.ProgramID) {
	for _, name := range o.poolNames() {
		if p, ok := o.pools.Get(name); ok {
			p.Queue.Forget(id)
		}
	}
	o.releasePins(o.Leases.End(id))
	p, ok := o.programs.Get(id)
	if !ok {
		return
	}
	o.unload(id, p)
}

// unload removes a program in which no call runs from memory. It is marked, so
// that a request that has just found it does not run a call beside one that
// loads the program anew.
func (o *Owner) unload(id zinniapond.ProgramID, p *program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.running) > 0 || p.gone {
		return
	}
	p.gone = true
	o.programs.Delete(id)
}

// View returns the history of a program from its journal.
func (o *Owner) View(ctx context.Context, now time.Time, id zinniapond.ProgramID) (zinniapond.History, error) {
	h, err := o.enter(now, id)
	if err != nil {
		return zinniapond.History{}, err
	}
	defer o.leave(h)
	history := zinniapond.History{Shard: h.shard, Owner: o.Settings.Host}
	at := make(map[zinniapond.CallID]int)
	err = o.Journal.History(ctx, now, h.shard, id, func(r zinniapond.Record) error {
		addRecord(&history, at, &r)
		return nil
	})
	if err != nil {
		return zinniapond.History{}, fmt.Errorf("read history of program %s: %w", id, err)
	}
	if history.Program.ID == "" {
		return zinniapond.History{}, fmt.Errorf("view program %s: %w", id, zinniapond.ErrNotFound)
	}
	return history, nil
}

func addRecord(history *zinniapond.History, at map[zinniapond.CallID]int, r *zinniapond.Record) {
	switch r.Kind {
	case zinniapond.RecordOpen:
		history.Program = *r.Opened
	case zinniapond.RecordIntent:
		c := r.Call
		i, ok := at[c.ID]
		if !ok {
			i = len(history.Steps)
			at[c.ID] = i
			history.Steps = append(history.Steps, zinniapond.Step{})
		}
		history.Steps[i] = zinniapond.Step{
			Call: c.ID, Sequence: c.Sequence, Key: c.Key, Pool: c.Pool, Method: c.Method, Path: c.Path,
			Request: c.Body, Intended: r.At,
		}
	case zinniapond.RecordResult:
		if i, ok := at[r.Answer.Call]; ok {
			history.Steps[i].Answer = r.Answer
		}
	case zinniapond.RecordEnd:
		history.Program.Ended, history.Program.Reason = r.At, r.Reason
	case zinniapond.RecordGrant, zinniapond.RecordEmpty:
	}
}
