package raft_test

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/quorum/raft"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const patience = 10 * contact

// newOpen returns the leader of a, b and c, which takes in other hosts, and the
// time. The record of its term is committed.
func newOpen(t *testing.T) (*raft.Core, time.Time) {
	t.Helper()
	c := newCore(0)
	c.Open, c.Patience = true, patience
	now := elect(t, c).Add(time.Millisecond)
	follow(c, now, "b", "first")
	assert.True(t, c.Current(), "the first record is not committed")
	return c, now
}

// follow has a host fetch behind the last record at now.
func follow(c *raft.Core, now time.Time, sender name, disk zinniapond.DiskID) {
	last := c.Last()
	c.Fetch(now, now, zinniapond.FetchRequest{
		Sender: sender, Disk: disk, Term: c.Term(), Next: last + 1, Last: c.Term(), Stamp: now.Sub(c.Elected()),
	})
}

// pass lets b follow for longer than the patience and returns the time.
func pass(c *raft.Core, now time.Time) time.Time {
	later := now.Add(patience + contact)
	for ; now.Before(later); now = now.Add(contact / 2) {
		follow(c, now, "b", "first")
	}
	return now.Add(-contact / 2)
}

// names returns the names of voters in order.
func names(voters []zinniapond.VoterKey) string {
	text := ""
	for _, v := range voters {
		text += string(v.Name)
	}
	return text
}

func TestOpen(t *testing.T) {
	t.Run("guards against a control host that never becomes a voter", func(t *testing.T) {
		c, now := newOpen(t)
		follow(c, now, "d", "fourth")
		voters, ok := c.Repair(now)
		assert.True(t, ok, "nothing is changed")
		assert.Equal(t, names(voters), "abcd")
	})
	t.Run("guards against a host that is gone for good counting beside its successor", func(t *testing.T) {
		c, now := newOpen(t)
		// c is not heard again; b and the successor are.
		later := pass(c, now)
		follow(c, later, "d", "fourth")
		voters, ok := c.Repair(later)
		assert.True(t, ok, "nothing is changed")
		assert.Equal(t, names(voters), "ab")
	})
	t.Run("guards against losing a voter that is only cut off, with nobody in its place", func(t *testing.T) {
		c, now := newOpen(t)
		later := pass(c, now)
		_, ok := c.Repair(later)
		assert.True(t, !ok, "the voter that is cut off is removed")
	})
	t.Run("guards against a host that is gone for good counting beside a successor that came at once", func(t *testing.T) {
		c, now := newOpen(t)
		follow(c, now, "c", "first")
		follow(c, now, "d", "fourth")
		voters, _ := c.Repair(now)
		_, _, err := c.ProposeVoters(now, voters, nil)
		assert.NoError(t, err)
		syncAll(c, now)
		for _, host := range []name{"b", "c"} {
			follow(c, now.Add(time.Millisecond), host, "first")
		}
		later := now.Add(patience + contact)
		for at := now; at.Before(later); at = at.Add(contact / 2) {
			follow(c, at, "b", "first")
			follow(c, at, "d", "fourth")
		}
		voters, ok := c.Repair(later)
		assert.True(t, ok, "the host that is gone stays a voter")
		assert.Equal(t, names(voters), "abd")
	})
	t.Run("guards against a host that lacks records becoming a voter", func(t *testing.T) {
		c, now := newOpen(t)
		c.Fetch(now, now, zinniapond.FetchRequest{Sender: "d", Disk: "fourth", Term: c.Term(), Next: 1})
		_, ok := c.Repair(now)
		assert.True(t, !ok, "a host without records becomes a voter")
	})
	t.Run("guards against passing over a new leader for the silence of a host that was asked before", func(t *testing.T) {
		c := newCore(0)
		c.Open = true
		for {
			if peer, _, _ := c.Next(); peer == "c" {
				break
			}
			peer, _, _ := c.Next()
			c.Missed(peer)
		}
		vote := zinniapond.VoteRequest{Candidate: "b", CandidateDisk: "first", Disk: "first", Term: c.Term() + 1, LastIndex: c.Last()}
		assert.True(t, c.Vote(begin.Add(time.Hour), vote).Granted, "no vote")
		syncAll(c, begin.Add(time.Hour))
		c.Missed("c")
		peer, _, _ := c.Next()
		assert.Equal(t, peer, name("b"))
	})
}
