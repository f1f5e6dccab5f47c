package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

const (
	// endedDoubt is the time for which a replica that has ended is tried last. The list
	// still has it for some seconds, and it may start again under its id.
	endedDoubt = 4 * time.Second
	// lossWindow is the time in which at most maxLossShare of the replicas of a pool may
	// end with requests running there before suspects have to wait.
	lossWindow   = 5 * time.Second
	maxLossShare = 0.5
	// suspectRetryAfter is the delay after which a suspect may return that had to wait.
	suspectRetryAfter = time.Second
	// maxGuiltyRetryAfter bounds the delay that the client of a guilty request is told.
	maxGuiltyRetryAfter = 10 * time.Second
)

// digest identifies a request by its pool and what its client sent. Turns of a conversation are
// identified by their new input alone: the same input ends replicas in any conversation.
func digest(request *zinniapond.Request, pool string) zinniapond.Digest {
	hash := xxhash.New()
	_, _ = hash.WriteString(pool + "\x00") // never fails
	if len(request.Body) > 0 {
		_, _ = hash.Write(request.Body)
	} else {
		_, _ = hash.WriteString(request.Method + "\x00" + request.Target)
	}
	return zinniapond.Digest(hash.Sum64())
}

// checkStanding returns an error if the request ends replicas, or if it is a suspect and
// too many replicas have ended lately. It decides before a replica is chosen.
func (u *run) checkStanding(now time.Time, p *pool) error {
	v := u.Blame.Judge(now, u.digest)
	u.suspected = u.suspected || v.Standing == zinniapond.StandingSuspect
	switch {
	case v.Standing == zinniapond.StandingGuilty && u.isRetrial(now, v):
		u.suspected = true
	case v.Standing == zinniapond.StandingGuilty:
		u.Stats.Add("front.blamed", 1)
		return retryableError("check request", min(v.RetryAfter, maxGuiltyRetryAfter),
			fmt.Errorf("%d replicas ended while request %d was running there: %w", v.Endings, u.digest, zinniapond.ErrOverload))
	case v.Standing == zinniapond.StandingSuspect && p.lossesExceeded(u.Blame.Lost(now, u.poolName, lossWindow)):
		u.Stats.Add("front.withheld", 1)
		return retryableError("check request", suspectRetryAfter+rand.N(suspectRetryAfter),
			fmt.Errorf("too many replicas have ended lately: %w", zinniapond.ErrOverload))
	}
	return nil
}

// isRetrial reports whether a guilty request runs although it is guilty. The verdict may
// become certain while the request waits.
func (u *run) isRetrial(now time.Time, v zinniapond.Verdict) bool {
	if !u.onRetrial && u.Blame.AllowRetrial(now, u.digest, rand.Float64()) {
		u.onRetrial = true
		u.Stats.Add("front.retried", 1)
	}
	return u.onRetrial && !v.IsCertain
}

// lossesExceeded reports whether a number of replicas that ended within lossWindow is
// more than a pool may lose. One loss is always allowed, so that a pool with few
// replicas serves again.
func (p *pool) lossesExceeded(lost int) bool {
	return float64(lost) > max(1, maxLossShare*float64(len(*p.replicas.Load())))
}

// checkEnded finds out in the background whether the replica of a broken attempt has
// ended, and reports it to the other hosts. The end of a replica that was leaving says
// nothing about its requests.
func (u *run) checkEnded(p *pool, replica zinniapond.Backend) {
	if listed, live := (*p.replicas.Load())[replica.Address]; !live || listed.ID != replica.ID {
		return
	}
	u.suspected = true
	u.inBackground("check replica", func() {
		if u.ended.Has(context.Background(), u.Clock(), replica) {
			u.recordEnding(p, replica, u.digest)
		}
	})
}

// recordEnding records that a replica has ended, with the requests of this host that
// were running there.
func (u *run) recordEnding(p *pool, replica zinniapond.Backend, suspects ...zinniapond.Digest) {
	now := u.Clock()
	isKnown := p.doubts.Has(now, replica)
	if !isKnown {
		u.Logger.Info("replica has ended", "replica", replica.Address, "id", replica.ID, "request", u.request.ID, "digest", u.digest, "bytes", len(u.request.Body))
	}
	p.doubts.Add(now, replica, endedDoubt)
	u.Blame.RecordEnding(now, replica, suspects...)
	u.Stats.Add("front.ended", 1)
	if !isKnown || len(suspects) > 0 {
		u.LoadExchange.Wake()
	}
}

// applyEndings makes replicas doubtful that have ended at other hosts.
func (r *Runner) applyEndings(now time.Time, endings []zinniapond.Ending) {
	for _, e := range endings {
		if p, ok := r.pools.Get(e.Pool); ok && e.Age < endedDoubt {
			p.doubts.Add(now, zinniapond.Backend{Address: e.Replica, ID: e.ID}, endedDoubt-e.Age)
		}
	}
}

// pickApart picks a replica for a suspect. Suspects are spread by their digests, so that
// two of them rarely run at the same replica, and do not follow the cached prefix that
// brought them together.
func (u *run) pickApart(p *pool, now time.Time, need zinniapond.PickInfo, allowed func(zinniapond.Backend) bool) (candidate, bool) {
	excluded := make(map[netip.AddrPort]bool, len(need.Exclude))
	for _, a := range need.Exclude {
		excluded[a] = true
	}
	var best zinniapond.Backend
	bestRank := uint64(0)
	for a, b := range *p.replicas.Load() {
		if excluded[a] || !need.Fits(b) || !allowed(b) || need.CanConnect != nil && !need.CanConnect(a) || p.doubts.Has(now, b) || p.suspectsAt(a) > 0 {
			continue
		}
		if rank := xxhash.Sum64String(fmt.Sprint(u.digest, a)); rank >= bestRank {
			best, bestRank = b, rank
		}
	}
	return candidate{Backend: best}, best.Address.IsValid()
}

// suspectsAt returns the number of this host's suspects at a replica.
func (p *pool) suspectsAt(replica netip.AddrPort) int64 {
	if n, ok := p.suspects.Get(replica); ok {
		return n.Load()
	}
	return 0
}

// beginSuspect counts a suspect at a replica until the returned function is called.
func (p *pool) beginSuspect(replica netip.AddrPort) (end func()) {
	n := p.suspects.GetOrCreate(replica, func() *atomic.Int64 { return new(atomic.Int64) })
	n.Add(1)
	return func() { n.Add(-1) }
}
