package load

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"zinniapond.example/zinniapond"
)

// shortTokens is the length of an answer up to which a call counts as short.
const shortTokens = 14

// The speeds of a stand-in engine with a full batch, in tokens per second.
const (
	prefill  = 8000.0
	generate = 640.0
)

// figures collects what a run shows.
type figures struct {
	programs, usual, short *hdrhistogram.Histogram
	count                  struct {
		programs, calls, answered, refused, failed, late, broken, unknown int
		hedges, retries, doubled, mixed, reordered                        int
	}
	known, recomputed zinniapond.Tokens
	// fresh and generated are the tokens of the answered calls of engines.
	fresh, generated        zinniapond.Tokens
	demanded, demandedFirst float64
	heldEnded               zinniapond.Tokens // most at one instant
	plans                   map[zinniapond.PlanName]*planFigures
	extra                   extra
	// Sums over the sampled seconds of the peak.
	samples, inBatch, inEngine, inQueue float64
}

// planFigures are those of one plan, at the peak if there is one.
type planFigures struct {
	kind      *kind
	calls, in int
	refused   int
	served    float64
	latency   *hdrhistogram.Histogram
}

// longest is the range of the histograms, above the length of any run.
const longest = time.Hour

func histogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/time.Millisecond), 3)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(max(d.Milliseconds(), 1)) // runs are shorter than the range
}

func newFigures() figures {
	return figures{
		programs: histogram(), usual: histogram(), short: histogram(),
		plans: make(map[zinniapond.PlanName]*planFigures),
	}
}

func (r *run) plan(k *kind) *planFigures {
	p := r.plans[k.plan]
	if p == nil {
		p = &planFigures{kind: k, latency: histogram()}
		r.plans[k.plan] = p
	}
	return p
}

// atPeak tells whether an instant is in the time whose figures count for the
// plans: the peak without its first seconds, or all of a run without one.
func (r *run) atPeak(at time.Time) bool {
	if !r.Peak {
		return true
	}
	since := at.Sub(begin)
	return since > r.Length/3+20*time.Second && since < 2*r.Length/3
}

// ended counts a program. One that broke off counts with the longest latency:
// left out, it would make the others look faster.
func (r *run) ended(now time.Time, f *flow, whole bool) {
	if f.parent != nil {
		return // counted in its parent
	}
	took := now.Sub(f.began)
	if !whole {
		took = longest
	}
	record(r.programs, took)
	if !f.script.straggler {
		record(r.usual, took)
	}
}

// demand is the work of the programs that arrive at the peak, or in all of a
// run without one, by the capacity of all engines.
func (r *run) demand(scripts []*script) (all, first float64) {
	var fresh, generated [2]float64
	span := 0.0
	for at := time.Duration(0); at < r.Length; at += time.Second {
		if r.atPeak(begin.Add(at)) {
			span++
		}
	}
	var add func(s *script)
	add = func(s *script) {
		for _, t := range s.turns {
			if !t.service {
				at := min(int(s.kind.class), 1)
				fresh[at] += float64(t.prompt - max(t.known, s.kind.system))
				generated[at] += float64(t.generate)
			}
			for _, c := range t.spawn {
				add(c)
			}
		}
	}
	for _, s := range scripts {
		if r.atPeak(begin.Add(s.arrive)) {
			add(s)
		}
	}
	capacity := max(span, 1) * float64(max(r.Engines, 1))
	first = max(fresh[0]/prefill, generated[0]/generate) / capacity
	return max((fresh[0]+fresh[1])/prefill, (generated[0]+generated[1])/generate) / capacity, first
}

// finished counts an answered call.
func (r *run) finished(now time.Time, c *call, a *attempt, seen zinniapond.Observation) {
	r.count.answered++
	if c.turn.service {
		return
	}
	known := c.turn.known / blockTokens * blockTokens
	r.known += known
	r.fresh += seen.Usage.Prompt - seen.Usage.Cached
	r.generated += seen.Usage.Generated
	r.recomputed += max(known-seen.Usage.Cached, 0)
	took := now.Sub(c.submitted)
	if c.turn.generate <= shortTokens {
		record(r.short, took)
	}
	p := r.plan(c.flow.script.kind)
	if r.atPeak(now) {
		// By the time of the service: what waits at the end of the peak is
		// served when the plans no longer compete.
		p.served += float64(seen.Usage.Prompt - seen.Usage.Cached + seen.Usage.Generated)
	}
	if !r.atPeak(c.submitted) {
		return
	}
	p.calls++
	record(p.latency, took)
	first := a.first.Sub(c.submitted) + 2*network
	between := now.Sub(a.first) / time.Duration(max(c.turn.generate, 1))
	if first <= firstTarget && between <= betweenTarget {
		p.in++
	}
}

func (r *run) refused(c *call) {
	if !c.turn.service && r.atPeak(c.submitted) {
		p := r.plan(c.flow.script.kind)
		p.calls++
		p.refused++
	}
}

// sample looks for cache of programs that have ended longer ago than the
// bound of any release: the expiry, the grace and two reports.
func (r *run) sample(now time.Time) {
	var held zinniapond.Tokens
	for id, at := range r.endedAt {
		if now.Sub(at) < 20*time.Second {
			continue
		}
		var own zinniapond.Tokens
		for _, n := range r.engines {
			own += n.Held(id)
		}
		held += own
		if own == 0 && now.Sub(at) > time.Minute {
			delete(r.endedAt, id)
		}
	}
	r.heldEnded = max(r.heldEnded, held)
}

// watch samples where calls wait.
func (r *run) watch(now time.Time) {
	if !r.atPeak(now) || now.Sub(begin) > r.Length {
		return
	}
	r.samples++
	for _, n := range r.engines {
		report := n.Report(now)
		r.inBatch += float64(report.Running)
		r.inEngine += float64(report.Waiting)
	}
	for _, h := range r.hosts {
		r.inQueue += float64(h.engines.queue.Len())
	}
}

// extra counts the work beyond first attempts, in spans of ten seconds.
type extra struct {
	spans map[int]*[2]int
	total [2]int
}

func (x *extra) add(now time.Time, at int) {
	if x.spans == nil {
		x.spans = make(map[int]*[2]int)
	}
	key := int(now.Sub(begin) / (10 * time.Second))
	if x.spans[key] == nil {
		x.spans[key] = &[2]int{}
	}
	x.spans[key][at]++
	x.total[at]++
}

func (x *extra) request(now time.Time) { x.add(now, 0) }
func (x *extra) more(now time.Time)    { x.add(now, 1) }

// worst returns the greatest share of extra work in a minute of the run with
// enough requests.
func (x *extra) worst(length time.Duration) float64 {
	worst := 0.0
	for key := range x.spans {
		if time.Duration(key+6)*10*time.Second > length {
			continue
		}
		sum := [2]int{}
		for i := range 6 {
			if s := x.spans[key+i]; s != nil {
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

// sum returns the figures by name.
func (r *run) sum() map[string]float64 {
	quantile := func(h *hdrhistogram.Histogram, p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	lost := r.count.calls - r.count.answered - r.count.refused - r.count.failed - r.count.unknown
	m := map[string]float64{
		"programs": float64(r.count.programs), "calls": float64(r.count.calls),
		"program p50": quantile(r.programs, 50), "program p95": quantile(r.programs, 95), "program p99": quantile(r.programs, 99),
		"usual p50": quantile(r.usual, 50), "usual p95": quantile(r.usual, 95), "usual p99": quantile(r.usual, 99),
		"short p50": quantile(r.short, 50), "short p99": quantile(r.short, 99),
		"recomputed": float64(r.recomputed), "known": float64(r.known), "held ended": float64(r.heldEnded),
		"load":     max(float64(r.fresh)/prefill, float64(r.generated)/generate) / r.Length.Seconds() / float64(max(r.Engines, 1)),
		"in batch": r.inBatch / math.Max(r.samples, 1), "in engine": r.inEngine / math.Max(r.samples, 1), "in queue": r.inQueue / math.Max(r.samples, 1),
		"demand": r.demanded, "demand first": r.demandedFirst,
		"refused": float64(r.count.refused), "failed": float64(r.count.failed), "late": float64(r.count.late), "broken": float64(r.count.broken),
		"unknown": float64(r.count.unknown), "lost": float64(lost), "doubled": float64(r.count.doubled),
		"mixed": float64(r.count.mixed), "reordered": float64(r.count.reordered),
		"hedges": float64(r.count.hedges), "retries": float64(r.count.retries),
		"extra": float64(r.extra.total[1]) / math.Max(float64(r.extra.total[0]), 1), "extra worst": r.extra.worst(r.Length),
	}
	var served, weights float64
	for name, p := range r.plans {
		m["in target "+string(name)] = float64(p.in) / math.Max(float64(p.calls), 1)
		m["refused "+string(name)] = float64(p.refused) / math.Max(float64(p.calls), 1)
		m["call p99 "+string(name)] = quantile(p.latency, 99)
		m["served "+string(name)] = p.served
		if p.kind.class == zinniapond.ClassStandard {
			served += p.served
			weights += float64(p.kind.weight)
		}
	}
	// Plans of one class that all want more than they get share by weight.
	for _, p := range r.plans {
		if p.kind.class == zinniapond.ClassStandard && served > 0 {
			due := float64(p.kind.weight) / weights
			m["share error"] = math.Max(m["share error"], math.Abs(p.served/served/due-1))
		}
	}
	return m
}
