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

// The times of the design page.
const (
	leaseTime = 2500 * time.Millisecond
	session   = 4 * time.Second
	contact   = 600 * time.Millisecond
	election  = 300 * time.Millisecond
	snapshot  = 16 // records; far fewer than in use, so that runs cross many snapshots
	shards    = 4
)

type name = zinniapond.HostName

// event is something that happens at an instant of the simulated time.
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

// world runs voters and hosts in one thread on a simulated clock. All that is
// random comes from one seed, and the faults come from rapid.
type world struct {
	t      *rapid.T
	now    time.Time
	events events
	order  int
	random *rand.Rand
	nodes  []*node
	hosts  []*host
	cut    map[name]bool
	slow   time.Duration // greatest extra delay of a message
	loss   float64       // share of messages lost
	oracle oracle
	open   bool // any control host may become a voter
}

func (w *world) after(d time.Duration, run func()) {
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, run})
}

// send carries a message, or loses or delays it.
func (w *world) send(from, to name, run func()) {
	d := time.Millisecond + time.Duration(w.random.Int64N(int64(2*time.Millisecond)))
	if w.slow > 0 && w.random.IntN(4) == 0 {
		d += time.Duration(w.random.Int64N(int64(w.slow)))
	}
	if w.random.Float64() < w.loss || w.cut[from] != w.cut[to] {
		return
	}
	w.after(d, func() {
		if w.cut[from] == w.cut[to] {
			run()
		}
	})
}

// advance runs the events of the given span.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
		w.checkOwners()
	}
	w.now = end
}

// node is one voter host: the driver of a core, as Voter is one.
type node struct {
	w       *world
	name    name
	disk    zinniapond.DiskID
	disks   int
	gone    bool // taken away for good
	durable zinniapond.LogChange
	life    int // number of starts; events of an earlier life do nothing

	node   *quorum.Node
	core   *raft.Core // of node; nil while it is down
	saving bool
	asked  int // number of the fetch that runs, 0 for none
	fetch  int
	alarm  time.Time
	leads  bool             // serve runs
	seen   zinniapond.Index // last committed record that the oracle has seen
	held   []func() bool    // fetches that wait; true when done
	votes  []vote
}

type vote struct {
	sequence uint64
	send     func()
}

// merge changes durable state as disk.Log does.
func merge(durable *zinniapond.LogChange, change zinniapond.LogChange) {
	durable.Term, durable.Voted = change.Term, change.Voted
	durable.Entries = slices.DeleteFunc(slices.Clone(durable.Entries), func(e zinniapond.LogEntry) bool { return e.Index >= change.From })
	durable.Entries = append(durable.Entries, change.Entries...)
	if s := change.Snapshot; s != nil {
		durable.Entries = slices.DeleteFunc(durable.Entries, func(e zinniapond.LogEntry) bool { return e.Index <= s.Index })
		durable.Snapshot = s
	}
}

// alive makes an event of the present life.
func (n *node) alive(run func()) func() {
	life := n.life
	return func() {
		if n.life == life && n.core != nil {
			run()
		}
	}
}

func (n *node) start() {
	n.life++
	n.core = &raft.Core{
		Self:    zinniapond.VoterKey{Name: n.name, Disk: n.disk},
		Contact: contact, Election: election, Quorum: contact, Wait: contact / 3, Random: n.w.random, Keep: 8,
		Open: n.w.open, Patience: patience,
	}
	for _, p := range n.w.nodes {
		if p != n && !p.gone {
			n.core.Peers = append(n.core.Peers, p.name)
		}
	}
	if n.durable.Snapshot == nil {
		n.durable.Snapshot = new(zinniapond.Snapshot)
	}
	n.node = &quorum.Node{Core: n.core, State: &state.State{}, Snapshot: snapshot, Duty: duty.Leader{
		Session: session, Shards: shards,
		Planner: plan.Planner{Replicas: 2, Start: time.Second, Patience: session, Moves: 2},
	}}
	n.check(n.node.Start(n.w.now, n.durable))
	n.saving, n.asked, n.alarm, n.leads = false, 0, time.Time{}, false
	n.held, n.votes, n.seen = nil, nil, n.core.Commit()
	n.settle()
}

// crash loses what is not synced; a sync that runs may or may not have ended.
func (n *node) crash() {
	if n.core == nil {
		return
	}
	if change, ok := n.core.Unsaved(); ok && n.saving && n.w.random.IntN(2) == 0 {
		merge(&n.durable, change)
	}
	n.core = nil
	n.life++
}

func (n *node) check(err error) {
	if err != nil {
		n.w.t.Fatalf("%s at %s: %v", n.name, n.w.now.Format("05.000"), err)
	}
}

// settle follows each change of the node, as Voter.settle does.
func (n *node) settle() {
	for _, e := range n.core.Entries(n.seen + 1) {
		n.w.oracle.committed(n, e)
	}
	n.seen = n.core.Commit()
	_, _, err := n.node.Settle(n.w.now)
	n.check(err)
	n.w.oracle.leader(n)
	if n.node.Duty.Leads() && !n.leads {
		n.leads = true
		n.serve()
	}
	n.sync()
	ballots := n.core.Ballots()
	for _, p := range n.w.nodes { // in a fixed order, for reproduction
		if request, ok := ballots[p.name]; ok {
			n.canvass(p.name, request)
		}
	}
	n.pull()
	for _, v := range slices.DeleteFunc(slices.Clone(n.votes), func(v vote) bool { return v.sequence > n.node.Durable() }) {
		v.send()
	}
	n.votes = slices.DeleteFunc(n.votes, func(v vote) bool { return v.sequence <= n.node.Durable() })
	held := n.held
	n.held = nil
	for _, done := range held {
		if !done() {
			n.held = append(n.held, done)
		}
	}
	if d := n.core.Deadline(n.w.now); !d.Equal(n.alarm) {
		n.alarm = d
		n.w.after(max(d.Sub(n.w.now), 0), n.alive(func() {
			if d.Equal(n.alarm) {
				n.alarm = time.Time{}
				n.core.Tick(n.w.now)
				n.settle()
			}
		}))
	}
}

func (n *node) sync() {
	change, ok := n.core.Unsaved()
	if !ok || n.saving {
		return
	}
	n.saving = true
	n.w.after(time.Duration(n.w.random.Int64N(int64(8*time.Millisecond))), n.alive(func() {
		n.saving = false
		merge(&n.durable, change)
		n.node.Saved(n.w.now, change)
		n.settle()
	}))
}

func (n *node) canvass(to name, request zinniapond.VoteRequest) {
	p := n.w.node(to)
	n.w.send(n.name, to, func() {
		if p.core == nil {
			return
		}
		reply := p.core.Vote(n.w.now, request)
		p.votes = append(p.votes, vote{p.core.Sequence(), func() {
			n.w.send(to, n.name, n.alive(func() {
				n.core.Voted(n.w.now, to, request, reply)
				n.settle()
			}))
		}})
		p.settle()
	})
}

func (n *node) pull() {
	peer, request, ok := n.core.Next()
	if !ok || n.asked > 0 {
		return
	}
	n.fetch++
	n.asked = n.fetch
	number := n.fetch
	n.w.send(n.name, peer, func() {
		n.w.node(peer).serveFetch(request, func(reply zinniapond.FetchReply) {
			n.w.send(peer, n.name, n.alive(func() {
				// A late answer is handed over too; the core must cope with it.
				n.check(n.core.Fetched(n.w.now, peer, request, reply))
				if n.asked == number {
					n.asked = 0
				}
				n.settle()
			}))
		})
	})
	n.w.after(request.Wait+contact/2, n.alive(func() {
		if n.asked == number {
			n.asked = 0
			n.core.Missed(peer)
			n.settle()
		}
	}))
}

// serveFetch answers a fetch of a voter or a host, as Voter.Fetch does.
func (n *node) serveFetch(request zinniapond.FetchRequest, answer func(zinniapond.FetchReply)) {
	if n.core == nil {
		return
	}
	arrived := n.w.now
	try := func() bool {
		reply, ready, err := n.node.Fetch(n.w.now, arrived, request)
		n.check(err)
		if ready {
			answer(reply)
		}
		return ready
	}
	if !try() {
		n.held = append(n.held, try)
		n.w.after(request.Wait, n.alive(n.settle))
	}
	n.settle()
}

// propose appends a command, as Voter.Propose does.
func (n *node) propose(command zinniapond.Command, answer func(zinniapond.ProposeReply)) {
	if n.core == nil {
		return
	}
	n.node.Propose(n.w.now, command, func(reply zinniapond.ProposeReply) {
		if reply.Accepted {
			answer(reply)
		}
	})
	n.settle()
}

// serve does the leader's duties for as long as it leads.
func (n *node) serve() {
	n.w.after(100*time.Millisecond, n.alive(func() {
		if n.leads = n.node.Duty.Leads(); !n.leads {
			return
		}
		_, moves, err := n.node.Serve(n.w.now)
		n.check(err)
		for _, move := range moves {
			n.w.handover(n, move)
		}
		n.settle()
		n.serve()
	}))
}

func (w *world) node(of name) *node {
	for _, n := range w.nodes {
		if n.name == of {
			return n
		}
	}
	panic(fmt.Sprintf("no node %s", of))
}

// living returns the voters' hosts that were not taken away.
func (w *world) living() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.gone })
}
