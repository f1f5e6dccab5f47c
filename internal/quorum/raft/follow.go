package raft

import (
	"fmt"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// NextFetch returns the voter to fetch from and the request, and whether
// there is anything to fetch. There is nothing to fetch while this voter is
// leader or candidate or has changes that are not durable.
func (c *Core) NextFetch() (zinniapond.HostName, zinniapond.FetchRequest, bool) {
	if c.role == leader || c.role == candidate || c.isDirty() {
		return "", zinniapond.FetchRequest{}, false
	}
	peer, ok := c.fetchSource()
	last := c.log.lastIndex()
	return peer, zinniapond.FetchRequest{
		Sender: c.Self.Name, Disk: c.Self.Disk, Term: c.term, Stamp: c.stamp,
		NextIndex: last + 1, PrevTerm: c.log.term(last), AppliedIndex: c.commitIndex, MaxWait: c.FetchWait,
	}, ok
}

// NextContact returns a request that only shows the leader that this voter follows it, and
// whether there is a reason for it: records of the leader that are not durable. A voter
// does not fetch before they are, and with a slow disk the leader and this voter would
// take each other for lost.
func (c *Core) NextContact() (zinniapond.HostName, zinniapond.FetchRequest, bool) {
	if c.role != follower || c.leaderName == "" || c.leaderName == c.Self.Name || c.hardStateDirty || !c.log.isDirty() {
		return "", zinniapond.FetchRequest{}, false
	}
	return c.leaderName, zinniapond.FetchRequest{
		Sender: c.Self.Name, Disk: c.Self.Disk, Term: c.term, Stamp: c.stamp,
		NextIndex: c.log.savedIndex + 1, AppliedIndex: c.commitIndex, IsContact: true,
	}, true
}

// HandleContactReply handles the reply to a request of NextContact. The log is unchanged.
func (c *Core) HandleContactReply(now time.Time, peer zinniapond.HostName, request zinniapond.FetchRequest, reply zinniapond.FetchReply) {
	switch {
	case reply.Term > c.term:
		c.becomeFollower(now, reply.Term, "")
	case reply.Term < c.term || request.Term != c.term || !reply.Accepted || c.role != follower || c.leaderName != peer || reply.Stamp < c.stamp:
	default:
		c.lastLeaderReply, c.stamp = now, reply.Stamp
		c.resetElectionDeadline(now)
	}
}

// fetchSource returns the voter to fetch from: the leader, else the candidate
// that has this voter's vote, else the other voters in rotation.
func (c *Core) fetchSource() (zinniapond.HostName, bool) {
	if c.leaderName != "" && c.leaderName != c.Self.Name {
		return c.leaderName, true
	}
	if c.votedFor.Name != "" && c.votedFor.Name != c.Self.Name && c.nextPeer == 0 {
		return c.votedFor.Name, true
	}
	peers := c.fetchPeers()
	if len(peers) == 0 {
		return "", false
	}
	return peers[c.nextPeer%len(peers)], true
}

// fetchPeers returns the hosts to ask for the leader. In open mode these are the
// other voters according to the log, then the hosts of the settings; otherwise
// only the latter.
func (c *Core) fetchPeers() []zinniapond.HostName {
	if !c.OpenMembership {
		return c.Peers
	}
	var peers []zinniapond.HostName
	for _, v := range c.log.voters() {
		if v.Name != c.Self.Name {
			peers = append(peers, v.Name)
		}
	}
	for _, p := range c.Peers {
		if !slices.Contains(peers, p) {
			peers = append(peers, p)
		}
	}
	return peers
}

// HandleFetchFailure handles a fetch without a reply. The next fetch goes to another
// host, unless this voter has found a different source since it sent the failed one.
func (c *Core) HandleFetchFailure(peer zinniapond.HostName) {
	if source, ok := c.fetchSource(); !ok || source == peer {
		c.nextPeer++
	}
	if c.leaderName == peer && c.role != leader {
		c.leaderName = ""
	}
}

// HandleFetchReply handles the reply to a fetch; the reply to an outdated
// fetch is ignored. An error wraps ErrCorrupt: the leader's log contradicts a
// committed record, or its records are not consecutive.
func (c *Core) HandleFetchReply(now time.Time, peer zinniapond.HostName, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	if reply.Term < c.term || request.NextIndex != c.log.lastIndex()+1 || request.PrevTerm != c.log.term(request.NextIndex-1) {
		return nil
	}
	if reply.Term > c.term {
		c.becomeFollower(now, reply.Term, "")
	}
	if c.role == leader {
		return nil
	}
	if !reply.Accepted {
		c.leaderName = reply.Leader
		c.nextPeer++
		return nil
	}
	c.role, c.leaderName, c.nextPeer = follower, peer, 0
	c.votesGranted, c.voteRequests = nil, nil
	c.lastLeaderReply, c.stamp = now, reply.Stamp
	c.resetElectionDeadline(now)
	return c.updateLog(request, reply)
}

// updateLog truncates the log, installs the snapshot or appends the records, as
// the leader's reply says.
func (c *Core) updateLog(request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	switch {
	case reply.Diverged:
		if reply.MatchIndex < c.commitIndex {
			return fmt.Errorf("truncate log after record %d, but records up to %d are committed: %w", reply.MatchIndex, c.commitIndex, zinniapond.ErrCorrupt)
		}
		c.log.truncateAfter(reply.MatchIndex)
		c.sequence++
		return nil
	case reply.Snapshot != nil:
		if reply.Snapshot.Index > c.commitIndex {
			c.log.installSnapshot(*reply.Snapshot)
			c.commitIndex = reply.Snapshot.Index
			c.sequence++
		}
		return nil
	}
	for i, e := range reply.Entries {
		if e.Index != request.NextIndex+zinniapond.Index(i) {
			return fmt.Errorf("leader sent record %d in place of %d: %w", e.Index, request.NextIndex+zinniapond.Index(i), zinniapond.ErrCorrupt)
		}
	}
	if len(reply.Entries) > 0 {
		c.log.append(reply.Entries...)
		c.sequence++
	}
	if commit := min(reply.CommitIndex, c.log.lastIndex()); commit > c.commitIndex {
		c.commitIndex = commit
	}
	return nil
}
