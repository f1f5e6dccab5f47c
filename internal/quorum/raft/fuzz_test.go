package raft_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
)

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1000, 0), cut: make(map[name]bool),
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		open:   rapid.Bool().Draw(t, "open"),
	}
	w.oracle = oracle{w: w, leaders: make(map[zinniapond.Term]name), by: make(map[zinniapond.Version]zinniapond.ChangeID)}
	count := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
	var first []zinniapond.VoterKey
	for i := range count {
		n := &node{w: w, name: name(fmt.Sprintf("v%d", i)), disk: "first"}
		w.nodes = append(w.nodes, n)
		first = append(first, zinniapond.VoterKey{Name: n.name, Disk: n.disk})
	}
	for _, n := range w.nodes {
		n.durable.Snapshot = &zinniapond.Snapshot{Voters: first}
		n.start()
	}
	for i := range 3 {
		w.startHost(name(fmt.Sprintf("h%d", i)))
	}
	return w
}

// operate sends some changes of the lists at once, new ones that race and old
// ones again, to all voters.
func (w *world) operate(t *rapid.T) {
	expect := zinniapond.Version(len(w.oracle.by))
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		n := len(w.oracle.changes)
		if n > 0 && rapid.Bool().Draw(t, "resend") {
			w.submit(w.oracle.changes[rapid.IntRange(max(0, n-5), n-1).Draw(t, "which")])
			continue
		}
		c := &change{command: zinniapond.Command{
			Kind: zinniapond.CommandLists, Expect: expect, Plans: fmt.Sprint(n),
			Change: zinniapond.ChangeID(fmt.Sprintf("c%d", n)),
		}}
		if rapid.Bool().Draw(t, "next") {
			expect++
		}
		w.oracle.changes = append(w.oracle.changes, c)
		w.submit(c)
	}
}

func (w *world) submit(c *change) {
	for _, n := range w.nodes {
		w.send("operator", n.name, func() {
			n.propose(c.command, func(reply zinniapond.ProposeReply) {
				w.send(n.name, "operator", func() { w.oracle.answered(c, reply.Result) })
			})
		})
	}
}

// spare tells whether a voter may lose its disk: if every disk of the voter set
// in force is there, a majority keeps what it has synced.
func (w *world) spare() bool {
	var newest []zinniapond.VoterKey
	var term zinniapond.Term
	living := w.living()
	for _, p := range living {
		if p.core == nil {
			return false
		}
		if p.core.Term() >= term {
			newest, term = p.core.Voters(), p.core.Term()
		}
	}
	for _, p := range living {
		if !slices.Contains(newest, zinniapond.VoterKey{Name: p.name, Disk: p.disk}) || len(p.core.Voters()) != len(living) {
			return false
		}
	}
	return len(newest) >= 3
}

// wipe takes a voter's disk.
func (w *world) wipe(n *node) {
	if !w.spare() {
		return
	}
	n.crash()
	n.disks++
	n.disk = zinniapond.DiskID(fmt.Sprintf("disk-%d", n.disks))
	n.durable = zinniapond.LogChange{}
	n.start()
}

// replace takes a voter's host away for good; another one with an empty disk
// comes at another address, which no other host is told.
func (w *world) replace(n *node) {
	if !w.open || !w.spare() {
		return
	}
	n.crash()
	n.gone = true
	next := &node{w: w, name: name(fmt.Sprintf("v%d", len(w.nodes))), disk: zinniapond.DiskID(fmt.Sprintf("new-%d", len(w.nodes)))}
	w.nodes = append(w.nodes, next)
	next.start()
}

func (w *world) anyNode(t *rapid.T) *node {
	living := w.living()
	return living[rapid.IntRange(0, len(living)-1).Draw(t, "voter")]
}

func (w *world) anyHost(t *rapid.T) *host {
	i := rapid.IntRange(0, 2).Draw(t, "host")
	for _, h := range slices.Backward(w.hosts) {
		if h.name == name(fmt.Sprintf("h%d", i)) {
			return h
		}
	}
	return nil
}

func (w *world) actions() map[string]func(*rapid.T) {
	pass := func(t *rapid.T) {
		w.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"pass": pass, "pass on": pass, "pass still": pass,
		"operate": w.operate, "operate more": w.operate,
		"crash": func(t *rapid.T) { w.anyNode(t).crash() },
		"restart": func(t *rapid.T) {
			if n := w.anyNode(t); n.core == nil {
				n.start()
			}
		},
		"wipe":    func(t *rapid.T) { w.wipe(w.anyNode(t)) },
		"replace": func(t *rapid.T) { w.replace(w.anyNode(t)) },
		"cut":     func(t *rapid.T) { w.cut[w.anyNode(t).name] = true },
		"cut host": func(t *rapid.T) {
			w.cut[w.anyHost(t).name] = true
		},
		"heal": func(*rapid.T) { clear(w.cut) },
		"slow": func(t *rapid.T) { w.slow = time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond },
		"lose": func(t *rapid.T) { w.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "share") },
		"freeze": func(t *rapid.T) {
			h := w.anyHost(t)
			h.frozen = !h.frozen
		},
		// The new process starts while the old one may live on.
		"replace host": func(t *rapid.T) {
			h := w.anyHost(t)
			h.dead = h.dead || rapid.Bool().Draw(t, "killed")
			w.startHost(h.name)
		},
		"": func(*rapid.T) { w.oracle.fresh() },
	}
}

// recover ends all faults and waits until everything works again.
func (w *world) recover() {
	clear(w.cut)
	w.slow, w.loss = 0, 0
	for _, n := range w.living() {
		if n.core == nil {
			n.start()
		}
	}
	latest := make(map[name]*host)
	for _, h := range w.hosts {
		h.frozen = false
		if before := latest[h.name]; before != nil {
			before.dead = true
		}
		latest[h.name] = h
	}
	w.advance(15 * time.Second)
	living := w.living()
	for _, n := range living {
		if int(n.core.Commit()) != len(w.oracle.history) {
			w.t.Fatalf("%s has committed %d of %d records", n.name, n.core.Commit(), len(w.oracle.history))
		}
		if len(n.core.Voters()) != len(living) {
			w.t.Fatalf("%s is not back among the voters: %v", n.name, n.core.Voters())
		}
	}
	for _, h := range latest {
		if !h.holder.Fresh(w.now) {
			w.t.Fatalf("%s is not fresh after all faults ended", h.instance)
		}
	}
	for id := range zinniapond.ShardID(shards) {
		if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.owns(id) }) {
			w.t.Fatalf("shard %d has no owner after all faults ended", id)
		}
	}
}

// TestFuzz guards against the loss of committed records, a state that goes
// back, two outcomes of one change, and two owners of one shard, under cuts,
// crashes, lost unsynced writes, lost disks, voters replaced at other addresses, slow and lost messages, frozen and
// replaced processes, and operators that race and resend.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.advance(3 * time.Second)
		t.Repeat(w.actions())
		w.recover()
	})
}

// TestMain fixes the seed unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
