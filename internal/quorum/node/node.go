// Package node is one voter without clock, disk and network: the raft core, the
// state that its records build, and the duties of the leader. Voter drives it
// with goroutines, and fuzzing drives it on a simulated clock.
package node

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/duty"
	"zinniapond.example/zinniapond/internal/quorum/raft"
)

// snapshotBytes is the size of records after which a snapshot is taken whatever
// their number: the disk has to hold them, and a restart to read them.
const snapshotBytes = 8 << 20

// Node is one voter. It is not safe for concurrent use. The exported fields are
// set before Start. After each call of a method of Core, Settle is called.
type Node struct {
	Core  *raft.Core
	State *state.State
	Duty  duty.Leader
	// Snapshot is the number of records between two snapshots.
	Snapshot int

	grown int // bytes of the records applied since the last snapshot
	mark  mark
	saved uint64
	news  bool // the duties have more to do
	waits map[zinniapond.Index]wait
}

// mark is what the waiting requests depend on.
type mark struct {
	term    zinniapond.Term
	leader  zinniapond.HostName
	last    zinniapond.Index
	commit  zinniapond.Index
	current bool
	source  zinniapond.HostName // whom to fetch from; empty for nobody
}

// wait is a proposal whose record is not committed yet.
type wait struct {
	term zinniapond.Term
	done func(zinniapond.ProposeReply)
}

// Start sets the durable state.
func (n *Node) Start(now time.Time, durable zinniapond.LogChange) error {
	n.waits = make(map[zinniapond.Index]wait)
	if err := n.State.Decode(durable.Snapshot.Data); err != nil {
		return err
	}
	n.Core.Restore(now, durable)
	return nil
}

// Settle follows each change of the core: it applies what is committed, takes
// snapshots, and begins and ends the duties. It tells whether there is news for
// voters that wait, and for hosts and duties, which wait for committed records.
func (n *Node) Settle(now time.Time) (voters, hosts bool, err error) {
	if err := n.apply(); err != nil {
		return false, false, err
	}
	if err := n.compact(); err != nil {
		return false, false, err
	}
	before := n.mark
	n.mark = mark{n.Core.Term(), n.Core.Leader(), n.Core.Last(), n.Core.Commit(), n.Core.Current(), ""}
	// A candidate that gives up has to fetch again, though nothing else changed.
	if source, _, ok := n.Core.Next(); ok {
		n.mark.source = source
	}
	voters = n.mark != before
	before.last, before.source = n.mark.last, n.mark.source
	hosts = n.mark != before || n.news
	n.news = false
	if n.mark.term != before.term || n.mark.leader != before.leader {
		n.Duty.End()
		n.abandon()
	}
	if n.mark.current && !n.Duty.Leads() {
		n.Duty.Begin(now)
	}
	if _, dirty := n.Core.Unsaved(); !dirty {
		n.saved = n.Core.Sequence()
	}
	return voters, hosts, nil
}

// Saved tells that a change that Core.Unsaved returned is durable.
func (n *Node) Saved(now time.Time, change zinniapond.LogChange) {
	n.Core.Saved(now, change)
	n.saved = change.Sequence
}

// Durable is the number of the last change of the core that is synced.
func (n *Node) Durable() uint64 { return n.saved }

// apply brings the state up to what is committed.
func (n *Node) apply() error {
	if s := n.Core.Snapshot(); s.Index > n.State.View().Index {
		if err := n.State.Decode(s.Data); err != nil {
			return err
		}
	}
	for _, e := range n.Core.Entries(n.State.View().Index + 1) {
		n.grown += len(e.Data)
		result, err := n.State.Apply(e)
		if err != nil {
			return err
		}
		if w, ok := n.waits[e.Index]; ok {
			delete(n.waits, e.Index)
			w.done(zinniapond.ProposeReply{Accepted: w.term == e.Term, Result: result})
		}
	}
	return nil
}

// compact takes a snapshot when enough records were applied since the last.
func (n *Node) compact() error {
	index := n.State.View().Index
	if index < n.Core.Snapshot().Index+zinniapond.Index(n.Snapshot) && n.grown < snapshotBytes {
		return nil
	}
	n.grown = 0
	data, err := n.State.Encode()
	if err != nil {
		return err
	}
	n.Core.Compact(index, data)
	return nil
}

// abandon ends the proposals that wait when the leadership is lost. Their
// records may be committed all the same.
func (n *Node) abandon() {
	for index, w := range n.waits {
		delete(n.waits, index)
		w.done(zinniapond.ProposeReply{})
	}
}

// Fetch answers a fetch that arrived at the given instant. It returns false
// while there is nothing to say before the sender's Wait is over.
func (n *Node) Fetch(now, arrived time.Time, request zinniapond.FetchRequest) (zinniapond.FetchReply, bool, error) {
	reply, ready := n.Core.Fetch(now, arrived, request)
	// The fetch may have committed records that say more of its sender.
	if err := n.apply(); err != nil {
		return reply, false, err
	}
	if n.Duty.Meet(now, ready, n.State.View(), request, &reply) {
		n.news = true
	}
	// A fenced host is told at once, so that it registers again.
	return reply, ready || reply.Fenced, nil
}

// Propose appends a command and calls done with its outcome, now or from a
// later Settle.
func (n *Node) Propose(now time.Time, command zinniapond.Command, done func(zinniapond.ProposeReply)) {
	self := n.Core.Self.Name
	if !n.Core.Leading(now) {
		reply := zinniapond.ProposeReply{Leader: n.Core.Leader()}
		if reply.Leader == self {
			reply.Leader = ""
		}
		done(reply)
		return
	}
	reply := zinniapond.ProposeReply{Leader: self, RetryAfter: n.Duty.Early(now, n.State.View(), command)}
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
	n.Duty.Proposed(now, command)
	n.waits[index] = wait{term, done}
}

func (n *Node) append(now time.Time, command zinniapond.Command) (zinniapond.Index, zinniapond.Term, error) {
	data, err := cbor.Marshal(command)
	if err != nil {
		return 0, 0, err
	}
	if command.Kind == zinniapond.CommandVoters {
		return n.Core.ProposeVoters(now, command.Voters, data)
	}
	return n.Core.Propose(now, data)
}

// Serve does the leader's duties: it appends and returns the commands that are
// due, and returns the hand-overs to ask for.
func (n *Node) Serve(now time.Time) ([]zinniapond.Command, []zinniapond.HandoverRequest, error) {
	if !n.Core.Leading(now) || !n.Duty.Leads() {
		return nil, nil, nil
	}
	commands := n.Duty.Due(now, n.State.View())
	if voters, ok := n.Core.Repair(now); ok {
		commands = append(commands, zinniapond.Command{Kind: zinniapond.CommandVoters, Voters: voters})
	}
	for _, c := range commands {
		index, _, err := n.append(now, c)
		if err != nil {
			return nil, nil, err
		}
		n.Duty.Appended(index)
	}
	return commands, n.Duty.Moves(now, n.State.View()), nil
}
