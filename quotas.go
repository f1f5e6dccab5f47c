package zinniapond

import (
	"context"
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
}
