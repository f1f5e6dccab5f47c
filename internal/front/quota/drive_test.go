package quota_test

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/allow"
)

// request runs one request of a plan as the runner does, and returns the time to retry if
// it is refused. It fails without a refusal if the process of the front ends. deadline is
// that of the client; zero if it has none.
func (s *site) request(f *front, name zinniapond.PlanName, begins bool, deadline time.Time) (time.Duration, bool) {
	s.pause(&f.frozen)
	client, ctx := s.process(f)
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	start := time.Now()
	s.mu.Lock()
	s.offers[name] = append(s.offers[name], offer{start, begins})
	s.mu.Unlock()
	for {
		plan := s.plan(name)
		permit, err := client.Acquire(ctx, time.Now(), plan, begins)
		s.pause(&f.frozen)
		if now, process := s.process(f); now != client && process.Err() == nil {
			client, ctx = now, process // the client repeats a request that lost its connection
			if !deadline.IsZero() {
				var cancel context.CancelFunc
				ctx, cancel = context.WithDeadline(ctx, deadline)
				defer cancel()
			}
			continue
		}
		if err != nil {
			var e *zinniapond.Error
			wait := 100 * time.Millisecond
			if errorsAs(err, &e) {
				wait = e.RetryAfter
			}
			return wait, false
		}
		if time.Now().Before(permit.ExpiresAt) {
			break
		}
		client.Return(time.Now(), plan, permit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waited += time.Since(start)
	s.longest = max(s.longest, time.Since(start))
	s.runs[name] = append(s.runs[name], time.Now())
	return 0, true
}

// attempts runs a request with two retries. pick chooses the front of each attempt. A
// client with a deadline waits for at most a third of its remaining time between two.
func (s *site) attempts(pick func() *front, l load, begins bool) bool {
	s.mu.Lock()
	s.asked++
	s.mu.Unlock()
	var deadline time.Time
	if l.patience > 0 {
		deadline = time.Now().Add(l.patience)
	}
	for range 3 {
		wait, ok := s.request(pick(), l.plan, begins, deadline)
		if ok {
			return true
		}
		s.mu.Lock()
		s.refused++
		s.mu.Unlock()
		if !deadline.IsZero() {
			wait = min(wait, time.Until(deadline)/3)
		}
		time.Sleep(wait)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost++
	return false
}

// load is the load of one plan.
type load struct {
	plan     zinniapond.PlanName
	programs float64 // programs that begin each second
	turns    int     // requests of a program
	pause    time.Duration
	// skew is the number of fronts that the clients of the plan use; 0 for all.
	skew int
	// span is the time for which programs begin.
	span time.Duration
	// patience is the time for which a client waits for a request with its retries; 0 if
	// it has no deadline.
	patience time.Duration
	// continuing is set if the requests belong to programs that were begun before.
	continuing bool
}

// pick returns the choice of a front for each attempt.
func (s *site) pick(l load) func() *front {
	count := len(s.fronts)
	if l.skew > 0 {
		count = min(l.skew, count)
	}
	return func() *front { return s.fronts[s.intN(count)] }
}

func (s *site) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

func (s *site) exponential(mean time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

// drive begins programs at random times, and returns when all have ended.
func (s *site) drive(loads ...load) {
	var group sync.WaitGroup
	for _, l := range loads {
		group.Go(func() {
			end := time.Now().Add(l.span)
			mean := time.Duration(float64(time.Second) / l.programs)
			for time.Sleep(s.exponential(mean)); time.Now().Before(end); time.Sleep(s.exponential(mean)) {
				group.Go(func() { s.program(l) })
			}
		})
	}
	group.Wait()
}

// program runs the requests of one program.
func (s *site) program(l load) {
	pick := s.pick(l)
	if !s.attempts(pick, l, !l.continuing) {
		return
	}
	s.mu.Lock()
	s.begun++
	s.mu.Unlock()
	for range l.turns - 1 {
		time.Sleep(s.exponential(l.pause))
		if !s.attempts(pick, l, false) {
			return
		}
	}
	s.mu.Lock()
	s.ended++
	s.mu.Unlock()
}

// worst returns the largest number of requests of a plan in a window, and by how much it
// exceeds the bound that is agreed with the users.
func (s *site) worst(plan zinniapond.Plan, from time.Time) (count int, over float64) {
	runs := slices.DeleteFunc(slices.Clone(s.runs[plan.Name]), func(at time.Time) bool { return at.Before(from) })
	slices.SortFunc(runs, time.Time.Compare)
	last := 0
	for first := range runs {
		for last < len(runs) && runs[last].Sub(runs[first]) <= access.QuotaWindow {
			last++
		}
		count = max(count, last-first)
	}
	bound := (float64(plan.RequestRate)*access.QuotaWindow.Seconds()+float64(plan.RequestBurst))*(1+access.QuotaOverage) + float64(access.QuotaSlack)
	return count, max(float64(count)-bound, 0)
}

// least returns the smallest share of the plan's rate that ran in a window between two
// instants, to a tenth of a second.
func (s *site) least(plan zinniapond.Plan, from, to time.Time, window time.Duration) float64 {
	least := math.Inf(1)
	for begin := from; !begin.Add(window).After(to); begin = begin.Add(100 * time.Millisecond) {
		count := 0
		for _, at := range s.runs[plan.Name] {
			if !at.Before(begin) && at.Before(begin.Add(window)) {
				count++
			}
		}
		least = min(least, float64(count)/(float64(plan.RequestRate)*window.Seconds()))
	}
	return least
}

// needless returns the number of refusals beyond those of one bucket that sees the attempts
// of all fronts at once. They are the price of the distribution.
func (s *site) needless(plans ...zinniapond.Plan) int {
	needed := 0
	for _, p := range plans {
		var b zinniapond.AllowanceBucket
		for _, o := range s.offers[p.Name] {
			if b == nil {
				b = allow.Policy{Access: access}.NewBucket(o.at, o.at.Add(-time.Hour), zinniapond.PlanLimit{Rate: p.RequestRate, Burst: p.RequestBurst})
			}
			if beginning, continuing := b.Take(o.at, btoi(o.begins), btoi(!o.begins)); beginning+continuing == 0 {
				needed++
			}
		}
	}
	return max(s.refused-needed, 0)
}

func btoi(set bool) int {
	if set {
		return 1
	}
	return 0
}
