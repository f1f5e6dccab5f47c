package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniapond.example/zinniapond"
)

// shortTokens is the longest answer, in tokens, with which a call counts as
// short.
const shortTokens = 14

// Speeds of a stand-in engine with a full batch, in tokens per second.
const (
	prefillRate = 8000.0
	decodeRate  = 640.0
)

// figures collects the measurements of a run.
type figures struct {
	programLatency, usualProgramLatency, shortCallLatency *hdrhistogram.Histogram
	// counts has the numbers of programs, calls and attempts. Broken programs
	// did not complete. Late calls were refused well after their deadline.
	// Unknown calls failed and are not idempotent. Doubled calls were sent or
	// answered twice without need. Mixed answers belong to another prompt.
	// Reordered answers belong to a call that is not the program's latest.
	counts struct {
		programs, calls, answered, refused, failed, late, broken, unknown int
		hedges, retries, doubled, mixed, reordered                        int
	}
	knownTokens, recomputedTokens zinniapond.Tokens
	// prefilledTokens are the prompt tokens that were not cached,
	// generatedTokens the answer tokens, both of the answered calls of engines.
	prefilledTokens, generatedTokens zinniapond.Tokens
	totalDemand, firstClassDemand    float64
	maxEndedProgramCache             zinniapond.Tokens // highest value of any sample
	plans                            map[zinniapond.PlanName]*planFigures
	extra                            extraWork
	// Sums over the sampled seconds of the peak, or of the whole run if it has
	// no peak: samples, and requests in batches, in queues of engines and in
	// queues of hosts.
	waitSamples, inBatch, inEngine, inQueue float64
}

// planFigures are the figures of one plan, at the peak if there is one.
type planFigures struct {
	kind                *programKind
	calls, withinTarget int
	refused             int
	servedTokens        float64
	latency             *hdrhistogram.Histogram
}

// maxLatency is the upper bound of the histograms; it is above the length of
// any run.
const maxLatency = time.Hour

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/time.Millisecond), 3)
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Milliseconds(), 1)) // cannot fail: runs are shorter than maxLatency
}

func newFigures() figures {
	return figures{
		programLatency: newHistogram(), usualProgramLatency: newHistogram(), shortCallLatency: newHistogram(),
		plans: make(map[zinniapond.PlanName]*planFigures),
	}
}

// planFiguresOf returns the figures of the plan of a kind, which it creates if
// they are missing.
func (r *run) planFiguresOf(k *programKind) *planFigures {
	p := r.plans[k.plan]
	if p == nil {
		p = &planFigures{kind: k, latency: newHistogram()}
		r.plans[k.plan] = p
	}
	return p
}

// atPeak reports whether an instant is in the period whose figures count for
// the plans: the peak without its first seconds, or the whole run if it has no
// peak.
func (r *run) atPeak(at time.Time) bool {
	if !r.Peak {
		return true
	}
	since := at.Sub(startTime)
	return since > r.Length/3+20*time.Second && since < 2*r.Length/3
}

// recordProgram records the latency of a program. A program that broke off is
// recorded with the highest latency: left out, it would make the others look
// faster.
func (r *run) recordProgram(now time.Time, e *execution, completed bool) {
	if e.parent != nil {
		return // its time is part of its parent's
	}
	latency := now.Sub(e.startedAt)
	if !completed {
		latency = maxLatency
	}
	recordLatency(r.programLatency, latency)
	if !e.script.isStraggler {
		recordLatency(r.usualProgramLatency, latency)
	}
}

// computeDemand returns the work of the programs that arrive at the peak, or in
// the whole run if it has no peak, as a fraction of the capacity of all
// engines: in total and for the first class.
func (r *run) computeDemand(scripts []*script) (total, firstClass float64) {
	var prefillTokens, generated [2]float64
	seconds := 0.0
	for at := time.Duration(0); at < r.Length; at += time.Second {
		if r.atPeak(startTime.Add(at)) {
			seconds++
		}
	}
	var add func(s *script)
	add = func(s *script) {
		for _, t := range s.turns {
			if !t.isService {
				class := min(int(s.kind.class), 1)
				prefillTokens[class] += float64(t.promptTokens - max(t.knownTokens, s.kind.systemPrompt))
				generated[class] += float64(t.answerTokens)
			}
			for _, c := range t.subAgents {
				add(c)
			}
		}
	}
	for _, s := range scripts {
		if r.atPeak(startTime.Add(s.arrival)) {
			add(s)
		}
	}
	capacity := max(seconds, 1) * float64(max(r.Engines, 1))
	firstClass = max(prefillTokens[0]/prefillRate, generated[0]/decodeRate) / capacity
	return max((prefillTokens[0]+prefillTokens[1])/prefillRate, (generated[0]+generated[1])/decodeRate) / capacity, firstClass
}

// recordAnswer records an answered call.
func (r *run) recordAnswer(now time.Time, c *call, a *attempt, observation zinniapond.Observation) {
	r.counts.answered++
	if c.turn.isService {
		return
	}
	known := c.turn.knownTokens / blockTokens * blockTokens
	r.knownTokens += known
	r.prefilledTokens += observation.Usage.Prompt - observation.Usage.Cached
	r.generatedTokens += observation.Usage.Generated
	r.recomputedTokens += max(known-observation.Usage.Cached, 0)
	latency := now.Sub(c.submitted)
	if c.turn.answerTokens <= shortTokens {
		recordLatency(r.shortCallLatency, latency)
	}
	p := r.planFiguresOf(c.execution.script.kind)
	if r.atPeak(now) {
		// Counted at the time of the answer rather than of the submission:
		// calls that still wait at the end of the peak are served when the
		// plans no longer compete.
		p.servedTokens += float64(observation.Usage.Prompt - observation.Usage.Cached + observation.Usage.Generated)
	}
	if !r.atPeak(c.submitted) {
		return
	}
	p.calls++
	recordLatency(p.latency, latency)
	firstToken := a.firstTokenAt.Sub(c.submitted) + 2*oneWayDelay
	tokenInterval := now.Sub(a.firstTokenAt) / time.Duration(max(c.turn.answerTokens, 1))
	if firstToken <= firstTokenTarget && tokenInterval <= tokenIntervalTarget {
		p.withinTarget++
	}
}

// recordRefusal records a refused call of an engine.
func (r *run) recordRefusal(c *call) {
	if !c.turn.isService && r.atPeak(c.submitted) {
		p := r.planFiguresOf(c.execution.script.kind)
		p.calls++
		p.refused++
	}
}

// sampleHeldCache measures the cache that is held for programs that ended
// longer ago than a release may take at most: the expiry, the grace time and
// two reports.
func (r *run) sampleHeldCache(now time.Time) {
	var held zinniapond.Tokens
	for id, at := range r.endedAt {
		if now.Sub(at) < 20*time.Second {
			continue
		}
		var own zinniapond.Tokens
		for _, n := range r.engines {
			own += n.ExclusiveTokens(id)
		}
		held += own
		if own == 0 && now.Sub(at) > time.Minute {
			delete(r.endedAt, id)
		}
	}
	r.maxEndedProgramCache = max(r.maxEndedProgramCache, held)
}

// sampleWaiting counts the calls in the engines' batches, in their queues and
// in the hosts' queues.
func (r *run) sampleWaiting(now time.Time) {
	if !r.atPeak(now) || now.Sub(startTime) > r.Length {
		return
	}
	r.waitSamples++
	for _, n := range r.engines {
		report := n.Report(now)
		r.inBatch += float64(report.RunningCalls)
		r.inEngine += float64(report.WaitingCalls)
	}
	for _, h := range r.hosts {
		r.inQueue += float64(h.enginePool.queue.Len())
	}
}

// extraWork counts first attempts (index 0) and the attempts beyond them (index
// 1), in intervals of ten seconds.
type extraWork struct {
	intervals map[int]*[2]int
	total     [2]int
}

func (x *extraWork) add(now time.Time, index int) {
	if x.intervals == nil {
		x.intervals = make(map[int]*[2]int)
	}
	key := int(now.Sub(startTime) / (10 * time.Second))
	if x.intervals[key] == nil {
		x.intervals[key] = &[2]int{}
	}
	x.intervals[key][index]++
	x.total[index]++
}

func (x *extraWork) addRequest(now time.Time) { x.add(now, 0) }
func (x *extraWork) addExtra(now time.Time)   { x.add(now, 1) }

// worstShare returns the greatest share of extra attempts in a minute of the
// run that has at least 200 first attempts.
func (x *extraWork) worstShare(length time.Duration) float64 {
	worst := 0.0
	for key := range x.intervals {
		if time.Duration(key+6)*10*time.Second > length {
			continue
		}
		sum := [2]int{}
		for i := range 6 {
			if s := x.intervals[key+i]; s != nil {
				sum[0] += s[0]
				sum[1] += s[1]
			}
		}
		if sum[0] >= 200 {
			worst = max(worst, float64(sum[1])/float64(sum[0]))
		}
	}
	return worst
}

// summarise returns the figures by name.
func (r *run) summarise() map[string]float64 {
	quantile := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	lost := r.counts.calls - r.counts.answered - r.counts.refused - r.counts.failed - r.counts.unknown
	m := map[string]float64{
		"programs": float64(r.counts.programs), "calls": float64(r.counts.calls),
		"program p50": quantile(r.programLatency, 50), "program p95": quantile(r.programLatency, 95), "program p99": quantile(r.programLatency, 99),
		"usual p50": quantile(r.usualProgramLatency, 50), "usual p95": quantile(r.usualProgramLatency, 95), "usual p99": quantile(r.usualProgramLatency, 99),
		"short p50": quantile(r.shortCallLatency, 50), "short p99": quantile(r.shortCallLatency, 99),
		"recomputed": float64(r.recomputedTokens), "known": float64(r.knownTokens), "held ended": float64(r.maxEndedProgramCache),
		"load":     max(float64(r.prefilledTokens)/prefillRate, float64(r.generatedTokens)/decodeRate) / r.Length.Seconds() / float64(max(r.Engines, 1)),
		"in batch": r.inBatch / math.Max(r.waitSamples, 1), "in engine": r.inEngine / math.Max(r.waitSamples, 1), "in queue": r.inQueue / math.Max(r.waitSamples, 1),
		"demand": r.totalDemand, "demand first": r.firstClassDemand,
		"refused": float64(r.counts.refused), "failed": float64(r.counts.failed), "late": float64(r.counts.late), "broken": float64(r.counts.broken),
		"unknown": float64(r.counts.unknown), "lost": float64(lost), "doubled": float64(r.counts.doubled),
		"mixed": float64(r.counts.mixed), "reordered": float64(r.counts.reordered),
		"hedges": float64(r.counts.hedges), "retries": float64(r.counts.retries),
		"extra": float64(r.extra.total[1]) / math.Max(float64(r.extra.total[0]), 1), "extra worst": r.extra.worstShare(r.Length),
	}
	var served, weights float64
	for name, p := range r.plans {
		m["in target "+string(name)] = float64(p.withinTarget) / math.Max(float64(p.calls), 1)
		m["refused "+string(name)] = float64(p.refused) / math.Max(float64(p.calls), 1)
		m["call p99 "+string(name)] = quantile(p.latency, 99)
		m["served "+string(name)] = p.servedTokens
		if p.kind.class == zinniapond.ClassStandard {
			served += p.servedTokens
			weights += float64(p.kind.weight)
		}
	}
	// Plans of one class that all demand more than they get share by weight.
	for _, p := range r.plans {
		if p.kind.class == zinniapond.ClassStandard && served > 0 {
			fairShare := float64(p.kind.weight) / weights
			m["share error"] = math.Max(m["share error"], math.Abs(p.servedTokens/served/fairShare-1))
		}
	}
	return m
}
