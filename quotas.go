package zinniapond

import (
	"context"
	"net/netip"
	"time"
)

// Allowances keeps the requests that replicas run for each plan, over all hosts
// together, within the limit of the plan. A plan without a limit needs no allowance.
type Allowances interface {
	// Acquire takes one request of the plan's allowance. The permit is valid until its
	// ExpiresAt: a request that is sent later needs another one. begins is set if the
	// request begins a program; programs that were begun go first. The error wraps
	// ErrRateLimited and has the time after which a request is likely to be allowed.
	Acquire(ctx context.Context, now time.Time, plan *Plan, begins bool) (Permit, error)
	// Return gives one request back that no replica has run.
	Return(now time.Time, plan *Plan, permit Permit)
	// SetHostCount sets the number of hosts that send requests to replicas.
	SetHostCount(count int)
}

// PlanLimit is the limit for the requests of one plan.
type PlanLimit struct {
	Rate  RequestRate
	Burst int
}

// AllowancePolicy decides how many requests of a plan are allowed.
type AllowancePolicy interface {
	// Limit returns the limit that is counted for a plan.
	Limit(plan *Plan) PlanLimit
	// Lifetime returns the time for which a token of a plan with the limit is valid.
	Lifetime(limit PlanLimit) time.Duration
	// FilledAt returns the time at which a bucket has all tokens that it misses because
	// counting has begun at since.
	FilledAt(since time.Time) time.Time
	// NewBucket returns the bucket of a plan for which no token was granted since the
	// instant at which counting has begun.
	NewBucket(now, since time.Time, limit PlanLimit) AllowanceBucket
	// OwnInterval returns the time between two requests that each of a number of hosts
	// may send while no control host counts them; zero if it may send none.
	OwnInterval(limit PlanLimit, hosts int) time.Duration
}

// AllowanceBucket counts the tokens of one plan. One token allows one request. It is not
// safe for concurrent use.
type AllowanceBucket interface {
	// SetLimit changes the limit.
	SetLimit(now time.Time, limit PlanLimit)
	// Take takes tokens for requests that begin programs and for requests of programs
	// that were begun, as far as there are any.
	Take(now time.Time, beginning, continuing int) (begin, other int)
	// Return gives back tokens that were taken at the given time and were not used.
	Return(now, takenAt time.Time, count int)
	// Reserve sets at most count tokens aside, and returns their number. They may be used
	// at any time within ReserveLifetime.
	Reserve(now time.Time, count int) int
	// SetWaiting sets the numbers of requests that begin programs and of other requests for
	// which hosts other than the one that asks now wait. Requests that begin programs leave
	// tokens to the other ones, and Wait includes the time for all of them.
	SetWaiting(beginning, continuing int)
	// Wait returns the times until a request that begins a program and another request
	// are likely to be allowed.
	Wait(now time.Time) (begin, other time.Duration)
	// IsFull reports whether the bucket is as if no token had been taken.
	IsFull(now time.Time) bool
}

// ReserveLifetime is the time for which a front may use the tokens that it holds for the
// failure of control hosts.
const ReserveLifetime = 2 * time.Second

// QuotaMark is an instant on the clock of the control host that has granted tokens. It
// has a meaning to that host only.
type QuotaMark struct {
	_       struct{} `cbor:",toarray"`
	Counter uint64   // identifies the host and the time since which it counts
	At      time.Duration
}

// QuotaNeed is what a front needs of the allowance of one plan.
type QuotaNeed struct {
	_          struct{} `cbor:",toarray"`
	Plan       PlanName
	Beginning  int // tokens for requests that begin programs
	Continuing int // tokens for other requests
	Reserve    int // tokens for the failure of control hosts
	Unused     []UnusedTokens
}

// UnusedTokens are tokens that a front has not used and will not use.
type UnusedTokens struct {
	_     struct{} `cbor:",toarray"`
	Mark  QuotaMark
	Count int
}

// QuotaRequest has the needs of one front.
type QuotaRequest struct {
	Sender HostName    `cbor:"h"`
	Needs  []QuotaNeed `cbor:"n"`
	// Forwarded is set if another control host has received the request.
	Forwarded bool `cbor:"f,omitempty"`
}

// QuotaGrant has the tokens that are granted for one need.
type QuotaGrant struct {
	_          struct{} `cbor:",toarray"`
	Beginning  int      // may be used for any request
	Continuing int      // may be used for requests of programs that were begun
	Reserve    int
	// Lifetime is the time for which the tokens are valid, from when the request for
	// them was sent.
	Lifetime time.Duration
	// BeginWait and OtherWait are the times until more tokens are expected; zero if none
	// were refused.
	BeginWait, OtherWait time.Duration
	// Unknown is set if the host does not know the plan.
	Unknown bool
}

// QuotaReply has the grants in the order of the needs.
type QuotaReply struct {
	// Counter is the control host that counts.
	Counter netip.AddrPort `cbor:"c"`
	Mark    QuotaMark      `cbor:"m"`
	Grants  []QuotaGrant   `cbor:"g"`
	// FilledIn is the time until buckets have the tokens that they miss because counting has
	// just begun; zero if they miss none. Requests wait longer for tokens in that time.
	FilledIn time.Duration `cbor:"f,omitempty"`
}

// CounterRequest asks a control host to accept the sender as the only one that counts.
type CounterRequest struct {
	Sender  netip.AddrPort `cbor:"s"`
	Process uint64         `cbor:"p"` // identifies the process of the sender
	// Attempt orders the requests of a process.
	Attempt uint64 `cbor:"n"`
	// Withdrawn is set if the sender does not count, as no majority has accepted it.
	Withdrawn bool `cbor:"w,omitempty"`
}

// CounterReply accepts the sender, or names the control host that counts.
type CounterReply struct {
	Accepted bool           `cbor:"a,omitempty"`
	Counter  netip.AddrPort `cbor:"c"`
	// Quiet is the time since which no other process has been accepted.
	Quiet time.Duration `cbor:"q,omitempty"`
}
