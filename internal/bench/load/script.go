package load

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapond.example/zinniapond"
)

// blockTokens is the size of the engines' cache blocks in tokens.
const blockTokens = 64

// turn is one call of a program with the pause that follows it.
type turn struct {
	isService     bool // a call of the plain service
	nonIdempotent bool
	promptTokens  zinniapond.Tokens
	knownTokens   zinniapond.Tokens // part of the prompt that was in the prompt of an earlier call
	answerTokens  zinniapond.Tokens
	pause         time.Duration
	subAgents     []*script // the next turn waits for them
}

// script is one program. Scripts are generated before the run, so that all
// choices of plug-ins get the same work.
type script struct {
	id          zinniapond.ProgramID
	kind        *programKind
	arrival     time.Duration
	turns       []turn
	isStraggler bool
}

// intRange is a range, both bounds included, from which values are drawn.
type intRange struct{ low, high int }

func (s intRange) draw(r *rand.Rand) int { return s.low + r.IntN(s.high-s.low+1) }

// programKind describes one kind of program of a plan.
type programKind struct {
	plan    zinniapond.PlanName
	class   zinniapond.Class
	weight  int
	maxWait time.Duration
	rate    float64 // programs per second
	// burstSize is the number of programs that arrive together, as with a
	// lorry; 1 for single arrivals.
	burstSize intRange
	// peakFactor multiplies the rate during the peak.
	peakFactor         float64
	turns              intRange
	systemPrompt       zinniapond.Tokens // common beginning of the prompts
	firstPrompt        intRange          // tokens of the first prompt after systemPrompt
	growth             intRange          // tokens that a tool answer adds to the prompt
	answer             intRange
	pauseMs            intRange
	serviceShare       float64 // share of turns that call the plain service
	nonIdempotentShare float64 // share of these that are not idempotent
	spawnShare         float64 // share of turns that start two sub-agents
	// hasShortCalls marks the kind whose calls are short.
	hasShortCalls bool
	// stragglerShare is the share of programs with ten times as many turns.
	stragglerShare float64
}

// workload is the mix of programs of one operator.
type workload struct {
	name         string
	serviceCount int // instances of the plain service
	kinds        []programKind
}

// workloads are modelled on the two operators of the design page.
var workloads = []workload{
	{"rennbach", 5, []programKind{
		{
			plan: "gate", class: zinniapond.ClassInteractive, weight: 2, maxWait: 5 * time.Second,
			rate: 1.6, burstSize: intRange{1, 1}, peakFactor: 2, turns: intRange{1, 1}, systemPrompt: 256, firstPrompt: intRange{30, 90},
			growth: intRange{1, 1}, answer: intRange{6, 14}, pauseMs: intRange{1, 1}, hasShortCalls: true,
		},
		{
			plan: "yard", class: zinniapond.ClassInteractive, weight: 4, maxWait: 10 * time.Second,
			rate: 2.56, burstSize: intRange{12, 30}, peakFactor: 2, turns: intRange{3, 6}, systemPrompt: 1024, firstPrompt: intRange{200, 900},
			growth: intRange{80, 400}, answer: intRange{30, 110}, pauseMs: intRange{150, 1500}, serviceShare: 0.35, nonIdempotentShare: 0.4, spawnShare: 0.08, stragglerShare: 0.02,
		},
		{
			plan: "office", class: zinniapond.ClassStandard, weight: 3, maxWait: 20 * time.Second,
			rate: 1.12, burstSize: intRange{1, 1}, peakFactor: 9, turns: intRange{5, 10}, systemPrompt: 1536, firstPrompt: intRange{800, 3000},
			growth: intRange{200, 900}, answer: intRange{80, 260}, pauseMs: intRange{300, 3000}, serviceShare: 0.3, nonIdempotentShare: 0.2, spawnShare: 0.1, stragglerShare: 0.03,
		},
		{
			plan: "quotes", class: zinniapond.ClassStandard, weight: 1, maxWait: 20 * time.Second,
			rate: 0.64, burstSize: intRange{1, 1}, peakFactor: 12, turns: intRange{4, 8}, systemPrompt: 1536, firstPrompt: intRange{800, 3000},
			growth: intRange{200, 900}, answer: intRange{80, 260}, pauseMs: intRange{300, 3000}, serviceShare: 0.3, nonIdempotentShare: 0.2, stragglerShare: 0.03,
		},
		{
			plan: "records", class: zinniapond.ClassBatch, weight: 1, maxWait: 60 * time.Second,
			rate: 0.24, burstSize: intRange{1, 1}, peakFactor: 2, turns: intRange{4, 10}, systemPrompt: 512, firstPrompt: intRange{3000, 9000},
			growth: intRange{500, 2000}, answer: intRange{200, 500}, pauseMs: intRange{100, 800}, stragglerShare: 0.05,
		},
	}},
	{"tengerweb", 6, []programKind{
		{
			plan: "status", class: zinniapond.ClassInteractive, weight: 2, maxWait: 5 * time.Second,
			rate: 6.4, burstSize: intRange{1, 1}, peakFactor: 2, turns: intRange{1, 1}, systemPrompt: 128, firstPrompt: intRange{30, 90},
			growth: intRange{1, 1}, answer: intRange{6, 14}, pauseMs: intRange{1, 1}, hasShortCalls: true,
		},
		{
			plan: "shops", class: zinniapond.ClassInteractive, weight: 4, maxWait: 10 * time.Second,
			rate: 2.56, burstSize: intRange{1, 4}, peakFactor: 2.5, turns: intRange{2, 7}, systemPrompt: 1024, firstPrompt: intRange{50, 500},
			growth: intRange{60, 500}, answer: intRange{40, 140}, pauseMs: intRange{500, 5000}, serviceShare: 0.3, nonIdempotentShare: 0.2, spawnShare: 0.04, stragglerShare: 0.02,
		},
		{
			plan: "repair", class: zinniapond.ClassStandard, weight: 3, maxWait: 20 * time.Second,
			rate: 0.8, burstSize: intRange{1, 1}, peakFactor: 9, turns: intRange{6, 14}, systemPrompt: 2048, firstPrompt: intRange{600, 4000},
			growth: intRange{200, 1500}, answer: intRange{80, 300}, pauseMs: intRange{200, 4000}, serviceShare: 0.25, nonIdempotentShare: 0.3, spawnShare: 0.1, stragglerShare: 0.03,
		},
		{
			plan: "free", class: zinniapond.ClassStandard, weight: 1, maxWait: 20 * time.Second,
			rate: 0.64, burstSize: intRange{1, 1}, peakFactor: 11, turns: intRange{4, 10}, systemPrompt: 2048, firstPrompt: intRange{600, 4000},
			growth: intRange{200, 1500}, answer: intRange{80, 300}, pauseMs: intRange{200, 4000}, serviceShare: 0.25, nonIdempotentShare: 0.3, stragglerShare: 0.03,
		},
		{
			plan: "crawl", class: zinniapond.ClassBatch, weight: 1, maxWait: 60 * time.Second,
			rate: 0.24, burstSize: intRange{1, 1}, peakFactor: 2, turns: intRange{3, 8}, systemPrompt: 512, firstPrompt: intRange{3000, 9000},
			growth: intRange{500, 2000}, answer: intRange{200, 500}, pauseMs: intRange{100, 800}, stragglerShare: 0.05,
		},
	}},
}

// generateScripts generates the programs of a run in order of arrival. The peak
// lasts for the middle third.
func generateScripts(w workload, seed uint64, length time.Duration, load float64, peak, short bool) []*script {
	var all []*script
	for i := range w.kinds {
		k := &w.kinds[i]
		if short && !k.hasShortCalls {
			continue
		}
		r := rand.New(rand.NewPCG(seed, uint64(i)+10))
		mean := float64(k.burstSize.low+k.burstSize.high) / 2
		for at, n := time.Duration(0), 0; ; {
			rate := k.rate * load / mean
			if peak && at > length/3 && at < 2*length/3 {
				rate *= k.peakFactor
			}
			at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
			if at > length {
				break
			}
			for range k.burstSize.draw(r) {
				n++
				s := k.generateScript(r, zinniapond.ProgramID(fmt.Sprintf("%s-%d", k.plan, n)), 1)
				s.arrival = at + time.Duration(r.IntN(3000))*time.Millisecond
				all = append(all, s)
			}
		}
	}
	slices.SortStableFunc(all, func(a, b *script) int { return int(a.arrival - b.arrival) })
	return all
}

// generateScript generates one program. Sub-agents, at depth 0, start none
// themselves.
func (k *programKind) generateScript(r *rand.Rand, id zinniapond.ProgramID, depth int) *script {
	s := &script{id: id, kind: k, isStraggler: depth > 0 && r.Float64() < k.stragglerShare}
	turns := k.turns.draw(r)
	if s.isStraggler {
		turns = min(10*turns, 71)
	}
	if depth == 0 {
		turns = 2
	}
	contextTokens := k.systemPrompt + zinniapond.Tokens(k.firstPrompt.draw(r))
	knownTokens := zinniapond.Tokens(0)
	for i := range turns {
		t := turn{
			answerTokens: zinniapond.Tokens(k.answer.draw(r)),
			pause:        time.Duration(k.pauseMs.draw(r)) * time.Millisecond,
		}
		if i > 0 && r.Float64() < k.serviceShare {
			t.isService, t.nonIdempotent = true, r.Float64() < k.nonIdempotentShare
			t.promptTokens, t.answerTokens = 64, 4
		} else {
			t.promptTokens, t.knownTokens = contextTokens, knownTokens
			knownTokens = contextTokens
			contextTokens += t.answerTokens + zinniapond.Tokens(k.growth.draw(r))
		}
		if depth > 0 && r.Float64() < k.spawnShare {
			for n := range 2 {
				t.subAgents = append(t.subAgents, k.generateScript(r, zinniapond.ProgramID(fmt.Sprintf("%s/%d.%d", id, i, n)), depth-1))
			}
		}
		s.turns = append(s.turns, t)
	}
	return s
}

// prefix returns the hashes of the prompt's blocks: first those that all
// programs of the plan have in common, then the program's own.
func (s *script) prefix(prompt zinniapond.Tokens) []uint64 {
	count := int(prompt / blockTokens)
	common := int(s.kind.systemPrompt / blockTokens)
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
