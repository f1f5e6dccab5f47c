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

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{
		t: t, now: time.Unix(1000, 0), partitioned: make(map[name]bool),
		random:         rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		openMembership: rapid.Bool().Draw(t, "open"),
	}
	w.oracle = oracle{sim: w, leaders: make(map[zinniapond.Term]name), changeOfVersion: make(map[zinniapond.Version]zinniapond.ChangeID)}
	count := rapid.SampledFrom([]int{1, 3, 3, 5}).Draw(t, "voters")
	var initialVoters []zinniapond.VoterKey
	for i := range count {
		n := &node{sim: w, name: name(fmt.Sprintf("v%d", i)), disk: "first"}
		w.nodes = append(w.nodes, n)
		initialVoters = append(initialVoters, zinniapond.VoterKey{Name: n.name, Disk: n.disk})
	}
	for _, n := range w.nodes {
		n.durable.Snapshot = &zinniapond.Snapshot{Voters: initialVoters}
		n.start()
	}
	for i := range 3 {
		w.startHost(name(fmt.Sprintf("h%d", i)))
	}
	return w
}

// submitChanges sends several changes of the lists to all voters at once: new
// ones, some of them with the same expected version, and repeats of old ones.
func (w *simulation) submitChanges(t *rapid.T) {
	expect := zinniapond.Version(len(w.oracle.changeOfVersion))
	for range rapid.IntRange(1, 6).Draw(t, "changes") {
		n := len(w.oracle.changes)
		if n > 0 && rapid.Bool().Draw(t, "resend") {
			w.submitChange(w.oracle.changes[rapid.IntRange(max(0, n-5), n-1).Draw(t, "which")])
			continue
		}
		c := &change{command: zinniapond.Command{
			Kind: zinniapond.CommandLists, ExpectedVersion: expect, Plans: fmt.Sprint(n),
			ChangeID: zinniapond.ChangeID(fmt.Sprintf("c%d", n)),
		}}
		if rapid.Bool().Draw(t, "next") {
			expect++
		}
		w.oracle.changes = append(w.oracle.changes, c)
		w.submitChange(c)
	}
}

func (w *simulation) submitChange(c *change) {
	for _, n := range w.nodes {
		w.send("operator", n.name, func() {
			n.propose(c.command, func(reply zinniapond.ProposeReply) {
				w.send(n.name, "operator", func() { w.oracle.checkAnswer(c, reply.Result) })
			})
		})
	}
}

// canLoseDisk reports whether a voter may lose its disk: only if every voter
// runs and has its disk in the voter set in force, so that a majority keeps the
// records that it has synced.
func (w *simulation) canLoseDisk() bool {
	var newestVoters []zinniapond.VoterKey
	var term zinniapond.Term
	nodes := w.presentNodes()
	for _, p := range nodes {
		if p.core == nil {
			return false
		}
		if p.core.Term() >= term {
			newestVoters, term = p.core.Voters(), p.core.Term()
		}
	}
	for _, p := range nodes {
		if !slices.Contains(newestVoters, zinniapond.VoterKey{Name: p.name, Disk: p.disk}) || len(p.core.Voters()) != len(nodes) {
			return false
		}
	}
	return len(newestVoters) >= 3
}

// wipeDisk restarts a voter with an empty disk.
func (w *simulation) wipeDisk(n *node) {
	if !w.canLoseDisk() {
		return
	}
	n.crash()
	n.diskCount++
	n.disk = zinniapond.DiskID(fmt.Sprintf("disk-%d", n.diskCount))
	n.durable = zinniapond.LogChange{}
	n.start()
}

// replaceNode removes a voter's host permanently and starts another one with an
// empty disk at another address, which is not in the settings of any other host.
func (w *simulation) replaceNode(n *node) {
	if !w.openMembership || !w.canLoseDisk() {
		return
	}
	n.crash()
	n.removed = true
	replacement := &node{sim: w, name: name(fmt.Sprintf("v%d", len(w.nodes))), disk: zinniapond.DiskID(fmt.Sprintf("new-%d", len(w.nodes)))}
	w.nodes = append(w.nodes, replacement)
	replacement.start()
}

func (w *simulation) drawNode(t *rapid.T) *node {
	nodes := w.presentNodes()
	return nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "voter")]
}

func (w *simulation) drawHost(t *rapid.T) *host {
	i := rapid.IntRange(0, 2).Draw(t, "host")
	for _, h := range slices.Backward(w.hosts) {
		if h.name == name(fmt.Sprintf("h%d", i)) {
			return h
		}
	}
	return nil
}

func (w *simulation) actions() map[string]func(*rapid.T) {
	passTime := func(t *rapid.T) {
		w.advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	}
	return map[string]func(*rapid.T){
		"pass": passTime, "pass on": passTime, "pass still": passTime,
		"operate": w.submitChanges, "operate more": w.submitChanges,
		"crash": func(t *rapid.T) { w.drawNode(t).crash() },
		"restart": func(t *rapid.T) {
			if n := w.drawNode(t); n.core == nil {
				n.start()
			}
		},
		"wipe":    func(t *rapid.T) { w.wipeDisk(w.drawNode(t)) },
		"replace": func(t *rapid.T) { w.replaceNode(w.drawNode(t)) },
		"cut":     func(t *rapid.T) { w.partitioned[w.drawNode(t).name] = true },
		"cut host": func(t *rapid.T) {
			w.partitioned[w.drawHost(t).name] = true
		},
		"heal": func(*rapid.T) { clear(w.partitioned) },
		"slow": func(t *rapid.T) {
			w.maxExtraDelay = time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond
		},
		"lose": func(t *rapid.T) { w.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "share") },
		"freeze": func(t *rapid.T) {
			h := w.drawHost(t)
			h.suspended = !h.suspended
		},
		// The new process starts while the old one may still run.
		"replace host": func(t *rapid.T) {
			h := w.drawHost(t)
			h.killed = h.killed || rapid.Bool().Draw(t, "killed")
			w.startHost(h.name)
		},
		"": func(*rapid.T) { w.oracle.checkFreshness() },
	}
}

// recoverAndCheck ends all faults, lets 15 s pass, and fails unless all voters
// have all records and every host and shard works.
func (w *simulation) recoverAndCheck() {
	clear(w.partitioned)
	w.maxExtraDelay, w.lossRate = 0, 0
	for _, n := range w.presentNodes() {
		if n.core == nil {
			n.start()
		}
	}
	latest := make(map[name]*host)
	for _, h := range w.hosts {
		h.suspended = false
		if previous := latest[h.name]; previous != nil {
			previous.killed = true
		}
		latest[h.name] = h
	}
	w.advance(15 * time.Second)
	nodes := w.presentNodes()
	for _, n := range nodes {
		if int(n.core.CommitIndex()) != len(w.oracle.history) {
			w.t.Fatalf("%s has committed %d of %d records", n.name, n.core.CommitIndex(), len(w.oracle.history))
		}
		if len(n.core.Voters()) != len(nodes) {
			w.t.Fatalf("not all voters are in the voter set of %s: %v", n.name, n.core.Voters())
		}
	}
	for _, h := range latest {
		if !h.holder.LeaseValid(w.now) {
			w.t.Fatalf("%s is not fresh after all faults ended", h.instance)
		}
	}
	for id := range zinniapond.ShardID(shards) {
		if !slices.ContainsFunc(w.hosts, func(h *host) bool { return h.servesShard(id) }) {
			w.t.Fatalf("shard %d has no owner after all faults ended", id)
		}
	}
}

// TestFuzz guards against the loss of committed records, a state that reverts to
// an older one, two outcomes of one change, and two owners of one shard. The
// faults are partitions, crashes, lost unsynced writes, lost disks, voters
// replaced at other addresses, delayed and lost messages, suspended and replaced
// processes, and operators that send concurrent and repeated changes.
func TestFuzz(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		w.advance(3 * time.Second)
		t.Repeat(w.actions())
		w.recoverAndCheck()
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
