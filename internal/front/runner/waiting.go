package runner

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/sample"
)

const (
	// scanInterval is the longest time between two wake-ups while requests wait. The
	// sums of loads are late by some hundred milliseconds and may be lost, so that room
	// at a replica may not be seen.
	scanInterval = 100 * time.Millisecond
	// scanTries is the number of replicas that a request tries which is woken without
	// known room, and refusalMemory the time for which such a request leaves out
	// replicas that refused another one, as long as scanTries others are left.
	scanTries     = 4
	refusalMemory = 3 * scanInterval
	// minScanPause is the time without a wake-up after which a request that enters the
	// queue without tries causes one, so that room that other hosts have left is found
	// before the next sums while few requests wait.
	minScanPause = 20 * time.Millisecond
	// maxPasses is the number of requests to which room at a slow replica is offered that
	// would end too late there.
	maxPasses = 4
	// roomMemory is the time for which room is remembered that no waiting request has
	// taken, and maxRooms the number of such places. A request that found all replicas
	// full may enter the queue only after that.
	roomMemory = scanInterval
	// roomSeenTime is the time for which no request is refused at once after replicas
	// were known to have room. Loads are exchanged each 100 to 200 ms.
	roomSeenTime = 3 * scanInterval
	maxRooms     = 64
	// wakeRatio is the number of requests that all hosts together wake for each place
	// that the sums of loads show. Hosts have different numbers of waiting requests, and
	// places must not stay empty.
	wakeRatio = 2
)

// room is a place at a replica that became free.
type room struct {
	replica netip.AddrPort
	at      time.Time
}

// waiters has the requests of this host that wait for a replica of one pool. Each waits
// on a channel and is woken when a place becomes free, one for each place.
type waiters struct {
	queue zinniapond.WaitQueue
	clock func() time.Time
	// decisions has a lock of its own.
	decisions decisions

	mu sync.Mutex
	// wakes has the channels of the requests in the queue. A request that is woken is
	// removed from both, so that it is woken only once.
	wakes      map[uint64]chan wake
	nextTicket uint64
	rooms      []room
	roomSeenAt time.Time // when the sums of loads or the list last showed room
	refusals   map[netip.AddrPort]time.Time
	scan       *time.Timer
	wokenAt    time.Time // when a request was last woken
}

// wake tells a waiting request why it leaves the queue.
type wake struct {
	// replica has room; not valid if no replica is known to have.
	replica netip.AddrPort
	// passes is the number of requests that have not used the room.
	passes int
	// isRemoved is set if the queue is too long.
	isRemoved bool
}

func newWaiters(queue zinniapond.WaitQueue, clock func() time.Time) *waiters {
	return &waiters{queue: queue, clock: clock, decisions: decisions{sampler: sample.Sampler{Interval: decisionInterval}}, wakes: make(map[uint64]chan wake), refusals: make(map[netip.AddrPort]time.Time)}
}

func (w *waiters) ticket() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextTicket++
	return w.nextTicket
}

// recordEnd records the end of an attempt that ran at a replica, which leaves a place.
func (w *waiters) recordEnd(now time.Time, replica netip.AddrPort) {
	w.queue.RecordFree(now, 1)
	w.offer(now, replica, 1)
}

// recordRefusal records that a replica was full.
func (w *waiters) recordRefusal(now time.Time, replica netip.AddrPort) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusals[replica] = now
}

// offer wakes one waiting request for each free place of a replica. Places that no
// request waits for are remembered for roomMemory.
func (w *waiters) offer(now time.Time, replica netip.AddrPort, places int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.refusals, replica)
	for range places {
		if !w.wakeNext(now, wake{replica: replica}) && len(w.rooms) < maxRooms {
			w.rooms = append(w.rooms, room{replica, now})
		}
	}
	w.pruneRooms(now)
}

// pass offers room to the next request that the woken one does not use.
func (w *waiters) pass(now time.Time, reason wake) {
	reason.passes++
	if reason.passes > maxPasses {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeNext(now, reason)
}

// pruneRooms removes places that were free too long ago. The caller holds the lock.
func (w *waiters) pruneRooms(now time.Time) {
	old := 0
	for old < len(w.rooms) && now.Sub(w.rooms[old].at) > roomMemory {
		old++
	}
	w.rooms = w.rooms[old:]
}

// wakeNext wakes the first request of the queue; it returns false if there is none. The
// caller holds the lock.
func (w *waiters) wakeNext(now time.Time, reason wake) bool {
	next, ok := w.queue.Pop(now)
	if !ok {
		return false
	}
	w.wokenAt = now
	w.send(next.Ticket, reason)
	return true
}

// send ends the wait of a request that is no longer in the queue. The caller holds the
// lock. The channel has room for the only value that it ever gets.
func (w *waiters) send(ticket uint64, reason wake) {
	w.wakes[ticket] <- reason
	delete(w.wakes, ticket)
}

// enter adds a request to the queue. Room that became free after the given instant, at
// which the request began to try replicas, is given to the first request at once.
// A request that has tried no replica wakes the first one if none was woken lately.
func (w *waiters) enter(now, since time.Time, waiting zinniapond.WaitingRequest) <-chan wake {
	w.mu.Lock()
	defer w.mu.Unlock()
	woken := make(chan wake, 1)
	w.wakes[waiting.Ticket] = woken
	if removed, isFull := w.queue.Push(now, waiting); isFull {
		w.send(removed.Ticket, wake{isRemoved: true})
	}
	w.pruneRooms(now)
	for i, r := range w.rooms {
		if r.at.After(since) {
			w.rooms = append(w.rooms[:i:i], w.rooms[i+1:]...)
			w.wakeNext(now, wake{replica: r.replica})
			break
		}
	}
	if since.IsZero() && now.Sub(w.wokenAt) >= minScanPause {
		w.wakeNext(now, wake{})
	}
	if w.scan == nil && len(w.wakes) > 0 {
		w.scan = time.AfterFunc(scanInterval, w.onScan)
	}
	return woken
}

// leave removes a request whose wait has ended without a wake-up. A wake-up that came at
// the same time is passed on to the next request.
func (w *waiters) leave(now time.Time, ticket uint64, woken <-chan wake) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue.Remove(ticket) {
		delete(w.wakes, ticket)
		return
	}
	if reason := <-woken; !reason.isRemoved && !w.wakeNext(now, reason) && reason.replica.IsValid() && len(w.rooms) < maxRooms {
		w.rooms = append(w.rooms, room{reason.replica, now})
	}
}

// onScan wakes one request without known room, and runs again while requests wait.
func (w *waiters) onScan() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wakeNext(w.clock(), wake{})
	w.scan = nil
	if len(w.wakes) > 0 {
		w.scan = time.AfterFunc(scanInterval, w.onScan)
	}
}

// refusedLately returns replicas of a pool of the given size that were full a short time
// ago. It leaves out those whose refusals are oldest, so that scanTries replicas remain.
func (w *waiters) refusedLately(now time.Time, size int) []netip.AddrPort {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []netip.AddrPort
	for a, at := range w.refusals {
		if now.Sub(at) < refusalMemory {
			list = append(list, a)
		} else {
			delete(w.refusals, a)
		}
	}
	slices.SortFunc(list, func(a, b netip.AddrPort) int { return w.refusals[b].Compare(w.refusals[a]) })
	return list[:min(len(list), max(size-scanTries, 0))]
}

// offerSeen wakes waiting requests for room that the sums of loads or the list show.
func (w *waiters) offerSeen(now time.Time, replica netip.AddrPort, places int) {
	w.mu.Lock()
	w.roomSeenAt = now
	w.mu.Unlock()
	w.offer(now, replica, places)
}

// isHopeless reports whether a request would wait for longer than it has time, and for how
// long. It is false while replicas are known to have room or nothing waits.
func (w *waiters) isHopeless(now time.Time, waiting zinniapond.WaitingRequest) (expected time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queue.Len() == 0 || now.Sub(w.roomSeenAt) < roomSeenTime {
		return 0, false
	}
	expected, ok = w.queue.EstimateWait(now, waiting)
	return expected, ok && now.Add(expected).After(waiting.Deadline)
}

// offerReported wakes requests for room that the sums over all hosts show. Each host
// takes a part of it that corresponds to its part of the requests, because all hosts see
// the same room.
func (p *pool) offerReported(now time.Time, counts map[netip.AddrPort]int) {
	if p.waiters.queue.Len() == 0 {
		return
	}
	own, total := int64(0), 0
	replicas := *p.replicas.Load()
	for a := range replicas {
		total += counts[a]
		if n, ok := p.inFlight.Get(a); ok {
			own += n.Load()
		}
	}
	share := min(wakeRatio*float64(own+1)/float64(max(int64(total), own)+1), 1)
	for a, b := range replicas {
		if free := b.Slots - counts[a]; free > 0 && !p.doubts.Has(now, b) {
			p.waiters.offerSeen(now, a, randomRound(float64(free)*share))
		}
	}
}

// offerListed wakes requests for replicas that are new in the list. All hosts see them at
// about the same time.
func (p *pool) offerListed(now time.Time, old, current map[netip.AddrPort]zinniapond.Backend, hosts int64) {
	for a, b := range current {
		if o, known := old[a]; !known || o.ID != b.ID {
			p.waiters.offerSeen(now, a, max(1, randomRound(float64(b.Slots)*min(wakeRatio/float64(max(hosts, 1)), 1))))
		}
	}
}

// randomRound rounds a number up with a probability equal to its fraction.
func randomRound(x float64) int { return int(x + rand.Float64()) }
