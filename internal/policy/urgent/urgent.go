// Package urgent ranks turns for the waiting queues of model servers. It answers the
// load after a burst: programs that are past their time objective otherwise keep
// their place before those that can still meet theirs, so that nearly all programs of
// the following seconds end late. The queues of the servers are the only place at
// which the turns of all hosts meet, so the order is decided there.
package urgent

import (
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// highestUrgency is the rank of turns with the highest priority; each step of the
	// priority is one less urgent.
	highestUrgency = 3
	// lateStep is the number of ranks by which a turn of a late program is less
	// urgent: turns of the next lower priority that are in time go before it.
	lateStep = 2
	// routeRanks is the number of ranks of one priority of a plan. They distinguish the
	// priorities of routes.
	routeRanks = 2
	// lowestUrgency is the least urgent rank that servers know.
	lowestUrgency = 9
)

func init() {
	kernel.Register("default", func(*kernel.Kernel) (zinniapond.Urgency, error) { return Policy{}, nil })
}

// Policy ranks by the priorities of the plan and the route and by whether the program can still
// finish in time.
type Policy struct{}

var _ zinniapond.Urgency = Policy{}

// Rank returns the urgency of a turn. A late program is only ranked behind those that
// are in time; it is not refused, as its caller still waits for it.
func (Policy) Rank(now time.Time, turn zinniapond.TurnState) int {
	rank := highestUrgency + turn.Priority
	if turn.HasPlan {
		rank = highestUrgency + routeRanks*turn.PlanPriority + min(turn.Priority, routeRanks-1)
	}
	if !turn.FinishBy.IsZero() && !now.Before(turn.FinishBy) {
		rank += lateStep
	}
	return min(rank, lowestUrgency)
}
