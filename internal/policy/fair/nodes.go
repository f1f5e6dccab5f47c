package fair

import (
	"time"

	"zinniapond.example/zinniapond"
)

// levels is the number of classes; level 0 is served first.
const levels = int(zinniapond.ClassBatch) + 1

// call is one waiting call. Its index fields are its places in the heaps that
// hold it, -1 in the others.
type call struct {
	waiting       zinniapond.QueuedCall
	arrivalNumber uint64 // order of arrival, to break ties
	level         int
	late          bool
	queue         *programQueue
	lateAt        time.Time // when it becomes late

	programIndex, planLateIndex, levelLateIndex, lateAtIndex, deadlineIndex int
}

// programQueue has the waiting calls of one program at one level.
type programQueue struct {
	program   *program
	calls     heap[*call]
	heapIndex int // place in its plan queue; -1 if no call waits
}

// program has the received service and the waiting calls of one program.
type program struct {
	receivedService float64
	// unsettled is the cost charged at the last dispatch and not yet replaced
	// by the real one. One call of a program runs at a time, so there is at
	// most one.
	unsettled charge
	waiting   int  // number of waiting calls
	ended     bool // removed once no call waits
	queues    [levels]*programQueue
}

// charge is an estimated cost that a later Charge replaces by the real one.
type charge struct {
	queue *planQueue
	cost  float64 // as charged, adjusted by the cost ratio
	// expected is the cost as the caller of Push expected it.
	expected float64
}

// planQueue has the waiting calls of one plan at one level.
type planQueue struct {
	plan zinniapond.PlanName
	// virtualTime is the service received by the plan at this level, divided by
	// the weight.
	virtualTime float64
	weight      float64
	// costRatio is the mean ratio of received to expected service.
	costRatio     float64
	lateCalls     heap[*call]         // by arrival; served before the program queues
	programQueues heap[*programQueue] // by service received
	level         int
	heapIndex     int // place in its level; -1 if nothing waits
}

// level has the plan queues of one class that have waiting calls.
type level struct {
	planQueues heap[*planQueue] // by virtual time
	lateCalls  heap[*call]      // by arrival
	// virtualTime is that of the plan queue served last; a plan queue that
	// becomes active starts from it, so that idle time earns no credit.
	virtualTime float64
}

func arrivedEarlier(a, b *call) bool {
	if !a.waiting.ArrivedAt.Equal(b.waiting.ArrivedAt) {
		return a.waiting.ArrivedAt.Before(b.waiting.ArrivedAt)
	}
	return a.arrivalNumber < b.arrivalNumber
}

func newLevel() level {
	return level{
		planQueues: heap[*planQueue]{
			less: func(a, b *planQueue) bool {
				if a.virtualTime != b.virtualTime {
					return a.virtualTime < b.virtualTime
				}
				return a.plan < b.plan
			},
			setIndex: func(t *planQueue, index int) { t.heapIndex = index },
		},
		lateCalls: heap[*call]{less: arrivedEarlier, setIndex: func(c *call, index int) { c.levelLateIndex = index }},
	}
}

func newPlanQueue(plan zinniapond.PlanName, levelIndex int) *planQueue {
	return &planQueue{
		plan:      plan,
		costRatio: 1,
		level:     levelIndex,
		heapIndex: -1,
		lateCalls: heap[*call]{less: arrivedEarlier, setIndex: func(c *call, index int) { c.planLateIndex = index }},
		programQueues: heap[*programQueue]{
			less: func(a, b *programQueue) bool {
				if a.program.receivedService != b.program.receivedService {
					return a.program.receivedService < b.program.receivedService
				}
				return arrivedEarlier(a.calls.top(), b.calls.top())
			},
			setIndex: func(l *programQueue, index int) { l.heapIndex = index },
		},
	}
}

func newProgramQueue(p *program) *programQueue {
	return &programQueue{
		program:   p,
		heapIndex: -1,
		calls:     heap[*call]{less: arrivedEarlier, setIndex: func(c *call, index int) { c.programIndex = index }},
	}
}

// firstCall returns the plan queue's first call in order.
func (t *planQueue) firstCall() *call {
	if t.lateCalls.size() > 0 {
		return t.lateCalls.top()
	}
	return t.programQueues.top().calls.top()
}

func (t *planQueue) isEmpty() bool { return t.lateCalls.size() == 0 && t.programQueues.size() == 0 }
