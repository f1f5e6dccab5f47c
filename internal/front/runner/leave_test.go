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

// eventClient stands in for replicas that send ten events at an interval each. The next
// stream stops after stopAfter events if stops is set.
type eventClient struct {
	*testRunner
	stops     atomic.Bool
	stopAfter int
	lastIDs   []string
}

const (
	eventTotal    = 10
	eventInterval = 30 * time.Millisecond
)

func (c *eventClient) Send(ctx context.Context, _ time.Time, q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	c.lastIDs = append(c.lastIDs, q.LastEventID)
	next, _ := strconv.Atoi(q.LastEventID) // empty for a stream from its beginning
	b := &eventBody{ctx: ctx, next: next, stopAfter: eventTotal}
	if c.stops.Swap(false) {
		b.stopAfter = c.stopAfter
	}
	return &zinniapond.ReplicaAnswer{Status: 200, Length: -1, Verified: true, IsStream: true, Body: b}, nil
}

// eventBody sends events until it stops; it then hangs until the attempt ends.
type eventBody struct {
	ctx             context.Context
	next, stopAfter int
}

func (b *eventBody) Read(part []byte) (int, error) {
	if b.next == eventTotal {
		return 0, io.EOF
	}
	if b.next == b.stopAfter {
		<-b.ctx.Done()
		return 0, b.ctx.Err()
	}
	time.Sleep(eventInterval)
	b.next++
	return copy(part, fmt.Sprintf("id: %d\ndata: x\n\n", b.next)), nil
}

func (b *eventBody) Close() error { return nil }

// newEventClient returns replicas of which the usual speed is known.
func newEventClient(t *testing.T, maxAttempts int) *eventClient {
	t.Helper()
	w := newTestRunner(t, zinniapond.Route{Kind: zinniapond.RequestStream, Resumable: true, MaxAttempts: maxAttempts}, refusesRequest)
	c := &eventClient{testRunner: w, stopAfter: 3}
	w.Client = c
	w.view.Routing.Routes[0].Timeout = 3 * time.Second
	for range 30 {
		assert.True(t, c.turn().ended, "a usual turn does not end")
	}
	c.lastIDs = nil
	return c
}

func (c *eventClient) turn() *recorder {
	return c.forward(zinniapond.Request{MaxGenerated: 10 * eventTotal, ClientTimeout: 3 * time.Second})
}

func TestDeparture(t *testing.T) {
	inBubble(t, "guards against a turn that is lost at a replica that hangs while another one can end it", func(t *testing.T) {
		c := newEventClient(t, 2)
		c.stops.Store(true)
		begin := time.Now()
		to := c.turn()
		assert.True(t, to.ended && !to.aborted, "the turn does not end: %v", to.refused)
		assert.Equal(t, c.lastIDs, []string{"", "3"})
		assert.True(t, time.Since(begin) < 3*time.Second, "the turn ends after %s", time.Since(begin))
		assert.Equal(t, c.Stats.Value("front.left"), 1)
	})
	inBubble(t, "guards against more runs than the route allows", func(t *testing.T) {
		c := newEventClient(t, 1)
		c.stops.Store(true)
		assert.True(t, !c.turn().ended, "the turn ends")
		assert.Equal(t, c.lastIDs, []string{""})
	})
	inBubble(t, "guards against leaving a replica while no other one has room", func(t *testing.T) {
		c := newEventClient(t, 2)
		c.stops.Store(true)
		c.runsOn = 1000 // a run that is gone is left in any case
		p, err := c.pool("pool")
		assert.NoError(t, err)
		// The waiting request arrives later, so that the turn does not wait for it.
		later := time.Now().Add(time.Hour)
		p.waiters.enter(time.Now(), time.Now(), zinniapond.WaitingRequest{Ticket: 1000, IsTurn: true, Begins: true, EnteredAt: later, LeaveAt: later})
		defer p.waiters.scan.Stop()
		p.waiters.scan.Stop()
		assert.True(t, !c.turn().ended, "the turn ends")
		assert.Equal(t, c.Stats.Value("front.left"), 0)
	})
	inBubble(t, "guards against a second run while the first one goes on", func(t *testing.T) {
		c := newEventClient(t, 2)
		c.stops.Store(true)
		c.runsOn = 1000
		assert.True(t, !c.turn().ended, "the turn ends")
		assert.Equal(t, c.lastIDs, []string{""})
		synctest.Wait()
	})
}
