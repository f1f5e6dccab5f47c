package blame

import (
	"net/netip"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// lifetime identifies a replica from its start to its end.
type lifetime struct {
	address netip.AddrPort
	id      string
}

type ending struct {
	replica   lifetime
	pool      zinniapond.PoolName
	at        time.Time
	learnedAt time.Time // when this host last learned of a suspect
	suspects  []*suspect
	// ranked is set while verdicts of one change are made, so that each of them does
	// not read all suspects again.
	ranked *ranking
}

// ranking has the largest two strengths of the suspects of an ending. They are equal if
// two suspects are equally strong.
type ranking struct {
	first, second int
}

func (e *ending) rank(now time.Time) ranking {
	var r ranking
	for _, s := range e.suspects {
		if own := s.strength(now); own > r.first {
			r = ranking{own, r.first}
		} else {
			r.second = max(r.second, own)
		}
	}
	return r
}

// strongest returns the largest strength of the suspects other than one with the given
// strength.
func (e *ending) strongest(now time.Time, own int) int {
	r := e.ranked
	if r == nil {
		fresh := e.rank(now)
		r = &fresh
	}
	if r.first == own {
		return r.second
	}
	return r.first
}

// isExplained reports whether a suspect has several endings, so that the replica is not
// taken to have ended by itself.
func (e *ending) isExplained(now time.Time) bool {
	return slices.ContainsFunc(e.suspects, func(s *suspect) bool { return s.strength(now) >= guiltyEndings })
}

type suspect struct {
	digest     zinniapond.Digest
	endings    []*ending
	finishedAt time.Time // zero if the request has not finished since
	learnedAt  time.Time // when this host learned of the finish
	retriedAt  time.Time // when this host last allowed a retrial
	// wasGuilty is set while the request is guilty. Replicas that end by themselves
	// later do not make its endings a coincidence.
	wasGuilty bool
	// counted is the strength as of the last change. It holds until the oldest ending
	// is too old.
	counted   int
	countedTo time.Time
}

// counts reports whether an ending is recent and no later finish refutes it.
func (s *suspect) counts(now time.Time, e *ending) bool {
	return now.Sub(e.at) < memory && e.at.After(s.finishedAt)
}

// strength returns the number of replicas that speak against a suspect. Several
// lifetimes at one address count as one replica fewer: it may end by itself. Replicas that
// end at one moment count as one: they have a cause in common, such as a rack without power.
func (s *suspect) strength(now time.Time) int {
	if now.Before(s.countedTo) {
		return s.counted
	}
	count, _ := s.count(now)
	return count
}

// refresh counts the endings after a change.
func (s *suspect) refresh(now time.Time) { s.counted, s.countedTo = s.count(now) }

// count returns the strength and the instant until which it holds.
func (s *suspect) count(now time.Time) (int, time.Time) {
	until := now.Add(memory)
	var buffer [4]netip.AddrPort
	addresses := buffer[:0]
	var instants [4]time.Time
	moments := instants[:0]
	for _, e := range s.endings {
		if s.counts(now, e) {
			addresses, moments = append(addresses, e.replica.address), append(moments, e.at)
			if expiry := e.at.Add(memory); expiry.Before(until) {
				until = expiry
			}
		}
	}
	total := len(addresses)
	slices.SortFunc(addresses, netip.AddrPort.Compare)
	if addresses = slices.Compact(addresses); len(addresses) == 1 && total > 1 {
		return total - 1, until
	}
	return min(len(addresses), countMoments(moments)), until
}

// countMoments returns the number of instants of which no two are within simultaneousTime.
func countMoments(instants []time.Time) int {
	slices.SortFunc(instants, time.Time.Compare)
	count := 0
	var last time.Time
	for _, at := range instants {
		if count == 0 || at.Sub(last) >= simultaneousTime {
			count, last = count+1, at
		}
	}
	return count
}

// finish records that the request has finished and reports whether that is news.
func (s *suspect) finish(now, at time.Time) bool {
	if !at.After(s.finishedAt) {
		return false
	}
	s.finishedAt, s.learnedAt = at, now
	return true
}

// hasFinished reports whether the request has finished within memory. An input that several
// programs send may be running at replicas that end for another reason.
func (s *suspect) hasFinished(now time.Time) bool {
	return !s.finishedAt.IsZero() && now.Sub(s.finishedAt) < memory
}

func (s *suspect) has(e *ending) bool { return slices.Contains(s.endings, e) }

func (s *suspect) remove(e *ending) {
	s.endings = slices.DeleteFunc(s.endings, func(o *ending) bool { return o == e })
}

func digests(suspects []*suspect) []zinniapond.Digest {
	list := make([]zinniapond.Digest, len(suspects))
	for i, s := range suspects {
		list[i] = s.digest
	}
	return list
}
