package pace

import (
	"cmp"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// RampUps returns the replicas that are bounded, ordered by address.
func (b *Book) RampUps(now time.Time) []zinniapond.RampUp {
	var list []zinniapond.RampUp
	for _, s := range b.list() {
		if r, ok := s.rampUp(now); ok {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(x, y zinniapond.RampUp) int {
		return cmp.Or(x.Replica.Compare(y.Replica), cmp.Compare(x.ID, y.ID))
	})
	return list
}

// rampUp describes the ramp-up of the replica; ok is false if there is none. Without a
// recent sum of all hosts the load is that of this host.
func (s *server) rampUp(now time.Time) (r zinniapond.RampUp, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isBounded.Load() {
		return zinniapond.RampUp{}, false
	}
	r = zinniapond.RampUp{Replica: s.address, ID: s.id, Pool: s.poolName, Bound: int(s.bound), Load: s.inFlight, Since: s.begunAt}
	if now.Sub(s.loadAt) <= maxSumAge {
		r.Load = int(s.knownLoad())
	}
	return r, true
}
