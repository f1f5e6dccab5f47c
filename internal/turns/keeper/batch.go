package keeper

import (
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

// batch has turns that all disks are to retain until an instant, for the sake of later
// turns of this disk.
type batch struct {
	until time.Time
	// announces is set if the batch has the previous turn of each later turn, and not all
	// of its earlier turns.
	announces bool
	ids       []zinniapond.TurnID
	later     map[zinniapond.TurnID]*turnEntry

	mu      sync.Mutex
	has     map[zinniapond.TurnID]bool
	waiting map[zinniapond.DiskID]bool // disks that have not confirmed
	// retained has what disks say of the earlier turns of the turns in the batch.
	retained map[zinniapond.TurnID]time.Time
}

func newBatch(until time.Time, announces bool) *batch {
	return &batch{
		until: until, announces: announces, later: make(map[zinniapond.TurnID]*turnEntry), has: make(map[zinniapond.TurnID]bool),
		waiting: make(map[zinniapond.DiskID]bool), retained: make(map[zinniapond.TurnID]time.Time),
	}
}

// add adds the earlier turns of a turn.
func (b *batch) add(id zinniapond.TurnID, s *turnEntry) {
	b.later[id] = s
	ids := s.chain
	if b.announces {
		ids = ids[len(ids)-1:]
	}
	for _, id := range ids {
		if !b.has[id] {
			b.has[id] = true
			b.ids = append(b.ids, id)
		}
	}
}

// record adds what a disk says at the given instant or later.
func (b *batch) record(now time.Time, list []zinniapond.RetainedChain) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range list {
		if until := now.Add(n.For); until.After(b.retained[n.Turn]) {
			b.retained[n.Turn] = until
		}
	}
}

// retainedUntil returns the instant until which the earlier turns of a later turn are
// retained once all disks have confirmed the batch; zero if it is not known.
func (b *batch) retainedUntil(s *turnEntry) time.Time {
	if !b.announces {
		return b.until
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	at := b.retained[s.chain[len(s.chain)-1]]
	if at.After(b.until) {
		return b.until
	}
	return at
}

// expect sets the disks that are to confirm. It returns whether there are none.
func (b *batch) expect(disks []zinniapond.DiskID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range disks {
		b.waiting[id] = true
	}
	return len(b.waiting) == 0
}

// confirm records that a disk has confirmed, or is no longer in the set. It returns
// whether it was the last one.
func (b *batch) confirm(disk zinniapond.DiskID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.waiting[disk] {
		return false
	}
	delete(b.waiting, disk)
	return len(b.waiting) == 0
}
