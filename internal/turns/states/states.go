// Package states decides the state transitions of the disks that store turns and
// budgets. It does no I/O.
package states

import (
	"cmp"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

// Transitions decides on the state transitions of the disks of one view. Its
// fields are set before use.
type Transitions struct {
	View      *zinniapond.ControlView
	Tolerance zinniapond.KeeperSettings
	// RecordLifetime is the time without a report after which every record on a disk
	// is past its retention, so that the disk can be removed without copies of them.
	RecordLifetime time.Duration
	// Reports has the last report of each disk. For a disk without a report,
	// Changes stores an empty one with the time of the first decision about the
	// disk, from which its silence is measured.
	Reports map[zinniapond.DiskID]zinniapond.DiskReport
}

// Changes returns the state changes that the set of disks needs, in the order
// in which they are to be proposed.
func (m *Transitions) Changes(now time.Time) []zinniapond.DiskChange {
	disks := quorum.New(m.View, m.Tolerance).Disks
	for _, d := range disks {
		if _, ok := m.Reports[d.ID]; !ok {
			m.Reports[d.ID] = zinniapond.DiskReport{ReceivedAt: now}
		}
	}
	var changes []zinniapond.DiskChange
	for _, d := range disks {
		state, remove := m.nextState(now, d)
		if state == d.State && !remove {
			continue
		}
		change := zinniapond.DiskChange{Disk: d, ExpectedState: d.State, Remove: remove}
		change.Disk.State = state
		if remove {
			change.DisksIndex = m.View.DisksIndex
		}
		changes = append(changes, change)
	}
	// Losses are proposed first and removals last, as removals depend on which
	// disks remain.
	slices.SortStableFunc(changes, func(a, b zinniapond.DiskChange) int { return cmp.Compare(proposalRank(a), proposalRank(b)) })
	return changes
}

func proposalRank(c zinniapond.DiskChange) int {
	switch {
	case c.Disk.State == zinniapond.DiskLost && !c.Remove:
		return 0
	case !c.Remove:
		return 1
	}
	return 2
}

func (m *Transitions) silence(now time.Time, d zinniapond.Disk) time.Duration {
	return now.Sub(m.Reports[d.ID].ReceivedAt)
}

// isReplaced reports whether the host of a disk has returned with another disk: of
// the disks at one address only the current one answers. A disk that has not yet
// reported to this leader does not replace another.
func (m *Transitions) isReplaced(now time.Time, d zinniapond.Disk) bool {
	for _, o := range m.View.Disks {
		answered := m.Reports[o.ID].Reply.Disk == o.ID
		if answered && o.Address == d.Address && o.ID != d.ID && m.silence(now, o) < m.silence(now, d) {
			return true
		}
	}
	return false
}

func (m *Transitions) nextState(now time.Time, d zinniapond.Disk) (state zinniapond.DiskState, remove bool) {
	unreachable := m.silence(now, d) >= m.Tolerance.DetectionTimeout() || m.isReplaced(now, d)
	switch d.State {
	case zinniapond.DiskJoining:
		switch {
		case unreachable && d.CountsSince > 0:
			return zinniapond.DiskLost, false
		case unreachable:
			return d.State, true // no copies on this disk have counted
		case m.isJoinApplied(d):
			return zinniapond.DiskFull, false
		}
	case zinniapond.DiskFull:
		if unreachable {
			return zinniapond.DiskLost, false
		}
	case zinniapond.DiskLeaving:
		// If the disk is unreachable before all its records were copied, the other
		// disks restore the copies.
		if m.isRedundant(d) && (unreachable || m.Reports[d.ID].Reply.VerifiedDisksIndex >= d.StateSince) {
			return d.State, true
		}
	case zinniapond.DiskLost:
		switch {
		case !unreachable:
			return zinniapond.DiskJoining, false
		case m.isRedundant(d) || m.silence(now, d) > m.RecordLifetime:
			return d.State, true
		}
	}
	return d.State, false
}

// isJoinApplied reports whether the hosts of all disks that are not lost have
// applied the join of a disk. From then on no read is conclusive without asking the
// disk.
func (m *Transitions) isJoinApplied(d zinniapond.Disk) bool {
	for _, o := range m.View.Disks {
		if o.State != zinniapond.DiskLost && m.Reports[o.ID].Reply.AppliedIndex < d.StateSince {
			return false
		}
	}
	return true
}

// isRedundant reports whether a disk is no longer needed, because the other disks
// have enough copies of each record. A leaving disk is treated as lost here.
func (m *Transitions) isRedundant(d zinniapond.Disk) bool {
	set := quorum.New(m.View, m.Tolerance)
	if d.State == zinniapond.DiskLeaving {
		for i := range set.Disks {
			if set.Disks[i].ID == d.ID {
				set.Disks[i].State = zinniapond.DiskLost
			}
		}
	}
	return set.IsRecovered(func(id zinniapond.DiskID) zinniapond.Index { return m.Reports[id].Reply.VerifiedDisksIndex })
}
