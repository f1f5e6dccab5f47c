package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"zinniapond.example/zinniapond"
)

// recoverPause is the wait between two tries to take over a shard, as while a
// majority of its replicas does not answer.
const recoverPause = 250 * time.Millisecond

// holding is a shard that is assigned to this host.
type holding struct {
	shard zinniapond.ShardID

	// epoch is read-locked during each append and write-locked while the shard
	// is sealed at a new epoch, so that no append is caught between two epochs.
	epochLock sync.RWMutex
	epoch     zinniapond.Epoch

	mu       sync.Mutex
	wanted   zinniapond.Assignment // the newest that was applied
	busy     bool                  // takeOver runs
	ready    bool                  // calls are taken
	closed   bool                  // new calls are held back while the host drains
	moving   bool                  // a hand-over is proposed
	target   zinniapond.HostName   // who shall get the shard; empty for nobody
	inflight int
	life     context.Context // ends when the shard is lost
	cancel   context.CancelCauseFunc
}

// errLost is the cause with which the calls of a lost shard end.
var errLost = fmt.Errorf("shard was assigned to another host: %w", zinniapond.ErrNotOwner)

// applyAssignments takes over the shards that were assigned to this host and
// drops those that were taken from it.
func (o *Owner) applyAssignments(view *zinniapond.ControlView) {
	member := view.Members[o.Settings.Host].Epoch
	for id, a := range view.Assignments {
		// An assignment to an earlier process of this host is not for this one.
		if a.Owner == o.Settings.Host && a.Member == member {
			o.want(id, a)
		}
	}
	var lost []*holding
	o.holdings.Each(func(id zinniapond.ShardID, h *holding) bool {
		if a := view.Assignments[id]; a.Owner != o.Settings.Host || a.Member != member {
			lost = append(lost, h)
		}
		return true
	})
	for _, h := range lost {
		o.drop(h)
	}
}

// want notes the newest assignment of a shard and starts its take-over.
func (o *Owner) want(id zinniapond.ShardID, a zinniapond.Assignment) {
	h := o.holdings.GetOrCreate(id, func() *holding {
		life, cancel := context.WithCancelCause(o.life)
		return &holding{shard: id, life: life, cancel: cancel}
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if a.Epoch <= h.wanted.Epoch {
		return
	}
	h.wanted = a
	if h.busy {
		return
	}
	h.busy = true
	o.group.Go(func() error { o.takeOver(h); return nil })
}

// takeOver seals the shard at the newest wanted epoch until none is newer.
func (o *Owner) takeOver(h *holding) {
	for {
		h.mu.Lock()
		a := h.wanted
		if a.Epoch <= h.epoch || h.life.Err() != nil {
			h.busy = false
			h.mu.Unlock()
			return
		}
		h.mu.Unlock()
		err := o.seal(h, a)
		if err == nil {
			o.Stats.Add("shards.taken", 1)
			o.Logger.Info("took over shard", "shard", h.shard, "epoch", a.Epoch)
			continue
		}
		if errors.Is(err, zinniapond.ErrFenced) {
			o.Logger.Warn("shard has a newer owner", "shard", h.shard, "epoch", a.Epoch, "error", err)
		} else {
			o.Logger.Warn("take-over failed, trying again", "shard", h.shard, "epoch", a.Epoch, "error", err)
		}
		select {
		case <-h.life.Done():
		case <-time.After(recoverPause):
		}
	}
}

// seal recovers the journal of the shard under the epoch of a. The programs are
// loaded at the first take-over only; later ones keep the running calls.
func (o *Owner) seal(h *holding, a zinniapond.Assignment) error {
	h.epochLock.Lock()
	defer h.epochLock.Unlock()
	now := o.Clock()
	first := h.epoch == 0
	if first {
		o.Budget.Drop(h.shard) // an earlier holding may have left records
	}
	loaded := make(map[zinniapond.ProgramID]*program)
	err := o.Journal.Recover(h.life, now, a, func(r zinniapond.Record) error {
		if first {
			o.replay(now, h.shard, loaded, r)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("recover shard %d: %w", h.shard, err)
	}
	h.epoch = a.Epoch
	o.Budget.Serve(now, h.shard, a.Epoch)
	if !first {
		return nil
	}
	if err := o.settleInterrupted(h, now, loaded); err != nil {
		h.epoch = 0
		return err
	}
	for id, p := range loaded {
		o.programs.Set(id, p)
	}
	h.mu.Lock()
	h.ready = true
	h.mu.Unlock()
	return nil
}

func (o *Owner) replay(now time.Time, shard zinniapond.ShardID, loaded map[zinniapond.ProgramID]*program, r zinniapond.Record) {
	switch r.Kind {
	case zinniapond.RecordGrant:
		o.Budget.Restore(now, shard, r)
	case zinniapond.RecordEmpty:
	default:
		p, ok := loaded[r.Program]
		if !ok {
			p = newProgram(shard, zinniapond.Program{ID: r.Program})
			p.loaded, p.opened = true, true
			loaded[r.Program] = p
		}
		p.book.Replay(&r)
		p.touched = r.At
	}
}

// settleInterrupted writes the outcome of calls that the former owner left
// without one and that must not run again.
func (o *Owner) settleInterrupted(h *holding, now time.Time, loaded map[zinniapond.ProgramID]*program) error {
	var records []zinniapond.Record
	for id, p := range loaded {
		for _, call := range p.book.Interrupted() {
			answer := unknownAnswer(call, "the owner was lost while the call ran")
			p.book.Finish(call, &answer)
			records = append(records, zinniapond.Record{
				Kind: zinniapond.RecordResult, Program: id, At: now, Answer: &answer,
			})
		}
	}
	if len(records) == 0 {
		return nil
	}
	return o.Journal.Append(h.life, now, h.shard, h.epoch, records...)
}

// drop ends the calls of a shard that was taken away and forgets its programs.
func (o *Owner) drop(h *holding) {
	o.holdings.Delete(h.shard)
	h.mu.Lock()
	h.ready = false
	h.mu.Unlock()
	h.cancel(errLost)
	o.Budget.Drop(h.shard)
	var gone []zinniapond.ProgramID
	o.programs.Each(func(id zinniapond.ProgramID, p *program) bool {
		if p.shard == h.shard {
			gone = append(gone, id)
		}
		return true
	})
	for _, id := range gone {
		if p, ok := o.programs.Get(id); ok {
			p.mu.Lock()
			p.gone = true
			p.mu.Unlock()
		}
		o.programs.Delete(id)
	}
	o.Logger.Info("lost shard", "shard", h.shard, "programs", len(gone))
}

// enter counts a request in, so that the shard is not handed over under it.
func (o *Owner) enter(now time.Time, program zinniapond.ProgramID) (*holding, error) {
	view := o.Directory.View()
	if view.Shards == 0 || !o.Directory.Fresh(now) {
		return nil, o.refuse("enter shard", zinniapond.ErrStale)
	}
	h, ok := o.holdings.Get(zinniapond.ShardOf(string(program), view.Shards))
	if !ok {
		return nil, o.refuse("enter shard", zinniapond.ErrNotOwner)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready || h.closed || h.moving {
		return nil, o.refuse("enter shard", zinniapond.ErrNotOwner)
	}
	h.inflight++
	return h, nil
}

// retain counts one more use of a shard that was entered.
func (h *holding) retain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inflight++
}

func (o *Owner) leave(h *holding) {
	h.mu.Lock()
	h.inflight--
	move := h.inflight == 0 && h.target != ""
	h.mu.Unlock()
	if move {
		o.group.Go(func() error { o.move(h); return nil })
	}
}

func (o *Owner) refuse(step string, err error) error {
	return &zinniapond.Error{Step: step, Peer: o.Settings.Streams, Host: o.Settings.Host, RetryAfter: time.Second, Err: err}
}

// append makes records durable under the epoch at which the shard is held.
func (o *Owner) append(ctx context.Context, now time.Time, h *holding, records ...zinniapond.Record) error {
	ctx, span := o.Tracer.Start(ctx, "journal.append", trace.WithAttributes(
		attribute.Int("shard", int(h.shard)), attribute.String("first", string(records[0].Kind))))
	defer span.End()
	h.epochLock.RLock()
	defer h.epochLock.RUnlock()
	return o.Journal.Append(ctx, now, h.shard, h.epoch, records...)
}
