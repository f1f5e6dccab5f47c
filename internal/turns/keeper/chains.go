package keeper

import (
	"math"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
	"zinniapond.example/zinniapond/internal/turns/renew"
)

// unlimitedRetention is reported for a turn without earlier turns.
const unlimitedRetention = 365 * 24 * time.Hour

// batchSpan bounds the differences between the instants of a batch. Turns are retained for
// up to 8 s longer than needed, so that the other disks with a turn, which stored it a
// little later and learn of the renewal with a margin, take it for sufficient.
const batchSpan = 4 * time.Second

// renewalState is what a disk knows of the retention of the earlier turns of a turn. Its
// instants are in Unix nanoseconds, as there is one state for each turn of the disk; zero
// if unknown. renew.Chain describes them.
type renewalState struct {
	mu                        sync.Mutex
	storedAt, until           int64
	retainedUntil, knownUntil int64
	rank                      int8
	isRanked, isContinued     bool
	// isPending is set while an announcement is being sent, and while there are disks that
	// have not confirmed a renewal.
	isPending bool
}

// init is called before the turn is in the index.
func (s *renewalState) init(now time.Time, t *zinniapond.Turn) {
	s.storedAt, s.until = now.UnixNano(), now.Add(t.Retention).UnixNano()
	if len(t.Chain) == 0 {
		s.retainedUntil = now.Add(max(unlimitedRetention, t.Retention)).UnixNano()
	}
}

// chain requires the lock.
func (s *renewalState) chain() renew.Chain {
	return renew.Chain{
		StoredAt: time.Unix(0, s.storedAt), Until: time.Unix(0, s.until), RetainedUntil: decodeInstant(s.retainedUntil), KnownUntil: decodeInstant(s.knownUntil),
		Continued: s.isContinued, Rank: int(s.rank),
	}
}

func decodeInstant(nanos int64) time.Time {
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

func encodeInstant(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// begin reports whether a renewal is due, and whether it only announces the turn. The
// caller sends it. rank returns the rank of this disk.
func (s *renewalState) begin(now time.Time, rank func() int) (isDue, announces bool, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.chain()
	if s.isPending || !c.IsDue(now) {
		return false, false, time.Time{}
	}
	if !s.isRanked {
		s.rank, s.isRanked = int8(min(rank(), math.MaxInt8)), true
		if c = s.chain(); !c.IsDue(now) {
			return false, false, time.Time{}
		}
	}
	s.isPending = true
	return true, c.Announces(now), c.Until
}

// endAnnouncement records that disks have been told of the turn, and what they say of the
// earlier turns; knownUntil is zero if none of them knows.
func (s *renewalState) endAnnouncement(knownUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPending = false
	s.knownUntil = max(s.knownUntil, encodeInstant(knownUntil))
}

// confirm records that all disks have confirmed a renewal or an announcement.
func (s *renewalState) confirm(retainedUntil time.Time, announces bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isPending = s.isPending && announces
	s.retainedUntil = max(s.retainedUntil, encodeInstant(retainedUntil))
}

// learn records that another disk has renewed the earlier turns.
func (s *renewalState) learn(retainedUntil time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retainedUntil = max(s.retainedUntil, encodeInstant(retainedUntil))
}

// markContinued records that there is a later turn, and returns for how long the earlier
// turns are retained; zero if that is not known.
func (s *renewalState) markContinued(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isContinued = true
	return max(time.Duration(s.retainedUntil-now.UnixNano()), 0)
}

// applyRenewal renews turns of this disk, and takes over what another disk says of the
// retention of their earlier turns.
func (k *Keeper) applyRenewal(now time.Time, request zinniapond.KeepRequest, reply *zinniapond.KeepReply) {
	k.renewLocal(now, request.Renew, request.Retention)
	for _, id := range request.Renew {
		s, ok := k.turns.Get(id)
		if !ok || !request.Continued {
			continue
		}
		if retained := s.renewal.markContinued(now); retained > 0 {
			reply.Retained = append(reply.Retained, zinniapond.RetainedChain{Turn: id, For: retained})
		}
	}
	for _, n := range request.Retained {
		if s, ok := k.turns.Get(n.Turn); ok && n.For > 0 {
			s.renewal.learn(now.Add(n.For))
		}
	}
}

// dueBatches returns the renewals that are due, by the instant until which they retain.
func (k *Keeper) dueBatches(now time.Time) []*batch {
	set := quorum.New(k.Directory.View(), k.Settings.Keeper)
	type key struct {
		until     time.Time
		announces bool
	}
	batches := make(map[key]*batch)
	k.turns.Each(func(id zinniapond.TurnID, s *turnEntry) bool {
		isDue, announces, until := s.renewal.begin(now, func() int { return k.rank(set, id, s.origin) })
		if !isDue {
			return true
		}
		at := key{until.Truncate(batchSpan).Add(2 * batchSpan), announces}
		b := batches[at]
		if b == nil {
			b = newBatch(at.until, at.announces)
			batches[at] = b
		}
		b.add(id, s)
		return true
	})
	list := make([]*batch, 0, len(batches))
	for _, b := range batches {
		list = append(list, b)
	}
	return list
}

// rank returns the position of this disk in the order of those that may have a turn.
func (k *Keeper) rank(set quorum.Set, id zinniapond.TurnID, origin zinniapond.DataCentre) int {
	order := set.PreferenceOrder(id, origin)
	for i, d := range order {
		if d.ID == k.log.ID() {
			return i
		}
	}
	return len(order)
}
