package raft

import (
	"fmt"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// Next returns the fetch to send and the voter to send it to. There is none
// while this voter leads or campaigns, or has records that are not durable.
func (c *Core) Next() (zinniapond.HostName, zinniapond.FetchRequest, bool) {
	if c.role == leader || c.role == candidate || c.dirty() {
		return "", zinniapond.FetchRequest{}, false
	}
	peer, ok := c.source()
	last := c.log.last()
	return peer, zinniapond.FetchRequest{
		Sender: c.Self.Name, Disk: c.Self.Disk, Term: c.term, Stamp: c.stamp,
		Next: last + 1, Last: c.log.term(last), Applied: c.commit, Wait: c.Wait,
	}, ok
}

// source returns the leader, or the candidate that has this voter's vote, or
// the other voters one after another.
func (c *Core) source() (zinniapond.HostName, bool) {
	if c.leads != "" && c.leads != c.Self.Name {
		return c.leads, true
	}
	if c.voted.Name != "" && c.voted.Name != c.Self.Name && c.hunt == 0 {
		return c.voted.Name, true
	}
	peers := c.peers()
	if len(peers) == 0 {
		return "", false
	}
	return peers[c.hunt%len(peers)], true
}

// peers returns the hosts to ask for the leader: the other voters as far as the
// log has them, and those of the settings.
func (c *Core) peers() []zinniapond.HostName {
	if !c.Open {
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

// Missed tells that a fetch got no answer. The next host is asked, unless this
// voter has found another source since that fetch was sent.
func (c *Core) Missed(peer zinniapond.HostName) {
	if source, ok := c.source(); !ok || source == peer {
		c.hunt++
	}
	if c.leads == peer && c.role != leader {
		c.leads = ""
	}
}

// Fetched takes the answer to a fetch. An error means that the two logs
// contradict each other in committed records.
func (c *Core) Fetched(now time.Time, peer zinniapond.HostName, request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	if reply.Term < c.term || request.Next != c.log.last()+1 || request.Last != c.log.term(request.Next-1) {
		return nil
	}
	if reply.Term > c.term {
		c.follow(now, reply.Term, "")
	}
	if c.role == leader {
		return nil
	}
	if !reply.Accepted {
		c.leads = reply.Leader
		c.hunt++
		return nil
	}
	c.role, c.leads, c.hunt = follower, peer, 0
	c.granted, c.ballots = nil, nil
	c.heard, c.stamp = now, reply.Stamp
	c.rest(now)
	return c.take(request, reply)
}

// take changes the log as the leader says.
func (c *Core) take(request zinniapond.FetchRequest, reply zinniapond.FetchReply) error {
	switch {
	case reply.Diverged:
		if reply.Match < c.commit {
			return fmt.Errorf("cut log after %d, committed up to %d: %w", reply.Match, c.commit, zinniapond.ErrCorrupt)
		}
		c.log.cut(reply.Match)
		c.sequence++
		return nil
	case reply.Snapshot != nil:
		if reply.Snapshot.Index > c.commit {
			c.log.install(*reply.Snapshot)
			c.commit = reply.Snapshot.Index
			c.sequence++
		}
		return nil
	}
	for i, e := range reply.Entries {
		if e.Index != request.Next+zinniapond.Index(i) {
			return fmt.Errorf("record %d in place of %d: %w", e.Index, request.Next+zinniapond.Index(i), zinniapond.ErrCorrupt)
		}
	}
	if len(reply.Entries) > 0 {
		c.log.append(reply.Entries...)
		c.sequence++
	}
	if commit := min(reply.Commit, c.log.last()); commit > c.commit {
		c.commit = commit
	}
	return nil
}
