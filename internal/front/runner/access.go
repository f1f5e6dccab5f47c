package runner

import (
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/routes/table"
)

const (
	// staleRetryAfter is the delay after which a client may retry at another host when
	// this one cannot confirm its configuration.
	staleRetryAfter = 20 * time.Millisecond
	// scopeBytes is the size of the part of a hash that distinguishes the identifiers
	// of plans from each other.
	scopeBytes = 12
)

var _ zinniapond.Authenticator = (*Runner)(nil)

// Authenticate checks the key of a request whose body has not been read.
func (r *Runner) Authenticate(now time.Time, request zinniapond.Request) error {
	confirmedAt := r.Directory.ConfirmedAt()
	t := r.currentTable()
	if t == nil || !t.Routing().HasPlans {
		return nil
	}
	route, ok := t.Find(request.Host, request.Path)
	if !ok {
		return r.notFoundError(now, &request, t, confirmedAt)
	}
	_, err := r.checkKey(now, t, route, request.KeyHash, confirmedAt)
	return err
}

// notFoundError returns the error for a request that matches no route. The route may be in a
// configuration that this host has not learned of, and a client does not come back after
// ErrNotFound. confirmedAt has the meaning of checkKey.
func (r *Runner) notFoundError(now time.Time, request *zinniapond.Request, t *table.Table, confirmedAt time.Time) error {
	if age := now.Sub(confirmedAt); r.MaxApplyTime > 0 && age >= r.MaxApplyTime {
		r.Stats.Add("front.unconfirmed", 1)
		return retryableError("find route", staleRetryAfter, fmt.Errorf("no route of %s%s in version %d, confirmed %s ago: %w",
			request.Host, request.Path, t.Routing().Version, age.Round(time.Millisecond), zinniapond.ErrStaleConfig))
	}
	return fmt.Errorf("find route of %s%s in version %d: %w", request.Host, request.Path, t.Routing().Version, zinniapond.ErrNotFound)
}

// checkKey returns the plan of a key, or nil for a route without keys. confirmedAt must
// have been read before the table: the table then has every configuration that was in
// force at that instant.
func (r *Runner) checkKey(now time.Time, t *table.Table, route *zinniapond.Route, keyHash [32]byte, confirmedAt time.Time) (*zinniapond.Plan, error) {
	if !t.Routing().HasPlans || route.Public {
		return nil, nil
	}
	age := now.Sub(confirmedAt)
	plan, ok := t.FindPlan(keyHash)
	lease := r.Access.KeyLease()
	valid := lease == 0 || age < lease
	r.recordLease(now, confirmedAt, valid)
	if !valid {
		r.Stats.Add("front.unconfirmed", 1)
		return nil, retryableError("check key", staleRetryAfter, fmt.Errorf("configuration confirmed %s ago: %w", age.Round(time.Millisecond), zinniapond.ErrStaleConfig))
	}
	if ok {
		return plan, nil
	}
	// The key may be a new one that this host has not learned of. Status 401 would end
	// the client's program.
	if keyHash != [32]byte{} && r.MaxApplyTime > 0 && age >= r.MaxApplyTime {
		return nil, retryableError("check key", staleRetryAfter, fmt.Errorf("unknown key: %w", zinniapond.ErrStaleConfig))
	}
	r.recordRejectedKey(now, t, route, keyHash != [32]byte{})
	return nil, fmt.Errorf("check key in version %d: %w", t.Routing().Version, zinniapond.ErrInvalidKey)
}

// keyLeaseValid reports whether keys can be checked: this host's configuration was
// confirmed as current within the lease.
func (r *Runner) keyLeaseValid(now time.Time) bool {
	lease := r.Access.KeyLease()
	confirmedAt := r.Directory.ConfirmedAt()
	valid := lease == 0 || now.Sub(confirmedAt) < lease
	r.recordLease(now, confirmedAt, valid)
	return valid
}

// authorise checks the key of the request in the configuration in force. It is called
// again after each pause.
func (u *run) authorise(now time.Time) error {
	confirmedAt := u.Directory.ConfirmedAt()
	t := u.currentTable()
	if u.withoutKeys && t.Routing().HasPlans {
		// The identifiers of the request have no plan, and its fields include the key.
		return retryableError("check key", shortRetryAfter, fmt.Errorf("keys have been introduced: %w", zinniapond.ErrStaleConfig))
	}
	plan, err := u.checkKey(now, t, u.route, u.request.KeyHash, confirmedAt)
	if err != nil {
		return err
	}
	if u.plan != nil && (plan == nil || plan.Name != u.plan.Name) {
		// The identifiers of the request were taken as those of the other plan.
		return retryableError("check key", shortRetryAfter, fmt.Errorf("key has moved to another plan: %w", zinniapond.ErrStaleConfig))
	}
	if !t.Routing().HasPlans {
		u.withoutKeys = true
		u.request.Fields = append(u.request.Fields, u.request.Credentials...)
		u.request.Credentials = nil
	}
	u.plan, u.isPublic = plan, u.isPublic || t.Routing().HasPlans && plan == nil
	u.keyUntil = time.Time{}
	if lease := u.Access.KeyLease(); plan != nil && lease > 0 {
		u.keyUntil = confirmedAt.Add(lease)
	}
	return nil
}

// planName returns the name of the client's plan; empty if the route needs no key.
func (u *run) planName() zinniapond.PlanName {
	if u.plan == nil {
		return ""
	}
	return u.plan.Name
}

// scoped returns an identifier that a client has chosen in a form that differs from
// those of all other plans. It returns it unchanged if the configuration has no plans.
func (u *run) scoped(id string) string {
	switch {
	case id == "":
		return id
	case u.isPublic:
		// Unchanged, it could be the identifier of a plan. Those do not begin with a dot.
		return "." + id
	case u.plan == nil:
		return id
	}
	sum := sha256.Sum256([]byte(u.plan.Name))
	return base64.RawURLEncoding.EncodeToString(sum[:scopeBytes]) + "." + id
}
