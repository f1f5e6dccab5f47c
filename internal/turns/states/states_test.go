package states

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const detectionTimeout = 5 * time.Second

// diskSet is a set of disks with their last reports.
type diskSet struct {
	now     time.Time
	view    zinniapond.ControlView
	reports map[zinniapond.DiskID]zinniapond.DiskReport
}

func newDiskSet() *diskSet {
	return &diskSet{
		now:     time.Unix(1000, 0),
		view:    zinniapond.ControlView{Index: 100, Disks: make(map[zinniapond.DiskID]zinniapond.Disk)},
		reports: make(map[zinniapond.DiskID]zinniapond.DiskReport),
	}
}

// addDisk adds a disk on the host with the given number.
func (w *diskSet) addDisk(id zinniapond.DiskID, host byte, state zinniapond.DiskState, since zinniapond.Index) {
	d := zinniapond.Disk{
		ID: id, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), 7000), State: state, StateSince: since,
	}
	if state != zinniapond.DiskJoining {
		d.CountsSince = 1
	}
	w.view.Disks[id] = d
}

// report stores a report that a disk sent some time ago.
func (w *diskSet) report(id zinniapond.DiskID, ago time.Duration, applied, walked zinniapond.Index) {
	w.reports[id] = zinniapond.DiskReport{ReceivedAt: w.now.Add(-ago), Reply: zinniapond.DiskStatusReply{Disk: id, AppliedIndex: applied, VerifiedDisksIndex: walked}}
}

// decidedChange returns the new state decided for a disk, "removed" if it is removed, or
// an empty text for no change.
func (w *diskSet) decidedChange(id zinniapond.DiskID) string {
	m := Transitions{
		View: &w.view, Tolerance: zinniapond.KeeperSettings{MaxLostMachines: 1, CatchUpTime: 2 * detectionTimeout}, RecordLifetime: time.Minute, Reports: w.reports,
	}
	for _, c := range m.Changes(w.now) {
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
	t.Run("guards against removing a new disk before it had time to report", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("new", 1, zinniapond.DiskJoining, 90)
		assert.Equal(t, w.decidedChange("new"), "")
		w.now = w.now.Add(detectionTimeout)
		assert.Equal(t, w.decidedChange("new"), "removed")
	})
	t.Run("guards against removing a wiped disk before the others have restored its copies", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("old", 1, zinniapond.DiskFull, 10)
		w.addDisk("new", 1, zinniapond.DiskJoining, 90)
		w.addDisk("other", 2, zinniapond.DiskFull, 11)
		w.report("old", time.Second, 80, 11)
		w.report("new", 0, 80, 0)
		w.report("other", 0, 100, 90)
		assert.Equal(t, w.decidedChange("old"), "lost")
		w.addDisk("old", 1, zinniapond.DiskLost, 95)
		assert.Equal(t, w.decidedChange("old"), "")
		w.report("other", 0, 100, 95)
		assert.Equal(t, w.decidedChange("old"), "removed")
	})
	t.Run("guards against treating a disk that has not reported to a new leader as a replacement", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("old", 1, zinniapond.DiskFull, 10)
		w.addDisk("new", 1, zinniapond.DiskJoining, 90)
		w.report("new", 4*time.Millisecond, 80, 0)
		assert.Equal(t, w.decidedChange("new"), "")
	})
	t.Run("guards against counting a disk whose join a reachable host has not applied", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("new", 1, zinniapond.DiskJoining, 90)
		w.addDisk("other", 2, zinniapond.DiskFull, 11)
		w.report("new", 0, 95, 0)
		w.report("other", 0, 89, 11)
		assert.Equal(t, w.decidedChange("new"), "")
		w.report("other", 0, 90, 11)
		assert.Equal(t, w.decidedChange("new"), "full")
	})
	t.Run("guards against removing a disk that holds records while it joins again", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("back", 1, zinniapond.DiskJoining, 90)
		d := w.view.Disks["back"]
		d.CountsSince = 1
		w.view.Disks["back"] = d
		w.addDisk("other", 2, zinniapond.DiskFull, 11)
		w.report("back", 2*detectionTimeout, 80, 11)
		w.report("other", 0, 95, 90)
		assert.Equal(t, w.decidedChange("back"), "lost")
	})
	t.Run("guards against removing disks that have the only copies of a record within its retention", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("one", 1, zinniapond.DiskLost, 90)
		w.addDisk("two", 2, zinniapond.DiskLost, 91)
		w.addDisk("other", 3, zinniapond.DiskFull, 11)
		w.report("one", 2*detectionTimeout, 80, 11)
		w.report("two", 2*detectionTimeout, 80, 11)
		w.report("other", 0, 95, 91)
		assert.Equal(t, w.decidedChange("one")+w.decidedChange("two"), "")
		w.report("one", 2*time.Minute, 80, 11)
		assert.Equal(t, w.decidedChange("one"), "removed")
	})
	t.Run("guards against a removal that applies although another disk has changed since", func(t *testing.T) {
		w := newDiskSet()
		w.view.DisksIndex = 97
		w.addDisk("old", 1, zinniapond.DiskLost, 95)
		w.addDisk("other", 2, zinniapond.DiskFull, 11)
		w.report("old", 2*detectionTimeout, 80, 11)
		w.report("other", 0, 100, 95)
		m := Transitions{View: &w.view, Tolerance: zinniapond.KeeperSettings{MaxLostMachines: 1, CatchUpTime: 2 * detectionTimeout}, RecordLifetime: time.Minute, Reports: w.reports}
		changes := m.Changes(w.now)
		assert.Equal(t, len(changes), 1)
		assert.True(t, changes[0].Remove && changes[0].DisksIndex == 97, "change %+v", changes[0])
	})
	t.Run("guards against removing a leaving disk that still has records of its own", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("leaves", 1, zinniapond.DiskLeaving, 90)
		w.addDisk("other", 2, zinniapond.DiskFull, 11)
		w.report("other", 0, 95, 90)
		w.report("leaves", 0, 95, 89)
		assert.Equal(t, w.decidedChange("leaves"), "")
		w.report("leaves", 0, 95, 90)
		assert.Equal(t, w.decidedChange("leaves"), "removed")
	})
	t.Run("guards against a returning disk counting without having joined again", func(t *testing.T) {
		w := newDiskSet()
		w.addDisk("back", 1, zinniapond.DiskLost, 90)
		w.addDisk("other", 2, zinniapond.DiskFull, 11)
		w.report("back", 0, 95, 0)
		w.report("other", 0, 95, 11)
		assert.Equal(t, w.decidedChange("back"), "joining")
	})
}
