package quotas

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// assertSuspended fails unless a control host that is suspended while it counts, at the
// given reading of its clock, grants nothing.
func assertSuspended(t *testing.T, reading int) {
	t.Helper()
	q := newQuorum(3)
	assertGranted(t, q, 0, 1, 1)
	c := q.counters[q.list[0]]
	count := 0
	c.Clock = func() time.Time {
		if count++; count == reading {
			q.advance(10 * time.Second)
			c.Clock = q.clock
		}
		return q.clock()
	}
	// Each later reading shows the time after the pause.
	var reply zinniapond.QuotaReply
	err := c.Acquire(zinniapond.QuotaRequest{Sender: "f", Needs: []zinniapond.QuotaNeed{{Plan: "p", Continuing: 1}}}, &reply)
	assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
	assert.Equal(t, len(reply.Grants), 0)
}

func TestSuspended(t *testing.T) {
	t.Run("guards against tokens of a control host that was suspended while it counted", func(t *testing.T) {
		assertSuspended(t, 2)
	})
	t.Run("guards against two control hosts that count after a suspension of the first", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			q := newQuorum(3)
			assertGranted(t, q, 0, 100, 20)
			synctest.Wait()
			q.advance(10 * time.Second) // the first is suspended
			assertGranted(t, q, 1, 100, 20)
			synctest.Wait()
			reply := assertGranted(t, q, 0, 100, 0)
			assert.Equal(t, reply.Counter, q.list[1])
		})
	})
}
