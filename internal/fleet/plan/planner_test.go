package plan

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// simulation applies the planner's decisions to a view of hosts, each in its own
// data centre.
type simulation struct {
	Planner
	view    *zinniapond.ControlView
	silence time.Duration
}

func newSimulation(hosts int) *simulation {
	p := &simulation{
		Planner: Planner{Replicas: 3, FirstAssignmentDelay: time.Second, ReplacementDelay: 4 * time.Second, MaxHandovers: 2},
		view: &zinniapond.ControlView{
			Shards: 60, Members: make(map[zinniapond.HostName]zinniapond.Member),
			Assignments: make(map[zinniapond.ShardID]zinniapond.Assignment),
		},
		silence: time.Hour,
	}
	for i := range hosts {
		p.setMemberState(fmt.Sprint(i), zinniapond.MemberActive)
	}
	return p
}

func (p *simulation) setMemberState(host string, state zinniapond.MemberState) {
	name := zinniapond.HostName(host)
	p.view.Members[name] = zinniapond.Member{
		Name: name, Epoch: 1, State: state, DataCentre: zinniapond.DataCentre(host),
		Roles: []zinniapond.Role{zinniapond.RoleOwner, zinniapond.RoleStore},
	}
}

// applyAssignments applies the assignments that Assign returns, and returns their
// number.
func (p *simulation) applyAssignments(t *testing.T, leaderAge time.Duration) int {
	changes := p.Assign(p.view, leaderAge, func(zinniapond.HostName) time.Duration { return p.silence })
	for _, a := range changes {
		assert.Equal(t, a.Epoch, p.view.Assignments[a.Shard].Epoch+1)
		p.view.Assignments[a.Shard] = a
	}
	return len(changes)
}

func (p *simulation) countOwned(host zinniapond.HostName) int {
	n := 0
	for _, a := range p.view.Assignments {
		if a.Owner == host {
			n++
		}
	}
	return n
}

func TestAssign(t *testing.T) {
	t.Run("guards against an uneven first assignment, and one that is repeated", func(t *testing.T) {
		p := newSimulation(4)
		assert.Equal(t, p.applyAssignments(t, 0), 60)
		for host := range p.view.Members {
			assert.Equal(t, p.countOwned(host), 15)
		}
		for _, a := range p.view.Assignments {
			assert.Equal(t, len(a.Replicas), 3)
		}
		assert.Equal(t, p.applyAssignments(t, time.Hour), 0)
		assert.Equal(t, len(p.Rebalance(p.view)), 0)
	})
	t.Run("guards against single replicas because the stores start one after another", func(t *testing.T) {
		p := newSimulation(1)
		assert.Equal(t, p.applyAssignments(t, 0), 0)
		assert.Equal(t, p.applyAssignments(t, time.Second), 60)
	})
	t.Run("guards against moving what a dead host did not own", func(t *testing.T) {
		p := newSimulation(4)
		p.applyAssignments(t, 0)
		p.silence = 0 // no replica is replaced yet
		p.setMemberState("0", zinniapond.MemberFenced)
		assert.Equal(t, p.applyAssignments(t, time.Hour), 15)
		assert.Equal(t, p.countOwned("0"), 0)
		assert.Equal(t, p.countOwned("1"), 20)
	})
	t.Run("guards against replacing two replicas at once, or one too early", func(t *testing.T) {
		p := newSimulation(5)
		p.applyAssignments(t, 0)
		p.setMemberState("0", zinniapond.MemberFenced)
		p.setMemberState("1", zinniapond.MemberLeft)
		p.silence = p.ReplacementDelay - 1
		p.applyAssignments(t, time.Hour)
		for _, a := range p.view.Assignments {
			assert.Equal(t, a.JoiningReplica, "")
		}
		p.silence = p.ReplacementDelay
		assert.True(t, p.applyAssignments(t, time.Hour) > 0, "nothing replaced")
		assert.Equal(t, p.applyAssignments(t, time.Hour), 0) // the owners copy the log
		for _, a := range p.view.Assignments {
			assert.True(t, a.JoiningReplica == "" || a.ReplacedReplica == "0" || a.ReplacedReplica == "1", "%+v", a)
			assert.True(t, a.JoiningReplica != "0" && a.JoiningReplica != "1", "%+v", a)
		}
	})
	t.Run("guards against two replicas in one data centre while another is free", func(t *testing.T) {
		p := newSimulation(3)
		twin := p.view.Members["0"]
		twin.Name = "0b"
		p.view.Members["0b"] = twin
		p.applyAssignments(t, 0)
		for _, a := range p.view.Assignments {
			centres := make(map[zinniapond.DataCentre]bool)
			for _, r := range a.Replicas {
				centres[p.view.Members[r].DataCentre] = true
			}
			assert.Equal(t, len(centres), 3)
		}
	})
}

func TestRebalance(t *testing.T) {
	// applyHandovers applies all requested hand-overs until there are none, and
	// returns their number.
	applyHandovers := func(p *simulation) int {
		for n := 0; ; {
			moves := p.Rebalance(p.view)
			if len(moves) == 0 {
				return n
			}
			for _, m := range moves {
				a := p.view.Assignments[m.Shard]
				a.Owner = m.NewOwner
				a.Epoch++
				p.view.Assignments[m.Shard] = a
				n++
			}
		}
	}
	t.Run("guards against moving more than a new host needs", func(t *testing.T) {
		p := newSimulation(4)
		p.applyAssignments(t, 0)
		p.setMemberState("4", zinniapond.MemberActive)
		assert.Equal(t, applyHandovers(p), 12)
		assert.Equal(t, p.countOwned("4"), 12)
	})
	t.Run("guards against a draining host that keeps shards", func(t *testing.T) {
		p := newSimulation(4)
		p.applyAssignments(t, 0)
		p.setMemberState("0", zinniapond.MemberDraining)
		assert.Equal(t, len(p.Rebalance(p.view)), 2) // the bound MaxHandovers
		assert.Equal(t, applyHandovers(p), 15)
		assert.Equal(t, p.countOwned("0"), 0)
	})
}
