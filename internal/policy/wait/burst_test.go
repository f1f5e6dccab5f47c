package wait

import (
	"math/rand/v2"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	slots      = 10                     // requests that the replicas run at once
	turnTime   = 200 * time.Millisecond // of a turn at a replica
	toolTime   = 20 * time.Millisecond
	pause      = 50 * time.Millisecond // of a client between two requests
	turnCount  = 3                     // turns of a program, each followed by a call of a tool
	aim        = 2 * time.Second       // for the time of a program
	maxWait    = 1500 * time.Millisecond
	maxTries   = 3
	burstEnd   = 5 * time.Second
	replayTime = 20 * time.Second
	step       = time.Millisecond
)

// programState is a program of the replayed load.
type programState struct {
	startedAt, readyAt time.Duration
	steps, tries       int
	isWaiting, isOver  bool
}

// replay is a load on a front: programs of alternating turns and tool calls start at 85%
// of the capacity, and at twice the capacity in the first 5 s.
type replay struct {
	programs  []*programState
	ends      []time.Duration // of the running requests
	toolWait  time.Duration   // of all tool calls of programs in time
	tools     int
	inTime    int
	inTwice   int
	abandoned int
}

// run replays the load on a queue. If it is nil, a random waiting request gets each place.
func (r *replay) run(q zinniapond.WaitQueue) {
	random := rand.New(rand.NewPCG(1, 2))
	perProgram := float64(turnCount*(turnTime+toolTime)) / float64(step)
	owners := make(map[uint64]*programState)
	entered := make(map[uint64]time.Duration)
	var unordered []zinniapond.WaitingRequest
	ticket, credit := uint64(0), 0.0
	for now := time.Duration(0); now < replayTime; now += step {
		load := 0.85
		if now < burstEnd {
			load = 2
		}
		for credit += load * slots / perProgram; credit >= 1; credit-- {
			r.programs = append(r.programs, &programState{startedAt: now, readyAt: now})
		}
		at := start.Add(now)
		for _, p := range r.programs {
			if p.isOver || p.isWaiting || p.readyAt > now {
				continue
			}
			if p.steps == 2*turnCount {
				r.finish(p, now)
				continue
			}
			ticket++
			w := zinniapond.WaitingRequest{
				Ticket: ticket, IsTurn: p.steps%2 == 0, Begins: p.steps == 0, FinishBy: start.Add(p.startedAt + aim),
				EnteredAt: at, LeaveAt: at.Add(maxWait), Deadline: at.Add(2 * maxWait),
			}
			p.isWaiting, owners[ticket], entered[ticket] = true, p, now
			if q == nil {
				unordered = append(unordered, w)
			} else if removed, isFull := q.Push(at, w); isFull {
				r.refuse(owners[removed.Ticket], now)
				delete(owners, removed.Ticket)
			}
		}
		for t, p := range owners {
			if now-entered[t] >= maxWait && (q == nil || q.Remove(t)) {
				delete(owners, t)
				r.refuse(p, now)
			}
		}
		running := r.ends[:0]
		for _, end := range r.ends {
			if end > now {
				running = append(running, end)
			}
		}
		r.ends = running
		for len(r.ends) < slots && len(owners) > 0 {
			var w zinniapond.WaitingRequest
			if q != nil {
				w, _ = q.Pop(at)
			} else {
				i := random.IntN(len(unordered))
				w = unordered[i]
				unordered = append(unordered[:i], unordered[i+1:]...)
				if owners[w.Ticket] == nil {
					continue
				}
			}
			p := owners[w.Ticket]
			delete(owners, w.Ticket)
			took := turnTime
			if !w.IsTurn {
				took = toolTime
			}
			if !w.IsTurn && at.Before(w.FinishBy) {
				r.toolWait += now - entered[w.Ticket]
				r.tools++
			}
			r.ends = append(r.ends, now+took)
			p.isWaiting, p.readyAt, p.tries = false, now+took+pause, 0
			p.steps++
		}
	}
}

// refuse lets a program try again later, or give up.
func (r *replay) refuse(p *programState, now time.Duration) {
	p.isWaiting, p.readyAt = false, now+100*time.Millisecond
	if p.tries++; p.tries == maxTries {
		p.isOver = true
		r.abandoned++
	}
}

func (r *replay) finish(p *programState, now time.Duration) {
	p.isOver = true
	switch took := now - p.startedAt; {
	case took <= aim:
		r.inTime++
	case took <= 2*aim:
		r.inTwice++
	}
}

func TestBurst(t *testing.T) {
	ordered, unordered := new(replay), new(replay)
	ordered.run(new(Queue))
	unordered.run(nil)
	for name, r := range map[string]*replay{"ordered": ordered, "random": unordered} {
		t.Logf("%s: of %d programs %d in time, %d within twice the time, %d abandoned; tool calls wait %s", name, len(r.programs), r.inTime, r.inTwice, r.abandoned, r.toolWait/time.Duration(r.tools))
	}
	t.Run("guards against programs that are begun and not finished in a burst of twice the capacity", func(t *testing.T) {
		assert.True(t, 2*ordered.inTime > 3*unordered.inTime, "%d programs in time, %d in random order", ordered.inTime, unordered.inTime)
	})
	t.Run("guards against short tool calls that wait behind long turns", func(t *testing.T) {
		// Turns that begin together end together, half a turn away on average.
		mean := ordered.toolWait / time.Duration(ordered.tools)
		assert.True(t, mean < turnTime/2, "tool calls wait for %s", mean)
	})
}
