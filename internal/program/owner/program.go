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

// program is the state in memory of one program of a shard that this host owns.
type program struct {
	shard zinniapond.ShardID

	loadLock sync.Mutex // held while the history is read from the journal
	loaded   bool       // the history has been applied to book

	mu           sync.Mutex
	tracker      *calls.Tracker
	activeCalls  map[zinniapond.CallID]*activeCall
	opened       bool // the open record is durable or is being appended
	lastActivity time.Time
	unloaded     bool // no longer in Owner.programs; a request has to look the program up again
}

// activeCall is a call that has been admitted and has not finished.
type activeCall struct {
	call      zinniapond.Call
	flow      flow.Buffer
	startable chan struct{} // closed when all earlier calls of the program have finished
	cancel    context.CancelCauseFunc
}

func newProgram(shard zinniapond.ShardID, p zinniapond.Program) *program {
	return &program{
		shard: shard, tracker: calls.New(p), lastActivity: p.OpenedAt,
		activeCalls: make(map[zinniapond.CallID]*activeCall),
	}
}

// startNext starts the next call in the order of the program, if it may start
// now. The caller holds p.mu.
func (p *program) startNext() {
	id, ok := p.tracker.NextReady()
	if !ok {
		return
	}
	p.tracker.MarkStarted(id)
	if active := p.activeCalls[id]; active != nil {
		close(active.startable)
	}
}

// removeCall removes a finished call and starts the next one.
func (p *program) removeCall(now time.Time, id zinniapond.CallID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.activeCalls, id)
	p.lastActivity = now
	p.startNext()
}

// findProgram returns the program of a call, from memory or from the history in
// the journal. A program that is found in neither is created. It returns an
// error that wraps ErrNotFound if the program belongs to another customer.
func (o *Owner) findProgram(ctx context.Context, now time.Time, shard *ownedShard, call *zinniapond.Call) (*program, error) {
	created := zinniapond.Program{
		ID: call.Program, Parent: call.ParentProgram, Plan: call.Plan, Customer: call.Customer, OpenedAt: now,
	}
	p := o.programs.GetOrCreate(call.Program, func() *program { return newProgram(shard.id, created) })
	// The program id of a single call without an idempotency key is random, so
	// the journal cannot contain a history of it.
	withoutHistory := call.SingleCall && call.IdempotencyKey == ""
	if err := o.loadHistory(ctx, now, p, call.Program, withoutHistory); err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tracker.Program.Customer != call.Customer {
		return nil, fmt.Errorf("find program %s: %w", call.Program, zinniapond.ErrNotFound)
	}
	return p, nil
}

// loadHistory applies the journal records of a program that is not in memory.
// Such a program has either ended or never existed, because a take-over loads
// all programs that have not ended.
func (o *Owner) loadHistory(ctx context.Context, now time.Time, p *program, id zinniapond.ProgramID, withoutHistory bool) error {
	p.loadLock.Lock()
	defer p.loadLock.Unlock()
	if p.loaded {
		return nil
	}
	if !withoutHistory {
		err := o.Journal.History(ctx, now, p.shard, id, func(r zinniapond.Record) error {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.opened = true
			p.tracker.Replay(&r)
			return nil
		})
		if err != nil {
			return fmt.Errorf("read history of program %s: %w", id, err)
		}
	}
	p.loaded = true
	return nil
}

// Open opens a program before its first call. It appends the open record and
// returns once the record is durable. It does nothing if the program is open
// already.
func (o *Owner) Open(ctx context.Context, now time.Time, opened zinniapond.Program) error {
	shard, err := o.acquireShard(now, opened.ID)
	if err != nil {
		return err
	}
	defer o.releaseShard(shard)
	p, err := o.findProgram(ctx, now, shard, &zinniapond.Call{
		Program: opened.ID, ParentProgram: opened.Parent, Plan: opened.Plan, Customer: opened.Customer,
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	alreadyOpened := p.opened
	record := p.newOpenRecord(now)
	p.mu.Unlock()
	if alreadyOpened {
		return nil
	}
	if err := o.appendRecords(ctx, now, shard, record); err != nil {
		return err
	}
	p.mu.Lock()
	p.opened = true
	p.mu.Unlock()
	return nil
}

// newOpenRecord returns the journal record that opens the program. The caller
// holds p.mu.
func (p *program) newOpenRecord(now time.Time) zinniapond.Record {
	opened := p.tracker.Program
	return zinniapond.Record{Kind: zinniapond.RecordOpen, Program: opened.ID, At: now, OpenedProgram: &opened}
}

// End ends a program with a durable record, cancels its calls and releases its
// cache on the backend servers.
func (o *Owner) End(ctx context.Context, now time.Time, id zinniapond.ProgramID, reason string) error {
	shard, err := o.acquireShard(now, id)
	if err != nil {
		return err
	}
	defer o.releaseShard(shard)
	p, ok := o.programs.Get(id)
	if !ok {
		return fmt.Errorf("end program %s: %w", id, zinniapond.ErrNotFound)
	}
	return o.endProgram(ctx, now, shard, p, reason)
}

func (o *Owner) endProgram(ctx context.Context, now time.Time, shard *ownedShard, p *program, reason string) error {
	p.mu.Lock()
	id := p.tracker.Program.ID
	alreadyEnded := p.tracker.Ended()
	records := []zinniapond.Record{{Kind: zinniapond.RecordEnd, Program: id, At: now, Reason: reason}}
	if !p.opened {
		records = append([]zinniapond.Record{p.newOpenRecord(now)}, records...)
	}
	p.opened = true
	p.tracker.End(now, reason)
	for _, c := range p.activeCalls {
		c.cancel(fmt.Errorf("%w: %s", zinniapond.ErrProgramEnded, reason))
	}
	p.mu.Unlock()
	if !alreadyEnded {
		if err := o.appendRecords(ctx, now, shard, records...); err != nil {
			return fmt.Errorf("end program %s: %w", id, err)
		}
	}
	o.forgetProgram(id)
	return nil
}

// forgetProgram drops the state in memory of an ended program and releases its
// cache. The history stays in the journal, which answers repeated requests.
func (o *Owner) forgetProgram(id zinniapond.ProgramID) {
	for _, name := range o.listPools() {
		if p, ok := o.pools.Get(name); ok {
			p.Queue.Forget(id)
		}
	}
	o.releasePins(o.Leases.RemoveProgram(id))
	p, ok := o.programs.Get(id)
	if !ok {
		return
	}
	o.unloadProgram(id, p)
}

// unloadProgram removes a program without active calls from memory. It also
// marks the program as unloaded: a request that has just found it must look it
// up again, otherwise two copies of the program could run calls at the same
// time.
func (o *Owner) unloadProgram(id zinniapond.ProgramID, p *program) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.activeCalls) > 0 || p.unloaded {
		return
	}
	p.unloaded = true
	o.programs.Delete(id)
}

// View returns the history of a program, read from the journal. It returns an
// error that wraps ErrNotFound if the journal has no open record of it.
func (o *Owner) View(ctx context.Context, now time.Time, id zinniapond.ProgramID) (zinniapond.History, error) {
	shard, err := o.acquireShard(now, id)
	if err != nil {
		return zinniapond.History{}, err
	}
	defer o.releaseShard(shard)
	history := zinniapond.History{Shard: shard.id, Owner: o.Settings.Host}
	stepIndexes := make(map[zinniapond.CallID]int)
	err = o.Journal.History(ctx, now, shard.id, id, func(r zinniapond.Record) error {
		addRecord(&history, stepIndexes, &r)
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

// addRecord adds a journal record to the history. stepIndexes has the index in
// history.Steps of each call seen so far.
func addRecord(history *zinniapond.History, stepIndexes map[zinniapond.CallID]int, r *zinniapond.Record) {
	switch r.Kind {
	case zinniapond.RecordOpen:
		history.Program = *r.OpenedProgram
	case zinniapond.RecordIntent:
		call := r.Call
		i, ok := stepIndexes[call.ID]
		if !ok {
			i = len(history.Steps)
			stepIndexes[call.ID] = i
			history.Steps = append(history.Steps, zinniapond.Step{})
		}
		history.Steps[i] = zinniapond.Step{
			Call: call.ID, Sequence: call.Sequence, IdempotencyKey: call.IdempotencyKey, Pool: call.Pool, Method: call.Method, Path: call.Path,
			Request: call.Body, IntendedAt: r.At,
		}
	case zinniapond.RecordResult:
		if i, ok := stepIndexes[r.Answer.Call]; ok {
			history.Steps[i].Answer = r.Answer
		}
	case zinniapond.RecordEnd:
		history.Program.EndedAt, history.Program.Reason = r.At, r.Reason
	case zinniapond.RecordGrant, zinniapond.RecordEmpty:
	}
}
