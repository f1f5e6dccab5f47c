// Package raft decides the control log: terms, votes, replication by pull and
// commitment. It is a state machine without clock, goroutines and I/O; its
// driver passes the time, moves the messages, and syncs what Unsaved returns.
package raft

import (
	"math/rand/v2"
	"time"

	"zinniapond.example/zinniapond"
)

type role uint8

const (
	follower role = iota
	prober        // asks for pre-votes
	candidate
	leader
)

// defaultKeep is the number of records kept in memory before a snapshot. A host
// that lags by fewer needs no snapshot, which is far larger than a record.
const defaultKeep = 512

// defaultBatch bounds the bytes of records in one reply, so that a reply passes
// a slow link within its deadline.
const defaultBatch = 256 << 10

// Core is one voter's part of the control log. It is not safe for concurrent
// use. The exported fields are set before Restore.
type Core struct {
	Self  zinniapond.VoterKey
	Peers []zinniapond.HostName // the other voters of the settings
	// Open lets every host that fetches with a disk become a voter, in place of
	// one that was not heard for Patience.
	Open     bool
	Patience time.Duration
	// Contact is the silence of the leader after which it counts as lost.
	Contact time.Duration
	// Election is the mean delay between Contact and a campaign; the delay
	// varies by half of it, so that two voters seldom campaign together.
	Election time.Duration
	// Quorum is the silence of a majority after which a leader steps down.
	Quorum time.Duration
	// Wait is how long a leader may hold this voter's fetch.
	Wait   time.Duration
	Random *rand.Rand
	Batch  int // most bytes of records in a reply; 0 for the default
	Keep   int // records kept in memory before a snapshot; 0 for the default

	role   role
	term   zinniapond.Term
	voted  zinniapond.VoterKey
	leads  zinniapond.HostName // leader of the term, if known
	commit zinniapond.Index
	log    log

	heard    time.Time // last accepted reply of the leader
	deadline time.Time // of the follower or candidate
	stamp    time.Duration
	hunt     int // next peer to ask for the leader

	// Campaign and leadership.
	since    time.Time // start of the campaign that led to this term
	granted  map[zinniapond.HostName]bool
	ballots  map[zinniapond.HostName]zinniapond.VoteRequest
	progress map[zinniapond.VoterKey]*progress

	hardDirty bool // term or vote not synced
	sequence  uint64
	hardAt    uint64 // sequence of the last change of term or vote
}

// progress is what a leader knows of another voter, or of a host that fetches
// as a future voter.
type progress struct {
	match   zinniapond.Index
	contact time.Time
}

// Restore sets the durable state, as Unsaved returned it before.
func (c *Core) Restore(now time.Time, saved zinniapond.LogChange) {
	if c.Batch == 0 {
		c.Batch = defaultBatch
	}
	if c.Keep == 0 {
		c.Keep = defaultKeep
	}
	c.term, c.voted = saved.Term, saved.Voted
	c.log.restore(saved)
	c.commit = c.log.snapshot.Index
	c.follow(now, c.term, "")
	// After a restart of all voters there is no leader to wait for. Where there is
	// one, the pre-vote is refused.
	c.deadline = now.Add(c.delay())
}

// Term returns the current term.
func (c *Core) Term() zinniapond.Term { return c.term }

// Leader returns the leader of the term, empty if unknown.
func (c *Core) Leader() zinniapond.HostName { return c.leads }

// Leading tells whether this voter is the leader and has heard from a majority
// within the time that Quorum allows.
func (c *Core) Leading(now time.Time) bool {
	return c.role == leader && now.Sub(c.contact(now)) <= c.Quorum
}

// Current tells whether the leader has committed a record of its own term, and
// so knows every record that earlier leaders committed.
func (c *Core) Current() bool {
	return c.role == leader && c.log.term(c.commit) == c.term
}

// Elected returns the start of the leader's campaign.
func (c *Core) Elected() time.Time { return c.since }

// Commit returns the index of the last record known to be committed.
func (c *Core) Commit() zinniapond.Index { return c.commit }

// Last returns the index of the last record.
func (c *Core) Last() zinniapond.Index { return c.log.last() }

// Voters returns the voter set in force.
func (c *Core) Voters() []zinniapond.VoterKey { return c.log.voters() }

// Snapshot returns the newest snapshot.
func (c *Core) Snapshot() zinniapond.Snapshot { return c.log.snapshot }

// Entries returns the committed records from index from on, or nil if they are
// only in the snapshot.
func (c *Core) Entries(from zinniapond.Index) []zinniapond.LogEntry {
	if from <= c.log.base || from > c.commit {
		return nil
	}
	return c.log.slice(from, c.commit)
}

// Compact replaces the records up to index by a snapshot of the state.
func (c *Core) Compact(index zinniapond.Index, data []byte) {
	if index <= c.log.snapshot.Index || index > c.commit {
		return
	}
	c.log.compact(index, data, c.Keep)
	c.sequence++
}

// Deadline is the instant of the next Tick that may change something.
func (c *Core) Deadline(now time.Time) time.Time {
	if c.role == leader {
		return c.contact(now).Add(c.Quorum + 1)
	}
	return c.deadline
}

// Tick acts on time that has passed.
func (c *Core) Tick(now time.Time) {
	if c.role == leader {
		if !c.Leading(now) {
			c.follow(now, c.term, "")
		}
		return
	}
	if now.Before(c.deadline) {
		return
	}
	if !c.votes() {
		c.deadline = now.Add(c.Contact)
		c.leads = ""
		return
	}
	c.probe(now)
}

// Unsaved returns what has changed since the last Saved, and whether there is
// anything. Nothing that depends on it leaves the Core before it is synced.
func (c *Core) Unsaved() (zinniapond.LogChange, bool) {
	change := c.log.unsaved()
	change.Term, change.Voted, change.Sequence = c.term, c.voted, c.sequence
	return change, c.dirty()
}

func (c *Core) dirty() bool { return c.hardDirty || c.log.dirty() }

// Sequence numbers the latest change. What depends on it may be sent once
// Saved was called for this number or a greater one.
func (c *Core) Sequence() uint64 { return c.sequence }

// Saved tells that a change returned by Unsaved is durable.
func (c *Core) Saved(now time.Time, change zinniapond.LogChange) {
	if change.Sequence >= c.hardAt {
		c.hardDirty = false
	}
	c.log.synced(change)
	switch c.role {
	case candidate:
		c.tally(now)
	case leader:
		c.advance(now)
	default:
	}
}

// votes tells whether this voter, with its present disk, is in the voter set.
func (c *Core) votes() bool { return contains(c.log.voters(), c.Self) }

func contains(voters []zinniapond.VoterKey, key zinniapond.VoterKey) bool {
	for _, v := range voters {
		if v == key {
			return true
		}
	}
	return false
}

// follow makes this voter a follower of the given term.
func (c *Core) follow(now time.Time, term zinniapond.Term, leads zinniapond.HostName) {
	if term > c.term {
		c.term, c.voted = term, zinniapond.VoterKey{}
		c.changed()
	}
	c.role, c.leads, c.stamp = follower, leads, 0
	c.granted, c.ballots, c.progress = nil, nil, nil
	c.rest(now)
}

// changed notes that term or vote must be synced.
func (c *Core) changed() {
	c.sequence++
	c.hardAt = c.sequence
	c.hardDirty = true
}

// rest sets the time of the next campaign.
func (c *Core) rest(now time.Time) { c.deadline = now.Add(c.Contact + c.delay()) }

func (c *Core) delay() time.Duration {
	return c.Election/2 + time.Duration(c.Random.Int64N(int64(c.Election)+1))
}
