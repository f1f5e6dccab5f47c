package vars

import (
	"encoding/json"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var start = time.Unix(1000, 0)

// directory is a directory whose configuration was confirmed at an instant.
type directory struct {
	zinniapond.Directory
	confirmedAt time.Time
	view        zinniapond.ControlView
}

func (d *directory) View() *zinniapond.ControlView { return &d.view }
func (d *directory) ConfirmedAt() time.Time        { return d.confirmedAt }

type source func(now time.Time, o *zinniapond.HostOverview)

func (s source) AddOverview(now time.Time, o *zinniapond.HostOverview) { s(now, o) }

func newOverview(confirmedAt time.Time, lease time.Duration) *Overview {
	return &Overview{Host: "host", KeyLease: lease, Directory: &directory{confirmedAt: confirmedAt}, Clock: func() time.Time { return start }}
}

func TestOverview(t *testing.T) {
	assertLease := func(t *testing.T, confirmedAt time.Time, lease, wantAge time.Duration, want bool) {
		t.Helper()
		c := newOverview(confirmedAt, lease).State(start).Configuration
		assert.Equal(t, c.ConfirmedAge.Duration(), wantAge)
		assert.Equal(t, c.KeyLeaseValid, want)
	}
	t.Run("guards against a lease that is shown as valid after its end", func(t *testing.T) {
		assertLease(t, start.Add(-4*time.Second), 4500*time.Millisecond, 4*time.Second, true)
		assertLease(t, start.Add(-4500*time.Millisecond), 4500*time.Millisecond, 4500*time.Millisecond, false)
	})
	t.Run("guards against an age of centuries before the state was first known to be current", func(t *testing.T) {
		assertLease(t, time.Time{}, time.Second, -1, false)
	})
	t.Run("guards against an expired lease where keys need none", func(t *testing.T) {
		assertLease(t, start.Add(-time.Hour), 0, time.Hour, true)
	})
	t.Run("guards against parts of sources that are not exported", func(t *testing.T) {
		o := newOverview(start, 0)
		o.Add(source(func(_ time.Time, h *zinniapond.HostOverview) {
			h.Queues = append(h.Queues, zinniapond.QueueOverview{Pool: "pool", LongestWait: zinniapond.Milliseconds(1500 * time.Microsecond)})
		}))
		o.Add(source(func(_ time.Time, h *zinniapond.HostOverview) { h.Limits.Counted = 3 }))
		assert.Contains(t, o.String(), `"longestWaitMs":1.5`)
		var got zinniapond.HostOverview
		assert.NoError(t, json.Unmarshal([]byte(o.String()), &got))
		assert.Equal(t, got.Limits.Counted, 3)
		assert.Equal(t, got.Queues[0].LongestWait.Duration(), 1500*time.Microsecond)
	})
}
