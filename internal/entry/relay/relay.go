// Package relay sends calls to the owner of their program's shard, on this host
// or another, and retries at the new owner when the shard is reassigned.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/hashicorp/go-hclog"
	oteltrace "go.opentelemetry.io/otel/trace"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/core/trace"
	"zinniapond.example/zinniapond/internal/wire/auth"
	"zinniapond.example/zinniapond/internal/wire/client"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Scheduler, error) { return build(k) })
}

const (
	// defaultSearchTimeout bounds the search for an owner if neither the call
	// nor the context sets a bound.
	defaultSearchTimeout = 30 * time.Second
	// defaultResumeTimeout bounds the retries that learn the outcome of a call
	// that may have run. A shard gets a new owner within about 5 s of the loss
	// of the old one; the rest covers the loss of a second owner and an
	// election in between.
	defaultResumeTimeout = 20 * time.Second
	minBackoff           = 25 * time.Millisecond
	maxBackoff           = time.Second
)

// Relay is the Scheduler of hosts with the entry role. Its exported fields are
// set before use.
type Relay struct {
	Host      zinniapond.HostName
	Directory zinniapond.Directory
	// LocalOwner runs the calls of shards that this host owns; nil on a host
	// without the owner role.
	LocalOwner zinniapond.Scheduler
	Client     *client.Client
	Logger     hclog.Logger
	Tracer     oteltrace.Tracer
	Clock      func() time.Time
	// SearchTimeout bounds the search for an owner, for calls without a bound of
	// their own.
	SearchTimeout time.Duration
	// ResumeTimeout bounds the retries that learn the outcome of a call that may
	// have run. It starts again when an attempt delivers more bytes of the answer.
	ResumeTimeout time.Duration
	// Stats counts calls, retries, and calls that no owner answered; may be
	// nil.
	Stats *stats.Set[string]
}

func build(k *kernel.Kernel) (*Relay, error) {
	d, err := kernel.Find[zinniapond.Directory](k)
	if err != nil {
		return nil, err
	}
	r := New(k.Settings.Host, d, auth.New(k.Settings), k.Logger.Named("relay"))
	r.Tracer = k.Tracer
	if r.Stats, err = kernel.FindNamed[*stats.Set[string]](k, "default"); err != nil {
		return nil, err
	}
	if k.Clock != nil {
		r.Clock = k.Clock
	}
	if k.Settings.HasRole(zinniapond.RoleOwner) {
		if r.LocalOwner, err = kernel.FindNamed[zinniapond.Scheduler](k, "owner"); err != nil {
			return nil, err
		}
		// Entries on other hosts reach the owner on this host through the
		// stream interface.
		if _, err := kernel.FindNamed[zinniapond.Frontend](k, "stream"); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// New returns a relay with the default time-outs and no local owner.
func New(host zinniapond.HostName, d zinniapond.Directory, g *auth.Authenticator, logger hclog.Logger) *Relay {
	member := func() zinniapond.Epoch { return d.View().Members[host].Epoch }
	return &Relay{
		Host: host, Directory: d, Client: client.New(g, member), Logger: logger, Clock: time.Now,
		SearchTimeout: defaultSearchTimeout, ResumeTimeout: defaultResumeTimeout,
	}
}

// Run waits until ctx is done and closes the idle connections.
func (r *Relay) Run(ctx context.Context) error {
	<-ctx.Done()
	r.Client.Close()
	return nil
}

// target identifies the owner process of a shard. A host that restarts gets
// another member epoch, so that its new process is another target.
type target struct {
	shard  zinniapond.ShardID
	host   zinniapond.HostName
	member zinniapond.Epoch
	peer   netip.AddrPort
}

// findOwner returns the owner of a program's shard according to the control
// state that this host has applied, which may be out of date.
func (r *Relay) findOwner(program zinniapond.ProgramID) (target, error) {
	v := r.Directory.View()
	if v.Shards <= 0 {
		return target{}, errors.New("control state not known yet")
	}
	t := target{shard: zinniapond.ShardOf(string(program), v.Shards)}
	a, ok := v.Assignments[t.shard]
	if !ok || a.Owner == "" {
		return t, fmt.Errorf("shard %d has no owner", t.shard)
	}
	m, ok := v.Members[a.Owner]
	if !ok || !m.StreamsAddress.IsValid() {
		return t, fmt.Errorf("owner %q of shard %d has no address", a.Owner, t.shard)
	}
	t.host, t.member, t.peer = a.Owner, m.Epoch, m.StreamsAddress
	return t, nil
}

var errOwnerChanged = errors.New("shard has another owner")

// cancelOnOwnerChange cancels an attempt at t once the program's shard has
// another owner. The former owner can no longer make a result durable, so its
// stream would never end.
func (r *Relay) cancelOnOwnerChange(ctx context.Context, program zinniapond.ProgramID, t target, cancel context.CancelCauseFunc) {
	for {
		changed := r.Directory.Changed()
		if current, err := r.findOwner(program); err == nil && current != t {
			cancel(errOwnerChanged)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// attemptResult is the result of one attempt at an owner.
type attemptResult struct {
	// ownerAnswered is false if the stream broke or was not opened.
	ownerAnswered bool
	outcome       zinniapond.Outcome
	err           error
	// ownerChanged is set if the shard was assigned to another owner during the
	// attempt.
	ownerChanged bool
}

// runAttempt runs one attempt at the owner t and cancels it if the shard gets
// another owner.
func (r *Relay) runAttempt(ctx context.Context, program zinniapond.ProgramID, t target, attempt func(context.Context) attemptResult) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	watchEnded := make(chan struct{})
	go func() {
		defer close(watchEnded)
		r.cancelOnOwnerChange(ctx, program, t, cancel)
	}()
	result := attempt(ctx)
	result.ownerChanged = errors.Is(context.Cause(ctx), errOwnerChanged)
	cancel(nil)
	<-watchEnded
	return result
}

// isFinal reports whether the result is the call's outcome. It is not if
// another owner may give a different one: the host asked is not the owner, has
// lost the shard, or has lost its lease and will soon lose the shard.
func (a attemptResult) isFinal() bool {
	if a.err == nil {
		return a.ownerAnswered
	}
	return a.ownerAnswered && !a.ownerChanged && !a.isFenced() && !a.lacksOwnership()
}

// isFenced reports whether the owner's epoch was superseded during the call.
func (a attemptResult) isFenced() bool { return errors.Is(a.err, zinniapond.ErrFenced) }

// lacksOwnership reports whether the host refused the call because it does not
// own the shard or holds no valid lease.
func (a attemptResult) lacksOwnership() bool {
	return errors.Is(a.err, zinniapond.ErrNotOwner) || errors.Is(a.err, zinniapond.ErrStaleConfig)
}

// provablyNotRun reports whether the attempt certainly did not run the call.
// ErrNotSent proves that only if this host's own dial returned it, so only if
// no owner answered: an owner may return ErrNotSent from a dial of its own.
func (a attemptResult) provablyNotRun() bool {
	if !a.ownerAnswered {
		return errors.Is(a.err, zinniapond.ErrNotSent)
	}
	return a.lacksOwnership() && !a.isFenced() && a.outcome != zinniapond.OutcomeUnknown
}

func (r *Relay) isLocal(t target) bool { return r.LocalOwner != nil && t.host == r.Host }

// Submit runs a call at its shard's owner and retries until an owner gives
// the outcome. If none does in time, the error wraps ErrOutcomeUnknown if the
// call may have run, and ErrOverload if it certainly did not run.
func (r *Relay) Submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	ctx, span := trace.StartSpan(ctx, r.Tracer, "relay", &call)
	answer, err := r.submit(ctx, now, call, sink)
	trace.EndSpan(span, err)
	return answer, err
}

func (r *Relay) submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	r.Stats.Add("relay.calls", 1)
	counted := &countingSink{sink: sink}
	s := r.newOwnerSearch(now, call.MaxQueueTime)
	for {
		changed := r.Directory.Changed()
		t, err := r.findOwner(call.Program)
		if err == nil {
			var answer zinniapond.Answer
			call.DeliveredBytes, call.DeliveredChecksum = counted.deliveredPrefix()
			call.MaxQueueTime = s.remainingWait()
			result := r.runAttempt(ctx, call.Program, t, func(ctx context.Context) (a attemptResult) {
				if r.isLocal(t) {
					answer, a.err = r.LocalOwner.Submit(ctx, r.Clock(), call, counted)
					a.ownerAnswered = true
				} else {
					answer, a.ownerAnswered, a.err = r.Client.Submit(ctx, t.peer, call, counted)
				}
				a.outcome = answer.Outcome
				return a
			})
			if result.isFinal() {
				return s.unmarkRepeated(answer), result.err
			}
			err = result.err
			s.recordAttempt(result, counted)
			r.Logger.Debug("attempt at owner failed", "call", call.ID, "shard", t.shard, "owner", t.host, "error", err)
		}
		s.recordError(err)
		if counted.sinkErr != nil {
			return s.unansweredResult(call.ID, fmt.Errorf("send answer to caller: %w", counted.sinkErr))
		}
		if err := s.waitForChange(ctx, changed); err != nil {
			r.Stats.Add("relay.unanswered", 1)
			return s.unansweredResult(call.ID, err)
		}
		r.Stats.Add("relay.again", 1)
	}
}

// retryUntilAnswered runs an idempotent request at the program's owner, through
// runLocal or runRemote, and retries until an owner answers.
func (r *Relay) retryUntilAnswered(ctx context.Context, now time.Time, program zinniapond.ProgramID, runLocal func(context.Context, time.Time) error, runRemote func(context.Context, netip.AddrPort) (bool, error)) error {
	s := r.newOwnerSearch(now, 0)
	for {
		changed := r.Directory.Changed()
		t, err := r.findOwner(program)
		if err == nil {
			result := r.runAttempt(ctx, program, t, func(ctx context.Context) (a attemptResult) {
				if r.isLocal(t) {
					return attemptResult{ownerAnswered: true, err: runLocal(ctx, r.Clock())}
				}
				a.ownerAnswered, a.err = runRemote(ctx, t.peer)
				return a
			})
			if result.isFinal() {
				return result.err
			}
			err = result.err
			s.recordAttempt(result, nil)
		}
		s.recordError(err)
		if err := s.waitForChange(ctx, changed); err != nil {
			_, err = s.unansweredResult("", err)
			return err
		}
	}
}

// Open opens a program at the owner of its shard.
func (r *Relay) Open(ctx context.Context, now time.Time, program zinniapond.Program) error {
	return r.retryUntilAnswered(ctx, now, program.ID,
		func(ctx context.Context, now time.Time) error { return r.LocalOwner.Open(ctx, now, program) },
		func(ctx context.Context, peer netip.AddrPort) (bool, error) { return r.Client.Open(ctx, peer, program) })
}

// End ends a program at the owner of its shard.
func (r *Relay) End(ctx context.Context, now time.Time, program zinniapond.ProgramID, reason string) error {
	return r.retryUntilAnswered(ctx, now, program,
		func(ctx context.Context, now time.Time) error { return r.LocalOwner.End(ctx, now, program, reason) },
		func(ctx context.Context, peer netip.AddrPort) (bool, error) {
			return r.Client.End(ctx, peer, program, reason)
		})
}

// View returns a program's history from its owner.
func (r *Relay) View(ctx context.Context, now time.Time, program zinniapond.ProgramID) (zinniapond.History, error) {
	var h zinniapond.History
	err := r.retryUntilAnswered(ctx, now, program,
		func(ctx context.Context, now time.Time) (err error) {
			h, err = r.LocalOwner.View(ctx, now, program)
			return err
		},
		func(ctx context.Context, peer netip.AddrPort) (final bool, err error) {
			h, final, err = r.Client.View(ctx, peer, program)
			return final, err
		})
	return h, err
}
