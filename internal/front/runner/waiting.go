package runner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// scanInterval is the longest time between two wake-ups while requests wait. The
	// sums of loads are late by some hundred milliseconds and may be lost, so that room
	// at a replica may not be seen.
	scanInterval = 100 * time.Millisecond
	// scanTries is the number of replicas that a request tries which is woken without
	// known room, and refusalMemory the time for which such a request leaves out
	// replicas that refused another one.
	scanTries     = 4
	refusalMemory = 3 * scanInterval
	// roomMemory is the time for which room is remembered that no waiting request has
	// taken, and maxRooms the number of such places. A request that found all replicas
	// full may enter the queue only after that.
	roomMemory = scanInterval
	maxRooms   = 64
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

	mu sync.Mutex
	// wakes has the channels of the requests in the queue. A request that is woken is
	// removed from both, so that it is woken only once.
	wakes      map[uint64]chan wake
	nextTicket uint64
	rooms      []room
	refusals   map[netip.AddrPort]time.Time
	scan       *time.Timer
}

// wake tells a waiting request why it leaves the queue.
type wake struct {
	// replica has room; not valid if no replica is known to have.
	replica netip.AddrPort
	// isRemoved is set if the queue is too long.
	isRemoved bool
}

func newWaiters(queue zinniapond.WaitQueue, clock func() time.Time) *waiters {
	return &waiters{queue: queue, clock: clock, wakes: make(map[uint64]chan wake), refusals: make(map[netip.AddrPort]time.Time)}
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
			p.waiters.offer(now, a, randomRound(float64(free)*share))
		}
	}
}

// offerListed wakes requests for replicas that are new in the list. All hosts see them at
// about the same time.
func (p *pool) offerListed(now time.Time, old, current map[netip.AddrPort]zinniapond.Backend, hosts int64) {
	for a, b := range current {
		if o, known := old[a]; !known || o.ID != b.ID {
			p.waiters.offer(now, a, max(1, randomRound(float64(b.Slots)*min(wakeRatio/float64(max(hosts, 1)), 1))))
		}
	}
}

// randomRound rounds a number up with a probability equal to its fraction.
func randomRound(x float64) int { return int(x + rand.Float64()) }

// waitState is the state of one request in and outside of the queue of its pool.
type waitState struct {
	*run
	waiters *waiters
	state   zinniapond.WaitingRequest
	since   time.Time // when the current tries of replicas began
	// only is the replica with room that the request was woken for; not valid for any.
	only netip.AddrPort
	// isUnused is set until an attempt is made at that replica.
	isUnused bool
	// triesLeft is the number of replicas to try before waiting again; negative if it is
	// not bounded.
	triesLeft int
}

// newWait returns the state of a request that arrives. If others wait that go before it,
// it waits too.
func (u *run) newWait(p *pool, now, leaveAt time.Time) *waitState {
	s := zinniapond.WaitingRequest{
		Ticket: p.waiters.ticket(), RoutePriority: u.route.Priority, IsTurn: u.route.IsStream(),
		EnteredAt: now, LeaveAt: leaveAt, Deadline: u.deadline,
	}
	if u.plan != nil {
		s.PlanPriority = u.plan.Priority
	}
	s.Begins = s.IsTurn && u.request.PreviousTurn == "" && u.request.LastEventID == "" && u.spend.CacheLocation.TurnNumber <= 1
	if u.request.FinishWithin != 0 {
		s.FinishBy = u.request.ReceivedAt.Add(u.request.FinishWithin)
	}
	if u.request.ClientTimeout > 0 {
		s.ClientDeadline = u.request.ReceivedAt.Add(u.request.ClientTimeout)
	}
	w := &waitState{run: u, waiters: p.waiters, state: s, since: now, triesLeft: -1}
	if p.waiters.queue.Len() == 0 {
		return w
	}
	if _, _, limited := u.soonestLimited(now, p, zinniapond.PickInfo{}); limited || p.waiters.queue.IsFirst(now, s) {
		w.triesLeft = scanTries
	} else {
		w.triesLeft, w.since = 0, time.Time{}
	}
	return w
}

// isOver reports whether the request has to wait before it tries another replica.
func (w *waitState) isOver() bool { return w.triesLeft == 0 }

// begin records that an attempt uses the room that the request was woken for.
func (w *waitState) begin() { w.isUnused = false }

// end passes room on that the request was woken for and has not used, such as after its
// key was revoked.
func (w *waitState) end() {
	if w.isUnused {
		w.waiters.offer(w.Clock(), w.only, 1)
	}
}

// recordRefusal records that a replica was full.
func (w *waitState) recordRefusal(now time.Time, replica netip.AddrPort) {
	w.waiters.recordRefusal(now, replica)
	w.triesLeft = max(w.triesLeft-1, min(w.triesLeft, 0))
}

// recordRun lifts the bound on tries for a request that has run at a replica, as it is to
// be continued at any other. It returns those of the excluded replicas that have been
// tried.
func (w *waitState) recordRun(excluded []netip.AddrPort) []netip.AddrPort {
	if w.triesLeft >= 0 {
		excluded = nil
	}
	w.only, w.triesLeft = netip.AddrPort{}, -1
	return excluded
}

// await waits until a replica has room. The returned error wraps ErrOverload if the
// request is refused instead; it is nil if ctx is done.
func (w *waitState) await(ctx context.Context, p *pool) error {
	now := w.Clock()
	if w.waiters.queue.Len() > 0 {
		if expected, ok := w.waiters.queue.EstimateWait(now, w.state); ok && now.Add(expected).After(w.deadline) {
			w.Stats.Add("front.wait.refused", 1)
			return fmt.Errorf("expected wait of %s: %w", expected.Round(time.Millisecond), zinniapond.ErrOverload)
		}
	}
	w.isUnused = false
	until := w.state.LeaveAt
	// Limited replicas give permissions at known times, whether or not others have room.
	if _, permitWait, ok := w.soonestLimited(now, p, zinniapond.PickInfo{}); ok {
		until = earlier(until, now.Add(max(permitWait, fullRetryDelay)))
	}
	w.Stats.Add("front.wait.entered", 1)
	woken := w.waiters.enter(now, w.since, w.state)
	timer := time.NewTimer(until.Sub(now))
	defer timer.Stop()
	reason := wake{}
	select {
	case reason = <-woken:
	case <-timer.C:
		w.waiters.leave(w.Clock(), w.state.Ticket, woken)
	case <-ctx.Done():
		w.waiters.leave(w.Clock(), w.state.Ticket, woken)
		return nil
	}
	w.since = w.Clock()
	switch {
	case reason.isRemoved:
		w.Stats.Add("front.wait.removed", 1)
		return fmt.Errorf("too many requests wait: %w", zinniapond.ErrOverload)
	case !w.since.Before(w.state.LeaveAt):
		w.Stats.Add("front.wait.expired", 1)
		return fmt.Errorf("no replica had room within %s: %w", w.since.Sub(w.state.EnteredAt).Round(time.Millisecond), zinniapond.ErrOverload)
	}
	w.only, w.triesLeft = reason.replica, scanTries
	if w.only.IsValid() {
		w.triesLeft, w.isUnused = 1, true
	}
	return nil
}

// excluded returns the replicas that the request does not try now.
func (w *waitState) excluded(now time.Time, p *pool) []netip.AddrPort {
	switch {
	case w.only.IsValid():
		var list []netip.AddrPort
		for a := range *p.replicas.Load() {
			if a != w.only {
				list = append(list, a)
			}
		}
		return list
	case w.triesLeft > 0:
		return w.waiters.refusedLately(now, len(*p.replicas.Load()))
	}
	return nil
}
