// Package duty is the leader's side of the freshness lease: it keeps the
// sessions of the hosts, and decides which commands the fleet needs.
package duty

import (
	"maps"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/plan"
)

// soon is the wait that is asked of a registration when the leader does not
// know yet what it depends on.
const soon = 50 * time.Millisecond

// handoverPause separates two rounds of asking for hand-overs, which an owner
// does only at a moment when none of the shard's calls runs.
const handoverPause = time.Second

// Leader is what a leader keeps for as long as it leads. It is not safe for
// concurrent use. The exported fields are set before the first call.
type Leader struct {
	Session time.Duration // silence after which a host is fenced; above the lease
	Shards  int
	Planner plan.Planner

	leads bool
	since time.Time // when the records of earlier terms were known to be applied
	// contacts has the last instant at which a host was given a lease.
	contacts map[zinniapond.HostName]time.Time
	// fencing has the registrations that are being fenced; they get no lease.
	fencing map[zinniapond.HostName]zinniapond.Epoch
	// applied has the starting hosts that have applied their registration.
	applied map[zinniapond.HostName]zinniapond.Epoch
	asked   time.Time        // last round of hand-overs
	last    zinniapond.Index // last record that the duties appended
}

// Begin starts the duties. It is called once the leader has applied all records
// of earlier terms: only then does it know whom its predecessors have fenced.
func (l *Leader) Begin(now time.Time) {
	l.leads, l.since, l.asked, l.last = true, now, now, 0
	l.contacts = make(map[zinniapond.HostName]time.Time)
	l.fencing = make(map[zinniapond.HostName]zinniapond.Epoch)
	l.applied = make(map[zinniapond.HostName]zinniapond.Epoch)
}

// End stops the duties.
func (l *Leader) End() { l.leads = false }

// Leads tells whether the duties have begun.
func (l *Leader) Leads() bool { return l.leads }

// silent returns for how long a host was given no lease. A leader does not know
// what the one before has given, and counts from its own begin.
func (l *Leader) silent(now time.Time, name zinniapond.HostName) time.Duration {
	if at, ok := l.contacts[name]; ok {
		return now.Sub(at)
	}
	return now.Sub(l.since)
}

// Meet completes the reply to the fetch of a host, and notes the lease that the
// reply gives if it is sent. It tells whether the duties have changed.
func (l *Leader) Meet(now time.Time, sent bool, view *zinniapond.ControlView, request zinniapond.FetchRequest, reply *zinniapond.FetchReply) bool {
	if !reply.Accepted || request.Disk != "" || request.Member == 0 {
		return false
	}
	m := view.Members[request.Sender]
	gone := m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft
	if request.Member < m.Epoch || request.Member == m.Epoch && gone || l.fencing[request.Sender] == request.Member {
		reply.Fenced, reply.Current = true, false
	}
	// A registration that is not applied here yet is not fenced.
	if !l.leads || reply.Fenced || request.Member != m.Epoch {
		return false
	}
	if sent && reply.Current {
		l.contacts[m.Name] = now
	}
	if m.State != zinniapond.MemberStarting || request.Applied < zinniapond.Index(m.Epoch) || l.applied[m.Name] == m.Epoch {
		return false
	}
	l.applied[m.Name] = m.Epoch
	return true
}

// Early returns how long a command must wait: a registration does not replace
// one of another process that may still hold a lease.
func (l *Leader) Early(now time.Time, view *zinniapond.ControlView, command zinniapond.Command) time.Duration {
	if command.Kind != zinniapond.CommandRegister || command.Member == nil {
		return 0
	}
	if !l.leads {
		return soon
	}
	m, known := view.Members[command.Member.Name]
	gone := !known || m.State == zinniapond.MemberFenced || m.State == zinniapond.MemberLeft
	if gone || m.Instance == command.Member.Instance {
		return 0
	}
	return max(l.Session-l.silent(now, m.Name), soon)
}

// Proposed notes a command that a host proposed. The session of a new
// registration begins.
func (l *Leader) Proposed(now time.Time, command zinniapond.Command) {
	if l.leads && command.Kind == zinniapond.CommandRegister && command.Member != nil {
		l.contacts[command.Member.Name] = now
	}
}

// Due returns the commands that the state and the sessions ask for. It returns
// none before the last ones are applied, which Appended tells.
func (l *Leader) Due(now time.Time, view *zinniapond.ControlView) []zinniapond.Command {
	if !l.leads || view.Index < l.last {
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
		case l.silent(now, name) >= l.Session:
			l.fencing[name] = m.Epoch
			m.State = zinniapond.MemberFenced
		case m.State == zinniapond.MemberStarting && l.applied[name] == m.Epoch:
			m.State = zinniapond.MemberActive
		default:
			continue
		}
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandMember, Member: &m})
	}
	silent := func(name zinniapond.HostName) time.Duration { return l.silent(now, name) }
	if changes := l.Planner.Assign(view, now.Sub(l.since), silent); len(changes) > 0 {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandAssign, Assignments: changes})
	}
	return commands
}

// Appended notes the index of a command of Due.
func (l *Leader) Appended(index zinniapond.Index) { l.last = max(l.last, index) }

// Moves returns the hand-overs to ask for now.
func (l *Leader) Moves(now time.Time, view *zinniapond.ControlView) []zinniapond.HandoverRequest {
	if !l.leads || now.Sub(l.asked) < handoverPause {
		return nil
	}
	l.asked = now
	return l.Planner.Rebalance(view)
}
