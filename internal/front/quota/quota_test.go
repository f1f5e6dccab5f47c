package quota_test

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/fleet/hosts"
	"zinniapond.example/zinniapond/internal/front/quota"
	"zinniapond.example/zinniapond/internal/policy/allow"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// controlHost is a fake of a control host that answers every call alike.
type controlHost struct {
	*quota.Client
	log bytes.Buffer

	mu       sync.Mutex // guards the following
	grant    zinniapond.QuotaGrant
	filledIn time.Duration
	err      error
	requests []zinniapond.QuotaRequest
}

// fail makes all further calls fail.
func (h *controlHost) fail() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = zinniapond.ErrUnavailable
}

// recover makes all further calls succeed.
func (h *controlHost) recover() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.err = nil
}

// answer sets the answer to all further calls.
func (h *controlHost) answer(grant zinniapond.QuotaGrant, filledIn time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.grant, h.filledIn = grant, filledIn
}

// seen returns the requests that have arrived.
func (h *controlHost) seen() []zinniapond.QuotaRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.requests)
}

func (h *controlHost) View() *zinniapond.ControlView {
	return &zinniapond.ControlView{Voters: []zinniapond.VoterKey{{Name: "10.1.0.1:7000"}}}
}
func (h *controlHost) Catalog() *zinniapond.Catalog { return nil }
func (h *controlHost) LeaseValid(time.Time) bool    { return true }
func (h *controlHost) ConfirmedAt() time.Time       { return time.Now() }
func (h *controlHost) Changed() <-chan struct{}     { return nil }

func (h *controlHost) Call(_ context.Context, to netip.AddrPort, _ string, request, reply any) error {
	q := request.(zinniapond.QuotaRequest)
	h.mu.Lock()
	h.requests = append(h.requests, q)
	h.mu.Unlock()
	time.Sleep(time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	r := reply.(*zinniapond.QuotaReply)
	r.Counter, r.FilledIn = to, h.filledIn
	for _, need := range q.Needs {
		if need.Beginning+need.Continuing == 0 {
			r.Grants = append(r.Grants, zinniapond.QuotaGrant{Lifetime: h.grant.Lifetime})
			continue
		}
		r.Grants = append(r.Grants, h.grant)
	}
	return h.err
}

// withHost runs play with a client of one fake control host.
func withHost(t *testing.T, grant zinniapond.QuotaGrant, play func(t *testing.T, h *controlHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &controlHost{grant: grant}
		h.Client = &quota.Client{
			Host: "f", Peers: h, ControlHosts: hosts.Chooser{Directory: h}, Policy: allow.Policy{Access: access},
			Stats: new(stats.Set[string]), Logger: hclog.New(&hclog.LoggerOptions{Output: &h.log}), Clock: time.Now,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error)
		go func() { done <- h.Run(ctx) }()
		defer func() {
			cancel()
			assert.NoError(t, <-done)
		}()
		time.Sleep(time.Second)
		play(t, h)
	})
}

func (h *controlHost) acquire(plan *zinniapond.Plan, begins bool) (zinniapond.Permit, error) {
	return h.Acquire(context.Background(), time.Now(), plan, begins)
}

// assertRefused fails unless a request is refused with a time to retry in the given range.
func assertRefused(t *testing.T, err error, least, most time.Duration) {
	t.Helper()
	assert.ErrorIs(t, err, zinniapond.ErrRateLimited)
	var e *zinniapond.Error
	assert.True(t, errors.As(err, &e) && e.RetryAfter >= least && e.RetryAfter <= most, "time to retry in %v", err)
}

func TestAcquire(t *testing.T) {
	plan := &zinniapond.Plan{Name: "p", RequestRate: 100, RequestBurst: 100}
	t.Run("guards against messages for plans without a limit", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(&zinniapond.Plan{Name: "p"}, true)
			assert.NoError(t, err)
			assert.Equal(t, len(h.seen()), 0)
		})
	})
	t.Run("guards against a message for each request", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 50, Lifetime: 2 * time.Second}, func(t *testing.T, h *controlHost) {
			for range 50 {
				_, err := h.acquire(plan, true)
				assert.NoError(t, err)
			}
			assert.Equal(t, len(h.seen()), 1)
		})
	})
	t.Run("guards against a token that is used after its lifetime", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 1, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			permit, err := h.acquire(plan, true)
			assert.NoError(t, err)
			assert.True(t, !permit.ExpiresAt.After(time.Now().Add(time.Second)), "expires at %s", permit.ExpiresAt)
			h.Return(time.Now(), plan, permit)
			time.Sleep(time.Second)
			_, err = h.acquire(plan, false)
			assert.NoError(t, err)
			assert.Equal(t, h.seen()[len(h.seen())-1].Needs[0].Continuing, 1)
		})
	})
	t.Run("guards against a returned token that is lost", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 1, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			permit, err := h.acquire(plan, true)
			assert.NoError(t, err)
			h.Return(time.Now(), plan, permit)
			_, err = h.acquire(plan, false)
			assert.NoError(t, err)
			assert.Equal(t, len(h.seen()), 1)
		})
	})
	t.Run("guards against unused tokens that are not returned", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 5, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(plan, true)
			assert.NoError(t, err)
			time.Sleep(2 * time.Second)
			assert.Equal(t, len(h.seen()), 2)
			assert.Equal(t, h.seen()[1].Needs[0].Unused[0].Count, 4)
			time.Sleep(5 * time.Second)
			assert.Equal(t, len(h.seen()), 2)
		})
	})
	t.Run("guards against a message for each refusal", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{BeginWait: time.Second, OtherWait: 10 * time.Millisecond, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			start := time.Now()
			for range 100 {
				_, err := h.acquire(plan, true)
				assertRefused(t, err, 100*time.Millisecond, 1500*time.Millisecond)
			}
			assert.Equal(t, len(h.seen()), 1)
			assert.True(t, time.Since(start) < 10*time.Millisecond, "refused after %s", time.Since(start))
		})
	})
	t.Run("guards against requests that wait without end", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{OtherWait: time.Millisecond, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			start := time.Now()
			_, err := h.acquire(plan, false)
			assertRefused(t, err, 50*time.Millisecond, 300*time.Millisecond)
			assert.True(t, time.Since(start) <= 150*time.Millisecond, "refused after %s", time.Since(start))
		})
	})
	t.Run("guards against tokens for begun programs that others use", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Continuing: 5, BeginWait: time.Second, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(plan, false)
			assert.NoError(t, err)
			_, err = h.acquire(plan, true)
			assertRefused(t, err, 50*time.Millisecond, 1500*time.Millisecond)
			_, err = h.acquire(plan, false)
			assert.NoError(t, err)
		})
	})
}

func TestOutage(t *testing.T) {
	plan := &zinniapond.Plan{Name: "p", RequestRate: 100, RequestBurst: 100}
	t.Run("guards against refusals of a busy plan as soon as no control host answers", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 1, Reserve: 10, Lifetime: 100 * time.Millisecond}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(plan, false)
			assert.NoError(t, err)
			time.Sleep(time.Second)
			h.fail()
			for range 10 {
				_, err = h.acquire(plan, false)
				assert.NoError(t, err)
			}
			_, err = h.acquire(plan, false)
			assertRefused(t, err, 100*time.Millisecond, time.Second)
			assert.Equal(t, strings.Count(h.log.String(), "available=false"), 1)
		})
	})
	t.Run("guards against a reserve that outlives the time it is counted for", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 1, Reserve: 10, Lifetime: 100 * time.Millisecond}, func(t *testing.T, h *controlHost) {
			_, err := h.acquire(plan, false)
			assert.NoError(t, err)
			h.fail()
			time.Sleep(zinniapond.ReserveLifetime)
			_, err = h.acquire(plan, false)
			assertRefused(t, err, 100*time.Millisecond, time.Second)
		})
	})
	t.Run("guards against refusals while the control hosts are being replaced", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Continuing: 1, Lifetime: 100 * time.Millisecond}, func(t *testing.T, h *controlHost) {
			h.fail()
			start := time.Now()
			time.AfterFunc(time.Second, h.recover)
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := h.Acquire(ctx, start, plan, false)
			assert.NoError(t, err)
			assert.True(t, time.Since(start) < 1500*time.Millisecond, "allowed after %s", time.Since(start))
		})
	})
	t.Run("guards against a wait without control hosts that leaves the client no time", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{}, func(t *testing.T, h *controlHost) {
			h.fail()
			start := time.Now()
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			_, err := h.Acquire(ctx, start, plan, false)
			assertRefused(t, err, 100*time.Millisecond, time.Second)
			assert.True(t, time.Since(start) < 1800*time.Millisecond, "refused after %s", time.Since(start))
		})
	})
	t.Run("guards against more than this host's share without control hosts", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{}, func(t *testing.T, h *controlHost) {
			h.fail()
			h.SetHostCount(10)
			allowed := 0
			for end := time.Now().Add(access.QuotaWindow); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if _, err := h.acquire(plan, false); err == nil {
					allowed++
				}
			}
			// Half of the overage of 610 requests, for 10 hosts.
			assert.Equal(t, allowed, 3)
		})
	})
}

// waitFor acquires a token for a client that waits for the given time.
func (h *controlHost) waitFor(t *testing.T, plan *zinniapond.Plan, begins bool, patience time.Duration) (time.Duration, error) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	_, err := h.Acquire(ctx, start, plan, begins)
	return time.Since(start), err
}

func TestOutageOrder(t *testing.T) {
	plan := &zinniapond.Plan{Name: "p", RequestRate: 100, RequestBurst: 100}
	t.Run("guards against requests that are refused while waiting would serve them", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Continuing: 1, Lifetime: 100 * time.Millisecond}, func(t *testing.T, h *controlHost) {
			h.fail()
			time.AfterFunc(3500*time.Millisecond, h.recover)
			waited, err := h.waitFor(t, plan, false, 10*time.Second)
			assert.NoError(t, err)
			assert.True(t, waited < 4*time.Second, "allowed after %s", waited)
		})
	})
	t.Run("guards against a cut-off host that keeps its clients from trying another", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{}, func(t *testing.T, h *controlHost) {
			h.fail()
			waited, err := h.waitFor(t, plan, false, time.Minute)
			assertRefused(t, err, 100*time.Millisecond, time.Second)
			assert.True(t, waited <= 5*time.Second, "refused after %s", waited)
		})
	})
	t.Run("guards against programs that begin before others go on", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{}, func(t *testing.T, h *controlHost) {
			h.fail()
			h.SetHostCount(10) // it allows itself a request each 1.75 s
			var order []string
			var group sync.WaitGroup
			var mu sync.Mutex
			request := func(name string, begins bool) {
				group.Go(func() {
					if _, err := h.waitFor(t, plan, begins, 8*time.Second); err == nil {
						mu.Lock()
						defer mu.Unlock()
						order = append(order, name)
					}
				})
				time.Sleep(10 * time.Millisecond)
			}
			request("first", true)
			time.Sleep(time.Second)
			request("begins", true)
			request("goes on", false)
			group.Wait()
			assert.Equal(t, order, []string{"first", "goes on", "begins"})
		})
	})
}

func TestForget(t *testing.T) {
	t.Run("guards against messages for idle plans", func(t *testing.T) {
		withHost(t, zinniapond.QuotaGrant{Beginning: 1, Lifetime: time.Second}, func(t *testing.T, h *controlHost) {
			for i := range 100 {
				_, err := h.acquire(&zinniapond.Plan{Name: zinniapond.PlanName(string(rune('a' + i))), RequestRate: 1, RequestBurst: 1}, true)
				assert.NoError(t, err)
			}
			time.Sleep(20 * time.Second)
			sent := len(h.seen())
			time.Sleep(time.Hour)
			assert.Equal(t, len(h.seen()), sent)
			assert.Equal(t, h.Plans(), 0)
		})
	})
}
