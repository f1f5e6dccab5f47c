// Package moves decides how the disks that keep turns and budgets move from
// state to state. It is pure.
package moves

import (
	"cmp"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// Moves is the basis of decisions about one view. Its fields are set before use.
type Moves struct {
	View      *zinniapond.ControlView
	Tolerance zinniapond.KeeperSettings
	// Forget is the silence after which nothing that is on a disk alone is within
	// its retention.
	Forget time.Duration
	// Reports has the last answer of each disk. A disk that has not answered yet
	// counts as silent from the first decision about it, which is noted here.
	Reports map[zinniapond.DiskID]zinniapond.DiskHeard
}

// Due returns the changes that the set of disks needs.
func (m *Moves) Due(now time.Time) []zinniapond.DiskChange {
	disks := ranks.New(m.View, m.Tolerance).Disks
	for _, d := range disks {
		if _, ok := m.Reports[d.ID]; !ok {
			m.Reports[d.ID] = zinniapond.DiskHeard{At: now}
		}
	}
	var changes []zinniapond.DiskChange
	for _, d := range disks {
		next, remove := m.next(now, d)
		if next == d.State && !remove {
			continue
		}
		change := zinniapond.DiskChange{Disk: d, Before: d.State, Remove: remove}
		change.Disk.State = next
		changes = append(changes, change)
	}
	// A loss is decided on before anything else: removals rest on who is left.
	slices.SortStableFunc(changes, func(a, b zinniapond.DiskChange) int { return cmp.Compare(urgency(a), urgency(b)) })
	return changes
}

func urgency(c zinniapond.DiskChange) int {
	switch {
	case c.Disk.State == zinniapond.DiskLost && !c.Remove:
		return 0
	case !c.Remove:
		return 1
	}
	return 2
}

func (m *Moves) silent(now time.Time, d zinniapond.Disk) time.Duration {
	return now.Sub(m.Reports[d.ID].At)
}

// replaced tells whether the host of a disk has come back with another one: of
// the disks at one address only the present one answers. A disk that has not
// answered this leader yet replaces none.
func (m *Moves) replaced(now time.Time, d zinniapond.Disk) bool {
	for _, o := range m.View.Disks {
		answered := m.Reports[o.ID].Reply.Disk == o.ID
		if answered && o.Address == d.Address && o.ID != d.ID && m.silent(now, o) < m.silent(now, d) {
			return true
		}
	}
	return false
}

func (m *Moves) next(now time.Time, d zinniapond.Disk) (state zinniapond.DiskState, remove bool) {
	gone := m.silent(now, d) >= m.Tolerance.Patience() || m.replaced(now, d)
	switch d.State {
	case zinniapond.DiskJoining:
		switch {
		case gone && d.First > 0:
			return zinniapond.DiskLost, false
		case gone:
			return d.State, true // nothing that counts is on it
		case m.applied(d):
			return zinniapond.DiskFull, false
		}
	case zinniapond.DiskFull:
		if gone {
			return zinniapond.DiskLost, false
		}
	case zinniapond.DiskLeaving:
		// The others make up for one that is gone before it is empty.
		if m.whole(d) && (gone || m.Reports[d.ID].Reply.Walked >= d.Since) {
			return d.State, true
		}
	case zinniapond.DiskLost:
		switch {
		case !gone:
			return zinniapond.DiskJoining, false
		case m.whole(d) || m.silent(now, d) > m.Forget:
			return d.State, true
		}
	}
	return d.State, false
}

// applied tells whether all living members know that a disk joins: from then on
// no read can be certain without asking it.
func (m *Moves) applied(d zinniapond.Disk) bool {
	for _, o := range m.View.Disks {
		if o.State != zinniapond.DiskLost && m.Reports[o.ID].Reply.Applied < d.Since {
			return false
		}
	}
	return true
}

// whole tells whether nothing needs a disk any more: the disks without it have
// enough copies of each record. A leaving disk that is gone counts as lost.
func (m *Moves) whole(d zinniapond.Disk) bool {
	set := ranks.New(m.View, m.Tolerance)
	if d.State == zinniapond.DiskLeaving {
		for i := range set.Disks {
			if set.Disks[i].ID == d.ID {
				set.Disks[i].State = zinniapond.DiskLost
			}
		}
	}
	return set.Whole(func(id zinniapond.DiskID) zinniapond.Index { return m.Reports[id].Reply.Walked })
}
