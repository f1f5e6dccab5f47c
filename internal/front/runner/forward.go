package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/routes/table"
)

const (
	// soon is when a client may come again after a refusal that passes quickly,
	// such as full replicas.
	soon = 100 * time.Millisecond
	// giveUp is the share of the time left that a request waits for a free
	// replica before it is refused: the client then has time for another host.
	giveUp = 0.5
	// fullPause separates two looks at replicas that are all full.
	fullPause = 15 * time.Millisecond
	// quorumPause separates two tries to read or reserve while too few disks
	// answer.
	quorumPause = 50 * time.Millisecond
	// settleLimit bounds a settlement after the answer.
	settleLimit = 3 * time.Second
	// margin is left of the time for an answer that says why there is none.
	margin = 20 * time.Millisecond
)

// run is one request on its way.
type run struct {
	*Runner
	request *zinniapond.Request
	to      zinniapond.Responder
	route   *zinniapond.Route
	service *zinniapond.Service
	name    zinniapond.PoolName
	until   time.Time // of the client or the route
	version uint64
	body    []byte
	chain   []zinniapond.Turn
	spend   zinniapond.Spend // of a turn with a budget
	home    zinniapond.Place // where the conversation was read last
	replica netip.AddrPort   // that was tried last
	tried   []tried
	ran     int // attempts that may have run
	begun   bool
	stream  stream
	// restored, first and kept are the times of the steps: to prepare a turn, to
	// the first byte of the answer since the receipt, and to keep a turn.
	restored, first, kept time.Duration
}

// tried is a replica that was asked, for the log.
type tried struct {
	replica zinniapond.Backend
	outcome string
}

// Forward runs a request and passes the answer to the responder.
func (r *Runner) Forward(ctx context.Context, now time.Time, request zinniapond.Request, to zinniapond.Responder) {
	u := &run{Runner: r, request: &request, to: to}
	err := u.forward(ctx, now)
	u.settle()
	u.log(err)
	switch {
	case err == nil:
	case u.begun || ctx.Err() != nil:
		to.Abort()
	default:
		var e *zinniapond.Error
		refusal := zinniapond.Refusal{Reason: err}
		if errors.As(err, &e) {
			refusal.After = e.RetryAfter
		}
		if err := to.Refuse(refusal); err != nil {
			r.Logger.Debug("refusal not delivered", "id", request.ID, "error", err)
		}
	}
}

// refuse returns an error after which the client may come again.
func refuse(step string, after time.Duration, err error) error {
	return &zinniapond.Error{Step: step, RetryAfter: after, Err: err}
}

func (u *run) forward(ctx context.Context, now time.Time) error {
	u.await(ctx, now)
	now = u.Clock()
	if err := u.place(now); err != nil {
		return err
	}
	// The time is the client's, so an attempt ends with it; the answer that says
	// so is sent by the caller.
	limited, cancel := context.WithTimeout(ctx, u.until.Sub(now))
	defer cancel()
	err := u.restore(limited, now)
	u.restored = u.Clock().Sub(now)
	if err != nil {
		return err
	}
	return u.attempts(limited)
}

// await waits for the first configuration after a start, for a part of the
// client's time.
func (u *run) await(ctx context.Context, now time.Time) {
	u.initialise()
	if u.table.Load() != nil {
		return
	}
	timer := time.NewTimer(time.Duration(float64(u.request.Received.Add(u.request.Wait).Sub(now)) * giveUp))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-u.configured:
	}
}

// restore prepares a turn, and again while too few disks answer: they come back
// within a part of the client's time, or the client is told to come again.
func (u *run) restore(ctx context.Context, now time.Time) error {
	patience := now.Add(time.Duration(float64(u.until.Sub(now)) * giveUp))
	for {
		err := u.prepare(ctx, now)
		if !errors.Is(err, zinniapond.ErrNoQuorum) || ctx.Err() != nil || u.Clock().After(patience) {
			return err
		}
		u.Stats.Add("front.restored", 1)
		select {
		case <-ctx.Done():
		case <-time.After(quorumPause):
		}
	}
}

// place finds the route and the time of a request.
func (u *run) place(now time.Time) error {
	t := u.table.Load()
	if t == nil {
		return refuse("find route", soon, fmt.Errorf("no configuration yet: %w", zinniapond.ErrStale))
	}
	u.version = t.Routing().Version
	route, ok := t.Find(u.request.Host, u.request.Path)
	if !ok {
		return fmt.Errorf("find route of %s%s in version %d: %w", u.request.Host, u.request.Path, u.version, zinniapond.ErrNotFound)
	}
	if most := t.Routing().Limits.Body; most > 0 && int64(len(u.request.Body)) > most {
		return fmt.Errorf("body of %d bytes: %w", len(u.request.Body), zinniapond.ErrTooLarge)
	}
	u.route = route
	key := string(u.request.Program)
	if key == "" {
		key = string(u.request.ID)
	}
	u.name = table.Choose(route, key)
	u.service = t.Service(u.name)
	wait := route.Timeout
	if u.request.Wait > 0 {
		wait = min(wait, u.request.Wait)
	}
	u.until = u.request.Received.Add(wait)
	if !now.Before(u.until) {
		return refuse("find route", 0, fmt.Errorf("its time is over: %w", zinniapond.ErrOverload))
	}
	return nil
}

// prepare reads the chain of a turn and reserves its tokens, both at once.
func (u *run) prepare(ctx context.Context, now time.Time) error {
	u.body = u.request.Body
	if !u.route.Stream() || u.request.Program == "" {
		return nil
	}
	reserved := make(chan error, 1)
	var others []zinniapond.Spend
	if u.request.Budget > 0 {
		// The settlement has the same second, as disks compare their spends by it.
		u.spend = zinniapond.Spend{
			Program: u.request.Program, Turn: u.request.ID, Reserved: u.request.Most, At: now.Truncate(time.Second),
		}
		go func() {
			var err error
			others, err = u.Turns.Reserve(ctx, now, u.spend, u.request.Budget)
			reserved <- err
		}()
	} else {
		reserved <- nil
	}
	var err error
	if u.route.Retained && u.request.Previous != "" {
		u.chain, err = u.Turns.Chain(ctx, now, u.request.Previous)
	}
	if err = zinniapond.Join(err, <-reserved); err != nil {
		if errors.Is(err, zinniapond.ErrBudget) {
			u.spend = zinniapond.Spend{}
		}
		if !errors.Is(err, zinniapond.ErrNotFound) && !errors.Is(err, zinniapond.ErrBudget) {
			return refuse("prepare turn", soon, err)
		}
		return err
	}
	u.home = home(u.request, others)
	u.spend.Place = zinniapond.Place{Session: u.request.Session, Number: len(others) + 1}
	if len(u.chain) > 0 {
		u.body = nil
		for _, t := range u.chain {
			u.body = append(append(u.body, t.Input...), t.Output...)
		}
		u.body = append(u.body, u.request.Body...)
	}
	return nil
}

// settle returns what a turn did not use. A turn that was kept is settled with
// it.
func (u *run) settle() {
	if u.spend.Program == "" || u.spend.Settled {
		return
	}
	spend := u.settled()
	u.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleLimit)
		defer cancel()
		if err := u.Turns.Settle(ctx, u.Clock(), spend); err != nil {
			u.Logger.Warn("tokens stay reserved", "id", u.request.ID, "program", spend.Program, "reserved", spend.Reserved, "used", spend.Used, "error", err)
		}
	})
}

// log writes one line for a request: what was decided, by which version, and
// what came of it. Successes are counted and not logged, but for slow ones.
func (u *run) log(err error) {
	took := u.Clock().Sub(u.request.Received)
	name := ""
	if u.route != nil {
		name = u.route.Name
	}
	if err == nil {
		u.Stats.Add("front.served", 1)
		u.Meter.Observe("front.answer."+string(u.route.Kind), took)
		if u.route.Stream() {
			u.Meter.Observe("front.first", u.first)
			u.Meter.Observe("front.restore", u.restored)
			u.Meter.Observe("front.keep", u.kept)
		}
		if u.first > u.route.Target {
			u.Stats.Add("front.late", 1)
			u.Logger.Info("served late", "id", u.request.ID, "program", u.request.Program, "route", name, "target", u.route.Target,
				"restored", u.restored, "first", u.first, "kept", u.kept, "took", took, "tried", u.history())
		}
		return
	}
	u.Stats.Add("front.failed", 1)
	u.Logger.Info("not served", "id", u.request.ID, "program", u.request.Program, "route", name, "version", u.version,
		"restored", u.restored, "took", took, "tried", u.history(), "begun", u.begun, "error", err)
}

func (u *run) history() string {
	text := ""
	for _, t := range u.tried {
		text += fmt.Sprintf("%s@%s:%s;", t.replica.ID, t.replica.Address, t.outcome)
	}
	return text
}
