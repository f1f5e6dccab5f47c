// Package relay hands calls to the owner of their program's shard, on this host
// or another, and follows the shard when its owner changes.
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
	"zinniapond.example/zinniapond/internal/wire/client"
	"zinniapond.example/zinniapond/internal/wire/guard"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Scheduler, error) { return build(k) })
}

const (
	// defaultWait bounds the search for an owner where neither the call nor
	// the context does.
	defaultWait = 30 * time.Second
	// defaultResume is how long the owner of a call that may have run is asked
	// for its outcome. A shard moves within about 5 s of the loss of its owner;
	// the rest covers a second loss and an election in between.
	defaultResume = 20 * time.Second
	firstDelay    = 25 * time.Millisecond
	lastDelay     = time.Second
)

// Relay is the Scheduler of the entries. Its exported fields are set before
// use.
type Relay struct {
	Host      zinniapond.HostName
	Directory zinniapond.Directory
	// Local runs the calls of shards that this host owns; nil on a host
	// without the owner role.
	Local  zinniapond.Scheduler
	Client *client.Client
	Logger hclog.Logger
	Tracer oteltrace.Tracer
	Clock  func() time.Time
	Wait   time.Duration
	Resume time.Duration
	// Stats counts calls, further attempts, and calls without an owner's
	// answer; may be nil.
	Stats *stats.Set[string]
}

func build(k *kernel.Kernel) (*Relay, error) {
	d, err := kernel.Find[zinniapond.Directory](k)
	if err != nil {
		return nil, err
	}
	r := New(k.Settings.Host, d, guard.New(k.Settings), k.Logger.Named("relay"))
	r.Tracer = k.Tracer
	if r.Stats, err = kernel.FindNamed[*stats.Set[string]](k, "default"); err != nil {
		return nil, err
	}
	if k.Clock != nil {
		r.Clock = k.Clock
	}
	if k.Settings.HasRole(zinniapond.RoleOwner) {
		if r.Local, err = kernel.FindNamed[zinniapond.Scheduler](k, "owner"); err != nil {
			return nil, err
		}
		// The owner's calls from other entries come by the stream interface.
		if _, err := kernel.FindNamed[zinniapond.Frontend](k, "stream"); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// New returns a relay with the default bounds and no local owner.
func New(host zinniapond.HostName, d zinniapond.Directory, g *guard.Guard, logger hclog.Logger) *Relay {
	member := func() zinniapond.Epoch { return d.View().Members[host].Epoch }
	return &Relay{
		Host: host, Directory: d, Client: client.New(g, member), Logger: logger, Clock: time.Now,
		Wait: defaultWait, Resume: defaultResume,
	}
}

// Run closes the unused connections once ctx is done.
func (r *Relay) Run(ctx context.Context) error {
	<-ctx.Done()
	r.Client.Close()
	return nil
}

// target is the owner of a shard. Another member epoch is another process.
type target struct {
	shard  zinniapond.ShardID
	host   zinniapond.HostName
	member zinniapond.Epoch
	peer   netip.AddrPort
}

// find returns the owner of a program's shard as far as this host knows.
func (r *Relay) find(program zinniapond.ProgramID) (target, error) {
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
	if !ok || !m.Streams.IsValid() {
		return t, fmt.Errorf("owner %q of shard %d has no address", a.Owner, t.shard)
	}
	t.host, t.member, t.peer = a.Owner, m.Epoch, m.Streams
	return t, nil
}

var errMoved = errors.New("shard has another owner")

// watch cancels an attempt once the shard has another owner. The old one cannot
// make a result durable any more, so its stream would never end.
func (r *Relay) watch(ctx context.Context, program zinniapond.ProgramID, t target, cancel context.CancelCauseFunc) {
	for {
		changed := r.Directory.Changed()
		if now, err := r.find(program); err == nil && now != t {
			cancel(errMoved)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// reply is what an attempt brought.
type reply struct {
	// heard tells that the owner has answered; the stream broke otherwise.
	heard   bool
	outcome zinniapond.Outcome
	err     error
	// moved tells that the shard got another owner meanwhile.
	moved bool
}

// ask runs one attempt at the owner t.
func (r *Relay) ask(ctx context.Context, program zinniapond.ProgramID, t target, attempt func(context.Context) reply) reply {
	ctx, cancel := context.WithCancelCause(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.watch(ctx, program, t, cancel)
	}()
	got := attempt(ctx)
	got.moved = errors.Is(context.Cause(ctx), errMoved)
	cancel(nil)
	<-ended
	return got
}

// final tells whether the reply is the outcome. It is not if another owner may
// answer otherwise: this one is not the owner, lost the shard, or has lost its
// lease and with it soon the shard.
func (g reply) final() bool {
	if g.err == nil {
		return g.heard
	}
	return g.heard && !g.moved && !g.fenced() && !g.elsewhere()
}

func (g reply) fenced() bool { return errors.Is(g.err, zinniapond.ErrFenced) }

func (g reply) elsewhere() bool {
	return errors.Is(g.err, zinniapond.ErrNotOwner) || errors.Is(g.err, zinniapond.ErrStale)
}

// refused tells whether the attempt provably ran nothing. ErrNotSent is a proof
// only from this host's own dial, which is the case if no owner was heard.
func (g reply) refused() bool {
	if !g.heard {
		return errors.Is(g.err, zinniapond.ErrNotSent)
	}
	return g.elsewhere() && !g.fenced() && g.outcome != zinniapond.OutcomeUnknown
}

func (r *Relay) local(t target) bool { return r.Local != nil && t.host == r.Host }

// Submit runs a call at its shard's owner.
func (r *Relay) Submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	ctx, span := trace.Hop(ctx, r.Tracer, "relay", &call)
	answer, err := r.submit(ctx, now, call, sink)
	trace.End(span, err)
	return answer, err
}

func (r *Relay) submit(ctx context.Context, now time.Time, call zinniapond.Call, sink zinniapond.Sink) (zinniapond.Answer, error) {
	r.Stats.Add("relay.calls", 1)
	out := &counter{sink: sink}
	s := r.newSearch(now, call.Wait)
	for {
		changed := r.Directory.Changed()
		t, err := r.find(call.Program)
		if err == nil {
			var answer zinniapond.Answer
			call.Delivered, call.DeliveredSum = out.delivered()
			call.Wait = s.left()
			got := r.ask(ctx, call.Program, t, func(ctx context.Context) (g reply) {
				if r.local(t) {
					answer, g.err = r.Local.Submit(ctx, r.Clock(), call, out)
					g.heard = true
				} else {
					answer, g.heard, g.err = r.Client.Submit(ctx, t.peer, call, out)
				}
				g.outcome = answer.Outcome
				return g
			})
			if got.final() {
				return s.first(answer), got.err
			}
			err = got.err
			s.failed(got, out)
			r.Logger.Debug("call not answered", "call", call.ID, "shard", t.shard, "owner", t.host, "error", err)
		}
		s.note(err)
		if out.failure != nil {
			return s.end(call.ID, fmt.Errorf("pass answer on: %w", out.failure))
		}
		if err := s.wait(ctx, changed); err != nil {
			r.Stats.Add("relay.unanswered", 1)
			return s.end(call.ID, err)
		}
		r.Stats.Add("relay.again", 1)
	}
}

// repeat runs a request that may run twice until an owner has answered.
func (r *Relay) repeat(ctx context.Context, now time.Time, program zinniapond.ProgramID, local func(context.Context, time.Time) error, remote func(context.Context, netip.AddrPort) (bool, error)) error {
	s := r.newSearch(now, 0)
	for {
		changed := r.Directory.Changed()
		t, err := r.find(program)
		if err == nil {
			got := r.ask(ctx, program, t, func(ctx context.Context) (g reply) {
				if r.local(t) {
					return reply{heard: true, err: local(ctx, r.Clock())}
				}
				g.heard, g.err = remote(ctx, t.peer)
				return g
			})
			if got.final() {
				return got.err
			}
			err = got.err
			s.failed(got, nil)
		}
		s.note(err)
		if err := s.wait(ctx, changed); err != nil {
			_, err = s.end("", err)
			return err
		}
	}
}

// Open opens a program at its owner.
func (r *Relay) Open(ctx context.Context, now time.Time, program zinniapond.Program) error {
	return r.repeat(ctx, now, program.ID,
		func(ctx context.Context, now time.Time) error { return r.Local.Open(ctx, now, program) },
		func(ctx context.Context, peer netip.AddrPort) (bool, error) { return r.Client.Open(ctx, peer, program) })
}

// End ends a program at its owner.
func (r *Relay) End(ctx context.Context, now time.Time, program zinniapond.ProgramID, reason string) error {
	return r.repeat(ctx, now, program,
		func(ctx context.Context, now time.Time) error { return r.Local.End(ctx, now, program, reason) },
		func(ctx context.Context, peer netip.AddrPort) (bool, error) {
			return r.Client.End(ctx, peer, program, reason)
		})
}

// View returns a program's history from its owner.
func (r *Relay) View(ctx context.Context, now time.Time, program zinniapond.ProgramID) (zinniapond.History, error) {
	var h zinniapond.History
	err := r.repeat(ctx, now, program,
		func(ctx context.Context, now time.Time) (err error) {
			h, err = r.Local.View(ctx, now, program)
			return err
		},
		func(ctx context.Context, peer netip.AddrPort) (final bool, err error) {
			h, final, err = r.Client.View(ctx, peer, program)
			return final, err
		})
	return h, err
}
