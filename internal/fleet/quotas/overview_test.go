package quotas

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// assertLimits fails unless a control host shows the given number of plans at their limit.
func assertLimits(t *testing.T, q *quorum, host, limited int, isCounter bool) zinniapond.LimitOverview {
	t.Helper()
	var o zinniapond.HostOverview
	q.counters[q.list[host]].AddOverview(q.clock(), &o)
	assert.Equal(t, o.Limits.AtLimitCount, limited)
	assert.Equal(t, len(o.Limits.AtLimit), min(limited, zinniapond.MaxLimitedPlans))
	assert.Equal(t, o.Limits.IsCounter, isCounter)
	return o.Limits
}

func TestOverview(t *testing.T) {
	t.Run("guards against a control host that shows itself as the one that counts without its lease", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := newQuorum(3)
			assertLimits(t, q, 0, 0, false)
			assertGranted(t, q, 0, 1, 1)
			// The lease is granted by two of the hosts; the third learns of it now.
			synctest.Wait()
			assert.Equal(t, assertLimits(t, q, 0, 0, true).Counter, q.list[0])
			assert.Equal(t, assertLimits(t, q, 1, 0, false).Counter, q.list[0])
			q.advance(leaseTime)
			assertLimits(t, q, 0, 0, false)
		})
	})
	t.Run("guards against an export that grows with the number of plans", func(t *testing.T) {
		q := newQuorum(1)
		const count = 40
		var needs []zinniapond.QuotaNeed
		for i := range count {
			name := zinniapond.PlanName(fmt.Sprint("plan-", i))
			q.routing.Plans = append(q.routing.Plans, zinniapond.Plan{Name: name, RequestRate: 1, RequestBurst: 1})
			needs = append(needs, zinniapond.QuotaNeed{Plan: name, Continuing: 100})
		}
		q.routing.Version++
		c := q.counters[q.list[0]]
		// Refusals at the beginning of a count do not show that a plan is at its limit.
		for range 25 {
			assertGranted(t, q, 0, 0, 0)
			q.advance(quietTime / 20)
		}
		assert.NoError(t, c.Acquire(zinniapond.QuotaRequest{Sender: "f", Needs: needs}, new(zinniapond.QuotaReply)))
		assertLimits(t, q, 0, count, true)
	})
	t.Run("guards against a plan that is at its limit for many lines, or for ever", func(t *testing.T) {
		q := newQuorum(1)
		for range 60 {
			_, err := q.ask(0, 100)
			assert.NoError(t, err)
			q.advance(100 * time.Millisecond)
		}
		assertGranted(t, q, 0, 0, 0) // renews the lease
		assertLimits(t, q, 0, 1, true)
		q.advance(underLimitTime + time.Second)
		q.counters[q.list[0]].prune(q.clock())
		assertLimits(t, q, 0, 0, false)
		assert.Equal(t, strings.Count(q.log.String(), "plan has reached its request limit"), 1)
		assert.Equal(t, strings.Count(q.log.String(), "plan is under its request limit again"), 1)
	})
}
