package lease

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var begin = time.Unix(1000, 0)

// newHolder returns the holder of a registered and active host with a lease from
// begin.
func newHolder(t *testing.T) *Holder {
	h := &Holder{Host: "a", LeaseDuration: 2 * time.Second, State: &state.State{}}
	h.SetRegistration(1)
	records := []zinniapond.Command{
		{Kind: zinniapond.CommandRegister, Member: &zinniapond.Member{Name: "a", Instance: "1"}},
		{Kind: zinniapond.CommandMember, Member: &zinniapond.Member{Name: "a", Epoch: 1, State: zinniapond.MemberActive}},
	}
	reply := zinniapond.FetchReply{Accepted: true, CommittedOwnTerm: true, CommitIndex: 2}
	for i, r := range records {
		data, err := cbor.Marshal(r)
		assert.NoError(t, err)
		reply.Entries = append(reply.Entries, zinniapond.LogEntry{Index: zinniapond.Index(i + 1), Term: 1, Data: data})
	}
	assert.NoError(t, h.ApplyReply(begin, h.NextRequest(), reply))
	assert.True(t, h.LeaseValid(begin), "not fresh")
	return h
}

func TestHolder(t *testing.T) {
	renewedAt := begin.Add(time.Second)
	renewal := zinniapond.FetchReply{Accepted: true, CommittedOwnTerm: true, CommitIndex: 2}
	for _, c := range []struct {
		failure string
		change  func(*zinniapond.FetchReply)
		expiry  time.Time
	}{
		{"a reply that does not renew the lease", func(*zinniapond.FetchReply) {}, renewedAt.Add(2 * time.Second)},
		{"a lease from a leader that has lost its majority", func(r *zinniapond.FetchReply) { r.QuorumAge = 500 * time.Millisecond }, renewedAt.Add(1500 * time.Millisecond)},
		{"renewing the lease of a state that lacks committed records", func(r *zinniapond.FetchReply) { r.CommitIndex = 3 }, begin.Add(2 * time.Second)},
		{"a lease from a leader that does not know all committed records", func(r *zinniapond.FetchReply) { r.CommittedOwnTerm = false }, begin.Add(2 * time.Second)},
	} {
		t.Run("guards against "+c.failure, func(t *testing.T) {
			h, reply := newHolder(t), renewal
			c.change(&reply)
			assert.NoError(t, h.ApplyReply(renewedAt, h.NextRequest(), reply))
			assert.Equal(t, h.Expiry(), c.expiry)
		})
	}
	t.Run("guards against a fenced host that stays fresh or never registers again", func(t *testing.T) {
		h := newHolder(t)
		assert.NoError(t, h.ApplyReply(renewedAt, h.NextRequest(), zinniapond.FetchReply{Accepted: true, Fenced: true, CommitIndex: 2}))
		assert.True(t, !h.LeaseValid(begin), "fresh after it was fenced")
		assert.True(t, !h.IsRegistered(), "counts as registered after it was fenced")
	})
	t.Run("guards against a lease that carries over to another registration", func(t *testing.T) {
		h := newHolder(t)
		h.SetRegistration(7)
		assert.True(t, h.Expiry().IsZero(), "the lease lasts until %s", h.Expiry())
	})
	t.Run("guards against acting on an early part of the log after a start", func(t *testing.T) {
		h := &Holder{Host: "a", LeaseDuration: 2 * time.Second, State: &state.State{}}
		first := zinniapond.FetchReply{Accepted: true, CommittedOwnTerm: true, CommitIndex: 2, Entries: []zinniapond.LogEntry{{Index: 1, Term: 1}}}
		assert.NoError(t, h.ApplyReply(begin, h.NextRequest(), first))
		assert.True(t, !h.HasCaughtUp(), "caught up without record 2")
		second := zinniapond.FetchReply{Accepted: true, CommitIndex: 2, Entries: []zinniapond.LogEntry{{Index: 2, Term: 1}}}
		assert.NoError(t, h.ApplyReply(begin, h.NextRequest(), second))
		assert.True(t, !h.HasCaughtUp(), "caught up with a leader that does not know all committed records")
		assert.NoError(t, h.ApplyReply(begin, h.NextRequest(), renewal))
		assert.True(t, h.HasCaughtUp(), "not caught up with all records")
	})
	t.Run("guards against an older snapshot that replaces the state", func(t *testing.T) {
		h := newHolder(t)
		data, err := (&state.State{}).Encode()
		assert.NoError(t, err)
		reply := zinniapond.FetchReply{Accepted: true, Snapshot: &zinniapond.Snapshot{Index: 1, Data: data}}
		assert.NoError(t, h.ApplyReply(renewedAt, h.NextRequest(), reply))
		assert.Equal(t, h.State.View().Index, 2)
	})
}
