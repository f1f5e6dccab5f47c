// Package node combines the parts of one voter that need no clock, disk or
// network: the Raft core, the state machine to which the committed records are
// applied, and the duties of the leader. Package voter drives it with
// goroutines, and the fuzz test of package raft on a simulated clock.
package node

import (
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/record"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/duty"
	"zinniapond.example/zinniapond/internal/quorum/raft"
)

// A snapshot is taken even if Node.SnapshotRecords is not reached once the records
// applied since the last one are snapshotRatio times as large as the snapshot, but not
// below minSnapshotBytes and always from maxSnapshotBytes on: the disk has to hold the
// records, a restart has to read them, and hosts that start get a snapshot in their place.
const (
	snapshotRatio    = 2
	minSnapshotBytes = 64 << 10
	maxSnapshotBytes = 8 << 20
)

// Node is one voter. It is not safe for concurrent use. The exported fields
// are set before Start. The driver calls ApplyChanges after each call of a
// method of Core or Node.
type Node struct {
	Core   *raft.Core
	State  *state.State
	Duties duty.Leader
	// SnapshotRecords is the number of applied records after which a snapshot is taken.
	SnapshotRecords int

	bytesSinceSnapshot int // size of the records applied since
	lastProgress       progress
	savedSequence      uint64
	dutiesChanged      bool // a reply has changed the duties since the last ApplyChanges
	pendingProposals   map[zinniapond.Index]pendingProposal
}

// progress is the part of the core's state on which waiting requests depend.
type progress struct {
	term        zinniapond.Term
	leader      zinniapond.HostName
	last        zinniapond.Index
	commit      zinniapond.Index
	current     bool
	fetchSource zinniapond.HostName // voter to fetch from; empty for none
}

// pendingProposal is a proposal whose record is appended but not committed.
type pendingProposal struct {
	term zinniapond.Term
	done func(zinniapond.ProposeReply)
}

// Start restores the state from the durable part of the log.
func (n *Node) Start(now time.Time, durable zinniapond.LogChange) error {
	n.pendingProposals = make(map[zinniapond.Index]pendingProposal)
	if err := n.State.Decode(durable.Snapshot.Data); err != nil {
		return err
	}
	n.Core.Restore(now, durable)
	return nil
}

// ApplyChanges processes a change of the core: it applies the committed
// records, takes snapshots, and begins and ends the duties. It reports
// whether to wake the held fetches of voters, and whether to wake those of
// hosts and the leader's duties, both of which wait for committed records.
func (n *Node) ApplyChanges(now time.Time) (voters, hosts bool, err error) {
	if err := n.apply(); err != nil {
		return false, false, err
	}
	if err := n.compact(); err != nil {
		return false, false, err
	}
	previous := n.lastProgress
	n.lastProgress = progress{n.Core.Term(), n.Core.Leader(), n.Core.LastIndex(), n.Core.CommitIndex(), n.Core.HasCommittedOwnTerm(), ""}
	// A candidate that stops its election has to fetch again, although nothing
	// else has changed.
	if source, _, ok := n.Core.NextFetch(); ok {
		n.lastProgress.fetchSource = source
	}
	voters = n.lastProgress != previous
	previous.last, previous.fetchSource = n.lastProgress.last, n.lastProgress.fetchSource
	hosts = n.lastProgress != previous || n.dutiesChanged
	n.dutiesChanged = false
	if n.lastProgress.term != previous.term || n.lastProgress.leader != previous.leader {
		n.Duties.End()
		n.endProposals()
	}
	if n.lastProgress.current && !n.Duties.IsActive() {
		n.Duties.Begin(now)
	}
	if _, dirty := n.Core.UnsavedChange(); !dirty {
		n.savedSequence = n.Core.Sequence()
	}
	return voters, hosts, nil
}

// MarkSaved records that a change returned by Core.UnsavedChange is durable.
func (n *Node) MarkSaved(now time.Time, change zinniapond.LogChange) {
	n.Core.MarkSaved(now, change)
	n.savedSequence = change.Sequence
}

// SavedSequence returns the sequence number of the last durable change of the core.
func (n *Node) SavedSequence() uint64 { return n.savedSequence }

// apply applies the committed records to the state, and answers the proposals
// among them.
func (n *Node) apply() error {
	if s := n.Core.Snapshot(); s.Index > n.State.View().Index {
		if err := n.State.Decode(s.Data); err != nil {
			return err
		}
	}
	for _, e := range n.Core.CommittedEntries(n.State.View().Index + 1) {
		n.bytesSinceSnapshot += len(e.Data)
		result, err := n.State.Apply(e)
		if err != nil {
			return err
		}
		if w, ok := n.pendingProposals[e.Index]; ok {
			delete(n.pendingProposals, e.Index)
			w.done(zinniapond.ProposeReply{Accepted: w.term == e.Term, Result: result})
		}
	}
	return nil
}

// compact takes a snapshot once enough records were applied since the last one.
func (n *Node) compact() error {
	index := n.State.View().Index
	last := n.Core.Snapshot()
	maxBytes := min(max(snapshotRatio*len(last.Data), minSnapshotBytes), maxSnapshotBytes)
	if index < last.Index+zinniapond.Index(n.SnapshotRecords) && n.bytesSinceSnapshot < maxBytes {
		return nil
	}
	n.bytesSinceSnapshot = 0
	data, err := n.State.Encode()
	if err != nil {
		return err
	}
	n.Core.Compact(index, data)
	return nil
}

// endProposals answers the pending proposals when the term or the leader has
// changed. The replies leave the outcome open: the records may still be
// committed.
func (n *Node) endProposals() {
	for index, w := range n.pendingProposals {
		delete(n.pendingProposals, index)
		w.done(zinniapond.ProposeReply{})
	}
}

// HandleFetch answers a fetch that arrived at the given instant. It returns
// false if there is nothing new and the request's MaxWait has not passed since.
func (n *Node) HandleFetch(now, arrived time.Time, request zinniapond.FetchRequest) (zinniapond.FetchReply, bool, error) {
	reply, ready := n.Core.HandleFetch(now, arrived, request)
	// The fetch may have committed records that concern the sender's membership.
	if err := n.apply(); err != nil {
		return reply, false, err
	}
	if n.Duties.CompleteReply(now, ready, n.State.View(), request, &reply) {
		n.dutiesChanged = true
	}
	// A fenced host gets its reply at once, so that it registers again.
	return reply, ready || reply.Fenced, nil
}

// Propose appends a command and calls done with its outcome, either at once or
// from a later ApplyChanges or HandleFetch.
func (n *Node) Propose(now time.Time, command zinniapond.Command, done func(zinniapond.ProposeReply)) {
	self := n.Core.Self.Name
	if !n.Core.IsLeader(now) {
		reply := zinniapond.ProposeReply{Leader: n.Core.Leader()}
		if reply.Leader == self {
			reply.Leader = ""
		}
		done(reply)
		return
	}
	reply := zinniapond.ProposeReply{Leader: self, RetryAfter: n.Duties.RegistrationDelay(now, n.State.View(), command)}
	if reply.RetryAfter > 0 {
		done(reply)
		return
	}
	if result, ok := n.State.Check(&command); !ok {
		done(zinniapond.ProposeReply{Leader: self, Accepted: true, Result: result})
		return
	}
	index, term, err := n.append(now, command)
	if err != nil {
		reply.Accepted, reply.Result.Reason = true, err.Error()
		done(reply)
		return
	}
	n.Duties.RecordProposal(now, command)
	n.pendingProposals[index] = pendingProposal{term, done}
}

func (n *Node) append(now time.Time, command zinniapond.Command) (zinniapond.Index, zinniapond.Term, error) {
	data, err := new(record.Codec).Encode(nil, command)
	if err != nil {
		return 0, 0, err
	}
	if command.Kind == zinniapond.CommandVoters {
		return n.Core.ProposeVoters(now, command.Voters, data)
	}
	return n.Core.Propose(now, data)
}

// RunDuties does the leader's duties: it appends the commands that are due and
// returns them, together with the hand-overs to request from shard owners.
func (n *Node) RunDuties(now time.Time) ([]zinniapond.Command, []zinniapond.HandoverRequest, error) {
	if !n.Core.IsLeader(now) || !n.Duties.IsActive() {
		return nil, nil, nil
	}
	commands := n.Duties.DueCommands(now, n.State.View())
	if voters, ok := n.Core.NextVoterSet(now); ok {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandVoters, Voters: voters})
	}
	for _, c := range commands {
		index, _, err := n.append(now, c)
		if err != nil {
			return nil, nil, err
		}
		n.Duties.RecordAppended(index)
	}
	return commands, n.Duties.DueHandovers(now, n.State.View()), nil
}
