package writer

import (
	"context"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// applyAssignment applies a change of the assignment that leaves this host the
// owner: a joining replica, or the replacement that this host proposed.
func (w *Writer) applyAssignment(l *shardLog, v *zinniapond.ControlView) {
	a, ok := v.Assignments[l.shard]
	if !ok || a.Owner != w.Host {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// If an epoch in between was missed, another host may have owned the shard.
	if l.err != nil || a.Epoch != l.newestEpoch+1 && (a.Epoch != l.newestEpoch || a.JoiningReplica == l.joining) {
		return
	}
	switch {
	case slices.Equal(a.Replicas, l.replicas):
		l.newReplicas = nil
	case slices.Equal(a.Replicas, l.newReplicas):
		l.replicas, l.newReplicas = l.newReplicas, nil
	default:
		return // the shard needs a recovery
	}
	l.newestEpoch = a.Epoch
	for h, f := range l.followers {
		if !slices.Contains(l.replicas, h) && h != a.JoiningReplica {
			f.stop()
			delete(l.followers, h)
		}
	}
	l.joining = a.JoiningReplica
	if l.joining == "" {
		l.advanceCommit()
		return
	}
	if l.followers[l.joining] == nil {
		l.startFollower(l.joining, l.lastIndex+1)
	}
	go w.replaceReplica(l, a, v)
}

// replacementReplicas returns the replicas with the joining one in the place of a
// lost one, or added if there are too few; nil if none has to be replaced any more.
func (w *Writer) replacementReplicas(a zinniapond.Assignment, v *zinniapond.ControlView) []zinniapond.HostName {
	replacement := slices.Clone(a.Replicas)
	for i, h := range replacement {
		m, ok := v.Members[h]
		if !ok || m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft {
			replacement[i] = a.JoiningReplica
			return replacement
		}
	}
	if len(replacement) < w.Replicas {
		return append(replacement, a.JoiningReplica)
	}
	return nil // the lost replica has come back
}

// replaceReplica waits until the joining replica holds the log, makes appends need
// the majorities of the old and the new replicas, and proposes the replacement.
func (w *Writer) replaceReplica(l *shardLog, a zinniapond.Assignment, v *zinniapond.ControlView) {
	replacement := w.replacementReplicas(a, v)
	if replacement != nil && !l.waitForBothMajorities(a, replacement) {
		return
	}
	command := a
	command.Epoch++
	command.JoiningReplica = ""
	if replacement != nil {
		command.Replicas = replacement
	}
	for backoff := minBackoff; l.ctx.Err() == nil; backoff = min(2*backoff, maxBackoff) {
		ctx, cancel := context.WithTimeout(l.ctx, w.timeout())
		result, err := w.Control.Propose(ctx, w.Clock(), zinniapond.Command{
			Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{command},
		})
		cancel()
		if err == nil {
			if !result.Accepted {
				w.Logger.Warn("replacement of a replica refused", "shard", l.shard, "reason", result.Reason)
			}
			return // the directory's view shows the assignment in force
		}
		w.Logger.Warn("cannot propose the replacement of a replica", "shard", l.shard, "err", err)
		select {
		case <-l.ctx.Done():
		case <-time.After(backoff):
		}
	}
}

// waitForBothMajorities waits until the joining replica votes and the majorities of
// the old and the new replicas have all entries. It returns false if the assignment
// changed meanwhile.
func (l *shardLog) waitForBothMajorities(a zinniapond.Assignment, replacement []zinniapond.HostName) bool {
	ticker := time.NewTicker(minBackoff)
	defer ticker.Stop()
	var barrier zinniapond.Index
	for {
		l.mu.Lock()
		f := l.followers[a.JoiningReplica]
		if l.err != nil || l.newestEpoch != a.Epoch || f == nil {
			l.mu.Unlock()
			return false
		}
		if f.voting && f.matchIndex >= l.commitIndex && l.newReplicas == nil {
			// From here on each append needs both majorities; what was committed
			// before is on the joining replica once it has synced the barrier. The
			// commit of the barrier proves that no other owner has sealed the old
			// replicas meanwhile.
			l.newReplicas = replacement
			barrier = l.appendEmpty()
		}
		ready := l.newReplicas != nil && f.voting && f.matchIndex >= barrier && l.commitIndex >= barrier
		l.mu.Unlock()
		if ready {
			return true
		}
		select {
		case <-l.ctx.Done():
			return false
		case <-ticker.C:
		}
	}
}
