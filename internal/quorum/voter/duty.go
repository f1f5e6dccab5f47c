package voter

import (
	"context"
	"maps"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// handovers is the number of hand-overs asked of one owner at a time.
const handovers = 4

// handoverPause separates two rounds of asking for hand-overs, which an owner
// does only at a moment when none of the shard's calls runs.
const handoverPause = time.Second

// leading is what a leader keeps for as long as it leads.
type leading struct {
	current bool
	since   time.Time // when the records of earlier terms were known to be applied
	// contacts has the last instant at which a host was given a lease.
	contacts map[zinniapond.HostName]time.Time
	// fencing has the registrations that are being fenced; they get no lease.
	fencing map[zinniapond.HostName]zinniapond.Epoch
	// applied has the starting hosts that have applied their registration.
	applied map[zinniapond.HostName]zinniapond.Epoch
	asked   time.Time        // last round of hand-overs
	last    zinniapond.Index // last record of the duties
}

func newLeading(now time.Time) leading {
	return leading{
		current: true, since: now, asked: now,
		contacts: make(map[zinniapond.HostName]time.Time),
		fencing:  make(map[zinniapond.HostName]zinniapond.Epoch),
		applied:  make(map[zinniapond.HostName]zinniapond.Epoch),
	}
}

// silent returns for how long a host was given no lease. A new leader does not
// know what the one before has given, and counts from its own begin.
func (l *leading) silent(now time.Time, name zinniapond.HostName) time.Duration {
	if at, ok := l.contacts[name]; ok {
		return now.Sub(at)
	}
	return now.Sub(l.since)
}

// meet notes the contact with a host and completes the reply to its fetch.
func (v *Voter) meet(now time.Time, ready bool, request zinniapond.FetchRequest, reply *zinniapond.FetchReply) {
	if !reply.Accepted || request.Disk != "" || request.Member == 0 {
		return
	}
	m := v.state.View().Members[request.Sender]
	gone := m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft
	// A registration that the state does not have yet is not fenced.
	if request.Member < m.Epoch || request.Member == m.Epoch && gone || v.leading.fencing[request.Sender] == request.Member {
		reply.Fenced, reply.Current = true, false
	}
	if !v.leading.current || reply.Fenced || request.Member != m.Epoch {
		return
	}
	if m.State == zinniapond.MemberStarting && request.Applied >= zinniapond.Index(m.Epoch) && v.leading.applied[m.Name] != m.Epoch {
		v.leading.applied[m.Name] = m.Epoch
		signal(v.duty)
	}
	if ready && reply.Current {
		v.leading.contacts[m.Name] = now
	}
}

// tooEarly returns how long a registration must wait because another process of
// the host may still hold a lease.
func (v *Voter) tooEarly(now time.Time, command zinniapond.Command) time.Duration {
	if command.Kind != zinniapond.CommandRegister || command.Member == nil {
		return 0
	}
	if !v.leading.current {
		return fetchPause
	}
	m, known := v.state.View().Members[command.Member.Name]
	gone := !known || m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft
	if gone || m.Instance == command.Member.Instance {
		return 0
	}
	return max(v.Settings.Control.Session-v.leading.silent(now, m.Name), fetchPause)
}

// serve does the leader's duties after each change and at intervals.
func (v *Voter) serve(ctx context.Context) error {
	ticker := time.NewTicker(v.Settings.Control.Session / 8)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-v.duty:
		case <-ticker.C:
		}
		var moves []zinniapond.HandoverRequest
		err := v.change(func(now time.Time) error {
			if !v.core.Leading(now) || !v.leading.current || v.state.View().Index < v.leading.last {
				return nil
			}
			for _, c := range v.due(now) {
				index, _, err := v.append(now, c)
				if err != nil {
					v.Logger.Warn("duty refused", "command", c.Kind, "error", err)
					continue
				}
				v.leading.last = index
			}
			if now.Sub(v.leading.asked) >= handoverPause {
				v.leading.asked = now
				moves = v.planner.Rebalance(v.state.View())
			}
			return nil
		})
		if err != nil {
			return err
		}
		v.rebalance(ctx, moves)
	}
}

// due returns the commands that the state and the contacts ask for.
func (v *Voter) due(now time.Time) []zinniapond.Command {
	view := v.state.View()
	var commands []zinniapond.Command
	if view.Shards == 0 {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandEmpty, Shards: v.Settings.Control.Shards})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Members)) {
		m := view.Members[name]
		switch {
		case m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft:
			continue
		case v.leading.silent(now, name) >= v.Settings.Control.Session:
			v.leading.fencing[name] = m.Epoch
			m.State = zinniapond.MemberFenced
			v.Logger.Warn("fencing silent host", "host", name, "epoch", m.Epoch)
		case m.State == zinniapond.MemberStarting && v.leading.applied[name] == m.Epoch:
			m.State = zinniapond.MemberActive
		default:
			continue
		}
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandMember, Member: &m})
	}
	silent := func(name zinniapond.HostName) time.Duration { return v.leading.silent(now, name) }
	if changes := v.planner.Assign(view, now.Sub(v.leading.since), silent); len(changes) > 0 {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandAssign, Assignments: changes})
	}
	if voters, ok := v.core.Repair(now); ok {
		v.Logger.Info("changing voters", "voters", voters)
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandVoters, Voters: voters})
	}
	return commands
}

// rebalance asks owners to hand shards over. The answers need no waiting: the
// change shows in the log.
func (v *Voter) rebalance(ctx context.Context, moves []zinniapond.HandoverRequest) {
	for _, move := range moves {
		v.mu.Lock()
		view := v.state.View()
		v.mu.Unlock()
		owner := view.Members[view.Assignments[move.Shard].Owner]
		v.calls.Go(func() error {
			var reply zinniapond.HandoverReply
			limited, cancel := context.WithTimeout(ctx, handoverPause)
			defer cancel()
			err := zinniapond.Wrap("Owner.Handover", owner.Peers, v.Peers.Call(limited, owner.Peers, "Owner.Handover", move, &reply))
			if err != nil {
				v.Logger.Debug("hand-over not asked", "error", err)
			}
			return nil
		})
	}
}
