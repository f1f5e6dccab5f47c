package pace

import (
	"math"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// initialBound is the bound of a replica that is new in a pool of others. It is
	// enough to see several answers in the time that the sums take.
	initialBound = 3
	// defaultSlots is the number of requests that a replica is taken to run at once if
	// the list does not give one.
	defaultSlots = 16
	// shrinkFactor is the factor of the bound for each bad answer. Of a replica that
	// fails every second request, a few answers leave a bound of 1.
	shrinkFactor = 0.7
	// goodStep is the growth of the bound for each good answer: a replica in full use
	// doubles its bound in the time of one answer and of the sums. cautiousStep replaces
	// it for cautiousTime after a bad answer, so that a replica that fails a part of its
	// requests does not grow up. Of the values that were played in the model (steps of 1
	// and 1.5, times of 0.7 and 1 s), these have recovered replicas back soonest; a
	// failing one fails 13 in place of 12 requests in 10 s.
	goodStep     = 1.5
	cautiousStep = 0.25
	cautiousTime = 700 * time.Millisecond
	// coldTime is the time after the start in which slow answers do not count: the cache
	// of a new replica is cold. They do not raise the bound either.
	coldTime = 2 * time.Second
	// longestRamp is the time after which a replica without recent bad answers counts as
	// grown up. It ends the ramp-up of replicas that get few requests, and of all while
	// there are no sums. quietTime is the time without bad answers.
	longestRamp = 10 * time.Second
	quietTime   = 3 * time.Second
	// troubleAnswers is the number of bad answers, weighted by their age, at which a
	// replica is bounded again; the weight falls by a factor of e in troubleTime.
	troubleAnswers = 3
	troubleTime    = 2 * time.Second
	// maxOwnTrouble limits the bad answers that this host reports, so that a host whose
	// network fails cannot have a replica bounded at the others alone.
	maxOwnTrouble = 0.5
	// reportTime is the time for which answers are reported after the last one that
	// counted, so that the other hosts come to the same bound.
	reportTime = 3 * time.Second
)

// tally counts answers.
type tally struct{ good, bad int }

// ended describes a ramp-up that is over.
type ended struct {
	address netip.AddrPort
	id      string
	reason  string
	took    time.Duration
	tally
}

// server is the state of one replica at this host.
type server struct {
	address netip.AddrPort
	phase   uint64
	// isBounded allows a look at a replica that is not bounded without the lock.
	isBounded atomic.Bool

	mu          sync.Mutex
	id          string
	pool        *pool
	poolName    zinniapond.PoolName
	slots       float64
	listedAt    time.Time // when the list first had this lifetime
	absentSince time.Time // zero while the list has the replica
	inFlight    int       // requests of this host

	load           int // sum of all hosts
	loadAt         time.Time
	inFlightAtLoad int

	own      tally // answers to this host that are reported
	reported tally // own at the last report
	others   tally // answers to other hosts in the last sum
	ownAt    time.Time
	// trouble and ownTrouble are the numbers of recent bad answers, of all hosts and in
	// the reports of this host, weighted by their age.
	trouble, ownTrouble fading

	bound    float64
	begunAt  time.Time
	badAt    time.Time
	answers  tally // of all hosts during this ramp-up
	endedAt  time.Time
	gain     float64 // factor of the places that are shared out
	slot     uint64
	sentSlot int // requests that were sent in the slot
}

// fading is a number that falls with time.
type fading struct {
	value float64
	at    time.Time
}

func (f *fading) add(now time.Time, amount float64) float64 {
	f.value = f.value*math.Exp(-float64(max(now.Sub(f.at), 0))/float64(troubleTime)) + amount
	f.at = now
	return f.value
}

func (s *server) currentID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.id
}

// setPresent applies an entry of the list and reports whether it is of a lifetime that
// the list did not have before, and whether a ramp-up of the one before was dropped.
func (s *server) setPresent(now time.Time, replica zinniapond.Backend, p *pool) (isNew, dropped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isNew = s.pool == nil || s.id != replica.ID || !s.absentSince.IsZero() && now.Sub(s.absentSince) >= absenceTime
	if isNew {
		dropped = s.stop()
		s.listedAt = now
		s.own, s.trouble, s.ownTrouble, s.badAt = tally{}, fading{}, fading{}, time.Time{}
		if s.id != replica.ID {
			s.inFlight = 0 // requests of the former lifetime are not recorded any more
		}
	}
	s.id, s.pool, s.poolName, s.absentSince = replica.ID, p, replica.Pool, time.Time{}
	s.slots = float64(replica.Slots)
	if replica.Slots <= 0 {
		s.slots = defaultSlots
	}
	return isNew, dropped
}

// setAbsent records that the list does not have the replica, and reports whether its
// state is to be forgotten, and whether a ramp-up was dropped with it.
func (s *server) setAbsent(now time.Time, name zinniapond.PoolName) (forgotten, dropped bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.poolName != name {
		return false, false
	}
	if s.absentSince.IsZero() {
		s.absentSince = now
	}
	if s.inFlight > 0 || now.Sub(s.absentSince) < forgetTime {
		return false, false
	}
	return true, s.stop()
}

// stop ends a ramp-up and reports whether there was one. The caller holds the lock.
func (s *server) stop() bool {
	if !s.isBounded.Swap(false) {
		return false
	}
	s.pool.bounded.Add(-1)
	return true
}

// begin bounds the replica unless its first bound is all its slots.
func (s *server) begin(now time.Time, share float64) (bound float64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	bound = max(math.Floor(s.slots*share), min(initialBound, math.Ceil(s.slots/2)), 1)
	if bound >= s.slots || s.isBounded.Load() {
		return 0, false
	}
	s.bound, s.begunAt, s.answers, s.gain = bound, now, tally{}, 1
	s.isBounded.Store(true)
	s.pool.bounded.Add(1)
	return bound, true
}

// mayBoundMore reports whether bad answers may bound another replica of the pool.
func (s *server) mayBoundMore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.pool.bounded.Load()+1) <= math.Max(1, maxTroubledShare*float64(s.pool.size.Load()))
}

func (s *server) currentBound() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.bound), s.isBounded.Load()
}

func (s *server) recordStart(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	if slot := s.slotAt(now); slot != s.slot {
		s.slot, s.sentSlot = slot, 0
	}
	s.sentSlot++
}

func (s *server) recordFinish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(s.inFlight-1, 0)
}
