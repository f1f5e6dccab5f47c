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
	// maxSumAge is the age from which a sum is not used. Sums come at intervals of 0.1
	// to 0.5 s.
	maxSumAge = time.Second
	// drawInterval is the time for which the draw of the hosts that may use the free
	// places holds. The sums have the requests that were sent in the interval before: an
	// exchange takes place each 100 ms, and sums are relayed each 100 ms.
	drawInterval = 400 * time.Millisecond
)

const (
	// gainGrowth is the growth of the share of the hosts that may use a free place, for
	// each sum that shows less than half of the bound in use: most hosts that may send a
	// request have none that suits the replica. With maxGain, about every host of the
	// largest deployments in use may use one free place.
	gainGrowth = 1.5
	maxGain    = 32
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

// setSum applies a sum and returns the answers to other hosts since the last one.
func (s *server) setSum(now time.Time, sum zinniapond.Load) (good, bad int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.load, s.loadAt, s.inFlightAtLoad = sum.Count, now, s.inFlight
	switch {
	case float64(s.load) > s.bound/2:
		s.gain = max(s.gain/2, 1)
	case now.Sub(s.badAt) >= cautiousTime: // a replica that fails at once is idle too
		s.gain = min(s.gain*gainGrowth, maxGain)
	}
	// The sum has the answers that this host has reported, which are known already.
	next := tally{max(sum.Good-s.reported.good, 0), max(sum.Bad-s.reported.bad, 0)}
	good, bad = max(next.good-s.others.good, 0), max(next.bad-s.others.bad, 0)
	s.others = next
	return good, bad
}

// report returns the answers that this host has to report.
func (s *server) report(now time.Time) tally {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.ownAt) >= reportTime && !s.isBounded.Load() {
		s.own = tally{}
	}
	s.reported = s.own
	return s.own
}

// recordAnswer counts an answer and returns whether it is good or bad for this host.
func (s *server) recordAnswer(now time.Time, answer zinniapond.PaceAnswer) (good, bad int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	isBounded := s.isBounded.Load()
	switch {
	case answer.Failed, answer.Refused && isBounded:
		bad = 1
	case answer.Refused:
		return 0, 0
	default:
		isGood, isSlow := s.pool.usual.judge(answer)
		if !isBounded && !answer.Unfinished {
			s.pool.usual.observe(answer)
		}
		// Other hosts may still need the answer after this one has seen enough.
		if isGood && (isBounded || now.Sub(s.endedAt) < reportTime) && !answer.Unfinished {
			good = 1
		}
		// A slow answer of a replica with many requests shows its load.
		isBusy := !isBounded && s.knownLoad() > s.slots/2
		if isSlow && !isBusy && now.Sub(s.listedAt) >= coldTime {
			bad = 1
		}
	}
	if bad > 0 && s.ownTrouble.add(now, 0) < maxOwnTrouble {
		s.ownTrouble.add(now, 1)
		s.own.bad, s.ownAt = s.own.bad+1, now
	}
	if good > 0 {
		s.own.good, s.ownAt = s.own.good+1, now
	}
	return good, bad
}

// learn adapts the bound to answers. It reports whether the replica is to be bounded,
// and a ramp-up that is over.
func (s *server) learn(now time.Time, good, bad int) (troubled bool, e ended, isOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bad > 0 {
		s.badAt, s.gain = now, 1
	}
	recent := s.trouble.add(now, float64(bad))
	if !s.isBounded.Load() {
		return bad > 0 && recent >= troubleAnswers, e, false
	}
	s.answers.good += good
	s.answers.bad += bad
	s.bound = max(s.bound*math.Pow(shrinkFactor, float64(bad)), 1)
	step := goodStep
	if now.Sub(s.badAt) < cautiousTime {
		step = cautiousStep
	}
	s.bound += min(step*float64(good), s.bound)
	age := now.Sub(s.begunAt)
	switch {
	case s.bound >= s.slots:
		e.reason = "good answers"
	case age >= longestRamp && now.Sub(s.badAt) >= quietTime:
		e.reason = "no bad answers"
	default:
		return false, e, false
	}
	s.stop()
	s.endedAt = now
	e.address, e.id, e.took, e.tally = s.address, s.id, age, s.answers
	return false, e, true
}

func (s *server) currentBound() (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int(s.bound), s.isBounded.Load()
}

// admits decides whether this host may send a request. The free places are shared out by
// a draw: on average, the hosts together send as many requests in one interval as there
// are free places.
func (s *server) admits(now time.Time, hosts float64, noOther bool) bool {
	if !s.isBounded.Load() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	bound := math.Floor(s.bound)
	if noOther && now.Sub(s.badAt) >= cautiousTime {
		bound = s.slots
	}
	slot := s.slotAt(now)
	chance := draw(s.phase, slot)
	if now.Sub(s.loadAt) > maxSumAge {
		return float64(s.inFlight) < math.Floor(bound/hosts+chance)
	}
	room := bound - s.knownLoad()
	if room < 1 {
		return false
	}
	sent := 0
	if slot == s.slot {
		sent = s.sentSlot
	}
	// A sudden burst sends no more than fill the slots.
	return float64(sent) < math.Floor((min(s.gain*room, s.slots)+float64(sent))/hosts+chance)
}

// knownLoad is the last sum, with the requests of this host since then. The caller holds
// the lock.
func (s *server) knownLoad() float64 {
	return float64(max(s.load+s.inFlight-s.inFlightAtLoad, s.inFlight))
}

// slotAt returns the number of the draw that holds at an instant. The hosts draw at
// different times.
func (s *server) slotAt(now time.Time) uint64 {
	return (uint64(now.UnixNano()) + s.phase%uint64(drawInterval)) / uint64(drawInterval)
}

func (s *server) isFull(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.loadAt) <= maxSumAge && s.knownLoad() >= s.slots
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
