package runner

import (
	"context"
	"time"

	"zinniapond.example/zinniapond"
)

// maxPermits is the number of permits that are obtained one after another while they have
// expired already, as the process was suspended.
const maxPermits = 3

// allowance is the permit of a request that its plan's limit requires.
type allowance struct {
	plan   *zinniapond.Plan
	permit zinniapond.Permit
	held   bool // no replica may have run the request with this permit
	runs   int  // number of attempts that may have run when the permit was obtained
}

// obtainAllowance obtains a permit if the plan of the client has a limit, unless the
// request holds one that is still valid. An attempt that may have run has used its
// permit.
func (u *run) obtainAllowance(ctx context.Context) error {
	if u.Allowances == nil || u.plan == nil || u.plan.RequestRate <= 0 {
		return nil
	}
	now := u.Clock()
	if u.allowance.held && u.allowance.runs == u.possibleRuns && now.Before(u.allowance.permit.ExpiresAt) {
		return nil
	}
	start := now
	defer func() { u.tokenTime += u.Clock().Sub(start) }()
	for range maxPermits {
		u.returnAllowance(now)
		permit, err := u.Allowances.Acquire(ctx, now, u.plan, u.begins())
		if err != nil {
			u.Stats.Add("front.limited", 1)
			return err
		}
		u.allowance = allowance{plan: u.plan, permit: permit, held: true, runs: u.possibleRuns}
		if now = u.Clock(); now.Before(permit.ExpiresAt) {
			break
		}
	}
	if !now.Before(u.allowance.permit.ExpiresAt) {
		return retryableError("check request limit", shortRetryAfter, zinniapond.ErrRateLimited)
	}
	if u.request.Program != "" {
		u.begun.Add(u.scopedProgram())
	}
	return nil
}

// returnAllowance gives back a permit with which no replica may have run the request.
func (u *run) returnAllowance(now time.Time) {
	if u.allowance.held && u.allowance.runs == u.possibleRuns {
		u.Allowances.Return(now, u.allowance.plan, u.allowance.permit)
	}
	u.allowance = allowance{}
}

// begins reports whether the request begins a program, as far as this host knows.
func (u *run) begins() bool {
	if !u.route.IsStream() || u.request.PreviousTurn != "" || u.request.LastEventID != "" {
		return false
	}
	return u.request.Program == "" || !u.begun.Has(u.scopedProgram())
}

func (u *run) scopedProgram() zinniapond.ProgramID {
	return zinniapond.ProgramID(u.scoped(string(u.request.Program)))
}

// permitsUntil returns the instant at which the first permit of the request, or the lease
// on its key, expires; zero if it needs none. The connection to the replica may take as
// long, or the process be suspended.
func (u *run) permitsUntil(replica candidate) time.Time {
	until := replica.permitUntil
	for _, t := range []time.Time{u.keyUntil, u.allowance.expiresAt()} {
		if !t.IsZero() && (until.IsZero() || t.Before(until)) {
			until = t
		}
	}
	return until
}

// expiresAt returns when the permit expires; zero if there is none.
func (a *allowance) expiresAt() time.Time {
	if !a.held {
		return time.Time{}
	}
	return a.permit.ExpiresAt
}
