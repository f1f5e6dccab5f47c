package raft

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

func (c *Core) lead() {
	c.role, c.leads, c.granted, c.ballots = leader, c.Self.Name, nil, nil
	c.progress = make(map[zinniapond.VoterKey]*progress)
	for _, v := range c.log.voters() {
		// A majority voted after the campaign began.
		c.progress[v] = &progress{contact: c.since}
	}
	c.append(zinniapond.LogEntry{})
}

func (c *Core) append(e zinniapond.LogEntry) zinniapond.Index {
	e.Index, e.Term = c.log.last()+1, c.term
	c.log.append(e)
	c.sequence++
	return e.Index
}

// Propose appends a record and returns its index and term. The record is
// committed if Commit reaches the index while the record still has the term.
func (c *Core) Propose(now time.Time, data []byte) (zinniapond.Index, zinniapond.Term, error) {
	if !c.Leading(now) {
		return 0, 0, zinniapond.ErrNotLeader
	}
	return c.append(zinniapond.LogEntry{Data: data}), c.term, nil
}

// ProposeVoters appends a voter set that differs from the one in force by one
// voter, so that their majorities overlap.
func (c *Core) ProposeVoters(now time.Time, voters []zinniapond.VoterKey, data []byte) (zinniapond.Index, zinniapond.Term, error) {
	switch {
	case !c.Leading(now):
		return 0, 0, zinniapond.ErrNotLeader
	case !c.Current() || c.log.configured() > c.commit:
		return 0, 0, fmt.Errorf("change voters: an earlier change is not committed: %w", zinniapond.ErrConflict)
	case len(voters) == 0 || difference(voters, c.log.voters()) != 1:
		return 0, 0, fmt.Errorf("change voters: not exactly one added or removed: %w", zinniapond.ErrMalformed)
	}
	for _, v := range voters {
		if c.progress[v] == nil {
			c.progress[v] = &progress{contact: now}
		}
	}
	return c.append(zinniapond.LogEntry{Voters: voters, Data: data}), c.term, nil
}

func difference(a, b []zinniapond.VoterKey) int {
	n := 0
	for _, v := range a {
		if !contains(b, v) {
			n++
		}
	}
	for _, v := range b {
		if !contains(a, v) {
			n++
		}
	}
	return n
}

// Repair returns the next voter set on the way to giving a voter that lost its
// disk its place back: first without the lost disk, then with the new one, once
// the new one holds every committed record.
func (c *Core) Repair(now time.Time) ([]zinniapond.VoterKey, bool) {
	if !c.Leading(now) || !c.Current() || c.log.configured() > c.commit {
		return nil, false
	}
	voters := c.log.voters()
	keys := slices.SortedFunc(maps.Keys(c.progress), func(a, b zinniapond.VoterKey) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Disk, b.Disk))
	})
	for _, key := range keys {
		p := c.progress[key]
		if contains(voters, key) || p.match < c.commit || now.Sub(p.contact) > c.Quorum {
			continue
		}
		at := slices.IndexFunc(voters, func(v zinniapond.VoterKey) bool { return v.Name == key.Name })
		if at < 0 && c.Open {
			return c.admit(now, key), true
		}
		if at < 0 && slices.Contains(c.Peers, key.Name) {
			return append(slices.Clone(voters), key), true
		}
		if at >= 0 && now.Sub(c.progress[voters[at]].contact) > c.Quorum {
			return slices.Delete(slices.Clone(voters), at, at+1), true
		}
	}
	// A successor that came before its predecessor's time was over leaves an even
	// number of voters. Without the silent one a smaller majority is enough; of an
	// odd number it would not be.
	if at := c.silent(now, voters); c.Open && at >= 0 && len(voters)%2 == 0 {
		return slices.Delete(slices.Clone(voters), at, at+1), true
	}
	return nil, false
}

// silent returns the place of a voter that was not heard for longer than the
// patience, or -1.
func (c *Core) silent(now time.Time, voters []zinniapond.VoterKey) int {
	return slices.IndexFunc(voters, func(v zinniapond.VoterKey) bool {
		return v != c.Self && now.Sub(c.progress[v].contact) > c.Patience
	})
}

// admit returns the next voter set on the way to making a host a voter: first
// without a voter that was silent for long, as one that is gone for good would
// else count towards every majority.
func (c *Core) admit(now time.Time, key zinniapond.VoterKey) []zinniapond.VoterKey {
	voters := slices.Clone(c.log.voters())
	if gone := c.silent(now, voters); gone >= 0 {
		return slices.Delete(voters, gone, gone+1)
	}
	return append(voters, key)
}

// contact returns the latest instant at which a majority is known to have
// followed this leader.
func (c *Core) contact(now time.Time) time.Time {
	var seen []time.Time
	for _, v := range c.log.voters() {
		if v == c.Self {
			seen = append(seen, now)
		} else {
			seen = append(seen, c.progress[v].contact)
		}
	}
	slices.SortFunc(seen, func(a, b time.Time) int { return b.Compare(a) })
	return seen[c.majority()-1]
}

// advance commits what a majority has synced. Only a record of the leader's own
// term is counted: an older one may still be replaced (Raft, section 5.4.2).
func (c *Core) advance(now time.Time) {
	var held []zinniapond.Index
	for _, v := range c.log.voters() {
		if v == c.Self {
			held = append(held, c.log.saved)
		} else {
			held = append(held, c.progress[v].match)
		}
	}
	slices.Sort(held)
	n := held[len(held)-c.majority()]
	if n <= c.commit || c.log.term(n) != c.term {
		return
	}
	c.commit = n
	if !c.votes() && c.log.configured() <= c.commit {
		c.follow(now, c.term, "")
	}
}

// Fetch answers a fetch that arrived at the given instant. It returns false
// while there is nothing to say before the sender's Wait is over; the driver
// then calls it again after a change, and when the time is over.
func (c *Core) Fetch(now, arrived time.Time, request zinniapond.FetchRequest) (zinniapond.FetchReply, bool) {
	if request.Term > c.term {
		c.follow(now, request.Term, "")
	}
	over := !now.Before(arrived.Add(request.Wait))
	if !c.Leading(now) {
		// Only first-hand knowledge is passed on: two followers would else
		// keep telling each other of a leader that is dead.
		known := c.role != leader && c.served(now) && c.leads != request.Sender
		reply := zinniapond.FetchReply{Term: c.term}
		if known {
			reply.Leader = c.leads
		}
		return reply, known || over || request.Term < c.term
	}
	if request.Disk != "" {
		c.note(now, request)
	}
	reply := zinniapond.FetchReply{
		Term: c.term, Leader: c.Self.Name, Accepted: true, Commit: c.commit,
		Current: c.Current(), Stamp: now.Sub(c.since), Quorum: arrived.Sub(c.contact(now)),
	}
	ready := c.fill(request, &reply) || over || request.Term < c.term
	return reply, ready
}

// note records what a voter's fetch shows. A request of an earlier term shows
// nothing: its sender may have cut its log since.
func (c *Core) note(now time.Time, request zinniapond.FetchRequest) {
	if request.Term != c.term {
		return
	}
	key := zinniapond.VoterKey{Name: request.Sender, Disk: request.Disk}
	p := c.progress[key]
	if p == nil {
		p = new(progress)
		c.progress[key] = p
	}
	if at := c.since.Add(request.Stamp); request.Stamp > 0 && at.After(p.contact) && !at.After(now) {
		p.contact = at
	}
	if match := request.Next - 1; match > p.match && match <= c.log.last() && c.log.term(match) == request.Last {
		p.match = match
		c.advance(now)
	}
}

// fill adds records, a snapshot or a divergence to a reply, and tells whether
// there was any, or news of the commitment.
func (c *Core) fill(request zinniapond.FetchRequest, reply *zinniapond.FetchReply) bool {
	previous := request.Next - 1
	reply.Commit = c.commit
	switch {
	case previous < c.log.base:
		s := c.log.snapshot
		reply.Snapshot = &s
		return true
	case previous > c.log.last() || c.log.term(previous) != request.Last:
		match := min(previous-1, c.log.last())
		for match > c.log.base && c.log.term(match) > request.Last {
			match--
		}
		reply.Diverged, reply.Match = true, match
		return true
	}
	to := c.log.last()
	if request.Disk == "" {
		to = c.commit
	}
	reply.Entries = c.log.batch(request.Next, to, c.Batch)
	return len(reply.Entries) > 0 || request.Disk != "" && c.commit > request.Applied
}
