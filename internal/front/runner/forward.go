package runner

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/front/ahead"
	"zinniapond.example/zinniapond/internal/routes/table"
)

const (
	// shortRetryAfter is the delay after which a client may retry when the reason of
	// the refusal is temporary, such as full replicas.
	shortRetryAfter = 100 * time.Millisecond
	// maxWaitShare is the share of the remaining time that a request waits, such as
	// for a free replica, before it is refused. The client then has time left to try
	// another host.
	maxWaitShare = 0.5
	// fullRetryDelay is the delay before replicas are tried again after all of them
	// were full.
	fullRetryDelay = 15 * time.Millisecond
	// quorumRetryInterval bounds the wait for a disk to be reached again, after which a
	// read or reservation that too few disks answered is tried again. Only a request
	// shows that a disk is reached, and there may be no other one.
	quorumRetryInterval = 50 * time.Millisecond
	// settleTimeout bounds a settlement after the answer.
	settleTimeout = 3 * time.Second
	// replyMargin is the part of the client's time that is reserved for sending an
	// error answer.
	replyMargin = 20 * time.Millisecond
)

// run is the state of one request.
type run struct {
	*Runner
	request     *zinniapond.Request
	responder   zinniapond.Responder
	client      context.Context  // done when the client has gone
	relay       *ahead.Relay     // of the answer to the current attempt
	plan        *zinniapond.Plan // of the client; nil if the route needs no key
	withoutKeys bool             // the configuration has had no plans
	isPublic    bool             // the configuration has plans, but the route needs no key
	route       *zinniapond.Route
	service     *zinniapond.Service
	poolName    zinniapond.PoolName
	deadline    time.Time // deadline of the client or the route, the earlier one
	version     uint64    // of the configuration
	body        []byte
	chain       []zinniapond.Turn
	allowance   allowance
	spend       zinniapond.Spend   // of a turn with a budget
	others      []zinniapond.Spend // other spends of the program
	// origin is the software version that has begun the stream; empty while none has, and
	// for streams that do not go on at other replicas.
	origin  zinniapond.SoftwareVersion
	home    zinniapond.CacheLocation // replica that processed the conversation last
	replica netip.AddrPort           // replica of the last attempt
	// replicaVersion is the software version of that replica.
	replicaVersion zinniapond.SoftwareVersion
	attempted      []attemptRecord
	possibleRuns   int // number of attempts that may have run
	answerBegun    bool
	answerRead     bool // the answer to the current attempt was read to its end
	stream         stream
	keyUntil       time.Time  // when the lease on the key expires; zero if it does not
	sendUntil      time.Time  // when the permits of the current attempt expire
	departure      *departure // watches the current attempt
	held           int64      // bytes of memory taken
	digest         zinniapond.Digest
	suspected      bool // a replica may have ended while the request was running there
	onRetrial      bool // the request may run although it is guilty
	// limitTime is the time for which the request has waited for permissions of
	// limited replicas.
	limitTime time.Duration
	// tokenTime is the time for which the request has waited for tokens of its plan's
	// request limit.
	tokenTime time.Duration
	// prepareTime is the time for preparing the turn, firstByteTime that from the
	// receipt of the request to the first byte of the answer, and keepTime that for
	// storing the turn.
	prepareTime, firstByteTime, keepTime time.Duration
}

// attemptRecord is the replica of an attempt with its outcome, for the log.
type attemptRecord struct {
	replica zinniapond.Backend
	outcome string
}

// Forward runs a request and writes its answer or refusal to the responder. If the
// answer has begun and cannot be completed, or ctx is done, it aborts the answer. If
// ctx is done with a cause that wraps ErrUnavailable, the client still waits: an answer
// that has not begun is then refused.
func (r *Runner) Forward(ctx context.Context, now time.Time, request zinniapond.Request, to zinniapond.Responder) {
	u := &run{Runner: r, request: &request, responder: to, client: ctx}
	defer func() { u.Memory.Give(u.held) }()
	err := u.forward(ctx, now)
	if !u.answerBegun {
		err = u.refusalReason(err)
	}
	u.returnAllowance(u.Clock())
	u.settle()
	u.log(err)
	switch {
	case err == nil:
	case u.answerBegun || ctx.Err() != nil && !errors.Is(context.Cause(ctx), zinniapond.ErrUnavailable):
		to.Abort()
	default:
		var e *zinniapond.Error
		refusal := zinniapond.Refusal{Reason: err}
		if errors.As(err, &e) {
			refusal.RetryAfter = e.RetryAfter
		}
		if err := to.Refuse(refusal); err != nil {
			r.Logger.Debug("refusal not delivered", "id", request.ID, "error", err)
		}
	}
}

// retryableError returns an error that tells the client after which delay to retry.
func retryableError(step string, after time.Duration, err error) error {
	return &zinniapond.Error{Step: step, RetryAfter: after, Err: err}
}

func (u *run) forward(ctx context.Context, now time.Time) error {
	u.awaitConfiguration(ctx, now)
	now = u.Clock()
	if err := u.resolveRoute(now); err != nil {
		return err
	}
	if err := u.authorise(now); err != nil {
		return err
	}
	p, err := u.pool(u.poolName)
	if err != nil {
		return err
	}
	u.digest = digest(u.request, u.scoped(string(u.poolName)))
	if err := u.checkStanding(now, p); err != nil {
		return err
	}
	// An attempt ends with the client's deadline. The caller of this function then
	// sends the error answer, so it must not use this context.
	callCtx, cancel := context.WithTimeout(ctx, u.deadline.Sub(now))
	defer cancel()
	if err := u.obtainAllowance(callCtx); err != nil {
		return err
	}
	now = u.Clock()
	if u.route.Resumable && !u.needsOwnRecord() {
		u.spend.Version = p.onlyVersion()
	}
	err = u.prepareWithRetry(callCtx, now)
	if err == nil {
		err = u.resolveOrigin(callCtx, u.Clock(), p)
	}
	u.prepareTime = u.Clock().Sub(now)
	if err != nil {
		return err
	}
	return u.tryReplicas(callCtx, p)
}

// awaitConfiguration waits for the first configuration after a start, for at most
// maxWaitShare of the client's time.
func (u *run) awaitConfiguration(ctx context.Context, now time.Time) {
	u.initialise()
	if u.table.Load() != nil {
		return
	}
	timer := time.NewTimer(time.Duration(float64(u.request.ReceivedAt.Add(u.request.ClientTimeout).Sub(now)) * maxWaitShare))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-u.configured:
	}
}

// prepareWithRetry prepares a turn. While too few disks answer, it tries again when the
// disks change or are reached again, for at most maxWaitShare of the client's time.
// After that the client is told to retry.
func (u *run) prepareWithRetry(ctx context.Context, now time.Time) error {
	retryUntil := now.Add(time.Duration(float64(u.deadline.Sub(now)) * maxWaitShare))
	for {
		// Taken before the attempt, so that a change during it is not missed.
		reached, disks := u.Turns.Reached(), u.Directory.View().DisksIndex
		err := u.prepare(ctx, now)
		if !errors.Is(err, zinniapond.ErrNoQuorum) || ctx.Err() != nil || u.Clock().After(retryUntil) {
			return err
		}
		u.Stats.Add("front.restored", 1)
		u.awaitDisks(ctx, reached, disks)
	}
}

// awaitDisks waits until reached is closed or the set of disks has another index, for at
// most quorumRetryInterval.
func (u *run) awaitDisks(ctx context.Context, reached <-chan struct{}, index zinniapond.Index) {
	timer := time.NewTimer(quorumRetryInterval)
	defer timer.Stop()
	for {
		changed := u.Directory.Changed()
		if u.Directory.View().DisksIndex != index {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-reached:
			return
		case <-changed: // possibly another part of the view
		}
	}
}

// resolveRoute sets the route, the service and the deadline of a request.
func (u *run) resolveRoute(now time.Time) error {
	confirmedAt := u.Directory.ConfirmedAt()
	t := u.currentTable()
	if t == nil {
		return retryableError("find route", shortRetryAfter, fmt.Errorf("no configuration yet: %w", zinniapond.ErrStaleConfig))
	}
	u.version = t.Routing().Version
	route, ok := t.Find(u.request.Host, u.request.Path)
	if !ok {
		return u.notFoundError(now, u.request, t, confirmedAt)
	}
	if maxBody := t.Routing().Limits.MaxBodyBytes; maxBody > 0 && int64(len(u.request.Body)) > maxBody {
		return fmt.Errorf("body of %d bytes: %w", len(u.request.Body), zinniapond.ErrTooLarge)
	}
	u.route = route
	key := string(u.request.Program)
	if key == "" {
		key = string(u.request.ID)
	}
	u.poolName = table.ChooseService(route, key)
	u.service = t.Service(u.poolName)
	wait := route.Timeout
	if u.request.ClientTimeout > 0 {
		wait = min(wait, u.request.ClientTimeout)
	}
	u.deadline = u.request.ReceivedAt.Add(wait)
	if !now.Before(u.deadline) {
		return retryableError("find route", 0, fmt.Errorf("deadline of the request has passed: %w", zinniapond.ErrOverload))
	}
	return nil
}

// prepare reads the chain of a turn and reserves its tokens, both concurrently.
func (u *run) prepare(ctx context.Context, now time.Time) error {
	u.body = u.request.Body
	if !u.route.IsStream() || u.request.Program == "" {
		return nil
	}
	reserved := make(chan error, 1)
	var others []zinniapond.Spend
	if u.request.TokenBudget > 0 {
		// The time has whole seconds and the settlement has the same one, as disks
		// compare their spends by second.
		u.spend = zinniapond.Spend{
			Program: zinniapond.ProgramID(u.scoped(string(u.request.Program))), Turn: u.request.ID, Reserved: u.request.MaxGenerated, ReservedAt: now.Truncate(time.Second),
			Retention: u.turnRetention() + u.route.Timeout, Version: u.spend.Version,
		}
		go func() {
			reserved <- u.contain("reserve tokens", func() (err error) {
				others, err = u.Turns.Reserve(ctx, now, u.spend, u.request.TokenBudget)
				return err
			})
		}()
	} else {
		reserved <- nil
	}
	var err error
	if u.route.Retained && u.request.PreviousTurn != "" {
		u.chain, err = u.Turns.ReadChain(ctx, now, zinniapond.TurnID(u.scoped(string(u.request.PreviousTurn))))
	}
	if err = zinniapond.Join(err, <-reserved); err != nil {
		if errors.Is(err, zinniapond.ErrBudgetExhausted) {
			u.spend = zinniapond.Spend{}
		}
		if !errors.Is(err, zinniapond.ErrNotFound) && !errors.Is(err, zinniapond.ErrBudgetExhausted) {
			return retryableError("prepare turn", shortRetryAfter, err)
		}
		return err
	}
	u.others = others
	u.home = findHome(u.request, others)
	u.spend.CacheLocation = zinniapond.CacheLocation{SessionID: u.request.SessionID, TurnNumber: len(others) + 1}
	if len(u.chain) > 0 {
		size := len(u.request.Body)
		for _, t := range u.chain {
			size += len(t.Input) + len(t.Output)
		}
		// The body is copied once more when it is encoded.
		if err := u.takeMemory(2 * int64(size)); err != nil {
			return retryableError("prepare turn", shortRetryAfter, err)
		}
		u.body = make([]byte, 0, size)
		for _, t := range u.chain {
			u.body = append(append(u.body, t.Input...), t.Output...)
		}
		u.body = append(u.body, u.request.Body...)
	}
	return nil
}

// takeMemory takes memory that is given back at the end of the request.
func (u *run) takeMemory(n int64) error {
	if err := u.Memory.Take(n); err != nil {
		u.Stats.Add("front.memory", 1)
		return err
	}
	u.held += n
	return nil
}

// turnRetention returns the time for which a turn is kept after its end: the
// retention of the route and the longest time of a turn that continues it.
func (u *run) turnRetention() time.Duration {
	if !u.route.Retained {
		return 0
	}
	return u.route.Retention + u.route.Timeout
}

// settle returns the reserved tokens that a turn did not use, in the background. It
// does nothing for a turn that was stored, as its settlement is stored with it.
func (u *run) settle() {
	if u.spend.Program == "" || u.spend.Settled {
		return
	}
	spend := u.settledSpend()
	u.inBackground("settle tokens", func() {
		ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
		defer cancel()
		if err := u.Turns.Settle(ctx, u.Clock(), spend); err != nil {
			u.Logger.Warn("tokens stay reserved", "id", u.request.ID, "program", spend.Program, "reserved", spend.Reserved, "used", spend.Used, "error", err)
		}
	})
}
