package allow

import (
	"math"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// slotTime is the resolution of a bucket's past, and slots the length that is kept:
	// the lifetime of a token or reserve and a second until it is returned.
	slotTime = 100 * time.Millisecond
	slots    = 32
	// reserveSlots is the number of slots after which a reserve has expired, including
	// the one in which it was granted.
	reserveSlots = int64(zinniapond.ReserveLifetime/slotTime) + 1
	// beginShare is the share of the burst that is left to programs that were begun.
	beginShare = 0.5
	// newShare is the share of the refill of a new count that is left to programs that were
	// begun. With a share of the burst that grows to beginShare in 10 s, a plan at half of its
	// limit with a burst of 10 s fills its bucket no faster than the share grows, and programs
	// that begin were refused for as long (0.2% of all requests after a change of the
	// counting host in TestPowerLoss, in place of 0.04%).
	newShare = 0.1
	// reserveShare is the share of the burst that reserves leave.
	reserveShare = 0.75
	// maxWait bounds the wait that is told to hosts.
	maxWait = 10 * time.Second
)

// bucket implements zinniapond.AllowanceBucket. It holds at most the burst of the plan.
type bucket struct {
	limit   zinniapond.PlanLimit
	since   time.Time // counting has begun
	updated time.Time // of level
	entered time.Time // time of the last call
	// level is the number of tokens, and reserved the number of those that are set aside
	// as reserves.
	level, reserved float64
	// surplus is what the bucket would have in addition if it had been full when counting
	// began. It is added at fullAt, when no window contains tokens of earlier counts.
	surplus float64
	fullAt  time.Time
	// refused is the largest number of requests that begin programs and were refused at the
	// same time, with those of the last seconds weighted less.
	refused float64
	// waiting are the numbers of requests for which other hosts wait.
	waiting struct{ beginning, continuing int }
	// The following have one element for each of the last slots, slot being the present
	// one: the reserves, the highest sum of level and reserved, and the highest one since
	// the first tokens were taken in the slot.
	slot     int64
	reserves [slots]float64
	peaks    [slots]float64
	rests    [slots]float64
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotTime) }

func position(slot int64) int64 { return (slot%slots + slots) % slots }

// capacity returns the burst, or 1 if it is 0: a request needs a whole token.
func (b *bucket) capacity() float64 { return float64(max(b.limit.Burst, 1)) }

// advance refills the bucket and ends reserves.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.refused *= math.Exp(-elapsed)
	last := max(slotOf(now), b.slot)
	for b.slot < last && b.reserved > 0 {
		b.refill(time.Unix(0, (b.slot+1)*int64(slotTime)))
		b.enter(b.slot + 1)
	}
	b.slot = max(b.slot, last-slots)
	for b.slot < last {
		b.enter(b.slot + 1)
	}
	b.refill(now)
	if !now.Before(b.fullAt) {
		b.level, b.surplus = b.level+b.surplus, 0
	}
	// The bucket may have refilled in any of the slots since the last call.
	for s := max(slotOf(b.entered), b.slot-slots+1); s < b.slot; s++ {
		b.recordLevel(s)
	}
	b.entered = now
}

// refill adds the tokens of the time since the last refill.
func (b *bucket) refill(until time.Time) {
	if elapsed := until.Sub(b.updated).Seconds(); elapsed > 0 {
		b.add(float64(b.limit.Rate) * elapsed)
		b.updated = until
	}
	b.recordLevel(b.slot)
}

// add adds tokens, up to the capacity.
func (b *bucket) add(tokens float64) {
	full := min(b.level+b.surplus+tokens, b.capacity()-b.reserved)
	b.level = min(b.level+tokens, full)
	b.surplus = full - b.level
}

// total returns the highest number of tokens that the bucket may have.
func (b *bucket) total() float64 { return b.level + b.surplus + b.reserved }

// recordLevel records that the present level may have been reached in a slot.
func (b *bucket) recordLevel(slot int64) {
	at, total := position(slot), b.total()
	b.peaks[at] = max(b.peaks[at], total)
	if !math.IsInf(b.rests[at], -1) {
		b.rests[at] = max(b.rests[at], total)
	}
}

// enter begins a slot and ends the reserves that have expired.
func (b *bucket) enter(slot int64) {
	if old := slot - reserveSlots; old >= 0 {
		b.reserved -= b.reserves[position(old)]
		b.reserves[position(old)] = 0
	}
	b.slot = slot
	b.peaks[position(slot)] = b.total()
	b.rests[position(slot)] = math.Inf(-1)
}

// SetLimit changes the limit. A lower burst takes effect at once. Tokens that were taken
// before are not returned, as the bucket was filled up to another level in the meantime.
func (b *bucket) SetLimit(now time.Time, limit zinniapond.PlanLimit) {
	if limit == b.limit {
		return
	}
	b.advance(now)
	b.limit = limit
	for i := range b.peaks {
		b.peaks[i], b.rests[i] = b.capacity(), b.capacity()
	}
	b.add(0)
}

// threshold returns the level above which programs may begin.
func (b *bucket) threshold() float64 {
	if b.updated.Before(b.fullAt) {
		refill := float64(b.limit.Rate) * b.updated.Sub(b.since).Seconds()
		return min(newShare*refill, beginShare*b.capacity())
	}
	return beginShare * b.capacity()
}

// SetWaiting sets the numbers of requests for which other hosts wait.
func (b *bucket) SetWaiting(beginning, continuing int) {
	b.waiting.beginning, b.waiting.continuing = max(beginning, 0), max(continuing, 0)
}

// Take takes tokens: for requests of programs that were begun as long as there are any,
// and for requests that begin programs while the level is above the threshold and there
// are tokens for all requests of programs that were begun for which other hosts wait.
func (b *bucket) Take(now time.Time, beginning, continuing int) (begin, other int) {
	b.advance(now)
	other = b.takeDownTo(0, continuing)
	begin = b.takeDownTo(max(b.threshold(), float64(b.waiting.continuing)), beginning)
	if begin < beginning {
		b.refused = max(b.refused, float64(beginning-begin+b.waiting.beginning))
	}
	if begin+other > 0 {
		at := position(b.slot)
		b.rests[at] = max(b.rests[at], b.total())
	}
	return begin, other
}

// takeDownTo takes whole tokens while the level is above floor.
func (b *bucket) takeDownTo(floor float64, count int) int {
	taken := max(0, min(count, int(math.Ceil(b.level-floor)), int(b.level)))
	b.level -= float64(taken)
	return taken
}

// Return gives tokens back. The level becomes what it would be if they had not been
// taken: without them the bucket would have been full at its highest level since, and
// would have lost a part of its refill.
func (b *bucket) Return(now, takenAt time.Time, count int) {
	b.advance(now)
	from := slotOf(takenAt)
	if from <= b.slot-slots || from > b.slot || count <= 0 {
		return
	}
	highest := b.rests[position(from)]
	if math.IsInf(highest, -1) {
		return // no token was taken then
	}
	for s := from + 1; s <= b.slot; s++ {
		highest = max(highest, b.peaks[position(s)])
	}
	returned := min(float64(count), b.capacity()-highest)
	if returned <= 0 {
		return
	}
	b.level += returned
	for s := from; s <= b.slot; s++ {
		b.peaks[position(s)] += returned
		b.rests[position(s)] += returned
	}
}

// Reserve sets tokens aside while the bucket is nearly full. Reserves count towards the
// capacity until they expire, so that they can be used at any time until then.
func (b *bucket) Reserve(now time.Time, count int) int {
	b.advance(now)
	taken := min(float64(count), math.Floor(b.level-b.capacity()*reserveShare))
	if taken <= 0 {
		return 0
	}
	b.level -= taken
	b.reserved += taken
	b.reserves[position(b.slot)] += taken
	return int(taken)
}

// Wait returns the time in which the bucket refills to the level that a request needs.
// For requests that begin programs it includes the time for those that were refused.
func (b *bucket) Wait(now time.Time) (begin, other time.Duration) {
	b.advance(now)
	ahead := float64(b.waiting.continuing)
	return b.refillTime(max(b.threshold(), 1+ahead) + b.refused), b.refillTime(1 + ahead)
}

// refillTime returns the time in which the bucket refills to a level. The surplus is added
// at fullAt.
func (b *bucket) refillTime(level float64) time.Duration {
	if b.limit.Rate <= 0 {
		return maxWait
	}
	seconds := (level - b.level) / float64(b.limit.Rate)
	if b.surplus > 0 {
		filled := max((level-b.level-b.surplus)/float64(b.limit.Rate), b.fullAt.Sub(b.updated).Seconds())
		seconds = min(seconds, filled)
	}
	return time.Duration(min(max(seconds, 0.001), maxWait.Seconds()) * float64(time.Second))
}

// IsFull reports whether the bucket is full without reserves.
func (b *bucket) IsFull(now time.Time) bool {
	b.advance(now)
	return b.reserved == 0 && b.surplus == 0 && b.level >= b.capacity()
}
