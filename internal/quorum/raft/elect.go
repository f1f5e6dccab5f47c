package raft

import (
	"time"

	"zinniapond.example/zinniapond"
)

// startPreVote requests pre-votes. A partitioned voter gets no majority of them
// and keeps its term, so that it does not depose a working leader on its return.
func (c *Core) startPreVote(now time.Time) {
	c.role, c.leaderName = preCandidate, ""
	c.deadline = now.Add(c.randomElectionDelay())
	c.campaignStart = now
	c.prepareVoteRequests(c.term+1, true)
	c.countVotes(now)
}

// startElection increments the term, votes for this voter and requests the votes
// of the others.
func (c *Core) startElection(now time.Time) {
	c.role, c.leaderName, c.stamp = candidate, "", 0
	c.term++
	c.votedFor = c.Self
	c.markHardStateDirty()
	c.deadline = now.Add(c.randomElectionDelay())
	c.campaignStart = now
	c.prepareVoteRequests(c.term, false)
}

func (c *Core) prepareVoteRequests(term zinniapond.Term, pre bool) {
	c.votesGranted = map[zinniapond.HostName]bool{c.Self.Name: true}
	c.voteRequests = make(map[zinniapond.HostName]zinniapond.VoteRequest)
	for _, v := range c.log.voters() {
		if v == c.Self {
			continue
		}
		c.voteRequests[v.Name] = zinniapond.VoteRequest{
			Candidate: c.Self.Name, CandidateDisk: c.Self.Disk, VoterDisk: v.Disk,
			Term: term, PreVote: pre,
			LastIndex: c.log.lastIndex(), LastTerm: c.log.term(c.log.lastIndex()),
		}
	}
}

// TakeVoteRequests returns the vote requests to send, by voter. Each request
// is returned only once, and none before the candidate's own vote is durable.
func (c *Core) TakeVoteRequests() map[zinniapond.HostName]zinniapond.VoteRequest {
	if c.hardStateDirty {
		return nil
	}
	requests := c.voteRequests
	c.voteRequests = nil
	return requests
}

// HandleVoteReply handles the reply to a vote request.
func (c *Core) HandleVoteReply(now time.Time, from zinniapond.HostName, request zinniapond.VoteRequest, reply zinniapond.VoteReply) {
	if reply.Term > c.term && !reply.Granted {
		c.becomeFollower(now, reply.Term, "")
		return
	}
	preVoteValid := c.role == preCandidate && request.PreVote && request.Term == c.term+1
	voteValid := c.role == candidate && !request.PreVote && request.Term == c.term
	if reply.Granted && (preVoteValid || voteValid) {
		c.votesGranted[from] = true
		c.countVotes(now)
	}
}

// countVotes starts the election after a majority of pre-votes, and makes this
// voter the leader after a majority of votes once its own vote is durable.
func (c *Core) countVotes(now time.Time) {
	votes := 0
	for _, v := range c.log.voters() {
		if c.votesGranted[v.Name] {
			votes++
		}
	}
	if votes < c.majority() {
		return
	}
	switch {
	case c.role == preCandidate:
		c.startElection(now)
	case c.role == candidate && !c.hardStateDirty:
		c.becomeLeader()
	default:
	}
}

func (c *Core) majority() int { return len(c.log.voters())/2 + 1 }

// HandleVote answers a vote request. The reply may be sent once the change
// with the number that Sequence returns is durable.
func (c *Core) HandleVote(now time.Time, request zinniapond.VoteRequest) zinniapond.VoteReply {
	refusal := zinniapond.VoteReply{Term: c.term}
	if request.VoterDisk != c.Self.Disk || c.hasLiveLeader(now) || request.Term < c.term {
		return refusal
	}
	if request.PreVote {
		return zinniapond.VoteReply{Term: c.term, Granted: request.Term > c.term && c.isUpToDate(request)}
	}
	if request.Term > c.term {
		c.becomeFollower(now, request.Term, "")
	}
	key := zinniapond.VoterKey{Name: request.Candidate, Disk: request.CandidateDisk}
	canVote := c.votedFor == zinniapond.VoterKey{} || c.votedFor == key
	if c.role == leader || !canVote || !c.isUpToDate(request) {
		return zinniapond.VoteReply{Term: c.term}
	}
	if c.votedFor != key {
		c.votedFor = key
		c.markHardStateDirty()
	}
	c.nextPeer = 0
	c.resetElectionDeadline(now)
	return zinniapond.VoteReply{Term: c.term, Granted: true}
}

// hasLiveLeader reports whether there is a working leader: this voter itself, or
// one that replied within LeaderTimeout. As long as there is, every vote is refused.
func (c *Core) hasLiveLeader(now time.Time) bool {
	if c.role == leader {
		return c.IsLeader(now)
	}
	return c.leaderName != "" && now.Sub(c.lastLeaderReply) < c.LeaderTimeout
}

// isUpToDate reports whether the candidate's log is at least as up to date as
// the log of this voter (Raft, section 5.4.1).
func (c *Core) isUpToDate(request zinniapond.VoteRequest) bool {
	last := c.log.lastIndex()
	term := c.log.term(last)
	return request.LastTerm > term || request.LastTerm == term && request.LastIndex >= last
}
