package keeper

import (
	"context"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// renewInterval is the interval at which the retention of earlier turns is
	// renewed. It is well below zinniapond.RetentionSlack, which disks add to each
	// retention.
	renewInterval = 4 * time.Second
	// renewTimeout bounds one renewal at another disk.
	renewTimeout = 2 * time.Second
	// maxRenewedPerRequest bounds the turns in one request.
	maxRenewedPerRequest = 4096
	// maxRenewalBacklog bounds the turns that wait for a disk that does not answer.
	// The retention on that disk begins again when it restarts.
	maxRenewalBacklog = 1 << 16
)

// renewal has earlier turns that are retained as long as a turn of this disk.
type renewal struct {
	ids       []zinniapond.TurnID
	retention time.Duration
	until     time.Time // end of the retention of the last turn
}

// renewals collects the earlier turns of the turns that were indexed since the last
// collection, and has the renewals that other disks have not confirmed. A chain is
// retained as long as its last turn, and is renewed by the disks that have that turn:
// the host that wrote it may end at any time.
type renewals struct {
	mu        sync.Mutex
	collected map[time.Duration]map[zinniapond.TurnID]bool // by retention
	backlog   map[zinniapond.DiskID][]renewal
}

func (r *renewals) add(chain []zinniapond.TurnID, retention time.Duration) {
	if len(chain) == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.collected == nil {
		r.collected = make(map[time.Duration]map[zinniapond.TurnID]bool)
	}
	ids := r.collected[retention]
	if ids == nil {
		ids = make(map[zinniapond.TurnID]bool)
		r.collected[retention] = ids
	}
	for _, id := range chain {
		ids[id] = true
	}
}

// collect adds the collected turns to the backlog of each disk, and returns them.
func (r *renewals) collect(now time.Time, disks []zinniapond.DiskID) []renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	var collected []renewal
	for retention, ids := range r.collected {
		n := renewal{retention: retention, until: now.Add(retention + zinniapond.RetentionSlack)}
		for id := range ids {
			n.ids = append(n.ids, id)
		}
		collected = append(collected, n)
	}
	r.collected = nil
	backlog := make(map[zinniapond.DiskID][]renewal, len(disks))
	for _, id := range disks {
		backlog[id] = boundBacklog(now, append(r.backlog[id], collected...))
	}
	r.backlog = backlog
	return collected
}

// boundBacklog drops renewals that are over, and the oldest ones beyond
// maxRenewalBacklog.
func boundBacklog(now time.Time, list []renewal) []renewal {
	first, count := len(list), 0
	for first > 0 && count < maxRenewalBacklog && now.Before(list[first-1].until) {
		first--
		count += len(list[first].ids)
	}
	return list[first:]
}

func (r *renewals) pendingFor(disk zinniapond.DiskID) []renewal {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backlog[disk]
}

// confirm removes the first n renewals from the backlog of a disk.
func (r *renewals) confirm(disk zinniapond.DiskID, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.backlog[disk] = r.backlog[disk][n:]; len(r.backlog[disk]) == 0 {
		delete(r.backlog, disk)
	}
}

func (r *renewals) isEmpty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.collected) == 0 && len(r.backlog) == 0
}

// runRenewal renews the retention of earlier turns until ctx is done.
func (k *Keeper) runRenewal(ctx context.Context) error {
	ticker := time.NewTicker(renewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			k.renewChains(ctx, k.Clock())
		}
	}
}

// renewChains renews the retention of the earlier turns of this disk's turns on all
// disks.
func (k *Keeper) renewChains(ctx context.Context, now time.Time) {
	if k.renewals.isEmpty() {
		return
	}
	var others []zinniapond.Disk
	var ids []zinniapond.DiskID
	for id, d := range k.Directory.View().Disks {
		if id != k.log.ID() && d.IsReadable() {
			others, ids = append(others, d), append(ids, id)
		}
	}
	for _, n := range k.renewals.collect(now, ids) {
		k.renewLocal(now, n.ids, n.retention)
	}
	var group sync.WaitGroup
	for _, d := range others {
		group.Go(func() { k.sendRenewals(ctx, d) })
	}
	group.Wait()
}

// renewLocal renews the retention of those of the turns that this disk has.
func (k *Keeper) renewLocal(now time.Time, ids []zinniapond.TurnID, retention time.Duration) {
	expiry := now.Add(retention + zinniapond.RetentionSlack).UnixNano()
	for _, id := range ids {
		if s, ok := k.turns.Get(id); ok {
			s.expiry.Store(max(s.expiry.Load(), expiry))
		}
	}
}

// sendRenewals sends the backlog of a disk. What the disk does not confirm is sent
// again at the next interval.
func (k *Keeper) sendRenewals(ctx context.Context, d zinniapond.Disk) {
	for confirmed, n := range k.renewals.pendingFor(d.ID) {
		for len(n.ids) > 0 {
			count := min(len(n.ids), maxRenewedPerRequest)
			request := zinniapond.KeepRequest{Renew: n.ids[:count], Retention: n.retention}
			n.ids = n.ids[count:]
			callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
			var reply zinniapond.KeepReply
			err := k.Peers.Call(callCtx, d.Address, "Keeper.Keep", request, &reply)
			cancel()
			if err != nil || reply.Disk != d.ID {
				k.Logger.Debug("retention of turns not renewed", "disk", d.ID, "replied", reply.Disk, "error", err)
				k.renewals.confirm(d.ID, confirmed)
				return
			}
		}
	}
	k.renewals.confirm(d.ID, len(k.renewals.pendingFor(d.ID)))
}
