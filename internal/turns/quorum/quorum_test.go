package quorum

import (
	"fmt"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// disk returns a disk whose copies have counted since view first, and which has had
// its state since view since.
func disk(id, zone string, state zinniapond.DiskState, first, since zinniapond.Index) zinniapond.Disk {
	return zinniapond.Disk{ID: zinniapond.DiskID(id), DataCentre: zinniapond.DataCentre(zone), State: state, CountsSince: first, StateSince: since}
}

// answers returns a function that reports whether a disk is one of the given ones.
func answers(ids ...zinniapond.DiskID) func(zinniapond.DiskID) bool {
	return func(id zinniapond.DiskID) bool {
		for _, have := range ids {
			if have == id {
				return true
			}
		}
		return false
	}
}

func TestCertain(t *testing.T) {
	const full, lost, joining = zinniapond.DiskFull, zinniapond.DiskLost, zinniapond.DiskJoining
	three := Set{MaxLostMachines: 1, Disks: []zinniapond.Disk{disk("a", "1", full, 1, 1), disk("b", "2", full, 2, 2), disk("c", "3", full, 3, 3)}}
	t.Run("guards against a conclusive read while two disks that may hold a write do not answer", func(t *testing.T) {
		assert.True(t, three.IsReadQuorum(answers("a", "b")), "a read without one disk is not conclusive")
		assert.True(t, !three.IsReadQuorum(answers("a")), "a read without two disks is conclusive")
	})
	t.Run("guards against inconclusive reads while a lost disk and its successor both do not answer", func(t *testing.T) {
		s := Set{MaxLostMachines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", full, 1, 1), disk("b", "2", full, 2, 2), disk("old", "3", lost, 3, 10), disk("new", "3", full, 12, 12),
		}}
		assert.True(t, s.IsReadQuorum(answers("a", "b")), "the old and the new disk never counted in one write")
		assert.True(t, !s.IsReadQuorum(answers("a", "new")), "the lost disk and an unanswered one may hold a write")
	})
	t.Run("guards against taking a disk that counted before the loss for its successor", func(t *testing.T) {
		s := Set{MaxLostMachines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", full, 1, 1), disk("b", "2", full, 2, 2), disk("gone", "3", lost, 3, 12), disk("new", "3", full, 10, 10),
		}}
		assert.True(t, !s.IsReadQuorum(answers("a", "b")), "both counted under view 11")
	})
	t.Run("guards against ignoring the records of a disk that was lost, returned and does not answer", func(t *testing.T) {
		s := Set{MaxLostMachines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", full, 1, 1), disk("b", "2", lost, 2, 12), disk("back", "3", joining, 3, 14), disk("c", "4", full, 4, 4),
		}}
		assert.True(t, !s.IsReadQuorum(answers("a", "c")), "the lost disk and the one that was may hold a write")
		s.Disks[2].State = full
		assert.True(t, !s.IsReadQuorum(answers("a", "c")), "the lost disk and the one that was may hold a write")
	})
	t.Run("guards against inconclusive reads while a disk joins", func(t *testing.T) {
		s := Set{MaxLostMachines: 1, Disks: append([]zinniapond.Disk{disk("d", "1", joining, 0, 9)}, three.Disks...)}
		assert.True(t, s.IsReadQuorum(answers("a", "b")), "a joining disk holds no write")
	})
	t.Run("guards against a conclusive read without any disk", func(t *testing.T) {
		assert.True(t, !Set{MaxLostMachines: 1}.IsReadQuorum(answers()), "there is no disk")
	})
}

func TestShort(t *testing.T) {
	s := Set{MaxLostMachines: 2}
	for i := range 5 {
		s.Disks = append(s.Disks, disk(fmt.Sprint("d", i), fmt.Sprint("zone", i), zinniapond.DiskFull, 1, 1))
	}
	order := s.PreferenceOrder("x", "zone0")
	t.Run("guards against unneeded copies after a disk has joined", func(t *testing.T) {
		lack, enough := s.MissingCopies(order, answers(order[2].ID, order[3].ID, order[4].ID))
		assert.True(t, len(lack) == 0 && enough, "copies are asked for")
	})
	t.Run("guards against a record left with too few copies", func(t *testing.T) {
		lack, enough := s.MissingCopies(order, answers(order[4].ID))
		assert.True(t, enough, "too few")
		assert.Equal(t, len(lack), 2)
		assert.Equal(t, lack[0].ID, order[0].ID)
	})
	t.Run("guards against taking all disks for a quorum when they are too few", func(t *testing.T) {
		_, enough := s.MissingCopies(order[:2], answers(order[0].ID))
		assert.True(t, !enough, "two copies do not survive two losses")
	})
}

func TestWhole(t *testing.T) {
	const full, lost = zinniapond.DiskFull, zinniapond.DiskLost
	walked := func(indexes map[zinniapond.DiskID]zinniapond.Index) func(zinniapond.DiskID) zinniapond.Index {
		return func(id zinniapond.DiskID) zinniapond.Index { return indexes[id] }
	}
	s := Set{MaxLostMachines: 1, Disks: []zinniapond.Disk{
		disk("a", "1", full, 1, 1), disk("b", "2", full, 2, 2), disk("c", "3", full, 3, 3), disk("x", "4", lost, 4, 10),
	}}
	t.Run("guards against removing a lost disk before all others have verified their records", func(t *testing.T) {
		assert.True(t, !s.IsRecovered(walked(map[zinniapond.DiskID]zinniapond.Index{"a": 10, "b": 10, "c": 9})), "one has not verified its records")
		assert.True(t, s.IsRecovered(walked(map[zinniapond.DiskID]zinniapond.Index{"a": 10, "b": 11, "c": 10})), "all have verified their records")
	})
	t.Run("guards against relying on copies of a disk that was lost later", func(t *testing.T) {
		two := Set{MaxLostMachines: 2, Disks: append([]zinniapond.Disk{disk("y", "5", lost, 5, 12)}, s.Disks...)}
		assert.True(t, !two.IsRecovered(walked(map[zinniapond.DiskID]zinniapond.Index{"a": 11, "b": 11, "c": 11})), "a copy may be on the disk lost at 12")
		assert.True(t, two.IsRecovered(walked(map[zinniapond.DiskID]zinniapond.Index{"a": 12, "b": 12, "c": 12})), "all have verified their records since")
	})
	t.Run("guards against removing disks that have the only copies of a record", func(t *testing.T) {
		more := Set{MaxLostMachines: 1, Disks: append([]zinniapond.Disk{disk("y", "5", lost, 5, 12)}, s.Disks...)}
		assert.True(t, !more.IsRecovered(walked(map[zinniapond.DiskID]zinniapond.Index{"a": 12, "b": 12, "c": 12})), "both copies are on lost disks")
	})
}

func TestOrder(t *testing.T) {
	var s Set
	s.MaxLostMachines = 1
	for i := range 8 {
		s.Disks = append(s.Disks, disk(fmt.Sprint("d", i), fmt.Sprint("zone", i%4), zinniapond.DiskFull, 1, 1))
	}
	t.Run("guards against two copies in one data centre while others have none", func(t *testing.T) {
		for i := range 100 {
			order := s.PreferenceOrder(zinniapond.TurnID(fmt.Sprint(i)), "zone2")
			assert.Equal(t, order[0].DataCentre, "zone2")
			zones := make(map[zinniapond.DataCentre]bool)
			for _, d := range order[:4] {
				zones[d.DataCentre] = true
			}
			assert.Equal(t, len(zones), 4)
			assert.Equal(t, len(s.WriteQuorum(order)), 2)
		}
	})
	t.Run("guards against copies on leaving or lost disks", func(t *testing.T) {
		left := Set{MaxLostMachines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", zinniapond.DiskLeaving, 1, 1), disk("b", "2", zinniapond.DiskLost, 1, 1), disk("c", "3", zinniapond.DiskFull, 1, 1),
		}}
		assert.Equal(t, len(left.PreferenceOrder("x", "1")), 1)
	})
	t.Run("guards against both copies in one zone where the loss of a zone is tolerated", func(t *testing.T) {
		zones := Set{MaxLostZones: 1, Disks: []zinniapond.Disk{disk("a", "1", zinniapond.DiskFull, 1, 1), disk("b", "1", zinniapond.DiskFull, 1, 1)}}
		assert.True(t, !zones.IsWriteQuorum(zones.Disks), "both copies are in one zone")
	})
}
