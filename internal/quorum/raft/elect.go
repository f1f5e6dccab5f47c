package raft

import (
	"time"

	"zinniapond.example/zinniapond"
)

// probe asks for pre-votes. A voter that was cut off asks in vain and keeps its
// term, so that its return does not depose a working leader.
func (c *Core) probe(now time.Time) {
	c.role, c.leads = prober, ""
	c.deadline = now.Add(c.delay())
	c.since = now
	c.canvass(c.term+1, true)
	c.tally(now)
}

// campaign asks for votes in a new term.
func (c *Core) campaign(now time.Time) {
	c.role, c.leads, c.stamp = candidate, "", 0
	c.term++
	c.voted = c.Self
	c.changed()
	c.deadline = now.Add(c.delay())
	c.since = now
	c.canvass(c.term, false)
}

func (c *Core) canvass(term zinniapond.Term, pre bool) {
	c.granted = map[zinniapond.HostName]bool{c.Self.Name: true}
	c.ballots = make(map[zinniapond.HostName]zinniapond.VoteRequest)
	for _, v := range c.log.voters() {
		if v == c.Self {
			continue
		}
		c.ballots[v.Name] = zinniapond.VoteRequest{
			Candidate: c.Self.Name, CandidateDisk: c.Self.Disk, Disk: v.Disk,
			Term: term, Pre: pre,
			LastIndex: c.log.last(), LastTerm: c.log.term(c.log.last()),
		}
	}
}

// Ballots returns the vote requests to send, by voter, each once. There are
// none before the candidate's own vote is durable.
func (c *Core) Ballots() map[zinniapond.HostName]zinniapond.VoteRequest {
	if c.hardDirty {
		return nil
	}
	ballots := c.ballots
	c.ballots = nil
	return ballots
}

// Voted takes the answer to a vote request.
func (c *Core) Voted(now time.Time, from zinniapond.HostName, request zinniapond.VoteRequest, reply zinniapond.VoteReply) {
	if reply.Term > c.term && !reply.Granted {
		c.follow(now, reply.Term, "")
		return
	}
	pre := c.role == prober && request.Pre && request.Term == c.term+1
	real := c.role == candidate && !request.Pre && request.Term == c.term
	if reply.Granted && (pre || real) {
		c.granted[from] = true
		c.tally(now)
	}
}

// tally counts the votes that were given.
func (c *Core) tally(now time.Time) {
	n := 0
	for _, v := range c.log.voters() {
		if c.granted[v.Name] {
			n++
		}
	}
	if n < c.majority() {
		return
	}
	switch {
	case c.role == prober:
		c.campaign(now)
	case c.role == candidate && !c.hardDirty:
		c.lead()
	default:
	}
}

func (c *Core) majority() int { return len(c.log.voters())/2 + 1 }

// Vote answers a vote request. The answer may be sent once the change numbered
// Sequence is durable.
func (c *Core) Vote(now time.Time, request zinniapond.VoteRequest) zinniapond.VoteReply {
	refused := zinniapond.VoteReply{Term: c.term}
	if request.Disk != c.Self.Disk || c.served(now) || request.Term < c.term {
		return refused
	}
	if request.Pre {
		return zinniapond.VoteReply{Term: c.term, Granted: request.Term > c.term && c.covers(request)}
	}
	if request.Term > c.term {
		c.follow(now, request.Term, "")
	}
	key := zinniapond.VoterKey{Name: request.Candidate, Disk: request.CandidateDisk}
	free := c.voted == zinniapond.VoterKey{} || c.voted == key
	if c.role == leader || !free || !c.covers(request) {
		return zinniapond.VoteReply{Term: c.term}
	}
	if c.voted != key {
		c.voted = key
		c.changed()
	}
	c.hunt = 0
	c.rest(now)
	return zinniapond.VoteReply{Term: c.term, Granted: true}
}

// served tells whether a leader is at work: this voter itself, or one that was
// heard within Contact. While it is, no vote is given.
func (c *Core) served(now time.Time) bool {
	if c.role == leader {
		return c.Leading(now)
	}
	return c.leads != "" && now.Sub(c.heard) < c.Contact
}

// covers tells whether the candidate's log has all that this voter's has.
func (c *Core) covers(request zinniapond.VoteRequest) bool {
	last := c.log.last()
	term := c.log.term(last)
	return request.LastTerm > term || request.LastTerm == term && request.LastIndex >= last
}
