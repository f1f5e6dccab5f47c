package ranks

import (
	"fmt"
	"testing"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func disk(id, zone string, state zinniapond.DiskState, since zinniapond.Index) zinniapond.Disk {
	return zinniapond.Disk{ID: zinniapond.DiskID(id), DataCentre: zinniapond.DataCentre(zone), State: state, Since: since}
}

// answers returns whether the given disks have answered.
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
	const full, filling, lost, joining = zinniapond.DiskFull, zinniapond.DiskFilling, zinniapond.DiskLost, zinniapond.DiskJoining
	three := Set{Machines: 1, Disks: []zinniapond.Disk{disk("a", "1", full, 1), disk("b", "2", full, 2), disk("c", "3", full, 3)}}
	t.Run("guards against certainty while two disks that may hold a write are silent", func(t *testing.T) {
		assert.True(t, three.Certain(answers("a", "b")), "one silent disk makes a read uncertain")
		assert.True(t, !three.Certain(answers("a")), "two silent disks are no matter")
	})
	t.Run("guards against a standstill while a lost disk and its successor are both incomplete", func(t *testing.T) {
		s := Set{Machines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", full, 1), disk("b", "2", full, 2), disk("old", "3", lost, 10), disk("new", "3", filling, 12),
		}}
		assert.True(t, s.Certain(answers("a", "b", "new")), "the old and the new disk were never in one write")
		assert.True(t, !s.Certain(answers("a", "new")), "the lost disk and a silent one may hold a write")
	})
	t.Run("guards against taking a disk that filled before the loss for its successor", func(t *testing.T) {
		s := Set{Machines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", full, 1), disk("b", "2", full, 2), disk("gone", "3", lost, 12), disk("new", "3", filling, 10),
		}}
		assert.True(t, !s.Certain(answers("a", "b", "new")), "both counted under view 11")
	})
	t.Run("guards against trusting what a filling disk lacks", func(t *testing.T) {
		s := Set{Machines: 1, Disks: []zinniapond.Disk{disk("a", "1", full, 1), disk("b", "2", full, 2), disk("new", "3", filling, 12)}}
		assert.True(t, !s.Certain(answers("a", "new")), "the silent disk and the filling one may hold a write")
	})
	t.Run("guards against counting a disk that only joins", func(t *testing.T) {
		s := Set{Machines: 1, Disks: append([]zinniapond.Disk{disk("d", "1", joining, 9)}, three.Disks...)}
		assert.True(t, s.Certain(answers("a", "b")), "a joining disk holds no write")
	})
	t.Run("guards against certainty without any disk", func(t *testing.T) {
		assert.True(t, !Set{Machines: 1}.Certain(answers()), "there is no disk")
	})
}

func TestOrder(t *testing.T) {
	var s Set
	s.Machines = 1
	for i := range 8 {
		s.Disks = append(s.Disks, disk(fmt.Sprint("d", i), fmt.Sprint("zone", i%4), zinniapond.DiskFull, 1))
	}
	t.Run("guards against two copies in one data centre while others have none", func(t *testing.T) {
		for i := range 100 {
			order := s.Order(zinniapond.TurnID(fmt.Sprint(i)), "zone2")
			assert.Equal(t, order[0].DataCentre, "zone2")
			zones := make(map[zinniapond.DataCentre]bool)
			for _, d := range order[:4] {
				zones[d.DataCentre] = true
			}
			assert.Equal(t, len(zones), 4)
			assert.Equal(t, len(s.Copies(order)), 2)
		}
	})
	t.Run("guards against copies on disks that leave or are lost", func(t *testing.T) {
		left := Set{Machines: 1, Disks: []zinniapond.Disk{
			disk("a", "1", zinniapond.DiskLeaving, 1), disk("b", "2", zinniapond.DiskLost, 1), disk("c", "3", zinniapond.DiskFull, 1),
		}}
		assert.Equal(t, len(left.Order("x", "1")), 1)
	})
	t.Run("guards against a zone's loss where zones are to be borne", func(t *testing.T) {
		zones := Set{Zones: 1, Disks: []zinniapond.Disk{disk("a", "1", zinniapond.DiskFull, 1), disk("b", "1", zinniapond.DiskFull, 1)}}
		assert.True(t, !zones.Written(zones.Disks), "both copies are in one zone")
	})
}
