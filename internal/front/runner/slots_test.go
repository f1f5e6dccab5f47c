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
	"zinniapond.example/zinniapond/internal/policy/robin"
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

// timedRouter expects each call to take a fixed time.
type timedRouter struct {
	robin.Router
	expected time.Duration
}

func (r *timedRouter) Pick(now time.Time, need zinniapond.PickInfo, free func(netip.AddrPort) bool) (zinniapond.Choice, bool) {
	c, ok := r.Router.Pick(now, need, free)
	c.ExpectedTime = r.expected
	return c, ok
}

// inBubble runs a test with simulated time.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}
