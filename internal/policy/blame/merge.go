package blame

import (
	"time"

	"zinniapond.example/zinniapond"
)

// Merge adds the evidence of another host. It reads no more of a report than a host
// keeps, and makes the verdicts once at the end.
func (b *Book) Merge(now time.Time, report zinniapond.BlameReport) {
	if report.Size() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	changed := make(map[*suspect]bool)
	rest := maxEndings * maxSuspects
	for _, e := range report.Endings[:min(len(report.Endings), maxEndings)] {
		if e.Age < 0 || e.Age >= memory {
			continue
		}
		requests := e.Suspects[:min(len(e.Suspects), maxCrowd, rest)]
		rest -= len(requests)
		if kept := b.add(now, now.Add(-e.Age), e.Pool, lifetime{e.Replica, e.ID}, requests); kept != nil {
			for _, s := range kept.suspects {
				changed[s] = true
			}
		}
	}
	for _, f := range report.Finishes[:min(len(report.Finishes), maxEndings*maxSuspects)] {
		if s := b.suspects[f.Digest]; s != nil && s.finish(now, now.Add(-max(f.Age, 0))) {
			changed[s] = true
		}
	}
	list := make([]*suspect, 0, len(changed))
	for s := range changed {
		list = append(list, s)
	}
	b.settle(now, list)
}

// add records an ending and returns it, or nil if there are too many. The caller holds
// the lock and then calls settle with the suspects.
func (b *Book) add(now, at time.Time, pool zinniapond.PoolName, replica lifetime, requests []zinniapond.Digest) *ending {
	if b.endings == nil {
		b.endings, b.suspects = make(map[lifetime]*ending), make(map[zinniapond.Digest]*suspect)
	}
	e := b.endings[replica]
	if e == nil {
		if len(b.endings) >= maxEndings {
			return nil
		}
		e = &ending{replica: replica, pool: pool, at: at, learnedAt: now}
		b.endings[replica] = e
	}
	for _, d := range requests {
		isSurplus := len(e.suspects) >= assuredSuspects
		if isSurplus && (len(e.suspects) >= maxCrowd || b.surplus >= maxEndings*(maxSuspects-assuredSuspects)) {
			break
		}
		s := b.suspects[d]
		if s == nil {
			s = &suspect{digest: d}
			b.suspects[d] = s
			if finishedAt, ok := b.finished.last(now, d); ok {
				s.finish(now, finishedAt)
			}
		}
		if s.has(e) {
			continue
		}
		if isSurplus {
			b.surplus++
		}
		s.endings = append(s.endings, e)
		e.suspects, e.learnedAt = append(e.suspects, s), now
	}
	return e
}

// settle counts the endings of suspects after a change and logs those that have become
// guilty. The caller holds the lock.
func (b *Book) settle(now time.Time, suspects []*suspect) {
	for _, s := range suspects {
		s.refresh(now)
	}
	count := b.background(now)
	b.unexplained = &count
	defer func() { b.unexplained = nil }()
	for _, s := range suspects {
		if s.counted < guiltyEndings {
			continue
		}
		for _, e := range s.endings {
			if e.ranked == nil {
				r := e.rank(now)
				e.ranked = &r
				defer func() { e.ranked = nil }()
			}
		}
	}
	for _, s := range suspects {
		b.logVerdict(now, s)
	}
}

// logVerdict logs a request that has become guilty. The caller holds the lock.
func (b *Book) logVerdict(now time.Time, s *suspect) {
	// Requests with fewer endings are never guilty.
	guilty := s.strength(now) >= guiltyEndings && b.judge(now, s.digest).Standing == zinniapond.StandingGuilty
	if guilty && !s.wasGuilty {
		var replicas []string
		for _, e := range s.endings {
			if s.counts(now, e) {
				replicas = append(replicas, e.replica.id+"@"+e.replica.address.String())
			}
		}
		b.Logger.Warn("request ends replicas and is refused from now on", "request", s.digest, "replicas", replicas)
	}
	s.wasGuilty = guilty
}

// prune removes what is too old to count. The caller holds the lock.
func (b *Book) prune(now time.Time) {
	for l, e := range b.endings {
		if now.Sub(e.at) < memory {
			continue
		}
		delete(b.endings, l)
		b.surplus -= max(0, len(e.suspects)-assuredSuspects)
		for _, s := range e.suspects {
			if s.remove(e); len(s.endings) == 0 {
				delete(b.suspects, s.digest)
			}
		}
	}
}
