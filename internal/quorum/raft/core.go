// Package raft implements the consensus protocol of the control log: Raft
// with pre-votes, in which followers pull records from the leader. It is a
// state machine without a clock, goroutines or I/O: its driver passes the
// present time, carries the messages, and writes the changes that
// UnsavedChange returns to disk.
package raft

import (
	"math/rand/v2"
	"time"

	"zinniapond.example/zinniapond"
)

type role uint8

const (
	follower     role = iota
	preCandidate      // requests pre-votes
	candidate
	leader
)

// defaultRetainedRecords is the number of records covered by the snapshot that
// stay in memory. A host that lags by fewer records can be sent these instead
// of the snapshot, which is far larger than a record.
const defaultRetainedRecords = 512

// defaultBatchBytes limits the bytes of records in one fetch reply, so that a
// reply passes a slow link within its deadline.
const defaultBatchBytes = 256 << 10

// Core is the Raft state machine of one voter. It is not safe for concurrent
// use. The exported fields are set before Restore.
type Core struct {
	Self  zinniapond.VoterKey
	Peers []zinniapond.HostName // the other voters listed in the settings
	// OpenMembership lets every host whose fetch names a disk become a voter. It
	// replaces a voter from which the leader has received nothing for VoterTimeout.
	OpenMembership bool
	VoterTimeout   time.Duration
	// LeaderTimeout is the time without a reply of the leader after which a
	// follower regards the leader as failed.
	LeaderTimeout time.Duration
	// ElectionDelay is the mean delay between the end of LeaderTimeout and an
	// election. The delay is random within half of ElectionDelay on either side,
	// so that two voters seldom start elections at the same time.
	ElectionDelay time.Duration
	// QuorumTimeout is the time without contact to a majority after which a leader
	// steps down.
	QuorumTimeout time.Duration
	// FetchWait is the longest time that a leader may hold a fetch of this voter
	// while it has nothing new.
	FetchWait       time.Duration
	Random          *rand.Rand
	BatchBytes      int // limit for the bytes of records in a reply; 0 for the default
	RetainedRecords int // records covered by the snapshot that stay in memory; 0 for the default

	role        role
	term        zinniapond.Term
	votedFor    zinniapond.VoterKey
	leaderName  zinniapond.HostName // leader of the term, if known
	commitIndex zinniapond.Index
	log         log

	lastLeaderReply time.Time     // when the leader last accepted a fetch
	deadline        time.Time     // start of the next pre-vote, unless a leader replies before
	stamp           time.Duration // Stamp of the leader's last reply, returned in the next fetch
	nextPeer        int           // counts up, modulo the peers: which one to ask for the leader

	// Election and leadership.
	campaignStart time.Time // start of the pre-vote or election
	votesGranted  map[zinniapond.HostName]bool
	voteRequests  map[zinniapond.HostName]zinniapond.VoteRequest
	progress      map[zinniapond.VoterKey]*progress

	hardStateDirty    bool // term or vote is not durable
	sequence          uint64
	hardStateSequence uint64 // sequence of the last change of term or vote
}

// progress is the replication state that a leader keeps for another voter, or
// for a host that fetches in order to become a voter.
type progress struct {
	match       zinniapond.Index // last record known to be durable there
	lastContact time.Time        // latest instant at which it is known to have followed this leader
}

// Restore starts this voter as a follower with the durable state, which is the
// sum of the changes returned by UnsavedChange before the restart.
func (c *Core) Restore(now time.Time, saved zinniapond.LogChange) {
	if c.BatchBytes == 0 {
		c.BatchBytes = defaultBatchBytes
	}
	if c.RetainedRecords == 0 {
		c.RetainedRecords = defaultRetainedRecords
	}
	c.term, c.votedFor = saved.Term, saved.VotedFor
	c.log.restore(saved)
	c.commitIndex = c.log.snapshot.Index
	c.becomeFollower(now, c.term, "")
	// LeaderTimeout is not waited for: after a restart of all voters there is no
	// leader. If there is one, the other voters refuse the pre-vote.
	c.deadline = now.Add(c.randomElectionDelay())
}

// Term returns the current term, 0 before the first election.
func (c *Core) Term() zinniapond.Term { return c.term }

// Leader returns the leader of the current term, empty if unknown.
func (c *Core) Leader() zinniapond.HostName { return c.leaderName }

// IsLeader reports whether this voter is the leader and had contact with a
// majority of the voters within QuorumTimeout.
func (c *Core) IsLeader(now time.Time) bool {
	return c.role == leader && now.Sub(c.quorumContact(now)) <= c.QuorumTimeout
}

// HasCommittedOwnTerm reports whether this voter is the leader and has
// committed a record of its own term. Only then does it know every record
// that earlier leaders committed.
func (c *Core) HasCommittedOwnTerm() bool {
	return c.role == leader && c.log.term(c.commitIndex) == c.term
}

// CampaignStart returns the start of the election that made this voter the leader.
func (c *Core) CampaignStart() time.Time { return c.campaignStart }

// CommitIndex returns the index of the last record known to be committed.
func (c *Core) CommitIndex() zinniapond.Index { return c.commitIndex }

// LastIndex returns the index of the last record, committed or not.
func (c *Core) LastIndex() zinniapond.Index { return c.log.lastIndex() }

// Voters returns the voter set in force: the latest in the log, committed or
// not.
func (c *Core) Voters() []zinniapond.VoterKey { return c.log.voters() }

// Snapshot returns the latest snapshot, which may not be durable yet.
func (c *Core) Snapshot() zinniapond.Snapshot { return c.log.snapshot }

// CommittedEntries returns the committed records starting at index from. It
// returns nil if there are none, or if memory no longer holds the first of them.
func (c *Core) CommittedEntries(from zinniapond.Index) []zinniapond.LogEntry {
	if from <= c.log.base || from > c.commitIndex {
		return nil
	}
	return c.log.slice(from, c.commitIndex)
}

// Compact replaces the records up to index by data, a snapshot of the state
// after that record. Records that are not committed are never replaced.
func (c *Core) Compact(index zinniapond.Index, data []byte) {
	if index <= c.log.snapshot.Index || index > c.commitIndex {
		return
	}
	c.log.compact(index, data, c.RetainedRecords)
	c.sequence++
}

// NextDeadline returns the earliest instant at which Tick may change the state.
func (c *Core) NextDeadline(now time.Time) time.Time {
	if c.role == leader {
		return c.quorumContact(now).Add(c.QuorumTimeout + 1)
	}
	return c.deadline
}

// Tick handles timeouts: a leader without contact to a majority steps down, and
// another voter whose deadline has passed starts a pre-vote.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		if !c.IsLeader(now) {
			c.becomeFollower(now, c.term, "")
		}
		return
	}
	if now.Before(c.deadline) {
		return
	}
	if !c.isVoter() {
		c.deadline = now.Add(c.LeaderTimeout)
		c.leaderName = ""
		return
	}
	c.startPreVote(now)
}

// UnsavedChange returns the change that is not durable yet, and whether there
// is any. A message that depends on the change is sent only once the change
// is durable; the driver holds vote replies back until then, see Sequence.
func (c *Core) UnsavedChange() (zinniapond.LogChange, bool) {
	change := c.log.unsavedChange()
	change.Term, change.VotedFor, change.Sequence = c.term, c.votedFor, c.sequence
	return change, c.isDirty()
}

func (c *Core) isDirty() bool { return c.hardStateDirty || c.log.isDirty() }

// Sequence returns the number of the latest change. A message that depends on
// this change may be sent once MarkSaved was called with this number or a
// greater one.
func (c *Core) Sequence() uint64 { return c.sequence }

// MarkSaved records that a change returned by UnsavedChange is durable.
func (c *Core) MarkSaved(now time.Time, change zinniapond.LogChange) {
	if change.Sequence >= c.hardStateSequence {
		c.hardStateDirty = false
	}
	c.log.markSaved(change)
	switch c.role {
	case candidate:
		c.countVotes(now)
	case leader:
		c.advanceCommit(now)
	default:
	}
}

// isVoter reports whether this host, with its present disk, is in the voter set.
func (c *Core) isVoter() bool { return containsVoter(c.log.voters(), c.Self) }

func containsVoter(voters []zinniapond.VoterKey, key zinniapond.VoterKey) bool {
	for _, v := range voters {
		if v == key {
			return true
		}
	}
	return false
}

// becomeFollower makes this voter a follower in the given term. A newer term
// clears the vote.
func (c *Core) becomeFollower(now time.Time, term zinniapond.Term, leaderName zinniapond.HostName) {
	if term > c.term {
		c.term, c.votedFor = term, zinniapond.VoterKey{}
		c.markHardStateDirty()
	}
	c.role, c.leaderName, c.stamp = follower, leaderName, 0
	c.votesGranted, c.voteRequests, c.progress = nil, nil, nil
	c.resetElectionDeadline(now)
}

// markHardStateDirty records that the term or the vote has changed and must be
// made durable.
func (c *Core) markHardStateDirty() {
	c.sequence++
	c.hardStateSequence = c.sequence
	c.hardStateDirty = true
}

// resetElectionDeadline puts the next pre-vote off by LeaderTimeout and a random delay.
func (c *Core) resetElectionDeadline(now time.Time) {
	c.deadline = now.Add(c.LeaderTimeout + c.randomElectionDelay())
}

func (c *Core) randomElectionDelay() time.Duration {
	return c.ElectionDelay/2 + time.Duration(c.Random.Int64N(int64(c.ElectionDelay)+1))
}
