// Package fair implements a weighted fair queue. It orders waiting calls by
// class, then by the weighted share of each plan, then by the service that each
// program has received. Calls that have waited long go first within their plan
// and class, and a small share of the dispatched calls is taken from lower
// classes with such late calls.
package fair

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// ageingDelay is the wait after which a call counts as late.
	ageingDelay = 10 * time.Second
	// lateCallInterval is the number of dispatched calls of which one is taken
	// from a lower class that has late calls. Late calls that competed with the
	// first class by weight took its places at a peak, when all calls of lower
	// classes are late. With one in eight, 12% fewer first-class calls met
	// their target at the peak.
	lateCallInterval = 32
	// maxOffers bounds the calls that one Pop offers to admit, so that a Pop
	// whose calls cannot be placed stays cheap.
	maxOffers = 8
	// costRatioGain is the weight of one call in the mean ratio of received to
	// expected service. Most of a prompt is usually cached, so the expected
	// service of calls in flight, unadjusted, distorts the shares of the plans.
	costRatioGain = 0.05
	// maxAgedAtOnce bounds the calls that become late in one operation. Without
	// the bound, a burst of 140,000 calls would become late within a single
	// Pop.
	maxAgedAtOnce = 64
)

func init() {
	kernel.Register[zinniapond.Queue]("fair", func(*kernel.Kernel) (zinniapond.Queue, error) {
		return &Queue{}, nil
	})
}

// Queue is the weighted fair queue of one pool. It is a single shard under its
// own lock, as its order is common to all plans. Its zero value is ready for
// use.
type Queue struct {
	mu                sync.Mutex
	initialised       bool
	lastArrivalNumber uint64
	calls             map[zinniapond.CallID]*call
	programs          map[zinniapond.ProgramID]*program
	planQueues        map[zinniapond.PlanName]*[levels]*planQueue
	levels            [levels]level
	callsSinceLate    int // calls dispatched since the last turn of late calls
	byLateAt          heap[*call]
	byDeadline        heap[*call]
}

var _ zinniapond.Queue = (*Queue)(nil)

func (q *Queue) initialise() {
	if q.initialised {
		return
	}
	q.initialised = true
	q.calls = make(map[zinniapond.CallID]*call)
	q.programs = make(map[zinniapond.ProgramID]*program)
	q.planQueues = make(map[zinniapond.PlanName]*[levels]*planQueue)
	for i := range q.levels {
		q.levels[i] = newLevel()
	}
	q.byLateAt = heap[*call]{
		less: func(a, b *call) bool {
			if !a.lateAt.Equal(b.lateAt) {
				return a.lateAt.Before(b.lateAt)
			}
			return a.arrivalNumber < b.arrivalNumber
		},
		setIndex: func(c *call, index int) { c.lateAtIndex = index },
	}
	q.byDeadline = heap[*call]{
		less: func(a, b *call) bool {
			if !a.waiting.Deadline.Equal(b.waiting.Deadline) {
				return a.waiting.Deadline.Before(b.waiting.Deadline)
			}
			return a.arrivalNumber < b.arrivalNumber
		},
		setIndex: func(c *call, index int) { c.deadlineIndex = index },
	}
}

// Push adds a call. A call that already waits is not added again.
func (q *Queue) Push(now time.Time, waiting zinniapond.QueuedCall) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initialise()
	if _, ok := q.calls[waiting.Call]; ok {
		return
	}
	if waiting.ArrivedAt.IsZero() {
		waiting.ArrivedAt = now
	}
	q.lastArrivalNumber++
	c := &call{
		waiting: waiting, arrivalNumber: q.lastArrivalNumber,
		level:        min(int(waiting.Class), levels-1),
		lateAt:       waiting.ArrivedAt.Add(ageingDelay),
		programIndex: -1, planLateIndex: -1, levelLateIndex: -1, lateAtIndex: -1, deadlineIndex: -1,
	}
	q.calls[waiting.Call] = c
	q.programState(waiting.Program).waiting++
	if !waiting.Deadline.IsZero() {
		q.byDeadline.push(c)
	}
	q.byLateAt.push(c)
	q.enqueue(c, true)
}

// Pop removes and returns the first call in order that admit accepts. Calls
// that admit refuses keep their place.
func (q *Queue) Pop(now time.Time, admit func(zinniapond.QueuedCall) bool) (zinniapond.QueuedCall, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initialise()
	q.ageCalls(now)
	var refused [maxOffers]*call
	count := 0
	defer func() {
		for _, c := range refused[:count] {
			q.enqueue(c, false)
		}
	}()
	for count < maxOffers {
		t := q.nextPlanQueue()
		if t == nil {
			break
		}
		c := t.firstCall()
		startTag := t.virtualTime
		q.dequeue(c)
		if !admit(c.waiting) {
			refused[count] = c
			count++
			continue
		}
		q.levels[t.level].virtualTime = max(q.levels[t.level].virtualTime, startTag)
		if q.callsSinceLate++; q.callsSinceLate >= lateCallInterval {
			q.callsSinceLate = 0
		}
		q.chargeExpected(t, c)
		q.discard(c)
		return c.waiting, true
	}
	return zinniapond.QueuedCall{}, false
}

// Remove takes a call out of the queue and tells whether it was waiting.
func (q *Queue) Remove(id zinniapond.CallID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok := q.calls[id]
	if !ok {
		return false
	}
	q.dequeue(c)
	q.discard(c)
	return true
}

// Expire removes and returns the calls whose Deadline has passed.
func (q *Queue) Expire(now time.Time) []zinniapond.QueuedCall {
	q.mu.Lock()
	defer q.mu.Unlock()
	var expired []zinniapond.QueuedCall
	for q.byDeadline.size() > 0 && !q.byDeadline.top().waiting.Deadline.After(now) {
		c := q.byDeadline.top()
		q.dequeue(c)
		q.discard(c)
		expired = append(expired, c.waiting)
	}
	return expired
}

// Charge adds received service to a plan and a program. Pop has charged the
// expected cost of the call; the first Charge of the program after it replaces
// this cost by the real one. A dispatched call that is never charged counts
// with its expected cost.
func (q *Queue) Charge(_ time.Time, plan zinniapond.PlanName, id zinniapond.ProgramID, weight int, served zinniapond.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.initialise()
	// A program that is already forgotten is charged to its plan alone.
	p := q.programs[id]
	correction := charge{cost: float64(served)}
	if p != nil && p.unsettled.queue != nil {
		correction.queue = p.unsettled.queue
		correction.queue.costRatio += costRatioGain * (float64(served)/p.unsettled.expected - correction.queue.costRatio)
		correction.cost -= p.unsettled.cost
		p.unsettled = charge{}
	} else {
		correction.queue = q.planQueue(plan, int(zinniapond.ClassStandard))
		correction.queue.weight = float64(max(weight, 1))
	}
	q.applyCharge(p, correction)
}

// Forget drops the state of an ended program, once none of its calls waits. Its
// unsettled cost is given back to the plan.
func (q *Queue) Forget(id zinniapond.ProgramID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.programs[id]
	if !ok {
		return
	}
	if p.unsettled.queue != nil {
		q.applyCharge(p, charge{queue: p.unsettled.queue, cost: -p.unsettled.cost})
		p.unsettled = charge{}
	}
	p.ended = true
	if p.waiting == 0 {
		delete(q.programs, id)
	}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.calls)
}

func (q *Queue) programState(id zinniapond.ProgramID) *program {
	p, ok := q.programs[id]
	if !ok {
		p = &program{}
		q.programs[id] = p
	}
	return p
}

func (q *Queue) planQueue(plan zinniapond.PlanName, levelIndex int) *planQueue {
	ts, ok := q.planQueues[plan]
	if !ok {
		ts = &[levels]*planQueue{}
		q.planQueues[plan] = ts
	}
	if ts[levelIndex] == nil {
		ts[levelIndex] = newPlanQueue(plan, levelIndex)
	}
	return ts[levelIndex]
}

// nextPlanQueue returns the plan queue that is served next, or nil if no call
// waits.
func (q *Queue) nextPlanQueue() *planQueue {
	if q.callsSinceLate >= lateCallInterval-1 {
		if l := q.longestLateLevel(); l > 0 {
			return q.levels[l].planQueues.top()
		}
	}
	for i := range q.levels {
		if q.levels[i].planQueues.size() > 0 {
			return q.levels[i].planQueues.top()
		}
	}
	return nil
}

// longestLateLevel returns the level with the call that has been late for
// longest; 0 if no call is late.
func (q *Queue) longestLateLevel() int {
	longest := 0
	for i := range q.levels {
		l := q.levels[i].lateCalls
		if l.size() > 0 && (q.levels[longest].lateCalls.size() == 0 || arrivedEarlier(l.top(), q.levels[longest].lateCalls.top())) {
			longest = i
		}
	}
	return longest
}

// enqueue puts a call into the queue of its plan and level. A plan queue that
// becomes active with a new call loses the credit of its idle time, but a call
// that is put back after a refusal must not cost its plan anything.
func (q *Queue) enqueue(c *call, isNew bool) {
	p := q.programState(c.waiting.Program)
	t := q.planQueue(c.waiting.Plan, c.level)
	t.weight = float64(max(c.waiting.Weight, 1))
	if c.late {
		t.lateCalls.push(c)
		q.levels[c.level].lateCalls.push(c)
	} else {
		l := p.queues[c.level]
		if l == nil {
			l = newProgramQueue(p)
			p.queues[c.level] = l
		}
		c.queue = l
		l.calls.push(c)
		if l.heapIndex < 0 {
			t.programQueues.push(l)
		} else {
			t.programQueues.fix(l.heapIndex)
		}
	}
	if t.heapIndex < 0 {
		v := &q.levels[c.level]
		minimum := v.virtualTime
		if v.planQueues.size() > 0 {
			minimum = v.planQueues.top().virtualTime
		}
		if isNew {
			t.virtualTime = max(t.virtualTime, minimum)
		}
		v.planQueues.push(t)
	}
}

// dequeue takes a call out of its plan queue; it stays known to the Queue.
func (q *Queue) dequeue(c *call) {
	t := q.planQueue(c.waiting.Plan, c.level)
	if c.planLateIndex >= 0 {
		t.lateCalls.remove(c.planLateIndex)
		q.levels[c.level].lateCalls.remove(c.levelLateIndex)
	} else {
		l := c.queue
		l.calls.remove(c.programIndex)
		c.queue = nil
		if l.calls.size() == 0 {
			t.programQueues.remove(l.heapIndex)
		} else {
			t.programQueues.fix(l.heapIndex)
		}
	}
	if t.isEmpty() && t.heapIndex >= 0 {
		q.levels[t.level].planQueues.remove(t.heapIndex)
	}
}

// discard removes a dequeued call from all other indexes.
func (q *Queue) discard(c *call) {
	delete(q.calls, c.waiting.Call)
	if c.lateAtIndex >= 0 {
		q.byLateAt.remove(c.lateAtIndex)
	}
	if c.deadlineIndex >= 0 {
		q.byDeadline.remove(c.deadlineIndex)
	}
	p := q.programState(c.waiting.Program)
	p.waiting--
	if p.waiting == 0 && p.ended {
		delete(q.programs, c.waiting.Program)
	}
}

// ageCalls marks calls that have waited long as late, a bounded number at once.
func (q *Queue) ageCalls(now time.Time) {
	for i := 0; i < maxAgedAtOnce && q.byLateAt.size() > 0 && !q.byLateAt.top().lateAt.After(now); i++ {
		c := q.byLateAt.top()
		q.dequeue(c)
		c.late = true
		q.byLateAt.remove(c.lateAtIndex)
		q.enqueue(c, false)
	}
}

// chargeExpected charges the expected cost of a dispatched call.
func (q *Queue) chargeExpected(t *planQueue, c *call) {
	p := q.programState(c.waiting.Program)
	expected := float64(max(c.waiting.Cost, 1))
	d := charge{queue: t, cost: expected * t.costRatio, expected: expected}
	p.unsettled = d
	q.applyCharge(p, d)
}

func (q *Queue) applyCharge(p *program, d charge) {
	d.queue.virtualTime += d.cost / max(d.queue.weight, 1)
	if d.queue.heapIndex >= 0 {
		q.levels[d.queue.level].planQueues.fix(d.queue.heapIndex)
	}
	if p == nil {
		return
	}
	p.receivedService += d.cost
	for i, l := range p.queues {
		if l != nil && l.heapIndex >= 0 {
			// A program's calls are all of one plan, so the plan queue is that
			// of the first waiting call.
			q.planQueues[l.calls.top().waiting.Plan][i].programQueues.fix(l.heapIndex)
		}
	}
}
