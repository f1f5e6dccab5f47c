package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/quorum/raft"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var begin = time.Unix(1000, 0)

func key(n name) zinniapond.VoterKey { return zinniapond.VoterKey{Name: n, Disk: "first"} }

// newCore returns voter a of the voters a, b and c, with one record for each of
// the given terms.
func newCore(term zinniapond.Term, terms ...zinniapond.Term) *raft.Core {
	c := &raft.Core{
		Self: key("a"), Peers: []name{"b", "c"}, LeaderTimeout: contact, ElectionDelay: election, QuorumTimeout: contact,
		FetchWait: contact / 3, Random: rand.New(rand.NewPCG(1, 1)),
	}
	saved := zinniapond.LogChange{Term: term, Snapshot: &zinniapond.Snapshot{
		Voters: []zinniapond.VoterKey{key("a"), key("b"), key("c")},
	}}
	for i, t := range terms {
		saved.Entries = append(saved.Entries, zinniapond.LogEntry{Index: zinniapond.Index(i + 1), Term: t})
	}
	c.Restore(begin, saved)
	return c
}

func saveAll(c *raft.Core, now time.Time) zinniapond.LogChange {
	change, _ := c.UnsavedChange()
	c.MarkSaved(now, change)
	return change
}

// electLeader makes voter a the leader with the vote of b and returns the
// instant of the election.
func electLeader(t *testing.T, c *raft.Core) time.Time {
	now := c.NextDeadline(begin)
	c.Tick(now)
	c.HandleVoteReply(now, "b", c.TakeVoteRequests()["b"], zinniapond.VoteReply{Term: c.Term(), Granted: true})
	assert.Equal(t, len(c.TakeVoteRequests()), 0) // the candidate's own vote is not durable
	saveAll(c, now)
	c.HandleVoteReply(now, "b", c.TakeVoteRequests()["b"], zinniapond.VoteReply{Term: c.Term(), Granted: true})
	saveAll(c, now)
	assert.True(t, c.IsLeader(now), "not elected")
	return now
}

func fetchRequest(c *raft.Core, next zinniapond.Index, last zinniapond.Term, stamp time.Duration) zinniapond.FetchRequest {
	return zinniapond.FetchRequest{Sender: "b", Disk: "first", Term: c.Term(), NextIndex: next, PrevTerm: last, Stamp: stamp}
}

func TestLeader(t *testing.T) {
	t.Run("guards against a leader that resigns while the disks of its voters stall, and counts records that are not durable", func(t *testing.T) {
		c := newCore(1)
		now := electLeader(t, c)
		end := now.Add(3 * contact)
		for ; now.Before(end); now = now.Add(contact / 3) {
			request := fetchRequest(c, 2, c.Term(), now.Sub(c.CampaignStart()))
			request.IsContact = true
			reply, ready := c.HandleFetch(now, now, request)
			assert.True(t, ready && reply.Accepted && len(reply.Entries) == 0, "reply %v", reply)
			c.Tick(now)
		}
		assert.True(t, c.IsLeader(now), "the leader has resigned")
		assert.Equal(t, c.CommitIndex(), 0)
	})
	t.Run("guards against committing a record of an earlier term by counting its copies", func(t *testing.T) {
		c := newCore(3, 1, 2)
		now := electLeader(t, c)
		c.HandleFetch(now, now, fetchRequest(c, 3, 2, 0))
		assert.Equal(t, c.CommitIndex(), 0)
		c.HandleFetch(now, now, fetchRequest(c, 4, 4, 0))
		assert.Equal(t, c.CommitIndex(), 3)
	})
	t.Run("guards against a leader that goes on without a majority", func(t *testing.T) {
		c := newCore(0)
		now := electLeader(t, c).Add(contact + time.Millisecond)
		_, _, err := c.Propose(now, nil)
		assert.ErrorIs(t, err, zinniapond.ErrNotLeader)
		c.Tick(now)
		assert.Equal(t, c.Leader(), "")
	})
	t.Run("guards against taking the arrival of a delayed fetch for the instant of contact", func(t *testing.T) {
		c := newCore(0)
		now := electLeader(t, c)
		arrival := now.Add(contact)
		c.HandleFetch(arrival, arrival, fetchRequest(c, 1, 0, time.Millisecond)) // delayed in the network
		assert.True(t, c.IsLeader(arrival.Add(time.Millisecond)), "the stamp was not counted")
		assert.True(t, !c.IsLeader(arrival.Add(2*time.Millisecond)), "the arrival was counted")
	})
	t.Run("guards against counting a fetch of an earlier term", func(t *testing.T) {
		c := newCore(0)
		now := electLeader(t, c).Add(contact / 2)
		oldRequest := fetchRequest(c, 1, 0, contact/2)
		oldRequest.Term--
		c.HandleFetch(now, now, oldRequest)
		assert.True(t, !c.IsLeader(now.Add(contact)), "a stamp of another term was counted")
	})
	t.Run("guards against two changes of the voters at once", func(t *testing.T) {
		c := newCore(0)
		now := electLeader(t, c)
		fourVoters := append(c.Voters(), key("d"))
		_, _, err := c.ProposeVoters(now, fourVoters, nil)
		assert.ErrorIs(t, err, zinniapond.ErrConflict) // no record of the leader's own term is committed
		c.HandleFetch(now, now, fetchRequest(c, 2, c.Term(), 0))
		_, _, err = c.ProposeVoters(now, append(fourVoters, key("e")), nil)
		assert.ErrorIs(t, err, zinniapond.ErrMalformed)
		_, _, err = c.ProposeVoters(now, fourVoters, nil)
		assert.NoError(t, err)
		_, _, err = c.ProposeVoters(now, c.Voters()[:3], nil)
		assert.ErrorIs(t, err, zinniapond.ErrConflict)
	})
}

func TestVoter(t *testing.T) {
	voteRequest := func(from name, term zinniapond.Term) zinniapond.VoteRequest {
		return zinniapond.VoteRequest{Candidate: from, CandidateDisk: "first", VoterDisk: "first", Term: term}
	}
	afterContact := begin.Add(2 * contact)
	t.Run("guards against a partitioned voter whose term grows and deposes the leader", func(t *testing.T) {
		c := newCore(1)
		for now := begin; now.Before(begin.Add(time.Minute)); now = now.Add(50 * time.Millisecond) {
			c.Tick(now)
		}
		assert.Equal(t, c.Term(), 1)
	})
	t.Run("guards against an observer that never finds the leader as it runs on the leader's host", func(t *testing.T) {
		c := newCore(1)
		request := zinniapond.FetchRequest{Sender: "a", Disk: "first", Term: 1, NextIndex: 1}
		assert.NoError(t, c.HandleFetchReply(begin, "b", request, zinniapond.FetchReply{Term: 1, Leader: "b", Accepted: true}))
		reply, _ := c.HandleFetch(begin, begin, zinniapond.FetchRequest{Sender: "b", Term: 1, NextIndex: 1})
		assert.Equal(t, reply.Leader, "b")
		reply, _ = c.HandleFetch(begin, begin, zinniapond.FetchRequest{Sender: "b", Disk: "first", Term: 1, NextIndex: 1})
		assert.Equal(t, reply.Leader, "") // a voter that asks another one is no leader
	})
	t.Run("guards against a second vote after a restart", func(t *testing.T) {
		c := newCore(2)
		assert.Equal(t, c.HandleVote(afterContact, voteRequest("b", 2)).Granted, true)
		_, dirty := c.UnsavedChange()
		assert.True(t, dirty, "the vote is not among the unsaved changes")
		durable := saveAll(c, afterContact)
		durable.Snapshot = &zinniapond.Snapshot{Voters: c.Voters()}
		c.Restore(afterContact, durable)
		assert.Equal(t, c.HandleVote(afterContact, voteRequest("c", 2)).Granted, false)
		assert.Equal(t, c.HandleVote(afterContact, voteRequest("b", 2)).Granted, true)
	})
	t.Run("guards against a vote for a disk that is lost", func(t *testing.T) {
		lostDiskRequest := voteRequest("b", 2)
		lostDiskRequest.VoterDisk = "before"
		assert.Equal(t, newCore(1).HandleVote(afterContact, lostDiskRequest).Granted, false)
	})
	t.Run("guards against a vote while the leader replies", func(t *testing.T) {
		c := newCore(1)
		peer, request, _ := c.NextFetch()
		assert.NoError(t, c.HandleFetchReply(afterContact, peer, request, zinniapond.FetchReply{Term: 1, Accepted: true}))
		assert.Equal(t, c.HandleVote(afterContact, voteRequest("c", 9)).Granted, false)
		assert.Equal(t, c.Term(), 1)
	})
	t.Run("guards against a voter that takes its leader for lost while its disk stalls", func(t *testing.T) {
		c := newCore(1)
		peer, request, _ := c.NextFetch()
		reply := zinniapond.FetchReply{Term: 1, Accepted: true, Entries: []zinniapond.LogEntry{{Index: 1, Term: 1}}}
		assert.NoError(t, c.HandleFetchReply(begin, peer, request, reply))
		_, _, fetches := c.NextFetch()
		assert.True(t, !fetches, "the voter fetches before its records are durable")
		for now := begin; now.Before(afterContact); now = now.Add(contact / 3) {
			c.Tick(now)
			to, request, ok := c.NextContact()
			assert.True(t, ok && to == peer && request.IsContact, "no contact with %s at %s", peer, now)
			c.HandleContactReply(now, to, request, zinniapond.FetchReply{Term: 1, Accepted: true, Stamp: now.Sub(begin)})
		}
		assert.Equal(t, c.Leader(), peer)
		assert.Equal(t, c.HandleVote(afterContact, voteRequest("c", 9)).Granted, false)
		saveAll(c, afterContact)
		_, _, ok := c.NextContact()
		assert.True(t, !ok, "a contact in place of a fetch")
	})
	t.Run("guards against the contact of an earlier term that keeps a voter from electing", func(t *testing.T) {
		c := newCore(1)
		peer, request, _ := c.NextFetch()
		reply := zinniapond.FetchReply{Term: 1, Accepted: true, Entries: []zinniapond.LogEntry{{Index: 1, Term: 1}}}
		assert.NoError(t, c.HandleFetchReply(begin, peer, request, reply))
		_, request, _ = c.NextContact()
		c.HandleContactReply(afterContact, peer, request, zinniapond.FetchReply{Term: 2})
		assert.Equal(t, c.Leader(), "")
		c.HandleContactReply(afterContact, peer, request, zinniapond.FetchReply{Term: 1, Accepted: true, Stamp: time.Second})
		assert.Equal(t, c.Leader(), "")
	})
	t.Run("guards against a save begun before a truncation that marks the records after it as saved", func(t *testing.T) {
		c := newCore(1, 1)
		handleReply := func(reply zinniapond.FetchReply) {
			reply.Accepted = true
			last := zinniapond.Term(1)
			if c.LastIndex() > 1 {
				last = 2
			}
			assert.NoError(t, c.HandleFetchReply(afterContact, "b", zinniapond.FetchRequest{NextIndex: c.LastIndex() + 1, PrevTerm: last}, reply))
		}
		handleReply(zinniapond.FetchReply{Term: 2, Entries: []zinniapond.LogEntry{{Index: 2, Term: 2}}})
		runningSave, _ := c.UnsavedChange()
		handleReply(zinniapond.FetchReply{Term: 3, Diverged: true, MatchIndex: 1})
		handleReply(zinniapond.FetchReply{Term: 3, Entries: []zinniapond.LogEntry{{Index: 2, Term: 3}}})
		c.MarkSaved(afterContact, runningSave)
		change, dirty := c.UnsavedChange()
		assert.True(t, dirty, "the record of term 3 counts as saved")
		assert.Equal(t, change.Entries, []zinniapond.LogEntry{{Index: 2, Term: 3}})
	})
}
