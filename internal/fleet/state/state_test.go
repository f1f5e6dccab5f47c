package state

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/go-cmp/cmp/cmpopts"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// apply applies the command as the next record of the log.
func apply(t *testing.T, s *State, c zinniapond.Command) zinniapond.CommandResult {
	data, err := cbor.Marshal(c)
	assert.NoError(t, err)
	r, err := s.Apply(zinniapond.LogEntry{Index: s.View().Index + 1, Data: data})
	assert.NoError(t, err)
	return r
}

func registerCommand(name, instance string, previousEpoch zinniapond.Epoch) zinniapond.Command {
	return zinniapond.Command{Kind: zinniapond.CommandRegister, Member: &zinniapond.Member{
		Name: zinniapond.HostName(name), Instance: instance, Epoch: previousEpoch,
	}}
}

func memberStateCommand(name string, epoch zinniapond.Epoch, to zinniapond.MemberState) zinniapond.Command {
	return zinniapond.Command{Kind: zinniapond.CommandMember, Member: &zinniapond.Member{
		Name: zinniapond.HostName(name), Epoch: epoch, State: to,
	}}
}

func assignCommand(owner string, member, epoch zinniapond.Epoch) zinniapond.Command {
	return zinniapond.Command{Kind: zinniapond.CommandAssign, Assignments: []zinniapond.Assignment{
		{Owner: zinniapond.HostName(owner), MemberEpoch: member, Epoch: epoch},
	}}
}

func TestLists(t *testing.T) {
	listsCommand := func(id string, expect zinniapond.Version, plans string) zinniapond.Command {
		return zinniapond.Command{Kind: zinniapond.CommandLists, ChangeID: zinniapond.ChangeID(id), ExpectedVersion: expect, Plans: plans}
	}
	s := &State{MaxOutcomes: 3, Parse: func(v zinniapond.Version, plans, _ string) (*zinniapond.Catalog, []zinniapond.ListFault) {
		if plans == "bad" {
			return nil, []zinniapond.ListFault{{File: "plans.ini", Line: 1}}
		}
		return &zinniapond.Catalog{Version: v}, nil
	}}
	t.Run("guards against two accepted changes of one version", func(t *testing.T) {
		assert.Equal(t, apply(t, s, listsCommand("a", 0, "x")).Accepted, true)
		got := apply(t, s, listsCommand("b", 0, "y"))
		assert.Equal(t, got.Conflict, true)
		assert.Equal(t, got.Lists.Plans, "x")
		assert.Equal(t, s.Catalog().Version, 1)
	})
	t.Run("guards against a second outcome of a resent change", func(t *testing.T) {
		assert.Equal(t, apply(t, s, listsCommand("a", 0, "x")).Index, 1)
		assert.Equal(t, apply(t, s, listsCommand("b", 0, "y")).Conflict, true)
	})
	t.Run("guards against another change under the same id", func(t *testing.T) {
		assert.Contains(t, apply(t, s, listsCommand("a", 1, "z")).Reason, "same id")
	})
	t.Run("guards against lists with faults, and against two outcomes of them", func(t *testing.T) {
		bad := listsCommand("c", 1, "bad")
		_, ok := s.Check(&bad)
		assert.True(t, ok, "decided before")
		got := apply(t, s, bad)
		assert.True(t, !got.Accepted && len(got.Faults) == 1, "the outcome is %+v", got)
		apply(t, s, listsCommand("d", 1, "y"))
		again, ok := s.Check(&bad)
		assert.True(t, !ok && len(again.Faults) == 1 && !again.Conflict, "the first outcome is %+v", again)
	})
	t.Run("guards against outcomes that are kept for ever, or lost in a snapshot", func(t *testing.T) {
		data, err := s.Encode()
		assert.NoError(t, err)
		c := &State{MaxOutcomes: 3, Parse: s.Parse}
		assert.NoError(t, c.Decode(data))
		assert.Equal(t, c.View(), s.View(), cmpopts.EquateEmpty())
		assert.Equal(t, fmt.Sprint(c.changeOrder), "[b c d]")
		again, err := c.Encode()
		assert.NoError(t, err)
		assert.Equal(t, again, data)
	})
}

func TestFleet(t *testing.T) {
	s := &State{}
	apply(t, s, zinniapond.Command{Kind: zinniapond.CommandEmpty, Shards: 1})
	t.Run("guards against a resent registration that ends the first", func(t *testing.T) {
		assert.Equal(t, apply(t, s, registerCommand("a", "1", 0)).Epoch, 2)
		assert.Equal(t, apply(t, s, registerCommand("a", "1", 0)).Epoch, 2)
		assert.Equal(t, s.View().Members["a"].Epoch, 2)
	})
	t.Run("guards against two processes of one host", func(t *testing.T) {
		assert.Equal(t, apply(t, s, registerCommand("a", "2", 0)).Accepted, false)
	})
	t.Run("guards against a state that goes back", func(t *testing.T) {
		assert.Equal(t, apply(t, s, memberStateCommand("a", 2, zinniapond.MemberDraining)).Accepted, true)
		assert.Equal(t, apply(t, s, memberStateCommand("a", 2, zinniapond.MemberActive)).Accepted, false)
		assert.Equal(t, apply(t, s, memberStateCommand("a", 1, zinniapond.MemberLeft)).Accepted, false)
	})
	t.Run("guards against taking a shard from a living owner", func(t *testing.T) {
		b := apply(t, s, registerCommand("b", "1", 0)).Epoch
		assert.Equal(t, apply(t, s, assignCommand("a", 2, 1)).Accepted, true)
		assert.Equal(t, apply(t, s, assignCommand("b", b, 2)).Epoch, 1)
		own := assignCommand("b", b, 2)
		own.Member = &zinniapond.Member{Name: "a", Epoch: 2}
		assert.Equal(t, apply(t, s, own).Accepted, true)
		assert.Equal(t, apply(t, s, own).Accepted, true) // a resent copy
		assert.Equal(t, apply(t, s, assignCommand("b", b, 2)).Accepted, true)
		assert.Equal(t, apply(t, s, assignCommand("a", 2, 2)).Conflict, true)
	})
	t.Run("guards against a shard that stays with a fenced process", func(t *testing.T) {
		b := s.View().Members["b"].Epoch
		assert.Equal(t, apply(t, s, memberStateCommand("b", b, zinniapond.MemberFenced)).Accepted, true)
		assert.Equal(t, apply(t, s, assignCommand("b", b, 3)).Accepted, false)
		assert.Equal(t, apply(t, s, assignCommand("a", 2, 3)).Accepted, true)
	})
	t.Run("guards against a resent order that undoes a later one", func(t *testing.T) {
		order := func(model string, fence zinniapond.Index) zinniapond.Command {
			return zinniapond.Command{Kind: zinniapond.CommandOrder, Order: &zinniapond.Order{Model: zinniapond.PoolName(model), Fence: fence}}
		}
		assert.Equal(t, apply(t, s, order("x", 0)).Accepted, true)
		first := s.View().Index
		assert.Equal(t, apply(t, s, order("y", first)).Accepted, true)
		assert.Equal(t, apply(t, s, order("x", 0)).Conflict, true)
	})
}
