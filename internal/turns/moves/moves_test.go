package moves

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const patience = 5 * time.Second

// world is a set of disks with what was heard of them.
type world struct {
	now     time.Time
	view    zinniapond.ControlView
	reports map[zinniapond.DiskID]zinniapond.DiskHeard
}

func newWorld() *world {
	return &world{
		now:     time.Unix(1000, 0),
		view:    zinniapond.ControlView{Index: 100, Disks: make(map[zinniapond.DiskID]zinniapond.Disk)},
		reports: make(map[zinniapond.DiskID]zinniapond.DiskHeard),
	}
}

// disk adds a disk on the host with the given number.
func (w *world) disk(id zinniapond.DiskID, host byte, state zinniapond.DiskState, since zinniapond.Index) {
	d := zinniapond.Disk{
		ID: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000), State: state, Since: since,
	}
	if state != zinniapond.DiskJoining {
		d.First = 1
	}
	w.view.Disks[id] = d
}

// hear notes that a disk has answered some time ago.
func (w *world) hear(id zinniapond.DiskID, ago time.Duration, applied, walked zinniapond.Index) {
	w.reports[id] = zinniapond.DiskHeard{At: w.now.Add(-ago), Reply: zinniapond.DiskReply{Disk: id, Applied: applied, Walked: walked}}
}

// change returns the change decided for a disk, as text; empty for none.
func (w *world) change(id zinniapond.DiskID) string {
	m := Moves{
		View: &w.view, Tolerance: zinniapond.KeeperSettings{Machines: 1, CatchUp: 2 * patience}, Forget: time.Minute, Reports: w.reports,
	}
	for _, c := range m.Due(w.now) {
		switch {
		case c.Disk.ID != id:
		case c.Remove:
			return "removed"
		default:
			return string(c.Disk.State)
		}
	}
	return ""
}

func TestMoves(t *testing.T) {
	t.Run("guards against removing a new disk before it was asked", func(t *testing.T) {
		w := newWorld()
		w.disk("new", 1, zinniapond.DiskJoining, 90)
		assert.Equal(t, w.change("new"), "")
		w.now = w.now.Add(patience)
		assert.Equal(t, w.change("new"), "removed")
	})
	t.Run("guards against forgetting a wiped disk before the others made up for it", func(t *testing.T) {
		w := newWorld()
		w.disk("old", 1, zinniapond.DiskFull, 10)
		w.disk("new", 1, zinniapond.DiskJoining, 90)
		w.disk("other", 2, zinniapond.DiskFull, 11)
		w.hear("old", time.Second, 80, 11)
		w.hear("new", 0, 80, 0)
		w.hear("other", 0, 100, 90)
		assert.Equal(t, w.change("old"), "lost")
		w.disk("old", 1, zinniapond.DiskLost, 95)
		assert.Equal(t, w.change("old"), "")
		w.hear("other", 0, 100, 95)
		assert.Equal(t, w.change("old"), "removed")
	})
	t.Run("guards against taking a disk that a new leader has not heard for the one that answers", func(t *testing.T) {
		w := newWorld()
		w.disk("old", 1, zinniapond.DiskFull, 10)
		w.disk("new", 1, zinniapond.DiskJoining, 90)
		w.hear("new", 4*time.Millisecond, 80, 0)
		assert.Equal(t, w.change("new"), "")
	})
	t.Run("guards against counting a disk that a living member does not know", func(t *testing.T) {
		w := newWorld()
		w.disk("new", 1, zinniapond.DiskJoining, 90)
		w.disk("other", 2, zinniapond.DiskFull, 11)
		w.hear("new", 0, 95, 0)
		w.hear("other", 0, 89, 11)
		assert.Equal(t, w.change("new"), "")
		w.hear("other", 0, 90, 11)
		assert.Equal(t, w.change("new"), "full")
	})
	t.Run("guards against forgetting a disk that holds records as it joins again", func(t *testing.T) {
		w := newWorld()
		w.disk("back", 1, zinniapond.DiskJoining, 90)
		d := w.view.Disks["back"]
		d.First = 1
		w.view.Disks["back"] = d
		w.disk("other", 2, zinniapond.DiskFull, 11)
		w.hear("back", 2*patience, 80, 11)
		w.hear("other", 0, 95, 90)
		assert.Equal(t, w.change("back"), "lost")
	})
	t.Run("guards against forgetting disks that alone have a record, within its retention", func(t *testing.T) {
		w := newWorld()
		w.disk("one", 1, zinniapond.DiskLost, 90)
		w.disk("two", 2, zinniapond.DiskLost, 91)
		w.disk("other", 3, zinniapond.DiskFull, 11)
		w.hear("one", 2*patience, 80, 11)
		w.hear("two", 2*patience, 80, 11)
		w.hear("other", 0, 95, 91)
		assert.Equal(t, w.change("one")+w.change("two"), "")
		w.hear("one", 2*time.Minute, 80, 11)
		assert.Equal(t, w.change("one"), "removed")
	})
	t.Run("guards against removing a leaving disk that still has records of its own", func(t *testing.T) {
		w := newWorld()
		w.disk("leaves", 1, zinniapond.DiskLeaving, 90)
		w.disk("other", 2, zinniapond.DiskFull, 11)
		w.hear("other", 0, 95, 90)
		w.hear("leaves", 0, 95, 89)
		assert.Equal(t, w.change("leaves"), "")
		w.hear("leaves", 0, 95, 90)
		assert.Equal(t, w.change("leaves"), "removed")
	})
	t.Run("guards against a returning disk counting without having joined again", func(t *testing.T) {
		w := newWorld()
		w.disk("back", 1, zinniapond.DiskLost, 90)
		w.disk("other", 2, zinniapond.DiskFull, 11)
		w.hear("back", 0, 95, 0)
		w.hear("other", 0, 95, 11)
		assert.Equal(t, w.change("back"), "joining")
	})
}
