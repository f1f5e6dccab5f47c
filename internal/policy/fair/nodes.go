package fair

import (
	"time"

	"zinniapond.example/zinniapond"
)

// levels is the number of classes; level 0 is served first.
const levels = int(zinniapond.ClassBatch) + 1

// call is one waiting call. Its places are those in the heaps that hold it.
type call struct {
	waiting zinniapond.Waiting
	number  uint64 // order of arrival, to break ties
	level   int
	late    bool
	lane    *lane
	due     time.Time // when it becomes late

	inLane, inLate, inLevel, inDue, inUntil int
}

// lane has the waiting calls of one program at one level.
type lane struct {
	program *program
	calls   heap[*call]
	at      int // place in its tier
}

// program has the service that a program has received.
type program struct {
	served float64
	// owed is the cost charged at the last dispatch and not yet settled. One
	// call of a program runs at a time, so there is at most one.
	owed  debt
	waits int  // calls that wait
	ended bool // removed once no call waits
	lanes [levels]*lane
}

// debt is an estimated cost that a later Charge replaces by the real one.
type debt struct {
	tier *tier
	cost float64 // as charged
	// asked is the cost as the caller expected it.
	asked float64
}

// tier has the waiting calls of one plan at one level.
type tier struct {
	plan zinniapond.PlanName
	// virtual is the service received by the tier, divided by the weight.
	virtual float64
	weight  float64
	// ratio is the mean of received by expected service.
	ratio float64
	late  heap[*call] // by arrival, before all lanes
	lanes heap[*lane] // by service received
	level int
	at    int // place in its level; -1 if nothing waits
}

// level has the tiers of one class that have waiting calls.
type level struct {
	tiers heap[*tier] // by virtual service
	late  heap[*call] // by arrival
	// virtual is that of the tier served last; a tier that begins to wait
	// starts from it, so that idle time earns no credit.
	virtual float64
}

func earlier(a, b *call) bool {
	if !a.waiting.Arrived.Equal(b.waiting.Arrived) {
		return a.waiting.Arrived.Before(b.waiting.Arrived)
	}
	return a.number < b.number
}

func newLevel() level {
	return level{
		tiers: heap[*tier]{
			less: func(a, b *tier) bool {
				if a.virtual != b.virtual {
					return a.virtual < b.virtual
				}
				return a.plan < b.plan
			},
			place: func(t *tier, at int) { t.at = at },
		},
		late: heap[*call]{less: earlier, place: func(c *call, at int) { c.inLevel = at }},
	}
}

func newTier(plan zinniapond.PlanName, at int) *tier {
	return &tier{
		plan:  plan,
		ratio: 1,
		level: at,
		at:    -1,
		late:  heap[*call]{less: earlier, place: func(c *call, at int) { c.inLate = at }},
		lanes: heap[*lane]{
			less: func(a, b *lane) bool {
				if a.program.served != b.program.served {
					return a.program.served < b.program.served
				}
				return earlier(a.calls.top(), b.calls.top())
			},
			place: func(l *lane, at int) { l.at = at },
		},
	}
}

func newLane(p *program) *lane {
	return &lane{
		program: p,
		at:      -1,
		calls:   heap[*call]{less: earlier, place: func(c *call, at int) { c.inLane = at }},
	}
}

// first returns the tier's first call in order.
func (t *tier) first() *call {
	if t.late.size() > 0 {
		return t.late.top()
	}
	return t.lanes.top().calls.top()
}

func (t *tier) empty() bool { return t.late.size() == 0 && t.lanes.size() == 0 }
