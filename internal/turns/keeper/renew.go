package keeper

import (
	"context"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
	"zinniapond.example/zinniapond/internal/turns/renew"
)

const (
	// renewTimeout bounds one renewal at another disk.
	renewTimeout = 2 * time.Second
	// maxRenewedPerRequest bounds the turns in one request.
	maxRenewedPerRequest = 4096
	// maxRenewalBacklog bounds the turns that wait for a disk that does not answer.
	// The retention on that disk begins again when it restarts.
	maxRenewalBacklog = 1 << 16
)

// notice tells other disks until when the turns before a turn are retained.
type notice struct {
	turn  zinniapond.TurnID
	until time.Time
}

// renewals has the renewals that other disks have not confirmed, and the notices for
// them. A chain is retained as long as its last turn, and is renewed by the disks that
// have that turn: the host that wrote it may end at any time.
type renewals struct {
	mu      sync.Mutex
	backlog map[zinniapond.DiskID][]*batch
	notices map[zinniapond.DiskID][]notice
}

// collect adds batches to the backlog of each disk. It returns the batches that no disk
// has to confirm any more.
func (r *renewals) collect(now time.Time, disks []zinniapond.DiskID, batches []*batch) (finished []*batch) {
	for _, b := range batches {
		if b.expect(disks) {
			finished = append(finished, b)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, list := range r.backlog {
		for _, b := range list {
			if !slices.Contains(disks, id) && b.confirm(id) {
				finished = append(finished, b)
			}
		}
	}
	backlog := make(map[zinniapond.DiskID][]*batch, len(disks))
	for _, id := range disks {
		if list := boundBacklog(now, append(slices.Clone(r.backlog[id]), batches...)); len(list) > 0 {
			backlog[id] = list
		}
	}
	r.backlog = backlog
	return finished
}

// boundBacklog drops renewals that are over, and the oldest ones beyond
// maxRenewalBacklog.
func boundBacklog(now time.Time, list []*batch) []*batch {
	first, count := len(list), 0
	for first > 0 && count < maxRenewalBacklog && now.Before(list[first-1].until.Add(zinniapond.RetentionSlack)) {
		first--
		count += len(list[first].ids)
	}
	return list[first:]
}

func (r *renewals) pendingFor(disk zinniapond.DiskID) []*batch {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.backlog[disk])
}

// confirm removes a batch from the backlog of a disk. It returns whether this was the last
// disk.
func (r *renewals) confirm(disk zinniapond.DiskID, b *batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.backlog[disk] = slices.DeleteFunc(slices.Clone(r.backlog[disk]), func(o *batch) bool { return o == b })
	if len(r.backlog[disk]) == 0 {
		delete(r.backlog, disk)
	}
	return b.confirm(disk)
}

// addNotice adds a notice for a disk.
func (r *renewals) addNotice(disk zinniapond.DiskID, n notice) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.notices == nil {
		r.notices = make(map[zinniapond.DiskID][]notice)
	}
	r.notices[disk] = append(r.notices[disk], n)
}

// takeNotices removes and returns all notices.
func (r *renewals) takeNotices() map[zinniapond.DiskID][]notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	notices := r.notices
	r.notices = nil
	return notices
}

// runRenewal renews the retention of earlier turns until ctx is done.
func (k *Keeper) runRenewal(ctx context.Context) error {
	ticker := time.NewTicker(renew.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.renewChains(ctx)
		}
	}
}

// renewChains announces the turns of this disk to the disks with the turns before them,
// renews the retention of chains on all disks where it would end before the next time, and
// tells the other disks with these turns of it.
func (k *Keeper) renewChains(ctx context.Context) {
	var others []zinniapond.Disk
	for id, d := range k.Directory.View().Disks {
		if id != k.log.ID() && d.IsReadable() {
			others = append(others, d)
		}
	}
	for _, b := range k.sendDue(ctx, others) {
		if b.announces {
			for _, s := range b.later {
				s.renewal.endAnnouncement(b.retainedUntil(s))
			}
		}
	}
	k.sendNotices(ctx, others)
}

// sendDue sends the renewals that are due and those that disks have not confirmed, and
// returns the former.
func (k *Keeper) sendDue(ctx context.Context, others []zinniapond.Disk) []*batch {
	now := k.Clock()
	batches := k.dueBatches(now)
	for _, b := range batches {
		var reply zinniapond.KeepReply
		k.applyRenewal(now, zinniapond.KeepRequest{Renew: b.ids, Retention: b.until.Sub(now), Continued: b.announces}, &reply)
		b.record(now, reply.Retained)
	}
	ids := make([]zinniapond.DiskID, len(others))
	for i, d := range others {
		ids[i] = d.ID
	}
	for _, b := range k.renewals.collect(now, ids, batches) {
		k.finish(b)
	}
	var group sync.WaitGroup
	for _, d := range others {
		group.Go(func() { k.sendRenewals(ctx, d) })
	}
	group.Wait()
	return batches
}

// renewLocal renews the retention of those of the turns that this disk has.
func (k *Keeper) renewLocal(now time.Time, ids []zinniapond.TurnID, retention time.Duration) {
	expiry := now.Add(retention + zinniapond.RetentionSlack).UnixNano()
	for _, id := range ids {
		if s, ok := k.turns.Get(id); ok {
			s.extend(expiry)
		}
	}
}

// extend moves the end of the retention to an instant in Unix nanoseconds if it is later.
func (s *turnEntry) extend(expiry int64) {
	for {
		before := s.expiry.Load()
		if before >= expiry || s.expiry.CompareAndSwap(before, expiry) {
			return
		}
	}
}

// sendRenewals sends the backlog of a disk. What the disk does not confirm is sent
// again at the next interval.
func (k *Keeper) sendRenewals(ctx context.Context, d zinniapond.Disk) {
	for _, b := range k.renewals.pendingFor(d.ID) {
		for ids := range slices.Chunk(b.ids, maxRenewedPerRequest) {
			start := k.Clock()
			reply, ok := k.sendRenewal(ctx, d, zinniapond.KeepRequest{Renew: ids, Retention: max(b.until.Sub(start), 0), Continued: b.announces})
			if !ok {
				return
			}
			b.record(start, reply.Retained)
		}
		if k.renewals.confirm(d.ID, b) {
			k.finish(b)
		}
	}
}

func (k *Keeper) sendRenewal(ctx context.Context, d zinniapond.Disk, request zinniapond.KeepRequest) (zinniapond.KeepReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	var reply zinniapond.KeepReply
	err := k.Peers.Call(callCtx, d.Address, "Keeper.Keep", request, &reply)
	if err != nil || reply.Disk != d.ID {
		k.Logger.Debug("retention of turns not renewed", "disk", d.ID, "replied", reply.Disk, "error", err)
		return reply, false
	}
	return reply, true
}

// finish records that all disks have confirmed a batch, and prepares notices: for each
// later turn to the disks that may have it, and after a renewal for each of its earlier
// turns to all, as the chain has their earlier turns too.
func (k *Keeper) finish(b *batch) {
	set := quorum.New(k.Directory.View(), k.Settings.Keeper)
	for id, s := range b.later {
		until := b.retainedUntil(s)
		s.renewal.confirm(until, b.announces)
		if until.IsZero() {
			continue
		}
		order := set.PreferenceOrder(id, s.origin)
		// One more disk, as a copy may have been written elsewhere.
		for _, d := range order[:min(len(set.WriteQuorum(order))+1, len(order))] {
			k.renewals.addNotice(d.ID, notice{id, until})
		}
	}
	if b.announces {
		return
	}
	for _, id := range b.ids {
		if s, ok := k.turns.Get(id); ok {
			s.renewal.learn(b.until)
		}
		for _, d := range set.Disks {
			k.renewals.addNotice(d.ID, notice{id, b.until})
		}
	}
}

// sendNotices sends the notices. One that is lost causes the same renewal by another disk.
func (k *Keeper) sendNotices(ctx context.Context, others []zinniapond.Disk) {
	notices := k.renewals.takeNotices()
	var group sync.WaitGroup
	for _, d := range others {
		group.Go(func() {
			for list := range slices.Chunk(notices[d.ID], maxRenewedPerRequest) {
				now := k.Clock()
				var request zinniapond.KeepRequest
				for _, n := range list {
					// The disk counts from the receipt, which may be that much later.
					if left := n.until.Sub(now) - renewTimeout; left > 0 {
						request.Retained = append(request.Retained, zinniapond.RetainedChain{Turn: n.turn, For: left})
					}
				}
				if _, ok := k.sendRenewal(ctx, d, request); !ok {
					return
				}
			}
		})
	}
	group.Wait()
}
