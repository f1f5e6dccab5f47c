package tender

import (
	"cmp"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// heard is the last answer of a disk.
type heard struct {
	at    time.Time
	reply zinniapond.DiskReply
}

// decide returns the changes that the set of disks needs. A disk that has not
// answered yet counts as silent from the first decision about it; reports notes
// that.
func decide(now time.Time, patience time.Duration, view *zinniapond.ControlView, reports map[zinniapond.DiskID]heard) []zinniapond.DiskChange {
	disks := make([]zinniapond.Disk, 0, len(view.Disks))
	for _, d := range view.Disks {
		disks = append(disks, d)
		if _, ok := reports[d.ID]; !ok {
			reports[d.ID] = heard{at: now}
		}
	}
	slices.SortFunc(disks, func(a, b zinniapond.Disk) int { return cmp.Compare(a.ID, b.ID) })
	f := fleet{now: now, patience: patience, disks: disks, reports: reports}
	var changes []zinniapond.DiskChange
	for _, d := range disks {
		next, remove := f.next(d)
		if next == d.State && !remove {
			continue
		}
		change := zinniapond.DiskChange{Disk: d, Before: d.State, Remove: remove}
		change.Disk.State = next
		changes = append(changes, change)
	}
	return changes
}

// fleet is the basis of one decision.
type fleet struct {
	now      time.Time
	patience time.Duration
	disks    []zinniapond.Disk
	reports  map[zinniapond.DiskID]heard
}

func (f *fleet) silent(d zinniapond.Disk) time.Duration { return f.now.Sub(f.reports[d.ID].at) }

// replaced tells whether the host of a disk has come back with another one: of
// the disks at one address only the present one answers. A disk that has not
// answered this leader yet replaces none.
func (f *fleet) replaced(d zinniapond.Disk) bool {
	for _, o := range f.disks {
		answered := f.reports[o.ID].reply.Disk == o.ID
		if answered && o.Address == d.Address && o.ID != d.ID && f.silent(o) < f.silent(d) {
			return true
		}
	}
	return false
}

func (f *fleet) next(d zinniapond.Disk) (state zinniapond.DiskState, remove bool) {
	gone := f.silent(d) >= f.patience || f.replaced(d)
	switch d.State {
	case zinniapond.DiskJoining:
		switch {
		case gone:
			return d.State, true // nothing that counts is on it
		case f.applied(d):
			return zinniapond.DiskFilling, false
		}
	case zinniapond.DiskFilling, zinniapond.DiskFull:
		switch {
		case gone:
			return zinniapond.DiskLost, false
		case d.State == zinniapond.DiskFilling && f.walked(d):
			return zinniapond.DiskFull, false
		}
	case zinniapond.DiskLeaving:
		// The others make up for one that is gone before it is empty.
		if f.walked(d) && (f.self(d) || gone) {
			return d.State, true
		}
	case zinniapond.DiskLost:
		switch {
		case !gone:
			return zinniapond.DiskJoining, false
		case f.walked(d):
			return d.State, true
		}
	}
	return d.State, false
}

// applied tells whether all living members know that a disk joins: from then on
// no read can be certain without asking it.
func (f *fleet) applied(d zinniapond.Disk) bool {
	for _, o := range f.disks {
		if o.State != zinniapond.DiskLost && f.reports[o.ID].reply.Applied < d.Since {
			return false
		}
	}
	return true
}

// walked tells whether all other disks have given their records away under a set
// of disks in which d has its present state.
func (f *fleet) walked(d zinniapond.Disk) bool {
	for _, o := range f.disks {
		if o.ID == d.ID || o.State == zinniapond.DiskLost || o.State == zinniapond.DiskJoining {
			continue
		}
		if f.reports[o.ID].reply.Walked < d.Since {
			return false
		}
	}
	return true
}

// self tells whether a leaving disk has given its own records away.
func (f *fleet) self(d zinniapond.Disk) bool { return f.reports[d.ID].reply.Walked >= d.Since }
