// Package blame finds the requests that end the replicas at which they run. Each ending
// makes all requests that were running there suspects. An ending counts against those
// of them with the most endings; the others shared a replica with the cause.
package blame

import (
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
	// although others were running at the same replicas, replicas end without it, or it
	// has finished at another replica within memory.
	certainEndings = 3
	// backgroundEndings is the number of endings without a cause from which replicas
	// are taken to end by themselves, so that two endings may be a coincidence.
	backgroundEndings = 2
	// retrialPause is the time after the last ending, and between two retrials at one host,
	// before a guilty request may run once more. Of the requests that come after that,
	// retrialShare do.
	retrialPause = 5 * time.Second
	retrialShare = 0.125
	// simultaneousTime is the time within which replicas are taken to end at one moment.
	// It is shorter than the pause after which a client sends a request again.
	simultaneousTime = 100 * time.Millisecond
	// settleTime is the time within which other hosts report what was running at a
	// replica that ended.
	settleTime = 300 * time.Millisecond
	// maxEndings and maxSuspects bound the endings that are kept and the mean number of
	// the requests of one of them.
	maxEndings  = 512
	maxSuspects = 64
	// assuredSuspects is the number of requests that are kept of each ending. Larger
	// crowds share what then remains of maxEndings*maxSuspects, up to maxCrowd each. At
	// 64 for each ending the cause was often not among those that were kept: at
	// 59 replicas 92 to 257 requests were running when one ended (TestSize).
	assuredSuspects = 32
	maxCrowd        = 512
)

// Book implements zinniapond.Blame. Its exported fields are set before use.
type Book struct {
	Logger hclog.Logger

	mu       sync.RWMutex
	endings  map[lifetime]*ending
	suspects map[zinniapond.Digest]*suspect
	finished finishes
	// surplus is the number of suspects beyond assuredSuspects of all endings.
	surplus int
	// unexplained is set while verdicts of one change are made, which all need the
	// same count.
	unexplained *int
}

var _ zinniapond.Blame = (*Book)(nil)

// RecordEnding records that a replica has ended.
func (b *Book) RecordEnding(now time.Time, replica zinniapond.Backend, suspects ...zinniapond.Digest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.prune(now)
	if e := b.add(now, now, replica.Pool, lifetime{replica.Address, replica.ID}, suspects); e != nil {
		b.settle(now, e.suspects)
	}
}

// RecordFinish records that a replica has answered a request completely.
func (b *Book) RecordFinish(now time.Time, request zinniapond.Digest) {
	b.finished.record(now, request)
	b.mu.RLock()
	_, known := b.suspects[request]
	b.mu.RUnlock()
	if !known {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.suspects[request]; s != nil && s.finish(now, now) {
		s.refresh(now)
	}
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
	own := s.strength(now)
	if own == 0 {
		return zinniapond.Verdict{}
	}
	isTied, isExplained := false, true
	v := zinniapond.Verdict{Endings: own, IsCertain: own >= certainEndings}
	youngest := memory
	for _, e := range s.endings {
		if !s.counts(now, e) {
			continue
		}
		strongest := e.strongest(now, own)
		isExplained = isExplained && strongest > own
		isTied = isTied || strongest == own
		age := now.Sub(e.at)
		youngest, v.RetryAfter = min(youngest, age), max(v.RetryAfter, memory-age)
	}
	if youngest < settleTime {
		v.RetryAfter = settleTime - youngest
	}
	switch {
	case isExplained:
		return zinniapond.Verdict{}
	case v.IsCertain, own >= guiltyEndings && !isTied && !s.hasFinished(now) && (s.wasGuilty || b.background(now) < backgroundEndings):
		v.Standing = zinniapond.StandingGuilty
	default:
		v.Standing = zinniapond.StandingSuspect
	}
	return v
}

// background returns the number of recent endings with running requests of which none
// has several endings. It is the same for all requests with several endings. The caller
// holds the lock.
func (b *Book) background(now time.Time) int {
	if b.unexplained != nil {
		return *b.unexplained
	}
	count := 0
	for _, e := range b.endings {
		if now.Sub(e.at) < memory && len(e.suspects) > 0 && !e.isExplained(now) {
			count++
		}
	}
	return count
}

// AllowRetrial reports whether a guilty request may run once more. After certainEndings
// replicas have ended with it, at whatever addresses and instants, it may not until they are
// too old: a retrial that ends a replica is the last one.
func (b *Book) AllowRetrial(now time.Time, request zinniapond.Digest, draw float64) bool {
	if draw >= retrialShare {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspects[request]
	if s == nil || now.Sub(s.retriedAt) < retrialPause {
		return false
	}
	count := 0
	for _, e := range s.endings {
		if now.Sub(e.at) < retrialPause {
			return false
		}
		if s.counts(now, e) {
			count++
		}
	}
	if count >= certainEndings {
		return false
	}
	s.retriedAt = now
	return true
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

// News returns the evidence that this host has learned after the given instant.
func (b *Book) News(now, since time.Time) zinniapond.BlameReport {
	b.mu.RLock()
	defer b.mu.RUnlock()
	var report zinniapond.BlameReport
	for _, e := range b.endings {
		if !e.learnedAt.Before(since) && now.Sub(e.at) < memory {
			report.Endings = append(report.Endings, zinniapond.Ending{
				Pool: e.pool, Replica: e.replica.address, ID: e.replica.id, Age: now.Sub(e.at), Suspects: digests(e.suspects),
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
