package keeper

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// account has the spends of one program.
type account struct {
	mu     sync.Mutex
	spends map[zinniapond.AttemptID]spent
	until  time.Time
}

// spent is a spend with the segment of its last record.
type spent struct {
	zinniapond.Spend
	segment uint32
}

// merge takes a spend in. A settled one is final.
func (a *account) merge(s zinniapond.Spend, segment uint32, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.spends == nil {
		a.spends = make(map[zinniapond.AttemptID]spent)
	}
	if until.After(a.until) {
		a.until = until
	}
	have, known := a.spends[s.Turn]
	if known && (have.Settled || !s.Settled) {
		have.segment = max(have.segment, segment)
		a.spends[s.Turn] = have
		return
	}
	a.spends[s.Turn] = spent{s, segment}
}

// news tells whether a spend says more than what is known and synced.
func (a *account) news(s zinniapond.Spend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	have, known := a.spends[s.Turn]
	return !known || have.segment == 0 || s.Settled && !have.Settled
}

func (a *account) all() []zinniapond.Spend {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]zinniapond.Spend, 0, len(a.spends))
	for _, s := range a.spends {
		list = append(list, s.Spend)
	}
	return list
}

// add adds the turns that have spent to the checksums of their seconds. Whether
// they are settled does not count: a settlement is on some disks only, and
// without it a turn counts with all that it reserved.
func (a *account) add(sums map[int64]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.spends {
		sums[s.At.Unix()] ^= xxhash.Sum64String(string(id))
	}
}

// has tells whether the spend of a turn is known.
func (a *account) has(turn zinniapond.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.spends[turn]
	return ok
}

// live tells whether the account is within its retention, and marks the
// segments that have its records.
func (a *account) live(now time.Time, used map[uint32]bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.After(a.until) {
		return false
	}
	for _, s := range a.spends {
		used[s.segment] = true
	}
	return true
}
