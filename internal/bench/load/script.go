package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// blockTokens is the size of the engines' cache blocks.
const blockTokens = 64

// turn is one call of a program with the pause that follows it.
type turn struct {
	service  bool // a call of the plain service
	once     bool // not idempotent
	prompt   zinniapond.Tokens
	known    zinniapond.Tokens // part of the prompt that earlier calls had
	generate zinniapond.Tokens
	pause    time.Duration
	spawn    []*script // sub-agents; the next turn waits for them
}

// script is one program, made before the run, so that all plug-ins are given
// the same work.
type script struct {
	id        zinniapond.ProgramID
	kind      *kind
	arrive    time.Duration
	turns     []turn
	straggler bool
}

// span is a range from which values are drawn.
type span struct{ low, high int }

func (s span) draw(r *rand.Rand) int { return s.low + r.IntN(s.high-s.low+1) }

// kind is one kind of program of a plan.
type kind struct {
	plan   zinniapond.PlanName
	class  zinniapond.Class
	weight int
	wait   time.Duration
	rate   float64 // programs per second
	// burst programs arrive together, as with a lorry; 1 for single arrivals.
	burst span
	// peak multiplies the rate during the peak.
	peak     float64
	turns    span
	system   zinniapond.Tokens // common beginning of the prompts
	first    span              // tokens of the first prompt after it
	grow     span              // tokens that each tool answer adds
	generate span
	pause    span    // milliseconds
	services float64 // share of turns that call the plain service
	once     float64 // share of these that are not idempotent
	spawns   float64 // share of turns that start two sub-agents
	// short marks the kind whose calls are short.
	short bool
	// straggling is the share of programs with ten times as many turns.
	straggling float64
}

// workload is one operator's mix.
type workload struct {
	name     string
	services int // instances of the plain service
	kinds    []kind
}

// workloads are shaped as the two operators of the design page.
var workloads = []workload{
	{"rennbach", 5, []kind{
		{
			plan: "gate", class: zinniapond.ClassInteractive, weight: 2, wait: 5 * time.Second,
			rate: 1.6, burst: span{1, 1}, peak: 2, turns: span{1, 1}, system: 256, first: span{30, 90},
			grow: span{1, 1}, generate: span{6, 14}, pause: span{1, 1}, short: true,
		},
		{
			plan: "yard", class: zinniapond.ClassInteractive, weight: 4, wait: 10 * time.Second,
			rate: 2.56, burst: span{12, 30}, peak: 2, turns: span{3, 6}, system: 1024, first: span{200, 900},
			grow: span{80, 400}, generate: span{30, 110}, pause: span{150, 1500}, services: 0.35, once: 0.4, spawns: 0.08, straggling: 0.02,
		},
		{
			plan: "office", class: zinniapond.ClassStandard, weight: 3, wait: 20 * time.Second,
			rate: 1.12, burst: span{1, 1}, peak: 9, turns: span{5, 10}, system: 1536, first: span{800, 3000},
			grow: span{200, 900}, generate: span{80, 260}, pause: span{300, 3000}, services: 0.3, once: 0.2, spawns: 0.1, straggling: 0.03,
		},
		{
			plan: "quotes", class: zinniapond.ClassStandard, weight: 1, wait: 20 * time.Second,
			rate: 0.64, burst: span{1, 1}, peak: 12, turns: span{4, 8}, system: 1536, first: span{800, 3000},
			grow: span{200, 900}, generate: span{80, 260}, pause: span{300, 3000}, services: 0.3, once: 0.2, straggling: 0.03,
		},
		{
			plan: "records", class: zinniapond.ClassBatch, weight: 1, wait: 60 * time.Second,
			rate: 0.24, burst: span{1, 1}, peak: 2, turns: span{4, 10}, system: 512, first: span{3000, 9000},
			grow: span{500, 2000}, generate: span{200, 500}, pause: span{100, 800}, straggling: 0.05,
		},
	}},
	{"tengerweb", 6, []kind{
		{
			plan: "status", class: zinniapond.ClassInteractive, weight: 2, wait: 5 * time.Second,
			rate: 6.4, burst: span{1, 1}, peak: 2, turns: span{1, 1}, system: 128, first: span{30, 90},
			grow: span{1, 1}, generate: span{6, 14}, pause: span{1, 1}, short: true,
		},
		{
			plan: "shops", class: zinniapond.ClassInteractive, weight: 4, wait: 10 * time.Second,
			rate: 2.56, burst: span{1, 4}, peak: 2.5, turns: span{2, 7}, system: 1024, first: span{50, 500},
			grow: span{60, 500}, generate: span{40, 140}, pause: span{500, 5000}, services: 0.3, once: 0.2, spawns: 0.04, straggling: 0.02,
		},
		{
			plan: "repair", class: zinniapond.ClassStandard, weight: 3, wait: 20 * time.Second,
			rate: 0.8, burst: span{1, 1}, peak: 9, turns: span{6, 14}, system: 2048, first: span{600, 4000},
			grow: span{200, 1500}, generate: span{80, 300}, pause: span{200, 4000}, services: 0.25, once: 0.3, spawns: 0.1, straggling: 0.03,
		},
		{
			plan: "free", class: zinniapond.ClassStandard, weight: 1, wait: 20 * time.Second,
			rate: 0.64, burst: span{1, 1}, peak: 11, turns: span{4, 10}, system: 2048, first: span{600, 4000},
			grow: span{200, 1500}, generate: span{80, 300}, pause: span{200, 4000}, services: 0.25, once: 0.3, straggling: 0.03,
		},
		{
			plan: "crawl", class: zinniapond.ClassBatch, weight: 1, wait: 60 * time.Second,
			rate: 0.24, burst: span{1, 1}, peak: 2, turns: span{3, 8}, system: 512, first: span{3000, 9000},
			grow: span{500, 2000}, generate: span{200, 500}, pause: span{100, 800}, straggling: 0.05,
		},
	}},
}

// write makes the programs of a run in order of arrival. The peak lasts for
// the middle third.
func write(w workload, seed uint64, length time.Duration, load float64, peak, short bool) []*script {
	var all []*script
	for i := range w.kinds {
		k := &w.kinds[i]
		if short && !k.short {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(i)+10))
		mean := float64(k.burst.low+k.burst.high) / 2
		for at, n := time.Duration(0), 0; ; {
			rate := k.rate * load / mean
			if peak && at > length/3 && at < 2*length/3 {
				rate *= k.peak
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at > length {
				break
			}
			for range k.burst.draw(r) {
				n++
				s := k.write(r, zinniapond.ProgramID(fmt.Sprintf("%s-%d", k.plan, n)), 1)
				s.arrive = at + time.Duration(r.IntN(3000))*time.Millisecond
				all = append(all, s)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *script) int { return int(a.arrive - b.arrive) })
	return all
}

// write makes one program. Sub-agents, at depth 0, start none themselves.
func (k *kind) write(r *rand.Rand, id zinniapond.ProgramID, depth int) *script {
	s := &script{id: id, kind: k, straggler: depth > 0 && r.Float64() < k.straggling}
	turns := k.turns.draw(r)
	if s.straggler {
		turns = min(10*turns, 71)
	}
	if depth == 0 {
		turns = 2
	}
	context := k.system + zinniapond.Tokens(k.first.draw(r))
	known := zinniapond.Tokens(0)
	for i := range turns {
		t := turn{
			generate: zinniapond.Tokens(k.generate.draw(r)),
			pause:    time.Duration(k.pause.draw(r)) * time.Millisecond,
		}
		if i > 0 && r.Float64() < k.services {
			t.service, t.once = true, r.Float64() < k.once
			t.prompt, t.generate = 64, 4
		} else {
			t.prompt, t.known = context, known
			known = context
			context += t.generate + zinniapond.Tokens(k.grow.draw(r))
		}
		if depth > 0 && r.Float64() < k.spawns {
			for n := range 2 {
				t.spawn = append(t.spawn, k.write(r, zinniapond.ProgramID(fmt.Sprintf("%s/%d.%d", id, i, n)), depth-1))
			}
		}
		s.turns = append(s.turns, t)
	}
	return s
}

// prefix returns the hashes of the prompt's blocks: the common beginning, then
// the program's own.
func (s *script) prefix(prompt zinniapond.Tokens) []uint64 {
	count := int(prompt / blockTokens)
	common := int(s.kind.system / blockTokens)
	plan, own := xxhash.Sum64String(string(s.kind.plan)), xxhash.Sum64String(string(s.id))
	hashes := make([]uint64, count)
	for i := range hashes {
		from := own
		if i < common {
			from = plan
		}
		hashes[i] = (from + uint64(i)) * 0x9e3779b97f4a7c15
	}
	return hashes
}
