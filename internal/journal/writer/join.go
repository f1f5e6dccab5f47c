package writer

import (
	"context"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// adopt takes over a change of the assignment that leaves this host the owner:
// a joining replica, or the replacement that this host proposed.
func (w *Writer) adopt(l *shardLog, v *zinniapond.ControlView) {
	a, ok := v.Assignments[l.shard]
	if !ok || a.Owner != w.Host {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// If an epoch between was missed, another host may have owned the shard.
	if l.err != nil || a.Epoch != l.newest+1 && (a.Epoch != l.newest || a.Joining == l.joining) {
		return
	}
	switch {
	case slices.Equal(a.Replicas, l.replicas):
		l.joined = nil
	case slices.Equal(a.Replicas, l.joined):
		l.replicas, l.joined = l.joined, nil
	default:
		return // needs a recovery
	}
	l.newest = a.Epoch
	for h, m := range l.members {
		if !slices.Contains(l.replicas, h) && h != a.Joining {
			m.stop()
			delete(l.members, h)
		}
	}
	l.joining = a.Joining
	if l.joining == "" {
		l.advance()
		return
	}
	if l.members[l.joining] == nil {
		l.add(l.joining, l.last+1)
	}
	go w.join(l, a, v)
}

// successors returns the replicas with the joining one in the place of a lost
// one, or added if there are too few.
func (w *Writer) successors(a zinniapond.Assignment, v *zinniapond.ControlView) []zinniapond.HostName {
	next := slices.Clone(a.Replicas)
	for i, h := range next {
		m, ok := v.Members[h]
		if !ok || m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft {
			next[i] = a.Joining
			return next
		}
	}
	if len(next) < w.Replicas {
		return append(next, a.Joining)
	}
	return nil // the lost replica has come back
}

// join waits until the joining replica holds the log, makes appends need both
// majorities, and proposes the replacement.
func (w *Writer) join(l *shardLog, a zinniapond.Assignment, v *zinniapond.ControlView) {
	next := w.successors(a, v)
	if next != nil && !l.both(a, next) {
		return
	}
	command := a
	command.Epoch++
	command.Joining = ""
	if next != nil {
		command.Replicas = next
	}
	for pause := shortPause; l.ctx.Err() == nil; pause = min(2*pause, longPause) {
		ctx, cancel := context.WithTimeout(l.ctx, w.wait())
		result, err := w.Control.Propose(ctx, w.Clock(), zinniapond.Command{
			Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{command},
		})
		cancel()
		if err == nil {
			if !result.Accepted {
				w.Logger.Warn("replacement of a replica refused", "shard", l.shard, "reason", result.Reason)
			}
			return // the view shows what is in force
		}
		w.Logger.Warn("replacement of a replica not proposed", "shard", l.shard, "err", err)
		select {
		case <-l.ctx.Done():
		case <-time.After(pause):
		}
	}
}

// both waits until the joining replica counts and both majorities have all
// entries. It returns false if the assignment changed meanwhile.
func (l *shardLog) both(a zinniapond.Assignment, next []zinniapond.HostName) bool {
	tick := time.NewTicker(shortPause)
	defer tick.Stop()
	var from zinniapond.Index
	for {
		l.mu.Lock()
		m := l.members[a.Joining]
		if l.err != nil || l.newest != a.Epoch || m == nil {
			l.mu.Unlock()
			return false
		}
		if m.voting && m.match >= l.commit && l.joined == nil {
			// From here on each append needs both majorities; what was committed
			// before is on the joining replica once it has matched from. That the
			// entry at from is committed proves that no other owner has sealed the
			// old replicas meanwhile.
			l.joined = next
			from = l.probe()
		}
		ready := l.joined != nil && m.voting && m.match >= from && l.commit >= from
		l.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-l.ctx.Done():
			return false
		case <-tick.C:
		}
	}
}
