package wait

import "time"

const (
	// slotTime is the resolution at which free places are counted, and slotCount the
	// number of slots. The last 2 s count: a burst and the end of a burst last longer.
	slotTime  = 100 * time.Millisecond
	slotCount = 20
	// minSpan is the shortest time over which the rate is measured, and minPlaces the
	// least number of places from which it is known. A few answers that end together
	// are no rate.
	minSpan   = 2 * slotTime
	minPlaces = 4
)

// freeRate measures the rate at which places at replicas become free.
type freeRate struct {
	slots [slotCount]freeSlot
}

// freeSlot counts the places that became free in the slot time that begins at start.
type freeSlot struct {
	start  time.Time
	places int
}

func (r *freeRate) add(now time.Time, places int) {
	start := now.Truncate(slotTime)
	s := &r.slots[(start.UnixNano()/int64(slotTime))%slotCount]
	if !s.start.Equal(start) {
		*s = freeSlot{start: start}
	}
	s.places += places
}

// perSecond returns the rate from the first recent free place until now; ok is false if
// there were too few. The time before that place does not count: after an outage it
// would make the rate too low.
func (r *freeRate) perSecond(now time.Time) (rate float64, ok bool) {
	places, oldest := 0, now
	for i := range r.slots {
		s := &r.slots[i]
		if s.places > 0 && now.Sub(s.start) < slotCount*slotTime {
			places += s.places
			if s.start.Before(oldest) {
				oldest = s.start
			}
		}
	}
	if places < minPlaces {
		return 0, false
	}
	return float64(places) / max(now.Sub(oldest), minSpan).Seconds(), true
}
