package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// slotPool stands in for replicas that run a number of requests at once and refuse all
// others.
type slotPool struct {
	*testRunner
	mu       sync.Mutex
	slots    int
	took     time.Duration
	running  map[netip.AddrPort]int
	refusals int
	order    []string // paths of the requests in the order in which they were run
	refused  bool     // all requests are refused
}

var errClientGone = errors.New("client has gone")

// newSlotPool returns a runner whose replicas have the given number of slots. It is used
// in a bubble of package synctest.
func newSlotPool(t *testing.T, replicas, slots int, took time.Duration) *slotPool {
	t.Helper()
	s := &slotPool{slots: slots, took: took, running: make(map[netip.AddrPort]int)}
	s.testRunner = newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestUnsafe, MaxAttempts: 1}, s.run)
	routing := *s.view.Routing
	routing.Version++
	routing.Routes = []zinniapond.Route{routing.Routes[0], routing.Routes[0], routing.Routes[0]}
	for i, prefix := range []string{"/r/", "/s/", "/u/"} {
		routing.Routes[i].Name, routing.Routes[i].PathPrefix, routing.Routes[i].Timeout, routing.Routes[i].Priority = prefix, prefix, time.Minute, 1
	}
	routing.Routes[1].Kind, routing.Routes[2].Priority = zinniapond.RequestStream, 0
	s.view.Routing = &routing
	s.setReplicas(t, replicas)
	return s
}

func (s *slotPool) setReplicas(t *testing.T, count int) {
	t.Helper()
	s.list = nil
	for i := range count {
		s.list = append(s.list, zinniapond.Backend{
			ID: fmt.Sprint("i-", i), Pool: "pool", State: zinniapond.BackendLive, Slots: s.slots,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
		})
	}
	assert.NoError(t, s.update())
}

// run answers a request when it has ended, or refuses it.
func (s *slotPool) run(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	s.mu.Lock()
	isFull := s.refused || s.running[q.Replica.Address] >= s.slots
	if isFull {
		s.refusals++
	} else {
		s.running[q.Replica.Address]++
		s.order = append(s.order, q.Request.Path)
	}
	s.mu.Unlock()
	if isFull {
		return refusesRequest(q)
	}
	time.Sleep(s.took)
	s.mu.Lock()
	s.running[q.Replica.Address]--
	s.mu.Unlock()
	return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, Body: &body{Reader: bytes.NewReader([]byte("answer"))}}, nil
}

// occupy takes all slots of the replicas as requests of other hosts do, until the returned
// function is called.
func (s *slotPool) occupy() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = true
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = false
	}
}

// start runs a request in the background.
func (s *slotPool) start(ctx context.Context, path string, timeout time.Duration) <-chan *recorder {
	done := make(chan *recorder, 1)
	go func() {
		to := new(recorder)
		s.Forward(ctx, time.Now(), zinniapond.Request{ID: zinniapond.AttemptID(path), Host: "h", Path: path, ReceivedAt: time.Now(), ClientTimeout: timeout}, to)
		done <- to
	}()
	return done
}

func assertAnswered(t *testing.T, done ...<-chan *recorder) {
	t.Helper()
	for i, d := range done {
		to := <-d
		assert.True(t, to.ended && to.body.String() == "answer", "request %d of %d: %v", i, len(done), to.refused)
	}
}

// inBubble runs a test with simulated time.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

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
