// Package blame finds the requests that end the replicas at which they run. Each ending
// makes all requests that were running there suspects. An ending counts against those
// of them with the most endings; the others shared a replica with the cause.
package blame

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.Blame, error) {
		return &Book{Logger: k.Logger.Named("blame")}, nil
	})
}

const (
	// memory is the time for which an ending counts.
	memory = time.Minute
	// guiltyEndings is the number of replicas after whose endings a request is guilty
	// if no other request explains them as well.
	guiltyEndings = 2
	// certainEndings is the number of replicas after whose endings a request is guilty
	// although others were running at the same replicas, or replicas end without it.
	certainEndings = 3
	// backgroundEndings is the number of endings without a cause from which replicas
	// are taken to end by themselves, so that two endings may be a coincidence.
	backgroundEndings = 2
	// settleTime is the time within which other hosts report what was running at a
	// replica that ended.
	settleTime = 300 * time.Millisecond
	// maxEndings and maxSuspects bound the endings that are kept and the requests of
	// one of them.
	maxEndings  = 512
	maxSuspects = 64
)

// Book implements zinniapond.Blame. Its exported fields are set before use.
type Book struct {
	Logger hclog.Logger

	mu       sync.RWMutex
	endings  map[lifetime]*ending
	suspects map[zinniapond.Digest]*suspect
}

// lifetime identifies a replica from its start to its end.
type lifetime struct {
	address netip.AddrPort
	id      string
}

type ending struct {
	pool      zinniapond.PoolName
	at        time.Time
	learnedAt time.Time // when this host last learned of a suspect
	suspects  []zinniapond.Digest
}

type suspect struct {
	endings    []lifetime
	finishedAt time.Time // zero if the request has not finished since
	learnedAt  time.Time // when this host learned of the finish
	// wasGuilty is set while the request is guilty. Replicas that end by themselves
	// later do not make its endings a coincidence.
	wasGuilty bool
}

var _ zinniapond.Blame = (*Book)(nil)

// RecordEnding records that a replica has ended.
func (b *Book) RecordEnding(now time.Time, replica zinniapond.Backend, suspects ...zinniapond.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	b.add(now, now, replica.Pool, lifetime{replica.Address, replica.ID}, suspects)
}

// add records an ending. The caller holds the lock.
func (b *Book) add(now, at time.Time, pool zinniapond.PoolName, replica lifetime, requests []zinniapond.Digest) {
	if b.endings == nil {
		b.endings, b.suspects = make(map[lifetime]*ending), make(map[zinniapond.Digest]*suspect)
	}
	e := b.endings[replica]
	if e == nil {
		if len(b.endings) >= maxEndings {
			return
		}
		e = &ending{pool: pool, at: at, learnedAt: now}
		b.endings[replica] = e
	}
	for _, d := range requests {
		if len(e.suspects) >= maxSuspects || slices.Contains(e.suspects, d) {
			continue
		}
		e.suspects, e.learnedAt = append(e.suspects, d), now
		s := b.suspects[d]
		if s == nil {
			s = new(suspect)
			b.suspects[d] = s
		}
		s.endings = append(s.endings, replica)
	}
	for _, d := range e.suspects {
		b.logVerdict(now, d)
	}
}

// logVerdict logs a request that has become guilty. The caller holds the lock.
func (b *Book) logVerdict(now time.Time, d zinniapond.Digest) {
	s := b.suspects[d]
	v := b.judge(now, d)
	guilty := v.Standing == zinniapond.StandingGuilty
	if guilty && !s.wasGuilty {
		var replicas []string
		for _, l := range b.counted(now, s) {
			replicas = append(replicas, l.id+"@"+l.address.String())
		}
		b.Logger.Warn("request ends replicas and is refused from now on", "request", d, "replicas", replicas)
	}
	s.wasGuilty = guilty
}

// RecordFinish records that a replica has answered a request completely.
func (b *Book) RecordFinish(now time.Time, request zinniapond.Digest) {
	b.mu.RLock()
	_, known := b.suspects[request]
	b.mu.RUnlock()
	if !known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.finish(now, now, request)
}

// finish records the end of a request at an instant. The caller holds the lock.
func (b *Book) finish(now, at time.Time, request zinniapond.Digest) {
	if s := b.suspects[request]; s != nil && at.After(s.finishedAt) {
		s.finishedAt, s.learnedAt = at, now
	}
}

// prune removes what is too old to count. The caller holds the lock.
func (b *Book) prune(now time.Time) {
	for l, e := range b.endings {
		if now.Sub(e.at) < memory {
			continue
		}
		delete(b.endings, l)
		for _, d := range e.suspects {
			s := b.suspects[d]
			if s.endings = slices.DeleteFunc(s.endings, func(o lifetime) bool { return o == l }); len(s.endings) == 0 {
				delete(b.suspects, d)
			}
		}
	}
}

// counted returns the endings of a suspect that are recent and that no later finish
// refutes. The caller holds the lock.
func (b *Book) counted(now time.Time, s *suspect) []lifetime {
	var list []lifetime
	for _, l := range s.endings {
		if e := b.endings[l]; e != nil && now.Sub(e.at) < memory && e.at.After(s.finishedAt) {
			list = append(list, l)
		}
	}
	return list
}

// strength returns the number of replicas that speak against a suspect. Several
// lifetimes at one address count as one replica fewer: it may end by itself.
func (b *Book) strength(now time.Time, s *suspect) int {
	list := b.counted(now, s)
	addresses := make(map[netip.AddrPort]bool, len(list))
	for _, l := range list {
		addresses[l.address] = true
	}
	if len(addresses) == 1 && len(list) > 1 {
		return len(list) - 1
	}
	return len(addresses)
}

// Judge returns the verdict on a request.
func (b *Book) Judge(now time.Time, request zinniapond.Digest) zinniapond.Verdict {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.judge(now, request)
}

func (b *Book) judge(now time.Time, request zinniapond.Digest) zinniapond.Verdict {
	s := b.suspects[request]
	if s == nil {
		return zinniapond.Verdict{}
	}
	own := b.strength(now, s)
	if own == 0 {
		return zinniapond.Verdict{}
	}
	isTied, isExplained := false, true
	v := zinniapond.Verdict{Endings: own}
	youngest := memory
	for _, l := range b.counted(now, s) {
		strongest := 0
		for _, d := range b.endings[l].suspects {
			if d != request {
				strongest = max(strongest, b.strength(now, b.suspects[d]))
			}
		}
		isExplained = isExplained && strongest > own
		isTied = isTied || strongest == own
		age := now.Sub(b.endings[l].at)
		youngest, v.RetryAfter = min(youngest, age), max(v.RetryAfter, memory-age)
	}
	if youngest < settleTime {
		v.RetryAfter = settleTime - youngest
	}
	switch {
	case isExplained:
		return zinniapond.Verdict{}
	case own >= certainEndings, own >= guiltyEndings && !isTied && (s.wasGuilty || b.background(now, request) < backgroundEndings):
		v.Standing = zinniapond.StandingGuilty
	default:
		v.Standing = zinniapond.StandingSuspect
	}
	return v
}

// background returns the number of recent endings with running requests that neither the
// given request nor another one with several endings explains. The caller holds the
// lock.
func (b *Book) background(now time.Time, request zinniapond.Digest) int {
	count := 0
	for _, e := range b.endings {
		if now.Sub(e.at) >= memory || len(e.suspects) == 0 || slices.Contains(e.suspects, request) {
			continue
		}
		if !slices.ContainsFunc(e.suspects, func(d zinniapond.Digest) bool { return b.strength(now, b.suspects[d]) >= guiltyEndings }) {
			count++
		}
	}
	return count
}

// Lost returns the number of replicas of a pool that ended within the given time.
func (b *Book) Lost(now time.Time, pool zinniapond.PoolName, within time.Duration) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, e := range b.endings {
		if e.pool == pool && len(e.suspects) > 0 && now.Sub(e.at) < within {
			count++
		}
	}
	return count
}

// Merge adds the evidence of another host.
func (b *Book) Merge(now time.Time, report zinniapond.BlameReport) {
	if report.Size() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	for _, e := range report.Endings {
		if e.Age >= 0 && e.Age < memory {
			b.add(now, now.Add(-e.Age), e.Pool, lifetime{e.Replica, e.ID}, e.Suspects)
		}
	}
	for _, f := range report.Finishes {
		b.finish(now, now.Add(-max(f.Age, 0)), f.Digest)
	}
}

// News returns the evidence that this host has learned after the given instant.
func (b *Book) News(now, since time.Time) zinniapond.BlameReport {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var report zinniapond.BlameReport
	for l, e := range b.endings {
		if !e.learnedAt.Before(since) && now.Sub(e.at) < memory {
			report.Endings = append(report.Endings, zinniapond.Ending{
				Pool: e.pool, Replica: l.address, ID: l.id, Age: now.Sub(e.at), Suspects: slices.Clone(e.suspects),
			})
		}
	}
	for d, s := range b.suspects {
		if !s.finishedAt.IsZero() && !s.learnedAt.Before(since) {
			report.Finishes = append(report.Finishes, zinniapond.Finish{Digest: d, Age: now.Sub(s.finishedAt)})
		}
	}
	return report
}
