package raft

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

func (c *Core) becomeLeader() {
	c.role, c.leaderName, c.votesGranted, c.voteRequests = leader, c.Self.Name, nil, nil
	c.progress = make(map[zinniapond.VoterKey]*progress)
	for _, v := range c.log.voters() {
		// Each voter of the majority granted its vote after the election began.
		c.progress[v] = &progress{lastContact: c.campaignStart}
	}
	c.appendEntry(zinniapond.LogEntry{})
}

func (c *Core) appendEntry(e zinniapond.LogEntry) zinniapond.Index {
	e.Index, e.Term = c.log.lastIndex()+1, c.term
	c.log.append(e)
	c.sequence++
	return e.Index
}

// Propose appends a record and returns its index and term, or ErrNotLeader. The
// record is committed once CommitIndex reaches the index and the record at this
// index still has this term.
func (c *Core) Propose(now time.Time, data []byte) (zinniapond.Index, zinniapond.Term, error) {
	if !c.IsLeader(now) {
		return 0, 0, zinniapond.ErrNotLeader
	}
	return c.appendEntry(zinniapond.LogEntry{Data: data}), c.term, nil
}

// ProposeVoters appends a voter set that differs from the one in force by
// exactly one voter, so that each majority of one overlaps each of the other.
// The error wraps ErrNotLeader, ErrConflict or ErrMalformed.
func (c *Core) ProposeVoters(now time.Time, voters []zinniapond.VoterKey, data []byte) (zinniapond.Index, zinniapond.Term, error) {
	switch {
	case !c.IsLeader(now):
		return 0, 0, zinniapond.ErrNotLeader
	case !c.HasCommittedOwnTerm() || c.log.voterSetIndex() > c.commitIndex:
		return 0, 0, fmt.Errorf("change voters: an earlier change is not committed: %w", zinniapond.ErrConflict)
	case len(voters) == 0 || countDifferences(voters, c.log.voters()) != 1:
		return 0, 0, fmt.Errorf("change voters: exactly one voter has to be added or removed: %w", zinniapond.ErrMalformed)
	}
	for _, v := range voters {
		if c.progress[v] == nil {
			c.progress[v] = &progress{lastContact: now}
		}
	}
	return c.appendEntry(zinniapond.LogEntry{Voters: voters, Data: data}), c.term, nil
}

func countDifferences(a, b []zinniapond.VoterKey) int {
	count := 0
	for _, v := range a {
		if !containsVoter(b, v) {
			count++
		}
	}
	for _, v := range b {
		if !containsVoter(a, v) {
			count++
		}
	}
	return count
}

// NextVoterSet returns the next voter set to propose, if a change is needed. A
// voter that lost its disk is replaced in two steps: its old disk is removed,
// then its new disk is added, both only once the new disk holds every
// committed record. With OpenMembership, other hosts are admitted as well.
func (c *Core) NextVoterSet(now time.Time) ([]zinniapond.VoterKey, bool) {
	if !c.IsLeader(now) || !c.HasCommittedOwnTerm() || c.log.voterSetIndex() > c.commitIndex {
		return nil, false
	}
	voters := c.log.voters()
	keys := slices.SortedFunc(maps.Keys(c.progress), func(a, b zinniapond.VoterKey) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Disk, b.Disk))
	})
	for _, key := range keys {
		p := c.progress[key]
		if containsVoter(voters, key) || p.match < c.commitIndex || now.Sub(p.lastContact) > c.QuorumTimeout {
			continue
		}
		replaced := slices.IndexFunc(voters, func(v zinniapond.VoterKey) bool { return v.Name == key.Name })
		if replaced < 0 && c.OpenMembership {
			return c.nextSetToAdmit(now, key), true
		}
		if replaced < 0 && slices.Contains(c.Peers, key.Name) {
			return append(slices.Clone(voters), key), true
		}
		if replaced >= 0 && now.Sub(c.progress[voters[replaced]].lastContact) > c.QuorumTimeout {
			return slices.Delete(slices.Clone(voters), replaced, replaced+1), true
		}
	}
	// A new voter admitted before the voter that it replaces had been silent for
	// VoterTimeout makes the number of voters even. Removing the silent voter then
	// makes the majority smaller; with an odd number it would not.
	if silent := c.findSilentVoter(now, voters); c.OpenMembership && silent >= 0 && len(voters)%2 == 0 {
		return slices.Delete(slices.Clone(voters), silent, silent+1), true
	}
	return nil, false
}

// findSilentVoter returns the position of a voter without contact for longer
// than VoterTimeout, or -1.
func (c *Core) findSilentVoter(now time.Time, voters []zinniapond.VoterKey) int {
	return slices.IndexFunc(voters, func(v zinniapond.VoterKey) bool {
		return v != c.Self && now.Sub(c.progress[v].lastContact) > c.VoterTimeout
	})
}

// nextSetToAdmit returns the next voter set in order to make a host a voter. A
// voter that was silent for longer than VoterTimeout is removed first: if it has
// failed for good, it would otherwise still count in the size of every majority.
func (c *Core) nextSetToAdmit(now time.Time, key zinniapond.VoterKey) []zinniapond.VoterKey {
	voters := slices.Clone(c.log.voters())
	if silent := c.findSilentVoter(now, voters); silent >= 0 {
		return slices.Delete(voters, silent, silent+1)
	}
	return append(voters, key)
}

// quorumContact returns the latest instant at which a majority of the voters,
// this leader included, is known to have followed this leader.
func (c *Core) quorumContact(now time.Time) time.Time {
	var contacts []time.Time
	for _, v := range c.log.voters() {
		if v == c.Self {
			contacts = append(contacts, now)
		} else {
			contacts = append(contacts, c.progress[v].lastContact)
		}
	}
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	return contacts[c.majority()-1]
}

// advanceCommit commits the records that are durable at a majority. Copies are
// counted only for a record of the leader's own term: an older record may still
// be replaced (Raft, section 5.4.2). A leader that is no longer in the committed
// voter set steps down.
func (c *Core) advanceCommit(now time.Time) {
	var matches []zinniapond.Index
	for _, v := range c.log.voters() {
		if v == c.Self {
			matches = append(matches, c.log.savedIndex)
		} else {
			matches = append(matches, c.progress[v].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-c.majority()]
	if index <= c.commitIndex || c.log.term(index) != c.term {
		return
	}
	c.commitIndex = index
	if !c.isVoter() && c.log.voterSetIndex() <= c.commitIndex {
		c.becomeFollower(now, c.term, "")
	}
}

// HandleFetch answers a fetch that arrived at the given instant. It returns
// false if there is nothing new and the request's MaxWait has not passed since;
// the driver then calls it again after each change and at the end of MaxWait.
func (c *Core) HandleFetch(now, arrived time.Time, request zinniapond.FetchRequest) (zinniapond.FetchReply, bool) {
	if request.Term > c.term {
		c.becomeFollower(now, request.Term, "")
	}
	waitOver := !now.Before(arrived.Add(request.MaxWait))
	if !c.IsLeader(now) {
		// Followers name only a leader that replied to them: otherwise two
		// followers would keep naming a failed leader to each other. A voter that
		// asks is no leader; an observer without a disk may run on the leader's host.
		leaderAsks := c.leaderName == request.Sender && request.Disk != ""
		leaderKnown := c.role != leader && c.hasLiveLeader(now) && !leaderAsks
		reply := zinniapond.FetchReply{Term: c.term}
		if leaderKnown {
			reply.Leader = c.leaderName
		}
		return reply, leaderKnown || waitOver || request.Term < c.term
	}
	if request.Disk != "" {
		c.recordProgress(now, request)
	}
	reply := zinniapond.FetchReply{
		Term: c.term, Leader: c.Self.Name, Accepted: true, CommitIndex: c.commitIndex,
		CommittedOwnTerm: c.HasCommittedOwnTerm(), Stamp: now.Sub(c.campaignStart), QuorumAge: arrived.Sub(c.quorumContact(now)),
	}
	if request.IsContact {
		return reply, true
	}
	ready := c.fillReply(request, &reply) || waitOver || request.Term < c.term
	return reply, ready
}

// recordProgress takes the sender's last durable record and its latest contact
// from a fetch, and only the latter from a contact. A request of an earlier term is
// ignored: its sender may have truncated its log since.
func (c *Core) recordProgress(now time.Time, request zinniapond.FetchRequest) {
	if request.Term != c.term {
		return
	}
	key := zinniapond.VoterKey{Name: request.Sender, Disk: request.Disk}
	p := c.progress[key]
	if p == nil {
		p = new(progress)
		c.progress[key] = p
	}
	if at := c.campaignStart.Add(request.Stamp); request.Stamp > 0 && at.After(p.lastContact) && !at.After(now) {
		p.lastContact = at
	}
	if match := request.NextIndex - 1; !request.IsContact && match > p.match && match <= c.log.lastIndex() && c.log.term(match) == request.PrevTerm {
		p.match = match
		c.advanceCommit(now)
	}
}

// fillReply adds records, a snapshot or the point of divergence to a reply. It
// reports whether there was any of them, or a newer commit index for a voter.
func (c *Core) fillReply(request zinniapond.FetchRequest, reply *zinniapond.FetchReply) bool {
	previous := request.NextIndex - 1
	reply.CommitIndex = c.commitIndex
	switch {
	case previous < c.log.base:
		s := c.log.snapshot
		reply.Snapshot = &s
		return true
	case previous > c.log.lastIndex() || c.log.term(previous) != request.PrevTerm:
		match := min(previous-1, c.log.lastIndex())
		for match > c.log.base && c.log.term(match) > request.PrevTerm {
			match--
		}
		reply.Diverged, reply.MatchIndex = true, match
		return true
	}
	last, next := c.log.lastIndex(), request.NextIndex
	if request.Disk == "" {
		last = c.commitIndex
		// After an outage all hosts start at once, and most of what they would get of the
		// log are configurations and lists that later ones have replaced.
		if s := c.log.snapshot; previous < s.Index && c.log.bytes(next, s.Index) > len(s.Data) {
			reply.Snapshot, next = &s, s.Index+1
		}
	}
	reply.Entries = c.log.batch(next, last, c.BatchBytes)
	if reply.Snapshot != nil {
		return true
	}
	return len(reply.Entries) > 0 || request.Disk != "" && c.commitIndex > request.AppliedIndex
}
