package runner

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

const (
	// block is the size of the blocks into which a prompt is divided to find
	// replicas that have its beginning.
	block = 1024
	// bufferMost is the size up to which an answer is read whole before its head
	// is passed on: one that breaks off can then still be answered or repeated.
	bufferMost = 1 << 20
	// urgent is the urgency at the engines of the most urgent routes; each step
	// of a route's priority is one less urgent.
	urgent = 3
	// leastUrgent is the engines' least urgency.
	leastUrgent = 9
)

// verdict says how to go on after an attempt.
type verdict uint8

const (
	done   verdict = iota
	again          // the replica did not run the request
	repeat         // the attempt may have run; only repeatable requests go on
	end
)

// attempts tries replicas until one answers.
func (u *run) attempts(ctx context.Context) error {
	p, err := u.pool(u.name)
	if err != nil {
		return err
	}
	start := u.Clock()
	patience := start.Add(time.Duration(float64(u.until.Sub(start)) * giveUp))
	need := u.need()
	var last error
	for {
		now := u.Clock()
		if ctx.Err() != nil || u.until.Sub(now) < margin {
			return u.late(last)
		}
		replica, cached, ok := p.pick(now, need)
		if !ok {
			// All were tried: those that were full may be free by now.
			need.Exclude = nil
			if now.After(patience) || !u.repeatable() && u.ran > 0 {
				return u.exhausted(last)
			}
			select {
			case <-ctx.Done():
			case <-time.After(fullPause):
			}
			continue
		}
		var v verdict
		v, last = u.attempt(ctx, p, replica, cached, need)
		switch v {
		case done:
			return nil
		case again:
			need.Exclude = append(need.Exclude, replica.Address)
			u.Stats.Add("front.again", 1)
		case repeat:
			need.Exclude = append(need.Exclude, replica.Address)
			if !u.repeatable() || u.ran >= max(u.route.Attempts, 1) {
				return u.failed(last)
			}
			u.Stats.Add("front.repeated", 1)
		case end:
			return last
		}
	}
}

// repeatable tells whether the request may be sent again after an attempt that
// may have run.
func (u *run) repeatable() bool {
	if u.route.Repeatable() {
		return true
	}
	return u.route.Stream() && u.route.Resumable
}

// late is the end of a request whose time is over.
func (u *run) late(last error) error {
	if u.ran == 0 {
		return refuse("wait for a replica", 0, zinniapond.Join(zinniapond.ErrOverload, last))
	}
	return zinniapond.Join(zinniapond.ErrUnknown, context.DeadlineExceeded, last)
}

// exhausted is the end of a request that no replica has taken.
func (u *run) exhausted(last error) error {
	if u.ran > 0 {
		return u.failed(last)
	}
	return refuse("choose replica", soon, zinniapond.Join(zinniapond.ErrOverload, last))
}

// failed is the end of a request that may have run.
func (u *run) failed(last error) error { return zinniapond.Join(zinniapond.ErrUnknown, last) }

// need describes the request to the router.
func (u *run) need() zinniapond.Need {
	n := zinniapond.Need{
		Call: zinniapond.CallID(u.request.ID), Program: u.request.Program, DataCentre: u.DataCentre,
		Prompt: u.request.Prompt, Most: u.request.Most, Home: u.home.Replica, Held: min(u.home.Tokens, u.request.Prompt),
		Warm: func(a netip.AddrPort) bool { return u.Client.Idle(u.Clock(), a, u.once()) },
	}
	hash := xxhash.New()
	add := func(name string, tokens zinniapond.Tokens) {
		_, _ = hash.WriteString(name) // never fails
		for at := zinniapond.Tokens(0); at < tokens; at += block {
			_, _ = hash.WriteString(strconv.Itoa(int(at)) + "/")
			n.Prefix = append(n.Prefix, hash.Sum64())
		}
	}
	for _, part := range u.request.Parts {
		add(part.ID, part.Tokens)
	}
	if len(u.request.Parts) == 0 && u.request.Session != "" && u.route.Stream() {
		add(string(u.request.Program), block)
		add(u.request.Session, block)
	}
	if len(u.request.Parts) == 0 && u.request.Affinity != "" {
		add(u.request.Affinity, block)
	}
	return n
}

// pick chooses a live replica, and tells how much of the prompt it has.
func (p *pool) pick(now time.Time, need zinniapond.Need) (zinniapond.Backend, zinniapond.Tokens, bool) {
	replicas := *p.replicas.Load()
	choice, ok := p.router.Pick(now, need, func(a netip.AddrPort) bool {
		_, live := replicas[a]
		return live
	})
	if !ok {
		return zinniapond.Backend{}, 0, false
	}
	b, ok := replicas[choice.Backend]
	return b, choice.Cached, ok
}

// attempt sends the request to one replica and passes its answer on.
func (u *run) attempt(ctx context.Context, p *pool, replica zinniapond.Backend, cached zinniapond.Tokens, need zinniapond.Need) (v verdict, err error) {
	start := u.Clock()
	u.replica = replica.Address
	p.started(start, replica.Address, need)
	seen := zinniapond.Observation{Cancelled: true}
	defer func() {
		now := u.Clock()
		seen.Total = now.Sub(start)
		p.finished(now, replica.Address, need, seen)
		u.note(replica, v, err)
	}()
	answer, err := u.Client.Send(ctx, start, zinniapond.Sending{
		Request: u.request, Replica: replica, Body: u.body, Until: u.until,
		Once:     u.once(),
		Priority: u.urgency(), LastEvent: u.resume(),
	})
	switch {
	case errors.Is(err, zinniapond.ErrNotSent):
		seen = zinniapond.Observation{Failed: true}
		return again, err
	case err != nil:
		u.ran++
		seen = zinniapond.Observation{Failed: ctx.Err() == nil, Cancelled: ctx.Err() != nil}
		return repeat, err
	}
	defer func() { _ = answer.Body.Close() }() // a broken connection is dropped either way
	if answer.NotRun {
		if answer.Leaving {
			u.Roster.Mark(start, replica.Address, zinniapond.BackendLeaving)
		}
		return again, fmt.Errorf("replica %s refused with status %d: %w", replica.ID, answer.Status, zinniapond.ErrUnavailable)
	}
	u.ran++
	if !answer.Genuine {
		seen = zinniapond.Observation{Failed: true}
		return repeat, fmt.Errorf("replica %s: answer with status %d is not its own: %w", replica.ID, answer.Status, zinniapond.ErrBackend)
	}
	seen.First = u.Clock().Sub(start)
	if answer.Stream {
		v, err = u.relay(ctx, answer, &seen, start)
	} else {
		v, err = u.pass(ctx, answer)
	}
	if v == done {
		seen.Cancelled = false
		seen.Usage = zinniapond.Usage{Prompt: u.request.Prompt, Cached: cached, Generated: u.stream.tokens}
	} else {
		seen.Failed, seen.Cancelled = ctx.Err() == nil, ctx.Err() != nil
	}
	return v, err
}

func (u *run) note(replica zinniapond.Backend, v verdict, err error) {
	outcome := "done"
	if err != nil {
		outcome = err.Error()
	} else if v != done {
		outcome = "failed"
	}
	u.tried = append(u.tried, tried{replica, outcome})
}

// once tells whether nobody repeats the request, so that it must not meet a
// connection that the replica has dropped.
func (u *run) once() bool { return u.route.Kind == zinniapond.RequestUnsafe }

func (u *run) urgency() int {
	if !u.route.Stream() {
		return -1
	}
	return min(urgent+u.route.Priority, leastUrgent)
}

// pass passes on an answer that is not a stream.
func (u *run) pass(ctx context.Context, answer *zinniapond.Received) (verdict, error) {
	head, err := io.ReadAll(io.LimitReader(answer.Body, bufferMost))
	if err != nil {
		return repeat, fmt.Errorf("read answer: %w", err)
	}
	if answer.Length > int64(len(head)) || answer.Length < 0 && len(head) == bufferMost {
		return u.long(answer, head)
	}
	if ctx.Err() != nil {
		return repeat, ctx.Err()
	}
	u.begun = true
	if err := u.to.Begin(answer.Status, answer.Fields, int64(len(head))); err != nil {
		return end, err
	}
	if err := u.to.Write(head); err != nil {
		return end, err
	}
	if err := u.to.End(); err != nil {
		return end, err
	}
	return done, nil
}

// long passes on an answer that is too large to be read first.
func (u *run) long(answer *zinniapond.Received, head []byte) (verdict, error) {
	u.begun = true
	if err := u.to.Begin(answer.Status, answer.Fields, answer.Length); err != nil {
		return end, err
	}
	part := make([]byte, 32<<10)
	for {
		if err := u.to.Write(head); err != nil {
			return end, err
		}
		n, err := answer.Body.Read(part)
		head = part[:n]
		if errors.Is(err, io.EOF) {
			if err := u.to.Write(head); err != nil {
				return end, err
			}
			if err := u.to.End(); err != nil {
				return end, err
			}
			return done, nil
		}
		if err != nil {
			return end, fmt.Errorf("read answer: %w", err)
		}
	}
}
