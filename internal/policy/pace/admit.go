package pace

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// maxSumAge is the age from which a sum is not used. Sums come at intervals of 0.1
	// to 0.5 s.
	maxSumAge = time.Second
	// drawInterval is the time for which the draw of the hosts that may use the free
	// places holds. The sums have the requests that were sent in the interval before: an
	// exchange takes place each 100 ms, and sums are relayed each 100 ms.
	drawInterval = 400 * time.Millisecond
	// gainGrowth is the growth of the share of the hosts that may use a free place, for
	// each sum that shows less than half of the bound in use: most hosts that may send a
	// request have none that suits the replica. With maxGain, about every host of the
	// largest deployments in use may use one free place.
	gainGrowth = 1.5
	maxGain    = 32
)

// draw returns a number between 0 and 1 that is the same for all calls of a host with
// the same slot.
func draw(phase, slot uint64) float64 { return rand.New(rand.NewPCG(phase, slot)).Float64() }

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
