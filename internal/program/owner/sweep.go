package owner

import (
	"context"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/program/pool"
)

const (
	// sweepInterval is the interval between two checks for overdue programs,
	// expired cache pins and changed degradations of service.
	sweepInterval = time.Second
	// loadReportInterval is the interval between two load reports requested
	// from a server. With 600 servers, a host requests load reports only from
	// those that it has used recently.
	loadReportInterval = 5 * time.Second
	// recentServerRetention is how long after its last use a server counts as
	// recently used.
	recentServerRetention = time.Minute
	// endedProgramRetention is how long an ended program stays in memory after
	// a repeated request has loaded it again.
	endedProgramRetention = time.Minute
	// serverRequestTimeout bounds one release of cache and one request of a
	// load report with the cache events.
	serverRequestTimeout = 2 * time.Second
)

// recentServer is a backend server, with its pool, that calls of this host have
// used recently.
type recentServer struct {
	pool   zinniapond.PoolName
	server zinniapond.Backend
}

// usage is when a server was used last and the sequence number of its next
// cache event.
type usage struct {
	lastUsed  time.Time
	nextEvent uint64
}

// recordServedCall passes on what a successful attempt showed: the service
// received to the queue, the latency to the retrier and the detector, and the
// cached tokens to the cache leases. It releases cache that is not worth
// keeping.
func (o *Owner) recordServedCall(now time.Time, a *attempt, observation zinniapond.Observation) {
	call, choice := &a.active.call, a.choice
	tokens := observation.Usage.Prompt - observation.Usage.Cached + observation.Usage.Generated
	a.pool.Queue.Charge(now, a.plan.Name, call.Program, max(a.plan.Weight, 1), max(tokens, 1))
	o.Retrier.ObserveLatency(now, call.Pool, observation.TimeToFirstByte)
	took := now.Sub(a.admittedAt)
	o.Detector.Observe(now, "plan "+string(a.plan.Name), took, a.unloadedLatency, true)
	o.Detector.Observe(now, "pool "+string(call.Pool), took, a.unloadedLatency, true)
	if call.Kind != zinniapond.KindEngine {
		return
	}
	if b, ok := o.findBackend(choice); ok {
		o.recentServers.Update(recentServer{pool: call.Pool, server: b}, func(m map[recentServer]usage) {
			u := m[recentServer{pool: call.Pool, server: b}]
			u.lastUsed = now
			m[recentServer{pool: call.Pool, server: b}] = u
		})
	}
	cachedTokens := observation.Usage.Total()
	if _, keep := o.Leases.Retain(now, call.Program, choice.Backend, cachedTokens); !keep || call.SingleCall {
		o.group.Go(func() error { o.releaseCache(choice.Backend, call.Program); return nil })
	}
}

// describeDegradations returns the present degradations of service of the call's
// plan and pool in one line, or an empty string.
func (o *Owner) describeDegradations(now time.Time, plan zinniapond.PlanName, name zinniapond.PoolName) string {
	var lines []string
	for _, d := range o.Detector.Degradations(now) {
		if d.Subject == "plan "+string(plan) || d.Subject == "pool "+string(name) {
			lines = append(lines, d.Subject+": "+d.Reason+", since "+d.Since.UTC().Format(time.RFC3339))
		}
	}
	return strings.Join(lines, "; ")
}

// sweep periodically ends overdue programs, releases expired cache pins, logs
// degradations of service and requests load reports.
func (o *Owner) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	reportTicker := time.NewTicker(loadReportInterval)
	defer reportTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := o.Clock()
			o.endOverdue(ctx, now)
			o.releasePins(o.Leases.RemoveExpired(now))
			o.logDegradations(now)
		case <-reportTicker.C:
			o.requestLoadReports(ctx, o.Clock())
		}
	}
}

// endOverdue ends the programs that have been open for longer than their plan
// allows, so that a hung tool or an endless loop releases its resources.
func (o *Owner) endOverdue(ctx context.Context, now time.Time) {
	plans := o.Directory.Catalog().Plans
	// The programs are collected before they are checked, because the lock of a
	// program is taken before the lock of its map shard.
	var programs, overdue []*program
	o.programs.Each(func(_ zinniapond.ProgramID, p *program) bool {
		programs = append(programs, p)
		return true
	})
	for _, p := range programs {
		if p.isOverdue(now, plans) {
			overdue = append(overdue, p)
		}
	}
	for _, p := range overdue {
		p.mu.Lock()
		id, opened := p.tracker.Program.ID, p.opened
		p.mu.Unlock()
		if !opened {
			o.forgetProgram(id)
			continue
		}
		shard, err := o.acquireShard(now, id)
		if err != nil {
			continue
		}
		_ = o.logError("end overdue program", o.endProgram(ctx, now, shard, p, "time of the plan is over"))
		o.releaseShard(shard)
	}
}

// releasePins releases the cache of the given pins in the background.
func (o *Owner) releasePins(pins []zinniapond.Pin) {
	for _, p := range pins {
		o.group.Go(func() error { o.releaseCache(p.Backend, p.Program); return nil })
	}
}

// requestLoadReports requests load reports from the recently used servers, and
// stops tracking the others.
func (o *Owner) requestLoadReports(ctx context.Context, now time.Time) {
	var servers, expired []recentServer
	o.recentServers.Each(func(s recentServer, u usage) bool {
		if now.Sub(u.lastUsed) > recentServerRetention {
			expired = append(expired, s)
		} else {
			servers = append(servers, s)
		}
		return true
	})
	for _, s := range expired {
		o.recentServers.Delete(s)
	}
	for _, s := range servers {
		o.group.Go(func() error { o.requestLoadReport(ctx, s); return nil })
	}
}

// requestLoadReport passes the load report of a server to the router and
// releases the cache that the report lists without a pin.
func (o *Owner) requestLoadReport(ctx context.Context, recent recentServer) {
	ctx, cancel := context.WithTimeout(ctx, serverRequestTimeout)
	defer cancel()
	report, err := o.Clients[zinniapond.KindEngine].FetchLoadReport(ctx, recent.server.Address)
	if err != nil {
		o.Logger.Debug("load report request failed", "backend", recent.server.Address, "error", err)
		return
	}
	now := o.Clock()
	if p, ok := o.pools.Get(recent.pool); ok {
		p.Router.UpdateLoad(now, report)
	}
	report.Programs = o.filterReleasable(report.Programs)
	o.releasePins(o.Leases.FindUnpinned(now, report))
	o.requestCacheEvents(ctx, recent)
}

// requestCacheEvents passes the server's new cache events to the router.
func (o *Owner) requestCacheEvents(ctx context.Context, recent recentServer) {
	p, ok := o.pools.Get(recent.pool)
	lastUsage, tracked := o.recentServers.Get(recent)
	if !ok || !tracked {
		return
	}
	events, err := o.Clients[zinniapond.KindEngine].FetchCacheEvents(ctx, recent.server.Address, lastUsage.nextEvent)
	if err != nil {
		o.Logger.Debug("cache event request failed", "backend", recent.server.Address, "error", err)
		return
	}
	now := o.Clock()
	for _, e := range events {
		e.Backend = recent.server.Address
		p.Router.ApplyCacheEvent(now, e)
		lastUsage.nextEvent = max(lastUsage.nextEvent, e.Sequence+1)
	}
	o.recentServers.Update(recent, func(m map[recentServer]usage) {
		if entry, ok := m[recent]; ok {
			entry.nextEvent = lastUsage.nextEvent
			m[recent] = entry
		}
	})
}

// logDegradations logs each degradation of service when it begins and when it ends.
func (o *Owner) logDegradations(now time.Time) {
	current := make(map[string]zinniapond.Degradation)
	for _, d := range o.Detector.Degradations(now) {
		current[d.Subject] = d
		if _, ok := o.loggedDegradations[d.Subject]; !ok {
			o.Stats.Add("declines", 1)
			o.Logger.Warn("service degraded", "subject", d.Subject, "reason", d.Reason, "since", d.Since)
		}
	}
	for subject, d := range o.loggedDegradations {
		if _, ok := current[subject]; !ok {
			o.Logger.Info("service recovered", "subject", subject, "since", d.Since)
		}
	}
	o.loggedDegradations = current
}

// filterReleasable returns the programs whose shards this host owns and that
// have no active calls. The owners of the other shards release the cache of
// theirs.
func (o *Owner) filterReleasable(ids []zinniapond.ProgramID) []zinniapond.ProgramID {
	shards := o.Directory.View().Shards
	var releasable []zinniapond.ProgramID
	for _, id := range ids {
		shard, ok := o.ownedShards.Get(zinniapond.ShardOf(string(id), shards))
		if !ok || !shard.isReady() {
			continue
		}
		if p, ok := o.programs.Get(id); ok && p.hasActiveCalls() {
			continue
		}
		releasable = append(releasable, id)
	}
	return releasable
}

func (p *program) isOverdue(now time.Time, plans map[zinniapond.PlanName]zinniapond.Plan) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tracker.Ended() {
		// A repeated request has loaded the ended program again.
		return now.Sub(p.lastActivity) > endedProgramRetention
	}
	limit := plans[p.tracker.Program.Plan].MaxDuration
	return limit > 0 && now.Sub(p.tracker.Program.OpenedAt) > limit
}

func (s *ownedShard) isReady() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

func (p *program) hasActiveCalls() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.activeCalls) > 0
}

// callsPerReplica is the number of concurrent calls that count as one busy
// replica.
const callsPerReplica = 16

// Demand returns the running and waiting calls of each pool on this host, from
// which the placement of model replicas is decided.
func (r *handoverReceiver) Demand(_ zinniapond.DemandRequest, reply *zinniapond.DemandReply) error {
	for _, name := range r.owner.listPools() {
		p, ok := r.owner.pools.Get(name)
		if !ok {
			continue
		}
		reply.Demand = append(reply.Demand, zinniapond.Demand{
			Model: name, BusyReplicas: float64(p.Running()) / callsPerReplica, WaitingCalls: p.Queue.Len(),
		})
	}
	return nil
}

func (o *Owner) listPools() []zinniapond.PoolName {
	var names []zinniapond.PoolName
	o.pools.Each(func(name zinniapond.PoolName, _ *pool.Pool) bool {
		names = append(names, name)
		return true
	})
	return names
}
