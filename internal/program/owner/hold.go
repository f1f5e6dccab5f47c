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

// shardRetryDelay is the delay before the owner retries a take-over or a
// hand-over of a shard, for example while a majority of the journal replicas
// does not answer.
const shardRetryDelay = 250 * time.Millisecond

// ownedShard is a shard that is assigned to this host.
type ownedShard struct {
	id zinniapond.ShardID

	// epochLock guards epoch. It is read-locked during each append and
	// write-locked while the journal of the shard is sealed at a new epoch, so
	// that no append runs while the epoch changes.
	epochLock sync.RWMutex
	epoch     zinniapond.Epoch

	mu            sync.Mutex
	assignment    zinniapond.Assignment // newest assignment applied by this host
	takingOver    bool                  // takeOver is running
	ready         bool                  // the journal is recovered and calls are accepted
	refusingCalls bool                  // new calls are refused for the rest of the drain
	handingOver   bool                  // a hand-over has been proposed to the control log
	successor     zinniapond.HostName   // host that gets the shard next; empty if none
	inFlight      int                   // requests and calls that use the shard
	lifetime      context.Context       // cancelled when the shard is lost
	cancel        context.CancelCauseFunc
}

// errShardLost is the cause of cancellation of the calls of a lost shard.
var errShardLost = fmt.Errorf("shard was assigned to another host: %w", zinniapond.ErrNotOwner)

// applyAssignments takes over the shards that are newly assigned to this
// process and drops those that are no longer assigned to it.
func (o *Owner) applyAssignments(view *zinniapond.ControlView) {
	memberEpoch := view.Members[o.Settings.Host].Epoch
	for id, a := range view.Assignments {
		// The member epoch differs if the shard was assigned to an earlier
		// process of this host; such an assignment is not valid for this
		// process.
		if a.Owner == o.Settings.Host && a.MemberEpoch == memberEpoch {
			o.requestTakeOver(id, a)
		}
	}
	var lostShards []*ownedShard
	o.ownedShards.Each(func(id zinniapond.ShardID, s *ownedShard) bool {
		if a := view.Assignments[id]; a.Owner != o.Settings.Host || a.MemberEpoch != memberEpoch {
			lostShards = append(lostShards, s)
		}
		return true
	})
	for _, s := range lostShards {
		o.dropShard(s)
	}
}

// requestTakeOver records the newest assignment of a shard and starts takeOver
// unless it is running already.
func (o *Owner) requestTakeOver(id zinniapond.ShardID, assignment zinniapond.Assignment) {
	shard := o.ownedShards.GetOrCreate(id, func() *ownedShard {
		lifetime, cancel := context.WithCancelCause(o.lifetime)
		return &ownedShard{id: id, lifetime: lifetime, cancel: cancel}
	})
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if assignment.Epoch <= shard.assignment.Epoch {
		return
	}
	shard.assignment = assignment
	if shard.takingOver {
		return
	}
	shard.takingOver = true
	o.group.Go(func() error { o.takeOver(shard); return nil })
}

// takeOver recovers the shard at the epoch of the newest assignment. It retries
// after a failure, and ends once no newer assignment has been applied in the
// meantime or the shard is lost.
func (o *Owner) takeOver(shard *ownedShard) {
	for {
		shard.mu.Lock()
		assignment := shard.assignment
		if assignment.Epoch <= shard.epoch || shard.lifetime.Err() != nil {
			shard.takingOver = false
			shard.mu.Unlock()
			return
		}
		shard.mu.Unlock()
		err := o.recoverShard(shard, assignment)
		if err == nil {
			o.Stats.Add("shards.taken", 1)
			o.Logger.Info("took over shard", "shard", shard.id, "epoch", assignment.Epoch)
			continue
		}
		if errors.Is(err, zinniapond.ErrFenced) {
			o.Logger.Warn("shard has a newer owner", "shard", shard.id, "epoch", assignment.Epoch, "error", err)
		} else {
			o.Logger.Warn("take-over failed, retrying", "shard", shard.id, "epoch", assignment.Epoch, "error", err)
		}
		select {
		case <-shard.lifetime.Done():
		case <-time.After(shardRetryDelay):
		}
	}
}

// recoverShard seals and recovers the journal of the shard at the epoch of a.
// The programs are loaded at the first take-over only; a later one changes the
// epoch and leaves the running calls alone.
func (o *Owner) recoverShard(shard *ownedShard, assignment zinniapond.Assignment) error {
	shard.epochLock.Lock()
	defer shard.epochLock.Unlock()
	now := o.Clock()
	firstTakeOver := shard.epoch == 0
	if firstTakeOver {
		o.Budget.StopGranting(shard.id) // a previous ownership of the shard may have left grant records
	}
	loaded := make(map[zinniapond.ProgramID]*program)
	err := o.Journal.Recover(shard.lifetime, now, assignment, func(r zinniapond.Record) error {
		if firstTakeOver {
			o.replayRecord(now, shard.id, loaded, r)
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("recover shard %d: %w", shard.id, err)
	}
	shard.epoch = assignment.Epoch
	o.Budget.StartGranting(now, shard.id, assignment.Epoch)
	if !firstTakeOver {
		return nil
	}
	if err := o.recordInterrupted(shard, now, loaded); err != nil {
		shard.epoch = 0
		return err
	}
	for id, p := range loaded {
		o.programs.Set(id, p)
	}
	shard.mu.Lock()
	shard.ready = true
	shard.mu.Unlock()
	return nil
}

// replayRecord applies one record of a recovered journal: grant records to the
// budget, all others to the program's tracker in loaded.
func (o *Owner) replayRecord(now time.Time, shardID zinniapond.ShardID, loaded map[zinniapond.ProgramID]*program, r zinniapond.Record) {
	switch r.Kind {
	case zinniapond.RecordGrant:
		o.Budget.Restore(now, shardID, r)
	case zinniapond.RecordEmpty:
	default:
		p, ok := loaded[r.Program]
		if !ok {
			p = newProgram(shardID, zinniapond.Program{ID: r.Program})
			p.loaded, p.opened = true, true
			loaded[r.Program] = p
		}
		p.tracker.Replay(&r)
		p.lastActivity = r.At
	}
}

// recordInterrupted appends an unknown outcome for each non-idempotent call
// that the previous owner left without a result. Such a call may have run and
// must not run again.
func (o *Owner) recordInterrupted(shard *ownedShard, now time.Time, loaded map[zinniapond.ProgramID]*program) error {
	var records []zinniapond.Record
	for id, p := range loaded {
		for _, call := range p.tracker.Interrupted() {
			answer := newUnknownAnswer(call, "the owner was lost while the call ran")
			p.tracker.Finish(call, &answer)
			records = append(records, zinniapond.Record{
				Kind: zinniapond.RecordResult, Program: id, At: now, Answer: &answer,
			})
		}
	}
	if len(records) == 0 {
		return nil
	}
	return o.Journal.Append(shard.lifetime, now, shard.id, shard.epoch, records...)
}

// dropShard cancels the calls of a shard that was assigned to another host and
// removes its programs from memory.
func (o *Owner) dropShard(shard *ownedShard) {
	o.ownedShards.Delete(shard.id)
	shard.mu.Lock()
	shard.ready = false
	shard.mu.Unlock()
	shard.cancel(errShardLost)
	o.Budget.StopGranting(shard.id)
	var dropped []zinniapond.ProgramID
	o.programs.Each(func(id zinniapond.ProgramID, p *program) bool {
		if p.shard == shard.id {
			dropped = append(dropped, id)
		}
		return true
	})
	for _, id := range dropped {
		if p, ok := o.programs.Get(id); ok {
			p.mu.Lock()
			p.unloaded = true
			p.mu.Unlock()
		}
		o.programs.Delete(id)
	}
	o.Logger.Info("shard assigned to another host", "shard", shard.id, "programs", len(dropped))
}

// acquireShard returns the shard of a program and counts the request as in
// flight, so that the shard is not handed over before releaseShard. It refuses
// the request if this host's view of the control state is stale or if the shard
// does not accept calls here.
func (o *Owner) acquireShard(now time.Time, program zinniapond.ProgramID) (*ownedShard, error) {
	view := o.Directory.View()
	if view.Shards == 0 || !o.Directory.LeaseValid(now) {
		return nil, o.newRefusal("enter shard", zinniapond.ErrStaleConfig)
	}
	shard, ok := o.ownedShards.Get(zinniapond.ShardOf(string(program), view.Shards))
	if !ok {
		return nil, o.newRefusal("enter shard", zinniapond.ErrNotOwner)
	}
	shard.mu.Lock()
	defer shard.mu.Unlock()
	if !shard.ready || shard.refusingCalls || shard.handingOver {
		return nil, o.newRefusal("enter shard", zinniapond.ErrNotOwner)
	}
	shard.inFlight++
	return shard, nil
}

// retain adds a use to a shard that acquireShard returned. It is undone by
// releaseShard.
func (s *ownedShard) retain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
}

// releaseShard undoes acquireShard or retain. It starts the hand-over of a
// shard that waits for its last request to end.
func (o *Owner) releaseShard(shard *ownedShard) {
	shard.mu.Lock()
	shard.inFlight--
	startHandover := shard.inFlight == 0 && shard.successor != ""
	shard.mu.Unlock()
	if startHandover {
		o.group.Go(func() error { o.handOver(shard); return nil })
	}
}

// newRefusal returns the error for a request that was not run and may be sent
// again.
func (o *Owner) newRefusal(step string, err error) error {
	return &zinniapond.Error{Step: step, Peer: o.Settings.StreamsListenAddress, Host: o.Settings.Host, RetryAfter: time.Second, Err: err}
}

// appendRecords appends records to the journal under the epoch at which this
// host owns the shard, and returns once they are durable.
func (o *Owner) appendRecords(ctx context.Context, now time.Time, shard *ownedShard, records ...zinniapond.Record) error {
	ctx, span := o.Tracer.Start(ctx, "journal.append", trace.WithAttributes(
		attribute.Int("shard", int(shard.id)), attribute.String("first", string(records[0].Kind))))
	defer span.End()
	shard.epochLock.RLock()
	defer shard.epochLock.RUnlock()
	return o.Journal.Append(ctx, now, shard.id, shard.epoch, records...)
}
