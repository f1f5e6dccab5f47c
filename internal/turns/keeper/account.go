package keeper

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// account has the spends of one program, by attempt.
type account struct {
	mu     sync.Mutex
	spends map[zinniapond.AttemptID]storedSpend
	expiry time.Time
}

// storedSpend is a spend with the segment of its last record; the segment is 0
// until a record is synced.
type storedSpend struct {
	zinniapond.Spend
	segment uint32
}

// merge adds a spend, or replaces one that it supersedes.
func (a *account) merge(s zinniapond.Spend, segment uint32, until time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.spends == nil {
		a.spends = make(map[zinniapond.AttemptID]storedSpend)
	}
	if until.After(a.expiry) {
		a.expiry = until
	}
	existing, known := a.spends[s.Turn]
	if known && !s.Supersedes(existing.Spend) {
		existing.segment = max(existing.segment, segment)
		a.spends[s.Turn] = existing
		return
	}
	a.spends[s.Turn] = storedSpend{s, segment}
}

// addsInformation reports whether a spend is not yet synced in the same or a later
// state.
func (a *account) addsInformation(s zinniapond.Spend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	have, known := a.spends[s.Turn]
	return !known || have.segment == 0 || s.Supersedes(have.Spend)
}

func (a *account) listSpends() []zinniapond.Spend {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := make([]zinniapond.Spend, 0, len(a.spends))
	for _, s := range a.spends {
		list = append(list, s.Spend)
	}
	return list
}

// addChecksums adds the ids of the turns to the checksums of the seconds in which
// they reserved tokens. The checksums ignore whether a spend is settled: settlements
// are written to some disks only, and a spend that is not settled counts with its
// full reservation.
func (a *account) addChecksums(sums map[int64]uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for id, s := range a.spends {
		sums[s.ReservedAt.Unix()] ^= xxhash.Sum64String(string(id))
	}
}

// has reports whether the account has a spend of the turn.
func (a *account) has(turn zinniapond.AttemptID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	_, ok := a.spends[turn]
	return ok
}

// markSegments reports whether the account is within its retention, and if so marks
// the segments that have its records as used.
func (a *account) markSegments(now time.Time, used map[uint32]bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.After(a.expiry) {
		return false
	}
	for _, s := range a.spends {
		used[s.segment] = true
	}
	return true
}
