// Package fair orders waiting calls by class, then by each plan's weighted
// share, then by the service that each program has received. Calls that have
// waited long go first within their plan, and their class gets some of the
// places that would go to higher classes.
package fair

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

const (
	// ageing is the wait after which a call is late.
	ageing = 10 * time.Second
	// lateTurn is the number of calls of which one is of a lower class that has
	// late calls. Late calls that competed with the first class by weight took
	// its places at a peak, when all lower calls are late. With one in eight,
	// 12% fewer first-class calls met their target at the peak.
	lateTurn = 32
	// asked bounds the calls that one Pop offers, so that a Pop whose calls
	// cannot be placed stays cheap.
	asked = 8
	// learn is the weight of one call in the ratio of received to expected
	// service. Most of a prompt is usually cached, so the expected service of
	// calls in flight, unadjusted, distorts the plans' shares.
	learn = 0.05
	// risen bounds the calls that become late in one operation. Without the
	// bound, a burst of 140,000 calls would do so within a single Pop.
	risen = 64
)

func init() {
	kernel.Register[zinniapond.Queue]("fair", func(*kernel.Kernel) (zinniapond.Queue, error) {
		return &Queue{}, nil
	})
}

// Queue is a weighted fair queue of one pool. A pool's queue is one shard under
// its own lock, as its order is common to all plans. Its zero value is ready
// for use.
type Queue struct {
	mu       sync.Mutex
	ready    bool
	numbers  uint64
	calls    map[zinniapond.CallID]*call
	programs map[zinniapond.ProgramID]*program
	tiers    map[zinniapond.PlanName]*[levels]*tier
	levels   [levels]level
	turns    int // calls given out since the last turn of late calls
	due      heap[*call]
	until    heap[*call]
}

var _ zinniapond.Queue = (*Queue)(nil)

func (q *Queue) prepare() {
	if q.ready {
		return
	}
	q.ready = true
	q.calls = make(map[zinniapond.CallID]*call)
	q.programs = make(map[zinniapond.ProgramID]*program)
	q.tiers = make(map[zinniapond.PlanName]*[levels]*tier)
	for i := range q.levels {
		q.levels[i] = newLevel()
	}
	q.due = heap[*call]{
		less: func(a, b *call) bool {
			if !a.due.Equal(b.due) {
				return a.due.Before(b.due)
			}
			return a.number < b.number
		},
		place: func(c *call, at int) { c.inDue = at },
	}
	q.until = heap[*call]{
		less: func(a, b *call) bool {
			if !a.waiting.Until.Equal(b.waiting.Until) {
				return a.waiting.Until.Before(b.waiting.Until)
			}
			return a.number < b.number
		},
		place: func(c *call, at int) { c.inUntil = at },
	}
}

// Push adds a call. A call that already waits is not added again.
func (q *Queue) Push(now time.Time, waiting zinniapond.Waiting) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prepare()
	if _, ok := q.calls[waiting.Call]; ok {
		return
	}
	if waiting.Arrived.IsZero() {
		waiting.Arrived = now
	}
	q.numbers++
	c := &call{
		waiting: waiting, number: q.numbers,
		level:  min(int(waiting.Class), levels-1),
		due:    waiting.Arrived.Add(ageing),
		inLane: -1, inLate: -1, inLevel: -1, inDue: -1, inUntil: -1,
	}
	q.calls[waiting.Call] = c
	q.program(waiting.Program).waits++
	if !waiting.Until.IsZero() {
		q.until.push(c)
	}
	q.due.push(c)
	q.insert(c, true)
}

// Pop removes the first call in order that admit takes.
func (q *Queue) Pop(now time.Time, admit func(zinniapond.Waiting) bool) (zinniapond.Waiting, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prepare()
	q.age(now)
	var refused [asked]*call
	count := 0
	defer func() {
		for _, c := range refused[:count] {
			q.insert(c, false)
		}
	}()
	for count < asked {
		t := q.first()
		if t == nil {
			break
		}
		c := t.first()
		begin := t.virtual
		q.extract(c)
		if !admit(c.waiting) {
			refused[count] = c
			count++
			continue
		}
		q.levels[t.level].virtual = max(q.levels[t.level].virtual, begin)
		if q.turns++; q.turns >= lateTurn {
			q.turns = 0
		}
		q.owe(t, c)
		q.drop(c)
		return c.waiting, true
	}
	return zinniapond.Waiting{}, false
}

// Remove takes a call out.
func (q *Queue) Remove(id zinniapond.CallID) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	c, ok := q.calls[id]
	if !ok {
		return false
	}
	q.extract(c)
	q.drop(c)
	return true
}

// Expire removes the calls whose Until has passed.
func (q *Queue) Expire(now time.Time) []zinniapond.Waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	var over []zinniapond.Waiting
	for q.until.size() > 0 && !q.until.top().waiting.Until.After(now) {
		c := q.until.top()
		q.extract(c)
		q.drop(c)
		over = append(over, c.waiting)
	}
	return over
}

// Charge adds received service. Pop has charged the call's expected cost; the
// first Charge of the program after it replaces this cost by the real one. A
// popped call that is never charged counts with its expected cost.
func (q *Queue) Charge(_ time.Time, plan zinniapond.PlanName, id zinniapond.ProgramID, weight int, served zinniapond.Tokens) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.prepare()
	// A program that is already forgotten is charged to its plan alone.
	p := q.programs[id]
	change := debt{cost: float64(served)}
	if p != nil && p.owed.tier != nil {
		change.tier = p.owed.tier
		change.tier.ratio += learn * (float64(served)/p.owed.asked - change.tier.ratio)
		change.cost -= p.owed.cost
		p.owed = debt{}
	} else {
		change.tier = q.tier(plan, int(zinniapond.ClassStandard))
		change.tier.weight = float64(max(weight, 1))
	}
	q.apply(p, change)
}

// Forget drops what is kept for an ended program. Its unsettled cost is given
// back to the plan.
func (q *Queue) Forget(id zinniapond.ProgramID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.programs[id]
	if !ok {
		return
	}
	if p.owed.tier != nil {
		q.apply(p, debt{tier: p.owed.tier, cost: -p.owed.cost})
		p.owed = debt{}
	}
	p.ended = true
	if p.waits == 0 {
		delete(q.programs, id)
	}
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.calls)
}

func (q *Queue) program(id zinniapond.ProgramID) *program {
	p, ok := q.programs[id]
	if !ok {
		p = &program{}
		q.programs[id] = p
	}
	return p
}

func (q *Queue) tier(plan zinniapond.PlanName, at int) *tier {
	ts, ok := q.tiers[plan]
	if !ok {
		ts = &[levels]*tier{}
		q.tiers[plan] = ts
	}
	if ts[at] == nil {
		ts[at] = newTier(plan, at)
	}
	return ts[at]
}

// first returns the tier that is served next, or nil.
func (q *Queue) first() *tier {
	if q.turns >= lateTurn-1 {
		if l := q.late(); l > 0 {
			return q.levels[l].tiers.top()
		}
	}
	for i := range q.levels {
		if q.levels[i].tiers.size() > 0 {
			return q.levels[i].tiers.top()
		}
	}
	return nil
}

// late returns the level with the call that has been late for longest.
func (q *Queue) late() int {
	at := 0
	for i := range q.levels {
		l := q.levels[i].late
		if l.size() > 0 && (q.levels[at].late.size() == 0 || earlier(l.top(), q.levels[at].late.top())) {
			at = i
		}
	}
	return at
}

// insert puts a call into the tier of its plan and level. A tier that begins to
// wait loses the credit of its idle time, but a call that is put back after a
// refusal must not cost its plan anything.
func (q *Queue) insert(c *call, begins bool) {
	p := q.program(c.waiting.Program)
	t := q.tier(c.waiting.Plan, c.level)
	t.weight = float64(max(c.waiting.Weight, 1))
	if c.late {
		t.late.push(c)
		q.levels[c.level].late.push(c)
	} else {
		l := p.lanes[c.level]
		if l == nil {
			l = newLane(p)
			p.lanes[c.level] = l
		}
		c.lane = l
		l.calls.push(c)
		if l.at < 0 {
			t.lanes.push(l)
		} else {
			t.lanes.fix(l.at)
		}
	}
	if t.at < 0 {
		v := &q.levels[c.level]
		from := v.virtual
		if v.tiers.size() > 0 {
			from = v.tiers.top().virtual
		}
		if begins {
			t.virtual = max(t.virtual, from)
		}
		v.tiers.push(t)
	}
}

// extract takes a call out of its tier; it stays known to the queue.
func (q *Queue) extract(c *call) {
	t := q.tier(c.waiting.Plan, c.level)
	if c.inLate >= 0 {
		t.late.remove(c.inLate)
		q.levels[c.level].late.remove(c.inLevel)
	} else {
		l := c.lane
		l.calls.remove(c.inLane)
		c.lane = nil
		if l.calls.size() == 0 {
			t.lanes.remove(l.at)
		} else {
			t.lanes.fix(l.at)
		}
	}
	if t.empty() && t.at >= 0 {
		q.levels[t.level].tiers.remove(t.at)
	}
}

// drop forgets an extracted call.
func (q *Queue) drop(c *call) {
	delete(q.calls, c.waiting.Call)
	if c.inDue >= 0 {
		q.due.remove(c.inDue)
	}
	if c.inUntil >= 0 {
		q.until.remove(c.inUntil)
	}
	p := q.program(c.waiting.Program)
	p.waits--
	if p.waits == 0 && p.ended {
		delete(q.programs, c.waiting.Program)
	}
}

// age makes calls late that have waited long, a bounded number at once.
func (q *Queue) age(now time.Time) {
	for i := 0; i < risen && q.due.size() > 0 && !q.due.top().due.After(now); i++ {
		c := q.due.top()
		q.extract(c)
		c.late = true
		q.due.remove(c.inDue)
		q.insert(c, false)
	}
}

// owe charges the expected cost of a dispatched call.
func (q *Queue) owe(t *tier, c *call) {
	p := q.program(c.waiting.Program)
	asked := float64(max(c.waiting.Cost, 1))
	d := debt{tier: t, cost: asked * t.ratio, asked: asked}
	p.owed = d
	q.apply(p, d)
}

func (q *Queue) apply(p *program, d debt) {
	d.tier.virtual += d.cost / max(d.tier.weight, 1)
	if d.tier.at >= 0 {
		q.levels[d.tier.level].tiers.fix(d.tier.at)
	}
	if p == nil {
		return
	}
	p.served += d.cost
	for i, l := range p.lanes {
		if l != nil && l.at >= 0 {
			// A program's calls are all of one plan, so the tier is that of
			// the first waiting call.
			q.tiers[l.calls.top().waiting.Plan][i].lanes.fix(l.at)
		}
	}
}
