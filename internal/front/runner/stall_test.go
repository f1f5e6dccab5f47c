package runner

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	stallTimeout = 20 * time.Second
	stallGap     = 400 * time.Millisecond // target of the route
	// earlyEnd is the time well before the deadline within which a stalled stream is left.
	earlyEnd = 4 * time.Second
)

// stallClient stands in for replicas that send ten events. The first stream that is sent
// after newStallClient has the gaps of gaps before its events, and sends only bytes of an
// incomplete event after stopAfter events.
type stallClient struct {
	*testRunner
	isTested  bool
	header    time.Duration // time to the header of its answer
	gaps      map[int]time.Duration
	stopAfter int
	lastIDs   []string
	// maxGenerated is the token limit of the streams.
	maxGenerated zinniapond.Tokens
	// skew is added to the clock of the host.
	skew atomic.Int64
}

func (c *stallClient) Send(ctx context.Context, _ time.Time, q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	c.lastIDs = append(c.lastIDs, q.LastEventID)
	next, _ := strconv.Atoi(q.LastEventID) // empty for a stream from its beginning
	b := &stallBody{ctx: ctx, next: next, stopAfter: eventTotal}
	if c.isTested && len(c.lastIDs) == 1 {
		b.gaps, b.stopAfter = c.gaps, c.stopAfter
		time.Sleep(c.header)
	}
	return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, IsStream: true, Body: b}, nil
}

// stallBody sends events, and after stopAfter events a byte of an incomplete one each
// 200 ms.
type stallBody struct {
	ctx             context.Context
	next, stopAfter int
	gaps            map[int]time.Duration
}

func (b *stallBody) Read(part []byte) (int, error) {
	pause, text := eventInterval, "x"
	switch b.next {
	case eventTotal:
		return 0, io.EOF
	case b.stopAfter:
		pause = 200 * time.Millisecond
	default:
		b.next++
		text = fmt.Sprintf("id: %d\ndata: x\n\n", b.next)
		if gap, ok := b.gaps[b.next]; ok {
			pause = gap
		}
	}
	select {
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	case <-time.After(pause):
		return copy(part, text), nil
	}
}

func (b *stallBody) Close() error { return nil }

// newStallClient returns replicas after a number of usual streams.
func newStallClient(t *testing.T, usual int, resumable bool) *stallClient {
	t.Helper()
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, Resumable: resumable, MaxAttempts: 2, TargetLatency: stallGap, TargetGap: stallGap}, refusesRequest)
	c := &stallClient{testRunner: w, stopAfter: eventTotal, maxGenerated: 10 * eventTotal}
	w.Client = c
	w.Clock = func() time.Time { return time.Now().Add(time.Duration(c.skew.Load())) }
	w.view.Routing.Routes[0].Timeout = stallTimeout
	for range usual {
		to, _ := c.turn()
		assert.True(t, to.ended, "a usual turn does not end")
	}
	c.lastIDs, c.isTested = nil, true
	return c
}

// turn returns what the client has received, and after which time it ended.
func (c *stallClient) turn() (*recorder, time.Duration) {
	begun := time.Now()
	to := c.forward(zinniapond.Request{MaxGenerated: c.maxGenerated, ClientTimeout: stallTimeout})
	return to, time.Since(begun)
}

func assertServed(t *testing.T, c *stallClient, runs int) (took time.Duration) {
	t.Helper()
	to, took := c.turn()
	assert.True(t, to.ended && !to.aborted, "the turn does not end: %v", to.refused)
	assert.Equal(t, len(c.lastIDs), runs)
	_, whole := numbered(1, 0)
	for n := range eventTotal {
		whole += fmt.Sprintf("id: %d\ndata: x\n\n", n+1)
	}
	assert.Equal(t, to.body.String(), whole)
	synctest.Wait()
	return took
}

func assertBrokenOff(t *testing.T, c *stallClient) (took time.Duration) {
	t.Helper()
	to, took := c.turn()
	assert.True(t, to.aborted && !to.ended, "the turn is not broken off")
	assert.Equal(t, len(c.lastIDs), 1)
	synctest.Wait()
	return took
}

// pausingClient takes its first part late.
type pausingClient struct {
	recorder
	pause time.Duration
}

func (c *pausingClient) Write(part []byte) error {
	time.Sleep(c.pause)
	c.pause = 0
	return c.recorder.Write(part)
}

func TestStalledStreams(t *testing.T) {
	inBubble(t, "guards against waiting until the deadline for a replica that sends a byte now and then", func(t *testing.T) {
		c := newStallClient(t, 30, true)
		c.stopAfter = 3
		took := assertServed(t, c, 2)
		assert.True(t, took < earlyEnd, "the turn ends after %s", took)
		assert.Equal(t, c.lastIDs, []string{"", "3"})
	})
	inBubble(t, "guards against waiting for such a replica before the pool's usual times are known", func(t *testing.T) {
		c := newStallClient(t, 0, true)
		c.stopAfter = 3
		took := assertServed(t, c, 2)
		assert.True(t, took < earlyEnd, "the turn ends after %s", took)
	})
	inBubble(t, "guards against waiting for a replica whose answer has begun and that sends no event", func(t *testing.T) {
		c := newStallClient(t, 30, true)
		c.stopAfter = 0
		took := assertServed(t, c, 2)
		assert.True(t, took < earlyEnd, "the turn ends after %s", took)
	})
	inBubble(t, "guards against cutting a stream that is slow all the time", func(t *testing.T) {
		for _, resumable := range []bool{true, false} {
			c := newStallClient(t, 30, resumable)
			c.gaps = map[int]time.Duration{}
			for n := range eventTotal {
				c.gaps[n+1] = 1100 * time.Millisecond
			}
			assertServed(t, c, 1)
		}
	})
	inBubble(t, "guards against cutting a stream that the replica still runs and that may end in time", func(t *testing.T) {
		c := newStallClient(t, 30, false)
		c.gaps, c.runsOn = map[int]time.Duration{4: 15 * time.Second}, 1000
		assertServed(t, c, 1)
	})
	inBubble(t, "guards against cutting a preempted stream that waits in the replica's queue, which its reports do not name", func(t *testing.T) {
		for _, resumable := range []bool{true, false} {
			c := newStallClient(t, 30, resumable)
			c.view.Routing.Routes[0].MaxAttempts = 1
			c.gaps, c.hasQueue = map[int]time.Duration{4: 5 * time.Second}, true
			assertServed(t, c, 1)
		}
	})
	inBubble(t, "guards against cutting a stream that this host has taken from a replica which works on for longer", func(t *testing.T) {
		for _, reportErr := range []error{nil, zinniapond.ErrOutcomeUnknown} {
			c := newStallClient(t, 30, true)
			c.stopAfter, c.runsOn, c.reportErr, c.errsOnlyActive = 3, 25, reportErr, true
			assertServed(t, c, 2)
		}
	})
	inBubble(t, "guards against waiting for a stream that the replica no longer runs", func(t *testing.T) {
		c := newStallClient(t, 30, false)
		c.stopAfter = 3
		took := assertBrokenOff(t, c)
		assert.True(t, took < earlyEnd, "the turn ends after %s", took)
	})
	inBubble(t, "guards against breaking off a stream before its deadline because others generate more or take longer", func(t *testing.T) {
		for _, resumable := range []bool{true, false} {
			c := newStallClient(t, 30, resumable)
			// The stream generates a hundredth of its limit; usual ones generate all of it.
			c.maxGenerated, c.gaps, c.runsOn = 1000*eventTotal, map[int]time.Duration{4: 1600 * time.Millisecond}, 1000
			c.view.Routing.Routes[0].MaxAttempts = 1
			assertServed(t, c, 1)
		}
	})
	inBubble(t, "guards against breaking off a stream as its first event comes, because it was long in coming", func(t *testing.T) {
		c := newStallClient(t, 30, false)
		c.maxGenerated, c.header, c.runsOn = 1000*eventTotal, 1600*time.Millisecond, 1000
		assertServed(t, c, 1)
	})
	inBubble(t, "guards against leaving a stalled stream to its client before or after its deadline while the replica runs it", func(t *testing.T) {
		c := newStallClient(t, 30, false)
		c.stopAfter, c.runsOn = 3, 1000
		took := assertBrokenOff(t, c)
		assert.True(t, took >= stallTimeout && took < stallTimeout+100*time.Millisecond, "the turn ends after %s", took)
	})
	inBubble(t, "guards against taking a pause of this host for a stall of the replica", func(t *testing.T) {
		c := newStallClient(t, 30, true)
		c.gaps = map[int]time.Duration{4: 1500 * time.Millisecond}
		// The clock runs ahead of the timers, as after a pause.
		time.AfterFunc(900*time.Millisecond, func() { c.skew.Store(int64(3 * time.Second)) })
		assertServed(t, c, 1)
	})
	inBubble(t, "guards against waiting for a stalled replica as the client was slow once", func(t *testing.T) {
		c := newStallClient(t, 30, true)
		c.stopAfter = 3
		to, begun := &pausingClient{pause: 2 * time.Second}, time.Now()
		c.Forward(t.Context(), begun, zinniapond.Request{
			ID: "id", Host: "h", Path: "/r/x", ReceivedAt: begun, MaxGenerated: 10 * eventTotal, ClientTimeout: stallTimeout,
		}, to)
		c.background.Wait()
		assert.True(t, to.ended, "the turn does not end: %v", to.refused)
		assert.True(t, time.Since(begun) < earlyEnd+2*time.Second, "the turn ends after %s", time.Since(begun))
		assert.Equal(t, c.lastIDs, []string{"", "3"})
	})
	inBubble(t, "guards against leaving a replica as the client is slow", func(t *testing.T) {
		c := newStallClient(t, 30, true)
		to, begun := &pausingClient{pause: 5 * time.Second}, time.Now()
		c.Forward(t.Context(), begun, zinniapond.Request{
			ID: "id", Host: "h", Path: "/r/x", ReceivedAt: begun, MaxGenerated: 10 * eventTotal, ClientTimeout: stallTimeout,
		}, to)
		c.background.Wait()
		assert.True(t, to.ended, "the turn does not end: %v", to.refused)
		assert.Equal(t, c.lastIDs, []string{""})
	})
	inBubble(t, "guards against many streams that leave a pool that stalls as a whole", func(t *testing.T) {
		c := newStallClient(t, 30, true)
		c.stopAfter, c.runsOn = 3, 1000
		early := 0
		for range 30 {
			c.lastIDs, c.reports = nil, 0
			if _, took := c.turn(); took < earlyEnd {
				early++
			}
		}
		assert.True(t, early <= 7, "%d of 30 streams have left early", early)
	})
}
