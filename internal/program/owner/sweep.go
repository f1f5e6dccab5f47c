package owner

import (
	"context"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/program/pool"
)

const (
	// sweepEvery is the span between two looks at caps and expired pins.
	sweepEvery = time.Second
	// reportEvery is the span between two load reports asked of a server; at
	// 600 servers a host asks those only that it has used lately.
	reportEvery = 5 * time.Second
	// recentFor is how long a server counts as used lately.
	recentFor = time.Minute
	// keepEnded is how long an ended program stays in memory after a repeated
	// request.
	keepEnded = time.Minute
	// releaseLimit bounds one order to release cache.
	releaseLimit = 2 * time.Second
)

// recentServer is a server that this host has used.
type recentServer struct {
	pool   zinniapond.PoolName
	server zinniapond.Backend
}

// usage is when a server was used last and which of its cache events is next.
type usage struct {
	last time.Time
	next uint64
}

// served keeps what a successful attempt leaves behind: service received,
// latency and cache.
func (o *Owner) served(now time.Time, t *try, seen zinniapond.Observation) {
	call, choice := &t.running.call, t.choice
	tokens := seen.Usage.Prompt - seen.Usage.Cached + seen.Usage.Generated
	t.pool.Queue.Charge(now, t.plan.Name, call.Program, max(t.plan.Weight, 1), max(tokens, 1))
	o.Retrier.Observe(now, call.Pool, seen.First)
	took := now.Sub(t.admitted)
	o.Detector.Observe(now, "plan "+string(t.plan.Name), took, t.unloaded, true)
	o.Detector.Observe(now, "pool "+string(call.Pool), took, t.unloaded, true)
	if call.Kind != zinniapond.KindEngine {
		return
	}
	if b, ok := o.backend(choice); ok {
		o.recent.Do(recentServer{pool: call.Pool, server: b}, func(m map[recentServer]usage) {
			u := m[recentServer{pool: call.Pool, server: b}]
			u.last = now
			m[recentServer{pool: call.Pool, server: b}] = u
		})
	}
	held := seen.Usage.Total()
	if _, keep := o.Leases.Keep(now, call.Program, choice.Backend, held); !keep || call.Single {
		o.group.Go(func() error { o.release(choice.Backend, call.Program); return nil })
	}
}

// degraded returns the declines that concern a call, in one line.
func (o *Owner) degraded(now time.Time, plan zinniapond.PlanName, name zinniapond.PoolName) string {
	var lines []string
	for _, d := range o.Detector.Declines(now) {
		if d.Subject == "plan "+string(plan) || d.Subject == "pool "+string(name) {
			lines = append(lines, d.Subject+": "+d.Reason+", since "+d.Since.UTC().Format(time.RFC3339))
		}
	}
	return strings.Join(lines, "; ")
}

// sweep ends programs that are over their time and releases expired cache.
func (o *Owner) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	reports := time.NewTicker(reportEvery)
	defer reports.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := o.Clock()
			o.endOverdue(ctx, now)
			o.releasePins(o.Leases.Expired(now))
			o.tellDeclines(now)
		case <-reports.C:
			o.askReports(ctx, o.Clock())
		}
	}
}

// endOverdue ends the programs whose plan's time is over, so that a hung tool
// or an endless loop releases what it holds.
func (o *Owner) endOverdue(ctx context.Context, now time.Time) {
	plans := o.Directory.Catalog().Plans
	// Collected first: a program's lock is taken before its shard's.
	var all, overdue []*program
	o.programs.Each(func(_ zinniapond.ProgramID, p *program) bool {
		all = append(all, p)
		return true
	})
	for _, p := range all {
		if p.overdue(now, plans) {
			overdue = append(overdue, p)
		}
	}
	for _, p := range overdue {
		p.mu.Lock()
		id, opened := p.book.Program.ID, p.opened
		p.mu.Unlock()
		if !opened {
			o.forget(id)
			continue
		}
		h, err := o.enter(now, id)
		if err != nil {
			continue
		}
		_ = o.logged("end overdue program", o.end(ctx, now, h, p, "time of the plan is over"))
		o.leave(h)
	}
}

func (o *Owner) releasePins(pins []zinniapond.Pin) {
	for _, p := range pins {
		o.group.Go(func() error { o.release(p.Backend, p.Program); return nil })
	}
}

// askReports compares what the servers used lately hold with what is live.
func (o *Owner) askReports(ctx context.Context, now time.Time) {
	var servers, old []recentServer
	o.recent.Each(func(s recentServer, u usage) bool {
		if now.Sub(u.last) > recentFor {
			old = append(old, s)
		} else {
			servers = append(servers, s)
		}
		return true
	})
	for _, s := range old {
		o.recent.Delete(s)
	}
	for _, s := range servers {
		o.group.Go(func() error { o.askReport(ctx, s); return nil })
	}
}

func (o *Owner) askReport(ctx context.Context, s recentServer) {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()
	report, err := o.Clients[zinniapond.KindEngine].Load(ctx, s.server.Address)
	if err != nil {
		o.Logger.Debug("load report failed", "backend", s.server.Address, "error", err)
		return
	}
	now := o.Clock()
	if p, ok := o.pools.Get(s.pool); ok {
		p.Router.Report(now, report)
	}
	report.Programs = o.mine(report.Programs)
	o.releasePins(o.Leases.Sweep(now, report))
	o.askEvents(ctx, s)
}

// askEvents passes the server's new cache events to the router.
func (o *Owner) askEvents(ctx context.Context, s recentServer) {
	p, ok := o.pools.Get(s.pool)
	u, known := o.recent.Get(s)
	if !ok || !known {
		return
	}
	events, err := o.Clients[zinniapond.KindEngine].Events(ctx, s.server.Address, u.next)
	if err != nil {
		o.Logger.Debug("cache events not read", "backend", s.server.Address, "error", err)
		return
	}
	now := o.Clock()
	for _, e := range events {
		e.Backend = s.server.Address
		p.Router.Event(now, e)
		u.next = max(u.next, e.Sequence+1)
	}
	o.recent.Do(s, func(m map[recentServer]usage) {
		if have, ok := m[s]; ok {
			have.next = u.next
			m[s] = have
		}
	})
}

// tellDeclines logs each decline of service when it begins and when it ends.
func (o *Owner) tellDeclines(now time.Time) {
	present := make(map[string]zinniapond.Decline)
	for _, d := range o.Detector.Declines(now) {
		present[d.Subject] = d
		if _, ok := o.declines[d.Subject]; !ok {
			o.Stats.Add("declines", 1)
			o.Logger.Warn("service degraded", "subject", d.Subject, "reason", d.Reason, "since", d.Since)
		}
	}
	for subject, d := range o.declines {
		if _, ok := present[subject]; !ok {
			o.Logger.Info("service recovered", "subject", subject, "since", d.Since)
		}
	}
	o.declines = present
}

// mine keeps the programs of shards that this host owns and in which no call
// runs; those of others are for their owners to release.
func (o *Owner) mine(ids []zinniapond.ProgramID) []zinniapond.ProgramID {
	shards := o.Directory.View().Shards
	var kept []zinniapond.ProgramID
	for _, id := range ids {
		h, ok := o.holdings.Get(zinniapond.ShardOf(string(id), shards))
		if !ok || !h.isReady() {
			continue
		}
		if p, ok := o.programs.Get(id); ok && p.isRunning() {
			continue
		}
		kept = append(kept, id)
	}
	return kept
}

func (p *program) overdue(now time.Time, plans map[zinniapond.PlanName]zinniapond.Plan) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.book.Ended() {
		// Loaded again for a repeated request.
		return now.Sub(p.touched) > keepEnded
	}
	limit := plans[p.book.Program.Plan].Time
	return limit > 0 && now.Sub(p.book.Program.Opened) > limit
}

func (h *holding) isReady() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ready
}

func (p *program) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.running) > 0
}

// callsPerReplica is how many calls at once count as one busy replica.
const callsPerReplica = 16

// Demand tells what this host's callers ask of the models.
func (r *handover) Demand(_ zinniapond.DemandRequest, reply *zinniapond.DemandReply) error {
	for _, name := range r.owner.poolNames() {
		p, ok := r.owner.pools.Get(name)
		if !ok {
			continue
		}
		reply.Demand = append(reply.Demand, zinniapond.Demand{
			Model: name, Busy: float64(p.Running()) / callsPerReplica, Waiting: p.Queue.Len(),
		})
	}
	return nil
}

func (o *Owner) poolNames() []zinniapond.PoolName {
	var names []zinniapond.PoolName
	o.pools.Each(func(name zinniapond.PoolName, _ *pool.Pool) bool {
		names = append(names, name)
		return true
	})
	return names
}
