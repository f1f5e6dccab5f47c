package raft_test

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/quorum/raft"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const patience = 10 * contact

// newOpenLeader returns the leader of the voters a, b and c with
// OpenMembership set, and the present time. A record of its term is committed.
func newOpenLeader(t *testing.T) (*raft.Core, time.Time) {
	t.Helper()
	c := newCore(0)
	c.OpenMembership, c.VoterTimeout = true, patience
	now := electLeader(t, c).Add(time.Millisecond)
	fetchAtEnd(c, now, "b", "first")
	assert.True(t, c.HasCommittedOwnTerm(), "the first record is not committed")
	return c, now
}

// fetchAtEnd lets a host that has all records fetch at now.
func fetchAtEnd(c *raft.Core, now time.Time, sender name, disk zinniapond.DiskID) {
	last := c.LastIndex()
	c.HandleFetch(now, now, zinniapond.FetchRequest{
		Sender: sender, Disk: disk, Term: c.Term(), NextIndex: last + 1, PrevTerm: c.Term(), Stamp: now.Sub(c.CampaignStart()),
	})
}

// passVoterTimeout lets only b fetch for longer than VoterTimeout and returns the
// time of its last fetch.
func passVoterTimeout(c *raft.Core, now time.Time) time.Time {
	later := now.Add(patience + contact)
	for ; now.Before(later); now = now.Add(contact / 2) {
		fetchAtEnd(c, now, "b", "first")
	}
	return now.Add(-contact / 2)
}

// joinNames concatenates the names of the voters in their order.
func joinNames(voters []zinniapond.VoterKey) string {
	text := ""
	for _, v := range voters {
		text += string(v.Name)
	}
	return text
}

func TestOpen(t *testing.T) {
	t.Run("guards against a control host that never becomes a voter", func(t *testing.T) {
		c, now := newOpenLeader(t)
		fetchAtEnd(c, now, "d", "fourth")
		voters, ok := c.NextVoterSet(now)
		assert.True(t, ok, "nothing is changed")
		assert.Equal(t, joinNames(voters), "abcd")
	})
	t.Run("guards against a permanently failed voter that still counts after its replacement joins", func(t *testing.T) {
		c, now := newOpenLeader(t)
		// From here on b and the replacement d fetch, but c does not.
		later := passVoterTimeout(c, now)
		fetchAtEnd(c, later, "d", "fourth")
		voters, ok := c.NextVoterSet(later)
		assert.True(t, ok, "nothing is changed")
		assert.Equal(t, joinNames(voters), "ab")
	})
	t.Run("guards against removing a voter that is only partitioned when no other host can replace it", func(t *testing.T) {
		c, now := newOpenLeader(t)
		later := passVoterTimeout(c, now)
		_, ok := c.NextVoterSet(later)
		assert.True(t, !ok, "the partitioned voter is removed")
	})
	t.Run("guards against a permanently failed voter that still counts after a replacement joined within VoterTimeout", func(t *testing.T) {
		c, now := newOpenLeader(t)
		fetchAtEnd(c, now, "c", "first")
		fetchAtEnd(c, now, "d", "fourth")
		voters, _ := c.NextVoterSet(now)
		_, _, err := c.ProposeVoters(now, voters, nil)
		assert.NoError(t, err)
		saveAll(c, now)
		for _, host := range []name{"b", "c"} {
			fetchAtEnd(c, now.Add(time.Millisecond), host, "first")
		}
		later := now.Add(patience + contact)
		for at := now; at.Before(later); at = at.Add(contact / 2) {
			fetchAtEnd(c, at, "b", "first")
			fetchAtEnd(c, at, "d", "fourth")
		}
		voters, ok := c.NextVoterSet(later)
		assert.True(t, ok, "the failed host stays a voter")
		assert.Equal(t, joinNames(voters), "abd")
	})
	t.Run("guards against a host that lacks records becoming a voter", func(t *testing.T) {
		c, now := newOpenLeader(t)
		c.HandleFetch(now, now, zinniapond.FetchRequest{Sender: "d", Disk: "fourth", Term: c.Term(), NextIndex: 1})
		_, ok := c.NextVoterSet(now)
		assert.True(t, !ok, "a host without records becomes a voter")
	})
	t.Run("guards against skipping a new leader because a host that was asked earlier does not answer", func(t *testing.T) {
		c := newCore(0)
		c.OpenMembership = true
		for {
			if peer, _, _ := c.NextFetch(); peer == "c" {
				break
			}
			peer, _, _ := c.NextFetch()
			c.HandleFetchFailure(peer)
		}
		vote := zinniapond.VoteRequest{Candidate: "b", CandidateDisk: "first", VoterDisk: "first", Term: c.Term() + 1, LastIndex: c.LastIndex()}
		assert.True(t, c.HandleVote(begin.Add(time.Hour), vote).Granted, "no vote")
		saveAll(c, begin.Add(time.Hour))
		c.HandleFetchFailure("c")
		peer, _, _ := c.NextFetch()
		assert.Equal(t, peer, name("b"))
	})
}
