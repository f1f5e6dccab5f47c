// Package duty implements the leader's side of the freshness lease: it tracks
// the sessions of the hosts, and decides which hosts to fence or activate and
// which shards to assign.
package duty

import (
	"maps"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/plan"
)

// unknownStateRetry is the delay after which a host should retry a registration
// on which the leader cannot decide yet.
const unknownStateRetry = 50 * time.Millisecond

// handoverInterval is the time between two rounds of hand-over requests. An
// owner hands a shard over only while no call of the shard is running.
const handoverInterval = time.Second

// Leader is the state of a leader's duties during its leadership. It is not safe
// for concurrent use. The exported fields are set before the first call.
type Leader struct {
	SessionTimeout time.Duration // time without a lease after which a host is fenced; above the lease
	Shards         int
	Planner        plan.Planner

	active  bool
	begunAt time.Time // when all records of earlier terms were applied
	// lastLeases has the last instant at which each host was granted a lease or
	// proposed its registration.
	lastLeases map[zinniapond.HostName]time.Time
	// fencingEpochs has the epochs of the registrations for which a fencing
	// command was returned. They get no lease, even before the command is
	// committed.
	fencingEpochs map[zinniapond.HostName]zinniapond.Epoch
	// appliedEpochs has the epochs of the starting hosts that have applied their
	// registration.
	appliedEpochs map[zinniapond.HostName]zinniapond.Epoch
	lastHandovers time.Time        // last round of hand-over requests
	lastAppended  zinniapond.Index // last record appended by the duties
}

// Begin starts the duties. It is called once the leader has applied all records
// of earlier terms: only then does it know which hosts earlier leaders have
// fenced.
func (l *Leader) Begin(now time.Time) {
	l.active, l.begunAt, l.lastHandovers, l.lastAppended = true, now, now, 0
	l.lastLeases = make(map[zinniapond.HostName]time.Time)
	l.fencingEpochs = make(map[zinniapond.HostName]zinniapond.Epoch)
	l.appliedEpochs = make(map[zinniapond.HostName]zinniapond.Epoch)
}

// End stops the duties, when the leadership is lost.
func (l *Leader) End() { l.active = false }

// IsActive reports whether the duties have begun and not ended.
func (l *Leader) IsActive() bool { return l.active }

// timeSinceLease returns the time since a host was last granted a lease. A new
// leader does not know the leases granted by the previous one, so the time
// counts from Begin at the earliest.
func (l *Leader) timeSinceLease(now time.Time, name zinniapond.HostName) time.Duration {
	if at, ok := l.lastLeases[name]; ok {
		return now.Sub(at)
	}
	return now.Sub(l.begunAt)
}

// CompleteReply marks the reply to the fetch of a host as fenced if its
// registration is not in force, and records the lease that the reply grants
// if it is sent. It reports whether the duties have changed.
func (l *Leader) CompleteReply(now time.Time, sent bool, view *zinniapond.ControlView, request zinniapond.FetchRequest, reply *zinniapond.FetchReply) bool {
	if !reply.Accepted || request.Disk != "" || request.MemberEpoch == 0 {
		return false
	}
	m := view.Members[request.Sender]
	ended := m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft
	if request.MemberEpoch < m.Epoch || request.MemberEpoch == m.Epoch && ended || l.fencingEpochs[request.Sender] == request.MemberEpoch {
		reply.Fenced, reply.CommittedOwnTerm = true, false
	}
	// A registration that this leader has not applied yet is not fenced.
	if !l.active || reply.Fenced || request.MemberEpoch != m.Epoch {
		return false
	}
	if sent && reply.CommittedOwnTerm {
		l.lastLeases[m.Name] = now
	}
	if m.State != zinniapond.MemberStarting || request.AppliedIndex < zinniapond.Index(m.Epoch) || l.appliedEpochs[m.Name] == m.Epoch {
		return false
	}
	l.appliedEpochs[m.Name] = m.Epoch
	return true
}

// RegistrationDelay returns how long a command has to wait, or 0. A registration
// waits as long as another process of the same host may still hold a lease.
func (l *Leader) RegistrationDelay(now time.Time, view *zinniapond.ControlView, command zinniapond.Command) time.Duration {
	if command.Kind != zinniapond.CommandRegister || command.Member == nil {
		return 0
	}
	if !l.active {
		return unknownStateRetry
	}
	m, registered := view.Members[command.Member.Name]
	ended := !registered || m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft
	if ended || m.Instance == command.Member.Instance {
		return 0
	}
	return max(l.SessionTimeout-l.timeSinceLease(now, m.Name), unknownStateRetry)
}

// RecordProposal records a command that a host proposed. A registration
// starts a new session.
func (l *Leader) RecordProposal(now time.Time, command zinniapond.Command) {
	if l.active && command.Kind == zinniapond.CommandRegister && command.Member != nil {
		l.lastLeases[command.Member.Name] = now
	}
}

// DueCommands returns the commands that the state and the sessions require.
// It returns none until the commands reported to RecordAppended are applied.
func (l *Leader) DueCommands(now time.Time, view *zinniapond.ControlView) []zinniapond.Command {
	if !l.active || view.Index < l.lastAppended {
		return nil
	}
	var commands []zinniapond.Command
	if view.Shards == 0 {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandEmpty, Shards: l.Shards})
	}
	for _, name := range slices.Sorted(maps.Keys(view.Members)) {
		m := view.Members[name]
		switch {
		case m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft:
			continue
		case l.timeSinceLease(now, name) >= l.SessionTimeout:
			l.fencingEpochs[name] = m.Epoch
			m.State = zinniapond.MemberFenced
		case m.State == zinniapond.MemberStarting && l.appliedEpochs[name] == m.Epoch:
			m.State = zinniapond.MemberActive
		default:
			continue
		}
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandMember, Member: &m})
	}
	timeSinceLease := func(name zinniapond.HostName) time.Duration { return l.timeSinceLease(now, name) }
	if changes := l.Planner.Assign(view, now.Sub(l.begunAt), timeSinceLease); len(changes) > 0 {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandAssign, Assignments: changes})
	}
	return commands
}

// RecordAppended records the index of the record of a command that DueCommands returned.
func (l *Leader) RecordAppended(index zinniapond.Index) { l.lastAppended = max(l.lastAppended, index) }

// DueHandovers returns the hand-overs to request now, at most one round for
// each handoverInterval.
func (l *Leader) DueHandovers(now time.Time, view *zinniapond.ControlView) []zinniapond.HandoverRequest {
	if !l.active || now.Sub(l.lastHandovers) < handoverInterval {
		return nil
	}
	l.lastHandovers = now
	return l.Planner.Rebalance(view)
}
