package raft_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/fleet/plan"
	"zinniapond.example/zinniapond/internal/fleet/state"
	"zinniapond.example/zinniapond/internal/quorum/duty"
	quorum "zinniapond.example/zinniapond/internal/quorum/node"
	"zinniapond.example/zinniapond/internal/quorum/raft"
)

// Timeouts as in the design document, except for snapshot and shards.
const (
	leaseTime = 2500 * time.Millisecond
	session   = 4 * time.Second
	contact   = 600 * time.Millisecond
	election  = 300 * time.Millisecond
	snapshot  = 16 // records; far fewer than in use, so that runs cross many snapshots
	shards    = 4
)

type name = zinniapond.HostName

// event is a function that runs at an instant of the simulated time. Events of
// the same instant run in the order in which they were scheduled.
type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulation runs voters and hosts in one goroutine on a simulated clock. All
// random values come from one seed, and rapid chooses the faults.
type simulation struct {
	t              *rapid.T
	now            time.Time
	events         events
	eventCount     int
	random         *rand.Rand
	nodes          []*node
	hosts          []*host
	partitioned    map[name]bool
	maxExtraDelay  time.Duration // upper bound of the extra delay that some messages get
	lossRate       float64       // share of messages lost
	oracle         oracle
	openMembership bool // any control host may become a voter
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.eventCount++
	heap.Push(&w.events, event{w.now.Add(d), w.eventCount, run})
}

// send delivers a message to run after a random delay, or loses it.
func (w *simulation) send(from, to name, run func()) {
	d := time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Millisecond)))
	if w.maxExtraDelay > 0 && w.random.IntN(4) == 0 {
		d += time.Duration(w.random.Int64N(int64(w.maxExtraDelay)))
	}
	if w.random.Float64() < w.lossRate || w.partitioned[from] != w.partitioned[to] {
		return
	}
	w.schedule(d, func() {
		if w.partitioned[from] == w.partitioned[to] {
			run()
		}
	})
}

// advance runs the events of the given span of simulated time.
func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.checkSingleOwners()
	}
	w.now = end
}

// node is the host of one voter. It drives a raft.Core, as voter.Voter does.
type node struct {
	sim         *simulation
	name        name
	disk        zinniapond.DiskID
	diskCount   int
	removed     bool // permanently
	durable     zinniapond.LogChange
	incarnation int // number of starts; events of an earlier one do nothing

	node           *quorum.Node
	core           *raft.Core // of node; nil after a crash
	syncRunning    bool
	pendingFetch   int // number of the fetch in flight, 0 for none
	fetchCount     int
	contactAt      time.Time // of the next contact during a slow sync
	timerAt        time.Time
	dutiesRunning  bool             // scheduleDuties repeats
	checkedIndex   zinniapond.Index // last committed record that the oracle has checked
	waitingFetches []func() bool    // fetches without news; each returns true once it was answered
	pendingVotes   []pendingVote
}

type pendingVote struct {
	sequence uint64
	send     func()
}

// mergeChange applies a change to the durable state as disk.Log does.
func mergeChange(durable *zinniapond.LogChange, change zinniapond.LogChange) {
	durable.Term, durable.VotedFor = change.Term, change.VotedFor
	durable.Entries = slices.DeleteFunc(slices.Clone(durable.Entries), func(e zinniapond.LogEntry) bool { return e.Index >= change.FromIndex })
	durable.Entries = append(durable.Entries, change.Entries...)
	if s := change.Snapshot; s != nil {
		durable.Entries = slices.DeleteFunc(durable.Entries, func(e zinniapond.LogEntry) bool { return e.Index <= s.Index })
		durable.Snapshot = s
	}
}

// whileAlive wraps run as an event that does nothing after a crash or restart.
func (n *node) whileAlive(run func()) func() {
	incarnation := n.incarnation
	return func() {
		if n.incarnation == incarnation && n.core != nil {
			run()
		}
	}
}

func (n *node) start() {
	n.incarnation++
	n.core = &raft.Core{
		Self:          zinniapond.VoterKey{Name: n.name, Disk: n.disk},
		LeaderTimeout: contact, ElectionDelay: election, QuorumTimeout: contact, FetchWait: contact / 3, Random: n.sim.random, RetainedRecords: 8,
		OpenMembership: n.sim.openMembership, VoterTimeout: patience,
	}
	for _, p := range n.sim.nodes {
		if p != n && !p.removed {
			n.core.Peers = append(n.core.Peers, p.name)
		}
	}
	if n.durable.Snapshot == nil {
		n.durable.Snapshot = new(zinniapond.Snapshot)
	}
	n.node = &quorum.Node{Core: n.core, State: &state.State{}, SnapshotRecords: snapshot, Duties: duty.Leader{
		SessionTimeout: session, Shards: shards,
		Planner: plan.Planner{Replicas: 2, FirstAssignmentDelay: time.Second, ReplacementDelay: session, MaxHandovers: 2},
	}}
	n.checkError(n.node.Start(n.sim.now, n.durable))
	n.syncRunning, n.pendingFetch, n.timerAt, n.dutiesRunning, n.contactAt = false, 0, time.Time{}, false, time.Time{}
	n.waitingFetches, n.pendingVotes, n.checkedIndex = nil, nil, n.core.CommitIndex()
	n.processChanges()
}

// crash stops the node and loses the changes that are not synced. A sync in
// flight completes in half of the cases.
func (n *node) crash() {
	if n.core == nil {
		return
	}
	if change, ok := n.core.UnsavedChange(); ok && n.syncRunning && n.sim.random.IntN(2) == 0 {
		mergeChange(&n.durable, change)
	}
	n.core = nil
	n.incarnation++
}

func (n *node) checkError(err error) {
	if err != nil {
		n.sim.t.Fatalf("%s at %s: %v", n.name, n.sim.now.Format("05.000"), err)
	}
}

// processChanges is called after each change of the core, like its counterpart in
// voter.Voter.
func (n *node) processChanges() {
	for _, e := range n.core.CommittedEntries(n.checkedIndex + 1) {
		n.sim.oracle.checkCommitted(n, e)
	}
	n.checkedIndex = n.core.CommitIndex()
	_, _, err := n.node.ApplyChanges(n.sim.now)
	n.checkError(err)
	n.sim.oracle.checkLeader(n)
	if n.node.Duties.IsActive() && !n.dutiesRunning {
		n.dutiesRunning = true
		n.scheduleDuties()
	}
	n.startSync()
	ballots := n.core.TakeVoteRequests()
	for _, p := range n.sim.nodes { // in a fixed order, for reproduction
		if request, ok := ballots[p.name]; ok {
			n.sendVoteRequest(p.name, request)
		}
	}
	n.sendFetch()
	for _, v := range slices.DeleteFunc(slices.Clone(n.pendingVotes), func(v pendingVote) bool { return v.sequence > n.node.SavedSequence() }) {
		v.send()
	}
	n.pendingVotes = slices.DeleteFunc(n.pendingVotes, func(v pendingVote) bool { return v.sequence <= n.node.SavedSequence() })
	waiting := n.waitingFetches
	n.waitingFetches = nil
	for _, done := range waiting {
		if !done() {
			n.waitingFetches = append(n.waitingFetches, done)
		}
	}
	if d := n.core.NextDeadline(n.sim.now); !d.Equal(n.timerAt) {
		n.timerAt = d
		n.sim.schedule(max(d.Sub(n.sim.now), 0), n.whileAlive(func() {
			if d.Equal(n.timerAt) {
				n.timerAt = time.Time{}
				n.core.Tick(n.sim.now)
				n.processChanges()
			}
		}))
	}
}

func (n *node) startSync() {
	change, ok := n.core.UnsavedChange()
	if !ok || n.syncRunning {
		return
	}
	n.syncRunning = true
	longest := 8 * time.Millisecond
	if n.sim.random.IntN(50) == 0 {
		longest = 3 * contact // a disk that stalls
	}
	n.sim.schedule(time.Duration(n.sim.random.Int64N(int64(longest))), n.whileAlive(func() {
		n.syncRunning = false
		mergeChange(&n.durable, change)
		n.node.MarkSaved(n.sim.now, change)
		n.processChanges()
	}))
}

func (n *node) sendVoteRequest(to name, request zinniapond.VoteRequest) {
	p := n.sim.findNode(to)
	n.sim.send(n.name, to, func() {
		if p.core == nil {
			return
		}
		reply := p.core.HandleVote(n.sim.now, request)
		p.pendingVotes = append(p.pendingVotes, pendingVote{p.core.Sequence(), func() {
			n.sim.send(to, n.name, n.whileAlive(func() {
				n.core.HandleVoteReply(n.sim.now, to, request, reply)
				n.processChanges()
			}))
		}})
		p.processChanges()
	})
}

// keepContact shows the leader that the node follows it while a sync takes long.
func (n *node) keepContact() {
	if n.contactAt.After(n.sim.now) {
		return
	}
	n.contactAt = n.sim.now.Add(contact / 3)
	n.sim.schedule(contact/3, n.whileAlive(func() {
		peer, request, ok := n.core.NextContact()
		if !ok {
			return
		}
		n.sim.send(n.name, peer, func() {
			n.sim.findNode(peer).serveFetch(request, func(reply zinniapond.FetchReply) {
				n.sim.send(peer, n.name, n.whileAlive(func() {
					n.core.HandleContactReply(n.sim.now, peer, request, reply)
					n.processChanges()
				}))
			})
		})
		n.keepContact()
	}))
}

func (n *node) sendFetch() {
	peer, request, ok := n.core.NextFetch()
	if !ok {
		if _, _, isDue := n.core.NextContact(); isDue {
			n.keepContact()
		}
		return
	}
	if n.pendingFetch > 0 {
		return
	}
	n.fetchCount++
	n.pendingFetch = n.fetchCount
	number := n.fetchCount
	n.sim.send(n.name, peer, func() {
		n.sim.findNode(peer).serveFetch(request, func(reply zinniapond.FetchReply) {
			n.sim.send(peer, n.name, n.whileAlive(func() {
				// A late reply is passed on too: the core has to ignore it.
				n.checkError(n.core.HandleFetchReply(n.sim.now, peer, request, reply))
				if n.pendingFetch == number {
					n.pendingFetch = 0
				}
				n.processChanges()
			}))
		})
	})
	n.sim.schedule(request.MaxWait+contact/2, n.whileAlive(func() {
		if n.pendingFetch == number {
			n.pendingFetch = 0
			n.core.HandleFetchFailure(peer)
			n.processChanges()
		}
	}))
}

// serveFetch answers a fetch of a voter or a host, as Voter.Fetch does.
func (n *node) serveFetch(request zinniapond.FetchRequest, answer func(zinniapond.FetchReply)) {
	if n.core == nil {
		return
	}
	arrived := n.sim.now
	try := func() bool {
		reply, ready, err := n.node.HandleFetch(n.sim.now, arrived, request)
		n.checkError(err)
		if ready {
			answer(reply)
		}
		return ready
	}
	if !try() {
		n.waitingFetches = append(n.waitingFetches, try)
		n.sim.schedule(request.MaxWait, n.whileAlive(n.processChanges))
	}
	n.processChanges()
}

// propose appends a command, as Voter.Propose does.
func (n *node) propose(command zinniapond.Command, answer func(zinniapond.ProposeReply)) {
	if n.core == nil {
		return
	}
	n.node.Propose(n.sim.now, command, func(reply zinniapond.ProposeReply) {
		if reply.Accepted {
			answer(reply)
		}
	})
	n.processChanges()
}

// scheduleDuties runs the leader's duties every 100 ms as long as it leads.
func (n *node) scheduleDuties() {
	n.sim.schedule(100*time.Millisecond, n.whileAlive(func() {
		if n.dutiesRunning = n.node.Duties.IsActive(); !n.dutiesRunning {
			return
		}
		_, moves, err := n.node.RunDuties(n.sim.now)
		n.checkError(err)
		for _, move := range moves {
			n.sim.requestHandover(n, move)
		}
		n.processChanges()
		n.scheduleDuties()
	}))
}

func (w *simulation) findNode(nodeName name) *node {
	for _, n := range w.nodes {
		if n.name == nodeName {
			return n
		}
	}
	panic(fmt.Sprintf("no node %s", nodeName))
}

// presentNodes returns the nodes that were not permanently removed.
func (w *simulation) presentNodes() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.removed })
}
