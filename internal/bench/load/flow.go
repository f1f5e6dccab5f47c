package load

import (
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// oneWayDelay is the network delay between a host and a server in each
	// direction.
	oneWayDelay = time.Millisecond
	// firstTokenTimeout is the longest time that a server may take until its
	// first token.
	firstTokenTimeout = 10 * time.Second
	// firstTokenTarget and tokenIntervalTarget are the targets of the design
	// for the time to the first token and for the time from token to token.
	firstTokenTarget    = 810 * time.Millisecond
	tokenIntervalTarget = 48 * time.Millisecond
)

// execution is the state of one program in a run.
type execution struct {
	run            *run
	host           *host
	script         *script
	parent         *execution
	startedAt      time.Time
	nextTurn       int
	activeChildren int
	paused         bool // the pause after the last call is not over
	callRunning    bool // a call has been submitted and has not ended
	ended          bool
}

// call is one call of a program.
type call struct {
	execution  *execution
	pool       *pool
	turn       *turn
	turnIndex  int
	need       zinniapond.PickInfo
	submitted  time.Time
	deadline   time.Time
	attempts   []*attempt
	winner     *attempt
	dispatches int
	ended      bool
}

// attempt is one attempt to run a call.
type attempt struct {
	call         *call
	node         *node
	id           zinniapond.AttemptID
	need         zinniapond.PickInfo
	startedAt    time.Time
	firstTokenAt time.Time
	ended        bool
}

// startProgram begins a program; parent is nil unless it is a sub-agent.
func (r *run) startProgram(now time.Time, s *script, parent *execution) {
	e := &execution{run: r, host: r.hostOf(s.id), script: s, parent: parent, startedAt: now}
	r.executions[s.id] = e
	r.counts.programs++
	e.submitNextCall(now)
}

// submitNextCall submits the next call, once the pause is over and the
// sub-agents have ended. After the last call it ends the program.
func (e *execution) submitNextCall(now time.Time) {
	if e.ended || e.callRunning || e.paused || e.activeChildren > 0 {
		return
	}
	if e.nextTurn == len(e.script.turns) {
		e.end(now, true)
		return
	}
	t := &e.script.turns[e.nextTurn]
	e.callRunning = true
	e.host.leases.PauseEnded(now, e.script.id)
	c := &call{execution: e, turn: t, turnIndex: e.nextTurn, submitted: now, deadline: now.Add(e.script.kind.maxWait), pool: e.host.enginePool}
	if t.isService {
		c.pool = e.host.servicePool
	}
	e.nextTurn++
	c.need = zinniapond.PickInfo{
		Call:    zinniapond.CallID(fmt.Sprintf("%s#%d", e.script.id, c.turnIndex)),
		Program: e.script.id, Class: e.script.kind.class, DataCentre: e.host.dataCentre,
		PromptTokens: t.promptTokens, MaxGenerated: t.answerTokens, PrefixHashes: e.script.prefix(t.promptTokens),
	}
	e.run.counts.calls++
	c.pool.enqueue(now, c)
}

func (e *execution) end(now time.Time, completed bool) {
	r := e.run
	e.ended, e.callRunning = true, false
	if !r.NoLeases {
		for _, p := range e.host.leases.RemoveProgram(e.script.id) {
			r.releaseCache(now, p.Backend, p.Program)
		}
	}
	e.host.enginePool.queue.Forget(e.script.id)
	e.host.servicePool.queue.Forget(e.script.id)
	r.endedAt[e.script.id] = now
	if !completed {
		r.counts.broken++
	}
	r.recordProgram(now, e, completed)
	if e.parent != nil {
		e.parent.activeChildren--
		e.parent.submitNextCall(now)
	}
}

// startAttempt starts the first attempt, or one after a failed attempt, and
// schedules its hedge.
func (c *call) startAttempt(now time.Time, choice zinniapond.Choice) {
	r := c.execution.run
	if c.dispatches == 0 {
		c.execution.host.retrier.CountRequest(now)
		r.extra.addRequest(now)
	}
	c.dispatches++
	a := c.sendAttempt(now, choice, c.need)
	if a == nil || c.turn.nonIdempotent || r.NoHedge {
		return
	}
	if after, ok := c.execution.host.retrier.HedgeDelay(now, c.pool.name); ok {
		r.schedule(now.Add(after), func(now time.Time) { c.hedge(now, a) })
	}
}

// hedge sends a second attempt to another server if the first has not begun to
// answer.
func (c *call) hedge(now time.Time, first *attempt) {
	if c.ended || c.winner != nil || first.ended {
		return
	}
	need := c.need
	need.Exclude = append(need.Exclude[:0:0], need.Exclude...)
	need.Exclude = append(need.Exclude, first.node.Address)
	choice, ok := c.pool.acquire(now, need)
	if !ok {
		return
	}
	if !c.execution.host.retrier.AllowHedge(now) {
		c.pool.release(now, choice.Backend, need, zinniapond.Observation{Cancelled: true})
		return
	}
	c.execution.run.extra.addExtra(now)
	c.execution.run.counts.hedges++
	c.sendAttempt(now, choice, need)
}

// sendAttempt sends the call to the chosen server. It returns nil if the server
// refuses it because it is leaving.
func (c *call) sendAttempt(now time.Time, choice zinniapond.Choice, need zinniapond.PickInfo) *attempt {
	r := c.execution.run
	n := r.nodes[choice.Backend]
	a := &attempt{call: c, node: n, need: need, startedAt: now, id: zinniapond.AttemptID(fmt.Sprintf("%s@%d", need.Call, len(c.attempts)))}
	if c.turn.nonIdempotent && len(c.attempts) > 0 {
		r.counts.doubled++ // a non-idempotent call must not be sent twice
	}
	n.advanceTo(now)
	if !n.Submit(now, a.id, need) {
		c.pool.release(now, choice.Backend, need, zinniapond.Observation{Cancelled: true})
		c.pool.removeServer(now, choice.Backend)
		for _, o := range c.attempts {
			if !o.ended {
				return nil // a refused hedge has no effect on the first attempt
			}
		}
		c.need.Exclude = append(c.need.Exclude, choice.Backend)
		r.schedule(now.Add(2*oneWayDelay), func(now time.Time) { c.requeue(now) })
		return nil
	}
	c.attempts = append(c.attempts, a)
	r.attempts[a.id] = a
	n.scheduleAdvance()
	r.schedule(now.Add(firstTokenTimeout), func(now time.Time) {
		if !a.ended && a.firstTokenAt.IsZero() {
			a.fail(now)
		}
	})
	return a
}

func (c *call) requeue(now time.Time) {
	if !c.ended {
		c.pool.enqueue(now, c)
	}
}

// fail ends an attempt without an answer. Unless another attempt still runs, it
// retries the call or ends the program.
func (a *attempt) fail(now time.Time) {
	c := a.call
	a.stop(now, zinniapond.Observation{Failed: true, TimeToFirstByte: now.Sub(a.startedAt), Duration: now.Sub(a.startedAt)})
	for _, o := range c.attempts {
		if !o.ended {
			return // the other attempt still runs
		}
	}
	if c.turn.nonIdempotent {
		c.ended = true
		c.execution.run.counts.unknown++
		c.execution.end(now, false)
		return
	}
	delay, ok := c.execution.host.retrier.AllowRetry(now, c.dispatches)
	if !ok {
		c.ended = true
		c.execution.run.counts.failed++
		c.execution.end(now, false)
		return
	}
	c.execution.run.extra.addExtra(now)
	c.execution.run.counts.retries++
	c.need.Exclude = append(c.need.Exclude, a.node.Address)
	c.execution.run.schedule(now.Add(delay), func(now time.Time) { c.requeue(now) })
}

// stop ends an attempt at the server and releases its slot.
func (a *attempt) stop(now time.Time, observation zinniapond.Observation) {
	a.ended = true
	delete(a.call.execution.run.attempts, a.id)
	a.node.advanceTo(now)
	a.node.Cancel(now, a.id)
	a.node.scheduleAdvance()
	a.call.pool.release(now, a.node.Address, a.need, observation)
}

// handleAnswer handles the first token of an attempt, when the answer is empty,
// and its end. The first attempt with a token wins; the others are cancelled.
func (a *attempt) handleAnswer(now time.Time, usage zinniapond.Usage, answer string) {
	c := a.call
	if answer == "" {
		a.firstTokenAt = now
		if c.winner == nil {
			c.winner = a
			for _, o := range c.attempts {
				if o != a && !o.ended {
					o.stop(now, zinniapond.Observation{Cancelled: true})
				}
			}
		}
		return
	}
	a.ended = true
	r := c.execution.run
	delete(r.attempts, a.id)
	observation := zinniapond.Observation{TimeToFirstByte: a.firstTokenAt.Sub(a.startedAt) + 2*oneWayDelay, Duration: now.Sub(a.startedAt) + 2*oneWayDelay, Usage: usage}
	c.pool.release(now, a.node.Address, a.need, observation)
	if c.ended {
		r.counts.doubled++
		return
	}
	c.ended = true
	if answer != a.node.Answer(c.need) {
		r.counts.mixed++
	}
	if c.turnIndex != c.execution.nextTurn-1 {
		r.counts.reordered++
	}
	r.recordAnswer(now, c, a, observation)
	c.complete(now, a, observation)
	c.pool.dispatch(now)
}

// complete updates the policies after an answer as the owner role does, starts
// the sub-agents of the turn and schedules the next call.
func (c *call) complete(now time.Time, a *attempt, observation zinniapond.Observation) {
	e := c.execution
	h, k := e.host, e.script.kind
	tokens := max(observation.Usage.Prompt-observation.Usage.Cached+observation.Usage.Generated, 1)
	c.pool.queue.Charge(now, k.plan, e.script.id, k.weight, tokens)
	h.retrier.ObserveLatency(now, c.pool.name, observation.TimeToFirstByte)
	if !c.turn.isService && !e.run.NoLeases {
		if _, keep := h.leases.Retain(now, e.script.id, a.node.Address, observation.Usage.Total()); !keep {
			e.run.releaseCache(now, a.node.Address, e.script.id)
		}
	}
	e.callRunning = false
	e.paused = true
	for _, s := range c.turn.subAgents {
		e.activeChildren++
		e.run.startProgram(now, s, e)
	}
	e.run.schedule(now.Add(c.turn.pause), func(now time.Time) {
		e.paused = false
		e.submitNextCall(now)
	})
}

// refuse ends a call that has waited in the queue for too long.
func (c *call) refuse(now time.Time) {
	c.ended = true
	r := c.execution.run
	r.counts.refused++
	if now.Sub(c.submitted) > c.execution.script.kind.maxWait+2*dispatchInterval && len(c.attempts) == 0 {
		r.counts.late++
	}
	r.recordRefusal(c)
	c.execution.end(now, false)
}
