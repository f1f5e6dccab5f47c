package load

import (
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// network is the time of one way between a host and a server.
	network = time.Millisecond
	// progress is the longest silence of a server before its first token.
	progress = 10 * time.Second
	// firstTarget and betweenTarget are those of the design scale.
	firstTarget   = 810 * time.Millisecond
	betweenTarget = 48 * time.Millisecond
)

// flow is one program at work.
type flow struct {
	run      *run
	host     *host
	script   *script
	parent   *flow
	began    time.Time
	next     int
	children int
	paused   bool // the pause after the last call is not over
	running  bool // a call is under way
	ended    bool
}

// call is one call of a program.
type call struct {
	flow      *flow
	pool      *pool
	turn      *turn
	at        int
	need      zinniapond.Need
	submitted time.Time
	until     time.Time
	attempts  []*attempt
	winner    *attempt
	tries     int
	over      bool
}

// attempt is one attempt to run a call.
type attempt struct {
	call    *call
	node    *node
	id      zinniapond.AttemptID
	need    zinniapond.Need
	started time.Time
	first   time.Time
	over    bool
}

func (r *run) start(now time.Time, s *script, parent *flow) {
	f := &flow{run: r, host: r.hostOf(s.id), script: s, parent: parent, began: now}
	r.flows[s.id] = f
	r.count.programs++
	f.step(now)
}

// step submits the next call, once the pause is over and sub-agents are done.
func (f *flow) step(now time.Time) {
	if f.ended || f.running || f.paused || f.children > 0 {
		return
	}
	if f.next == len(f.script.turns) {
		f.end(now, true)
		return
	}
	t := &f.script.turns[f.next]
	f.running = true
	f.host.leases.Returned(now, f.script.id)
	c := &call{flow: f, turn: t, at: f.next, submitted: now, until: now.Add(f.script.kind.wait), pool: f.host.engines}
	if t.service {
		c.pool = f.host.service
	}
	f.next++
	c.need = zinniapond.Need{
		Call:    zinniapond.CallID(fmt.Sprintf("%s#%d", f.script.id, c.at)),
		Program: f.script.id, Class: f.script.kind.class, DataCentre: f.host.centre,
		Prompt: t.prompt, Most: t.generate, Prefix: f.script.prefix(t.prompt),
	}
	f.run.count.calls++
	c.pool.push(now, c)
}

func (f *flow) end(now time.Time, whole bool) {
	r := f.run
	f.ended, f.running = true, false
	if !r.NoLeases {
		for _, p := range f.host.leases.End(f.script.id) {
			r.drop(now, p.Backend, p.Program)
		}
	}
	f.host.engines.queue.Forget(f.script.id)
	f.host.service.queue.Forget(f.script.id)
	r.endedAt[f.script.id] = now
	if !whole {
		r.count.broken++
	}
	r.ended(now, f, whole)
	if f.parent != nil {
		f.parent.children--
		f.parent.step(now)
	}
}

// dispatched begins the first attempt, or one after a failed attempt.
func (c *call) dispatched(now time.Time, choice zinniapond.Choice) {
	r := c.flow.run
	if c.tries == 0 {
		c.flow.host.retrier.Request(now)
		r.extra.request(now)
	}
	c.tries++
	a := c.launch(now, choice, c.need)
	if a == nil || c.turn.once || r.NoHedge {
		return
	}
	if after, ok := c.flow.host.retrier.HedgeAfter(now, c.pool.name); ok {
		r.at(now.Add(after), func(now time.Time) { c.hedge(now, a) })
	}
}

// hedge sends a second attempt if the first has not begun to answer.
func (c *call) hedge(now time.Time, first *attempt) {
	if c.over || c.winner != nil || first.over {
		return
	}
	need := c.need
	need.Exclude = append(need.Exclude[:0:0], need.Exclude...)
	need.Exclude = append(need.Exclude, first.node.Address)
	choice, ok := c.pool.try(now, need)
	if !ok {
		return
	}
	if !c.flow.host.retrier.Hedge(now) {
		c.pool.release(now, choice.Backend, need, zinniapond.Observation{Cancelled: true})
		return
	}
	c.flow.run.extra.more(now)
	c.flow.run.count.hedges++
	c.launch(now, choice, need)
}

func (c *call) launch(now time.Time, choice zinniapond.Choice, need zinniapond.Need) *attempt {
	r := c.flow.run
	n := r.nodes[choice.Backend]
	a := &attempt{call: c, node: n, need: need, started: now, id: zinniapond.AttemptID(fmt.Sprintf("%s@%d", need.Call, len(c.attempts)))}
	if c.turn.once && len(c.attempts) > 0 {
		r.count.doubled++ // a non-idempotent call must not be sent twice
	}
	n.touch(now)
	if !n.Begin(now, a.id, need) {
		c.pool.release(now, choice.Backend, need, zinniapond.Observation{Cancelled: true})
		c.need.Exclude = append(c.need.Exclude, choice.Backend)
		r.at(now.Add(2*network), func(now time.Time) { c.again(now) })
		return nil
	}
	c.attempts = append(c.attempts, a)
	r.attempts[a.id] = a
	n.plan()
	r.at(now.Add(progress), func(now time.Time) {
		if !a.over && a.first.IsZero() {
			a.fail(now)
		}
	})
	return a
}

func (c *call) again(now time.Time) {
	if !c.over {
		c.pool.push(now, c)
	}
}

// fail ends an attempt without an answer.
func (a *attempt) fail(now time.Time) {
	c := a.call
	a.stop(now, zinniapond.Observation{Failed: true, First: now.Sub(a.started), Total: now.Sub(a.started)})
	for _, o := range c.attempts {
		if !o.over {
			return // its rival still runs
		}
	}
	if c.turn.once {
		c.over = true
		c.flow.run.count.unknown++
		c.flow.end(now, false)
		return
	}
	delay, ok := c.flow.host.retrier.Retry(now, c.tries)
	if !ok {
		c.over = true
		c.flow.run.count.failed++
		c.flow.end(now, false)
		return
	}
	c.flow.run.extra.more(now)
	c.flow.run.count.retries++
	c.need.Exclude = append(c.need.Exclude, a.node.Address)
	c.flow.run.at(now.Add(delay), func(now time.Time) { c.again(now) })
}

// stop ends an attempt at the server and gives its place back.
func (a *attempt) stop(now time.Time, seen zinniapond.Observation) {
	a.over = true
	delete(a.call.flow.run.attempts, a.id)
	a.node.touch(now)
	a.node.Cancel(now, a.id)
	a.node.plan()
	a.call.pool.release(now, a.node.Address, a.need, seen)
}

// answered is told of the first token and of the end of an attempt.
func (a *attempt) answered(now time.Time, usage zinniapond.Usage, answer string) {
	c := a.call
	if answer == "" {
		a.first = now
		if c.winner == nil {
			c.winner = a
			for _, o := range c.attempts {
				if o != a && !o.over {
					o.stop(now, zinniapond.Observation{Cancelled: true})
				}
			}
		}
		return
	}
	a.over = true
	r := c.flow.run
	delete(r.attempts, a.id)
	seen := zinniapond.Observation{First: a.first.Sub(a.started) + 2*network, Total: now.Sub(a.started) + 2*network, Usage: usage}
	c.pool.release(now, a.node.Address, a.need, seen)
	if c.over {
		r.count.doubled++
		return
	}
	c.over = true
	if answer != a.node.Answer(c.need) {
		r.count.mixed++
	}
	if c.at != c.flow.next-1 {
		r.count.reordered++
	}
	r.finished(now, c, a, seen)
	c.finish(now, a, seen)
	c.pool.dispatch(now)
}

// finish does what the owner role does after an answer, and moves the program on.
func (c *call) finish(now time.Time, a *attempt, seen zinniapond.Observation) {
	f := c.flow
	h, k := f.host, f.script.kind
	tokens := max(seen.Usage.Prompt-seen.Usage.Cached+seen.Usage.Generated, 1)
	c.pool.queue.Charge(now, k.plan, f.script.id, k.weight, tokens)
	h.retrier.Observe(now, c.pool.name, seen.First)
	if !c.turn.service && !f.run.NoLeases {
		if _, keep := h.leases.Keep(now, f.script.id, a.node.Address, seen.Usage.Total()); !keep {
			f.run.drop(now, a.node.Address, f.script.id)
		}
	}
	f.running = false
	f.paused = true
	for _, s := range c.turn.spawn {
		f.children++
		f.run.start(now, s, f)
	}
	f.run.at(now.Add(c.turn.pause), func(now time.Time) {
		f.paused = false
		f.step(now)
	})
}

// refused ends a call that was not run.
func (c *call) refused(now time.Time) {
	c.over = true
	r := c.flow.run
	r.count.refused++
	if now.Sub(c.submitted) > c.flow.script.kind.wait+2*reconsider && len(c.attempts) == 0 {
		r.count.late++
	}
	r.refused(c)
	c.flow.end(now, false)
}
