// Package limits records the rates at which replicas accept requests from all hosts
// together, as they name them in their answers, and merges what hosts tell each other
// of them.
package limits

import (
	"math"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/kernel"
	"zinniapond.example/zinniapond/internal/core/shard"
)

func init() {
	kernel.Register("default", func(k *kernel.Kernel) (zinniapond.LimitBook, error) {
		return &Book{Logger: k.Logger.Named("limits")}, nil
	})
}

const (
	// minRate replaces smaller limits: a replica that gets no request cannot say
	// that it accepts more.
	minRate zinniapond.RequestRate = 0.2
	// expiry is the time without an answer after which a limit counts as lifted.
	expiry = time.Minute
	// A lifted limit doubles every rampDoubling and ends after rampTime, so that
	// the hosts do not all send to the idle replica at once.
	rampDoubling = 500 * time.Millisecond
	rampTime     = 4 * time.Second
	// tombstoneTime is how long a lifted limit is remembered: reports that are
	// older than its end must not bring it back.
	tombstoneTime = time.Minute
	// loggedChange is the relative change of a limit from which it is logged.
	loggedChange = 0.1
)

// Book implements zinniapond.LimitBook. Its exported fields are set before use.
type Book struct {
	Logger hclog.Logger

	entries shard.Map[netip.AddrPort, entry]
	count   atomic.Int64 // number of entries
}

// entry is the limit of one replica. The limit is in force while namedAt is not
// before liftedAt.
type entry struct {
	id                string
	rate              zinniapond.RequestRate
	namedAt, liftedAt time.Time
	// learnedAt is when this host last learned of it from an answer or from a
	// first-hand report.
	learnedAt time.Time
}

func (e entry) inForce() bool { return !e.namedAt.Before(e.liftedAt) }

// newest returns the time of the last answer that the entry is based on.
func (e entry) newest() time.Time {
	if e.inForce() {
		return e.namedAt
	}
	return e.liftedAt
}

// endedAt returns when the limit was lifted or has expired.
func (e entry) endedAt() time.Time {
	if e.inForce() {
		return e.namedAt.Add(expiry)
	}
	return e.liftedAt
}

// rateAt returns the rate in force at the given time; ok is false if there is none.
func (e entry) rateAt(now time.Time) (rate zinniapond.RequestRate, ok bool) {
	since := now.Sub(e.endedAt())
	switch {
	case since < 0:
		return e.rate, true
	case since >= rampTime:
		return 0, false
	}
	return e.rate * zinniapond.RequestRate(math.Exp2(float64(since)/float64(rampDoubling))), true
}

// merge adds what o has of the same replica.
func (e entry) merge(o entry) entry {
	if e.id != o.id {
		if e.newest().Before(o.newest()) {
			return o
		}
		return e
	}
	if e.namedAt.Before(o.namedAt) {
		e.namedAt, e.rate = o.namedAt, o.rate
	}
	if e.liftedAt.Before(o.liftedAt) {
		e.liftedAt = o.liftedAt
	}
	if e.learnedAt.Before(o.learnedAt) {
		e.learnedAt = o.learnedAt
	}
	return e
}

// ObserveAnswer records the limit in an answer.
func (b *Book) ObserveAnswer(now time.Time, replica zinniapond.Backend, sentAt time.Time, rate zinniapond.RequestRate) {
	if rate > 0 {
		b.update(replica.Address, entry{id: replica.ID, rate: max(rate, minRate), namedAt: now, learnedAt: now}, "answer")
		return
	}
	e, ok := b.entries.Get(replica.Address)
	if ok && e.id == replica.ID && e.inForce() && sentAt.After(e.namedAt) {
		b.update(replica.Address, entry{id: replica.ID, liftedAt: now, learnedAt: now}, "answer")
	}
}

// Rate returns the rate at which all hosts together may send requests to a replica.
func (b *Book) Rate(now time.Time, replica netip.AddrPort, id string) (rate zinniapond.RequestRate, ok bool) {
	if b.count.Load() == 0 {
		return 0, false
	}
	e, ok := b.entries.Get(replica)
	if !ok || e.id != id {
		return 0, false
	}
	return e.rateAt(now)
}

// Merge adds the reports of another host.
func (b *Book) Merge(now time.Time, reports []zinniapond.LimitReport, firstHand bool) {
	for _, r := range reports {
		e := entry{id: r.ID, rate: max(r.Rate, minRate), namedAt: now.Add(-r.NamedAge)}
		if r.Lifted {
			e.liftedAt = now.Add(-r.LiftedAge)
		}
		if firstHand {
			e.learnedAt = now
		}
		if now.Sub(e.endedAt()) < tombstoneTime {
			b.update(r.Replica, e, "host")
		}
	}
}

// update merges an entry and logs a limit that begins, changes or ends.
func (b *Book) update(replica netip.AddrPort, e entry, source string) {
	var before, after entry
	b.entries.Update(replica, func(values map[netip.AddrPort]entry) {
		var known bool
		if before, known = values[replica]; known {
			e = before.merge(e)
		} else {
			b.count.Add(1)
		}
		after = e
		values[replica] = e
	})
	switch {
	case !after.inForce():
		if before.inForce() && before.id == after.id {
			b.Logger.Info("replica no longer limits its requests", "replica", replica, "id", after.id, "rate", after.rate, "source", source)
		}
	case !before.inForce() || before.id != after.id || math.Abs(float64(after.rate/before.rate)-1) >= loggedChange:
		b.Logger.Info("replica limits its requests", "replica", replica, "id", after.id, "rate", after.rate, "before", before.rate, "source", source)
	}
}

// News returns the limits that this host has learned first-hand after the given
// instant.
func (b *Book) News(now, since time.Time) []zinniapond.LimitReport {
	return b.reports(now, func(e entry) bool { return e.learnedAt.After(since) })
}

// All returns all limits that are in force or were lifted lately. It forgets the
// others.
func (b *Book) All(now time.Time) []zinniapond.LimitReport {
	return b.reports(now, func(entry) bool { return true })
}

func (b *Book) reports(now time.Time, wanted func(entry) bool) []zinniapond.LimitReport {
	var list []zinniapond.LimitReport
	var expired []netip.AddrPort
	b.entries.Each(func(replica netip.AddrPort, e entry) bool {
		if now.Sub(e.endedAt()) >= tombstoneTime {
			expired = append(expired, replica)
			return true
		}
		if wanted(e) {
			list = append(list, e.report(now, replica))
		}
		return true
	})
	for _, replica := range expired {
		b.entries.Update(replica, func(values map[netip.AddrPort]entry) {
			if e, ok := values[replica]; ok && now.Sub(e.endedAt()) >= tombstoneTime {
				delete(values, replica)
				b.count.Add(-1)
			}
		})
	}
	return list
}

// Report returns the limit of one replica.
func (b *Book) Report(now time.Time, replica netip.AddrPort) (report zinniapond.LimitReport, ok bool) {
	e, ok := b.entries.Get(replica)
	if !ok {
		return zinniapond.LimitReport{}, false
	}
	return e.report(now, replica), true
}

func (e entry) report(now time.Time, replica netip.AddrPort) zinniapond.LimitReport {
	r := zinniapond.LimitReport{Replica: replica, ID: e.id, Rate: e.rate, NamedAge: now.Sub(e.namedAt)}
	if !e.liftedAt.IsZero() {
		r.Lifted, r.LiftedAge = true, now.Sub(e.liftedAt)
	}
	return r
}
