package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestWaiting(t *testing.T) {
	ctx := context.Background()
	inBubble(t, "guards against a request that waits although a replica has room", func(t *testing.T) {
		s := newSlotPool(t, 3, 2, 100*time.Millisecond)
		var all []<-chan *recorder
		for i := range 6 {
			all = append(all, s.start(ctx, fmt.Sprint("/r/", i), time.Second))
			synctest.Wait()
		}
		assertAnswered(t, all...)
		assert.Equal(t, s.Stats.Value("front.wait.entered"), 0)
	})
	inBubble(t, "guards against an idle place while a request waits, and against refusals by full replicas", func(t *testing.T) {
		s := newSlotPool(t, 4, 3, 80*time.Millisecond)
		begin := time.Now()
		var all []<-chan *recorder
		for i := range 120 {
			all = append(all, s.start(ctx, fmt.Sprint("/r/", i), 10*time.Second))
			time.Sleep(time.Microsecond)
		}
		assertAnswered(t, all...)
		// 12 places of 80 ms run 120 requests in 800 ms.
		assert.True(t, time.Since(begin) < 805*time.Millisecond, "took %s", time.Since(begin))
		// Requests that wait try few replicas in vain beside those of the scans.
		assert.True(t, s.refusals < 120, "%d refusals", s.refusals)
	})
	inBubble(t, "guards against urgent calls and calls of tools behind long turns", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, 30*time.Millisecond) // ends at no time of a scan
		all := []<-chan *recorder{s.start(ctx, "/s/0", 5*time.Second)}
		synctest.Wait()
		for i := range 5 {
			all = append(all, s.start(ctx, fmt.Sprint("/s/", i+1), 5*time.Second))
			synctest.Wait()
		}
		for _, path := range []string{"/r/tool", "/u/urgent"} {
			all = append(all, s.start(ctx, path, 5*time.Second))
			synctest.Wait()
		}
		for _, d := range all {
			<-d
		}
		assert.Equal(t, s.order[:4], []string{"/s/0", "/u/urgent", "/r/tool", "/s/1"})
	})
	inBubble(t, "guards against places that stay empty because the view of other hosts is late", func(t *testing.T) {
		s := newSlotPool(t, 12, 1, 10*time.Millisecond)
		free := s.occupy()
		all := []<-chan *recorder{s.start(ctx, "/r/0", 4*time.Second), s.start(ctx, "/r/1", 4*time.Second)}
		time.Sleep(time.Second)
		free()
		begin := time.Now()
		assertAnswered(t, all...)
		assert.True(t, time.Since(begin) <= scanInterval+20*time.Millisecond, "served after %s", time.Since(begin))
		// Ten wake-ups of scanTries each, after the first pass over all replicas.
		assert.True(t, s.refusals <= 2*12+10*scanTries, "%d refusals", s.refusals)
	})
	inBubble(t, "guards against room in the sums of all hosts that wakes no request", func(t *testing.T) {
		s := newSlotPool(t, 2, 4, time.Millisecond)
		free := s.occupy()
		all := []<-chan *recorder{s.start(ctx, "/r/0", 4*time.Second), s.start(ctx, "/r/1", 4*time.Second)}
		synctest.Wait()
		free()
		begin := time.Now()
		s.reportLoads(time.Now(), nil)
		assertAnswered(t, all...)
		assert.True(t, time.Since(begin) < 5*time.Millisecond, "served after %s", time.Since(begin))
	})
	inBubble(t, "guards against a request that waits for the next sums although a later one could show it room", func(t *testing.T) {
		s := newSlotPool(t, 12, 1, 10*time.Millisecond)
		free := s.occupy()
		all := []<-chan *recorder{s.start(ctx, "/r/0", 4*time.Second)}
		time.Sleep(2*scanInterval + 30*time.Millisecond)
		free()
		begin := time.Now()
		all = append(all, s.start(ctx, "/r/1", 4*time.Second))
		assertAnswered(t, all...)
		assert.True(t, time.Since(begin) <= 20*time.Millisecond, "served after %s", time.Since(begin))
		assert.Equal(t, s.order, []string{"/r/0", "/r/1"})
	})
	inBubble(t, "guards against room at a slow replica for a request that ends too late there", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, 100*time.Millisecond) // ends at the time of a scan
		s.pools.Delete("pool")
		s.NewRouter = func() (zinniapond.Router, error) { return &timedRouter{expected: 600 * time.Millisecond}, nil }
		assert.NoError(t, s.update())
		all := []<-chan *recorder{s.start(ctx, "/r/0", 5*time.Second)}
		synctest.Wait()
		short := s.start(ctx, "/r/short", 500*time.Millisecond)
		synctest.Wait()
		all = append(all, s.start(ctx, "/r/1", 5*time.Second))
		begin := time.Now()
		assertAnswered(t, all...)
		assert.True(t, time.Since(begin) <= 250*time.Millisecond, "the other requests end after %s", time.Since(begin))
		assert.ErrorIs(t, (<-short).refused, zinniapond.ErrOverload)
		assert.Equal(t, s.order, []string{"/r/0", "/r/1"})
	})
	inBubble(t, "guards against a new replica that wakes no request", func(t *testing.T) {
		s := newSlotPool(t, 0, 2, time.Millisecond)
		all := []<-chan *recorder{s.start(ctx, "/r/0", 4*time.Second), s.start(ctx, "/r/1", 4*time.Second)}
		synctest.Wait()
		begin := time.Now()
		s.setReplicas(t, 1)
		assertAnswered(t, all...)
		assert.True(t, time.Since(begin) < 5*time.Millisecond, "served after %s", time.Since(begin))
	})
}

func TestLeaving(t *testing.T) {
	ctx := context.Background()
	inBubble(t, "guards against a place for a client that has gone", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, 50*time.Millisecond)
		all := []<-chan *recorder{s.start(ctx, "/r/0", 5*time.Second)}
		synctest.Wait()
		gone, cancel := context.WithCancelCause(ctx)
		left := s.start(gone, "/r/gone", 5*time.Second)
		synctest.Wait()
		all = append(all, s.start(ctx, "/r/1", 5*time.Second))
		synctest.Wait()
		cancel(errClientGone)
		assert.True(t, (<-left).aborted, "the client's request goes on")
		begin := time.Now()
		assertAnswered(t, all...)
		assert.True(t, time.Since(begin) <= 100*time.Millisecond, "the others end after %s", time.Since(begin))
		assert.Equal(t, s.order, []string{"/r/0", "/r/1"})
	})
	inBubble(t, "guards against requests without an answer when the host drains", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, time.Second)
		drained, cancel := context.WithCancelCause(ctx)
		running := s.start(ctx, "/r/0", 5*time.Second)
		synctest.Wait()
		var all []<-chan *recorder
		for i := range 20 {
			all = append(all, s.start(drained, fmt.Sprint("/r/", i+1), 5*time.Second))
			synctest.Wait()
		}
		cancel(zinniapond.ErrUnavailable)
		for _, d := range all {
			assert.ErrorIs(t, (<-d).refused, zinniapond.ErrOverload)
		}
		assertAnswered(t, running)
	})
	inBubble(t, "guards against a wait that leaves the client no time for another host", func(t *testing.T) {
		s := newSlotPool(t, 1, 1, time.Second)
		s.occupy()
		begin := time.Now()
		to := <-s.start(ctx, "/r/0", 2*time.Second)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOverload)
		assert.Equal(t, time.Since(begin).Round(10*time.Millisecond), time.Second)
	})
}

func TestRefusal(t *testing.T) {
	// 100 places a second, and requests that have time for less than a second.
	fill := func(t *testing.T) *slotPool {
		t.Helper()
		s := newSlotPool(t, 4, 5, 200*time.Millisecond)
		for i := range 300 {
			s.start(context.Background(), fmt.Sprint("/r/", i), 10*time.Second)
		}
		time.Sleep(time.Second)
		return s
	}
	inBubble(t, "guards against a request that waits although it cannot be served in its time", func(t *testing.T) {
		s := fill(t)
		begin := time.Now()
		to := <-s.start(t.Context(), "/r/last", time.Second)
		assert.ErrorIs(t, to.refused, zinniapond.ErrOverload)
		assert.True(t, time.Since(begin) < 10*time.Millisecond, "refused after %s", time.Since(begin))
		time.Sleep(5 * time.Second)
	})
	inBubble(t, "guards against refusing a request that can be served in its time", func(t *testing.T) {
		s := fill(t)
		assertAnswered(t, s.start(t.Context(), "/r/patient", 10*time.Second), s.start(t.Context(), "/u/urgent", time.Second))
		time.Sleep(5 * time.Second)
	})
	inBubble(t, "guards against refusing a request at once while replicas are known to have room", func(t *testing.T) {
		s := fill(t)
		s.reportLoads(time.Now(), nil)
		begin := time.Now()
		<-s.start(t.Context(), "/r/last", time.Second)
		assert.True(t, time.Since(begin) > 10*time.Millisecond, "refused at once")
		time.Sleep(5 * time.Second)
	})
}
