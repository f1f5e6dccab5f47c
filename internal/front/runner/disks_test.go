package runner

import (
	"sync"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// changingView is a directory whose view changes during the test.
type changingView struct {
	*testRunner
	mu      sync.Mutex
	current zinniapond.ControlView
	changed chan struct{}
}

func (c *changingView) View() *zinniapond.ControlView {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.current
	return &view
}

func (c *changingView) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

func (c *changingView) change(update func(*zinniapond.ControlView)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.current)
	close(c.changed)
	c.changed = make(chan struct{})
}

func TestTooFewDisks(t *testing.T) {
	kept := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1, Retained: true, Retention: time.Minute}
	turn := zinniapond.Request{Program: "p", TokenBudget: 100, MaxGenerated: 50, Body: []byte("in")}
	// assertServedAfter runs a turn before disks that answer again after 5 ms, when
	// event is called.
	assertServedAfter := func(t *testing.T, want time.Duration, reservations int, event func(*testRunner, *changingView)) {
		t.Helper()
		w := newTestRunner(t, kept, answersWith(200, wholeText, true, nil))
		view := &changingView{testRunner: w, current: w.view, changed: make(chan struct{})}
		w.Directory = view
		w.turns.reached = make(chan struct{})
		start, count := time.Now(), 0
		var served time.Duration
		w.turns.reserve = zinniapond.ErrNoQuorum
		w.turns.onReserve = func() {
			count++
			if served = time.Since(start); served >= 5*time.Millisecond {
				w.turns.reserve = nil
			}
		}
		time.AfterFunc(5*time.Millisecond, func() { event(w, view) })
		assert.Equal(t, w.forward(turn).body.String(), wholeText)
		assert.Equal(t, served, want)
		assert.Equal(t, count, reservations)
	}
	inBubble(t, "guards against waiting on after a disk is reached again", func(t *testing.T) {
		assertServedAfter(t, 5*time.Millisecond, 2, func(w *testRunner, _ *changingView) { close(w.turns.reached) })
	})
	inBubble(t, "guards against waiting on after the set of disks has changed", func(t *testing.T) {
		assertServedAfter(t, 5*time.Millisecond, 2, func(_ *testRunner, c *changingView) {
			c.change(func(v *zinniapond.ControlView) { v.DisksIndex++ })
		})
	})
	inBubble(t, "guards against a request to all disks for each change of another part of the view", func(t *testing.T) {
		assertServedAfter(t, quorumRetryInterval, 2, func(_ *testRunner, c *changingView) {
			for range 5 {
				c.change(func(v *zinniapond.ControlView) { v.Index++ })
				time.Sleep(time.Millisecond)
			}
		})
	})
	inBubble(t, "guards against waiting for an event that nothing causes", func(t *testing.T) {
		assertServedAfter(t, quorumRetryInterval, 2, func(*testRunner, *changingView) {})
	})
}
