package runner

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/wait"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// TestPoolTooSmall replays 8 s in which twice the requests arrive that the replicas can
// run, with callers that return after a refusal.
func TestPoolTooSmall(t *testing.T) {
	ctx := context.Background()
	inBubble(t, "guards against waits that cannot end in time in a pool that is too small", func(t *testing.T) {
		s := newSlotPool(t, 4, 5, 200*time.Millisecond) // 100 requests a second
		const arrivals = 8 * 200
		var mu sync.Mutex
		served, waits := 0, time.Duration(0)
		var group sync.WaitGroup
		for i := range arrivals {
			group.Go(func() {
				begin := time.Now()
				to := <-s.start(ctx, fmt.Sprint("/r/", i), time.Second)
				mu.Lock()
				defer mu.Unlock()
				if to.ended {
					served++
				} else {
					waits += time.Since(begin)
				}
			})
			time.Sleep(5 * time.Millisecond)
		}
		group.Wait()
		refused := arrivals - served
		t.Logf("%d of %d served, refused after %s on average, %d tries of full replicas, %d refused at once", served, arrivals, waits/time.Duration(refused), s.refusals, s.Stats.Value("front.wait.refused"))
		assert.True(t, served >= 780, "%d served of 800 that the replicas can run", served)
		assert.True(t, s.refusals < arrivals, "%d refusals of full replicas", s.refusals)
	})
}

func TestWakeUps(t *testing.T) {
	t.Run("guards against a wake-up that is lost between a request that leaves and one that waits", func(t *testing.T) {
		s := newSlotPool(t, 2, 2, 500*time.Microsecond)
		var group sync.WaitGroup
		for i := range 400 {
			group.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7+1)*3*time.Millisecond)
				defer cancel()
				if i%3 != 0 {
					ctx = t.Context()
				}
				to := <-s.start(ctx, fmt.Sprint("/r/", i), 20*time.Second)
				if i%3 != 0 && !to.ended {
					t.Errorf("request %d not answered: %v", i, to.refused)
				}
			})
		}
		group.Wait()
		p, err := s.pool("pool")
		assert.NoError(t, err)
		assert.Equal(t, p.waiters.queue.Len(), 0)
		assert.Equal(t, len(p.waiters.wakes), 0)
	})
	inBubble(t, "guards against a wake-up that is lost with a request that cannot use it", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, 30*time.Millisecond)
		all := []<-chan *recorder{s.start(t.Context(), "/r/0", 5*time.Second)}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		left := s.start(ctx, "/r/left", 5*time.Second)
		synctest.Wait()
		all = append(all, s.start(t.Context(), "/r/1", 5*time.Second))
		begin := time.Now()
		assertAnswered(t, all...)
		<-left
		assert.True(t, time.Since(begin) <= 90*time.Millisecond, "answered after %s", time.Since(begin))
	})
}

func TestWaiters(t *testing.T) {
	replica := netip.MustParseAddrPort("10.0.0.1:80")
	now := time.Now()
	enter := func(w *waiters) (uint64, <-chan wake) {
		ticket := w.ticket()
		return ticket, w.enter(now, now, zinniapond.WaitingRequest{Ticket: ticket, EnteredAt: now, LeaveAt: now.Add(time.Second)})
	}
	assertWoken := func(t *testing.T, woken <-chan wake, want bool) {
		t.Helper()
		select {
		case reason := <-woken:
			assert.True(t, want && reason.replica == replica, "woken for %v", reason)
		default:
			assert.True(t, !want, "not woken")
		}
	}
	t.Run("guards against a wake-up that ends with a client that leaves at the same time", func(t *testing.T) {
		w := newWaiters(new(wait.Queue), time.Now)
		first, woken := enter(w)
		_, next := enter(w)
		w.offer(now, replica, 1)
		w.leave(now, first, woken)
		assertWoken(t, next, true)
	})
	t.Run("guards against several requests woken for one place", func(t *testing.T) {
		w := newWaiters(new(wait.Queue), time.Now)
		_, first := enter(w)
		_, second := enter(w)
		w.offer(now, replica, 1)
		assertWoken(t, first, true)
		assertWoken(t, second, false)
	})
	t.Run("guards against a place lost that became free while the request tried other replicas", func(t *testing.T) {
		w := newWaiters(new(wait.Queue), time.Now)
		w.offer(now.Add(time.Millisecond), replica, 1)
		_, first := enter(w)
		_, second := enter(w)
		assertWoken(t, first, true)
		assertWoken(t, second, false)
	})
	t.Run("guards against a place that was refused before it became free for another request", func(t *testing.T) {
		w := newWaiters(new(wait.Queue), time.Now)
		w.offer(now.Add(-time.Millisecond), replica, 1)
		_, first := enter(w)
		assertWoken(t, first, false)
	})
}
