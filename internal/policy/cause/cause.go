// Package cause counts why requests were not served or were late. It performs no I/O.
package cause

import (
	"cmp"
	"hash/maphash"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	defaultSpan = 2 * time.Second
	// maxSpanRows bounds the table of spans. Beyond it the span is doubled.
	maxSpanRows = 4096
	// maxNames bounds the hosts, the replicas, and the pools and routes. Those beyond are
	// counted under otherNames.
	maxNames   = 1024
	otherNames = "(others)"
	// maxNameBytes bounds each name. Those of configurations are shorter.
	maxNameBytes = 128
	// maxReasons bounds the forms of errors without a cause, and maxReasonBytes each.
	maxReasons     = 64
	maxReasonBytes = 160
	// minOutlier is the number of requests below which no host stands out.
	minOutlier = 5
)

// Book counts requests and programs by cause, span, pool and host. It keeps one entry for
// each program, cause and outcome; everything else is bounded. It is used by one
// goroutine. Span is set before the first call.
type Book struct {
	Span time.Duration // length of a span; 0 for 2 s

	seed     maphash.Seed
	span     time.Duration
	untimed  int
	spans    map[spanKey]*zinniapond.CauseCounts
	pools    map[poolKey]*zinniapond.CauseCounts
	hosts    map[hostKey]*zinniapond.CauseCounts
	groups   map[group]struct{}
	known    map[zinniapond.HostName]struct{} // hosts with requests that were not served or late
	stopping map[zinniapond.HostName]struct{}
	replicas map[replicaKey]*zinniapond.CauseCounts
	tried    map[netip.AddrPort]struct{} // replicas at which there was a cause
	programs map[programKey]meeting
	reasons  map[string]int
}

type spanKey struct {
	index int64 // number of the span since the epoch
	cause zinniapond.Cause
}

// group is the pool of a request, or its route if the pool is not known.
type group struct {
	pool  zinniapond.PoolName
	route string
}

type poolKey struct {
	cause zinniapond.Cause
	group
}

type hostKey struct {
	cause zinniapond.Cause
	host  zinniapond.HostName
}

type replicaKey struct {
	cause   zinniapond.Cause
	replica netip.AddrPort
}

// programKey identifies a program by the hash of its identifier, so that the size of an
// entry does not depend on the client.
type programKey struct {
	program uint64
	cause   zinniapond.Cause
	late    bool
}

// meeting is where a program met a cause first.
type meeting struct {
	at time.Time
	group
	host    zinniapond.HostName
	replica netip.AddrPort
}

func (b *Book) initialise() {
	if b.spans != nil {
		return
	}
	b.seed, b.span = maphash.MakeSeed(), b.Span
	if b.span <= 0 {
		b.span = defaultSpan
	}
	b.spans, b.pools, b.hosts = make(map[spanKey]*zinniapond.CauseCounts), make(map[poolKey]*zinniapond.CauseCounts), make(map[hostKey]*zinniapond.CauseCounts)
	b.groups, b.known, b.stopping = make(map[group]struct{}), make(map[zinniapond.HostName]struct{}), make(map[zinniapond.HostName]struct{})
	b.replicas, b.tried = make(map[replicaKey]*zinniapond.CauseCounts), make(map[netip.AddrPort]struct{})
	b.programs, b.reasons = make(map[programKey]meeting), make(map[string]int)
}

// Add counts an event. Those of one host are added in the order of its log.
func (b *Book) Add(e zinniapond.LogEvent) {
	b.initialise()
	e.Host = name(e.Host)
	switch e.Kind {
	case zinniapond.LogHostStopping:
		bounded(b.stopping, e.Host, otherNames, maxNames)
	case zinniapond.LogHostStopped:
		delete(b.stopping, e.Host)
	case zinniapond.LogNotServed, zinniapond.LogServedLate, zinniapond.LogKeysRejected:
		_, stopping := b.stopping[e.Host]
		e.Host = bounded(b.known, e.Host, otherNames, maxNames)
		b.count(e, classify(e, stopping))
	}
}

func (b *Book) count(e zinniapond.LogEvent, cause zinniapond.Cause) {
	late := e.Kind == zinniapond.LogServedLate
	g := group{pool: name(e.Pool)}
	if g.pool == "" {
		g.route = name(e.Route)
	}
	g = bounded(b.groups, g, group{route: otherNames}, maxNames)
	addRequests(b.pools, poolKey{cause, g}, late, e.Requests)
	addRequests(b.hosts, hostKey{cause, e.Host}, late, e.Requests)
	if !isAtReplica(cause) {
		e.Replica = netip.AddrPort{}
	}
	if e.Replica.IsValid() {
		e.Replica = bounded(b.tried, e.Replica, netip.AddrPort{}, maxNames)
		addRequests(b.replicas, replicaKey{cause, e.Replica}, late, e.Requests)
	}
	if e.At.IsZero() {
		b.untimed += e.Requests
	} else {
		addRequests(b.spans, spanKey{b.spanIndex(e.At), cause}, late, e.Requests)
		for len(b.spans) > maxSpanRows {
			b.doubleSpan()
		}
	}
	if cause == zinniapond.CauseUnknown {
		b.reasons[bounded(b.reasons, shape(e.Reason), otherNames, maxReasons)] += e.Requests
	}
	if e.Program == "" {
		return
	}
	key := programKey{maphash.String(b.seed, string(e.Program)), cause, late}
	if m, ok := b.programs[key]; !ok || e.At.Before(m.at) {
		b.programs[key] = meeting{e.At, g, e.Host, e.Replica}
	}
}

// name returns a copy of a name, cut to its maximum length. The name itself is a part of
// its line, which would stay in memory as a whole.
func name[T ~string](text T) T {
	return T(strings.ToValidUTF8(strings.Clone(string(text[:min(len(text), maxNameBytes)])), ""))
}

// bounded enters a key into a table of a limited size and returns it, or rest if there is
// no room for the key.
func bounded[K comparable, V any](table map[K]V, key, rest K, limit int) K {
	if _, ok := table[key]; !ok {
		if len(table) >= limit {
			key = rest
		}
		var zero V
		if _, ok := table[key]; !ok {
			table[key] = zero
		}
	}
	return key
}

// rowOf returns the counts of a row, which it adds if there is none.
func rowOf[K comparable](table map[K]*zinniapond.CauseCounts, key K) *zinniapond.CauseCounts {
	c := table[key]
	if c == nil {
		c = new(zinniapond.CauseCounts)
		table[key] = c
	}
	return c
}

func addRequests[K comparable](table map[K]*zinniapond.CauseCounts, key K, late bool, n int) {
	if c := rowOf(table, key); late {
		c.RequestsLate += n
	} else {
		c.RequestsNotServed += n
	}
}

func addProgram(c *zinniapond.CauseCounts, late bool) {
	if late {
		c.ProgramsLate++
	} else {
		c.ProgramsNotServed++
	}
}

func add(c *zinniapond.CauseCounts, o zinniapond.CauseCounts) {
	c.RequestsNotServed += o.RequestsNotServed
	c.ProgramsNotServed += o.ProgramsNotServed
	c.RequestsLate += o.RequestsLate
	c.ProgramsLate += o.ProgramsLate
}

func (b *Book) spanIndex(at time.Time) int64 {
	n, span := at.UnixNano(), int64(b.span)
	index := n / span
	if n%span < 0 {
		index--
	}
	return index
}

// doubleSpan merges each two spans that follow each other.
func (b *Book) doubleSpan() {
	b.span *= 2
	merged := make(map[spanKey]*zinniapond.CauseCounts, len(b.spans))
	for k, c := range b.spans {
		add(rowOf(merged, spanKey{k.index >> 1, k.cause}), *c)
	}
	b.spans = merged
}

// shape returns an error without identifiers, addresses and figures: words with a digit
// are replaced, so that equal errors of different requests count as one.
func shape(reason string) string {
	words := strings.Fields(reason[:min(len(reason), maxReasonBytes)])
	for i, w := range words {
		if strings.ContainsAny(w, "0123456789") {
			end := strings.TrimRight(w, ":;,")
			words[i] = "#" + w[len(end):]
		}
	}
	return strings.ToValidUTF8(strings.Join(words, " "), "")
}

// Report returns the counts so far. Lines and Unparsed are left to the caller.
func (b *Book) Report() zinniapond.CauseReport {
	b.initialise()
	r := zinniapond.CauseReport{
		SpanMS: zinniapond.Milliseconds(b.span), Untimed: b.untimed, Causes: []zinniapond.CauseRow{}, Spans: []zinniapond.CauseRow{},
		Pools: []zinniapond.CauseRow{}, Hosts: []zinniapond.CauseRow{}, Replicas: []zinniapond.CauseRow{}, Unknown: []zinniapond.ReasonCount{},
	}
	totals := make(map[zinniapond.Cause]*zinniapond.CauseCounts)
	spans, pools, hosts, replicas := copyOf(b.spans), copyOf(b.pools), copyOf(b.hosts), copyOf(b.replicas)
	seen := make(map[programKey]bool)
	for k, m := range b.programs {
		addProgram(rowOf(pools, poolKey{k.cause, m.group}), k.late)
		addProgram(rowOf(hosts, hostKey{k.cause, m.host}), k.late)
		if m.replica.IsValid() {
			addProgram(rowOf(replicas, replicaKey{k.cause, m.replica}), k.late)
		}
		if !m.at.IsZero() {
			addProgram(rowOf(spans, spanKey{b.spanIndex(m.at), k.cause}), k.late)
		}
		if k.cause = ""; !seen[k] {
			seen[k] = true
			addProgram(&r.Total, k.late)
		}
	}
	for k, c := range pools {
		add(rowOf(totals, k.cause), *c)
		r.Pools = append(r.Pools, zinniapond.CauseRow{Cause: k.cause, Pool: k.pool, Route: k.route, CauseCounts: *c})
	}
	for k, c := range totals {
		r.Causes = append(r.Causes, zinniapond.CauseRow{Cause: k, CauseCounts: *c})
		r.Total.RequestsNotServed += c.RequestsNotServed
		r.Total.RequestsLate += c.RequestsLate
	}
	for k, c := range spans {
		at := time.Unix(0, k.index*int64(b.span)).UTC()
		r.Spans = append(r.Spans, zinniapond.CauseRow{Cause: k.cause, At: &at, CauseCounts: *c})
	}
	for k, c := range hosts {
		if mean, ok := standsOut(totals[k.cause].Requests(), c.Requests(), len(b.known)); ok {
			r.Hosts = append(r.Hosts, zinniapond.CauseRow{Cause: k.cause, Host: k.host, CauseCounts: *c, OthersMean: mean})
		}
	}
	atReplicas := make(map[zinniapond.Cause]int)
	for k, c := range replicas {
		atReplicas[k.cause] += c.Requests()
	}
	for k, c := range replicas {
		if mean, ok := standsOut(atReplicas[k.cause], c.Requests(), len(b.tried)); ok && k.replica.IsValid() {
			r.Replicas = append(r.Replicas, zinniapond.CauseRow{Cause: k.cause, Replica: k.replica, CauseCounts: *c, OthersMean: mean})
		}
	}
	for reason, n := range b.reasons {
		r.Unknown = append(r.Unknown, zinniapond.ReasonCount{Reason: reason, Requests: n})
	}
	sortReport(&r)
	return r
}

func copyOf[K comparable](table map[K]*zinniapond.CauseCounts) map[K]*zinniapond.CauseCounts {
	c := make(map[K]*zinniapond.CauseCounts, len(table))
	for k, v := range table {
		add(rowOf(c, k), *v)
	}
	return c
}

// standsOut reports whether one of several hosts or replicas has clearly more requests of
// a cause than the others, and the mean of those. Four standard deviations above a
// Poisson mean keep one of 390 equal hosts from standing out by chance.
func standsOut(total, own, count int) (othersMean float64, ok bool) {
	if count < 2 {
		return 0, false
	}
	n, mean := float64(own), float64(total-own)/float64(count-1)
	return mean, own >= minOutlier && n > 2*mean && n > mean+4*math.Sqrt(mean)
}

func sortReport(r *zinniapond.CauseReport) {
	rank := make(map[zinniapond.Cause]int)
	for i, c := range zinniapond.Causes() {
		rank[c] = i
	}
	compare := func(x, y zinniapond.CauseRow) int {
		at := 0
		if x.At != nil && y.At != nil {
			at = x.At.Compare(*y.At)
		}
		return cmp.Or(at, cmp.Compare(x.Pool, y.Pool), cmp.Compare(x.Route, y.Route), cmp.Compare(rank[x.Cause], rank[y.Cause]), cmp.Compare(x.Host, y.Host), x.Replica.Compare(y.Replica))
	}
	for _, rows := range [][]zinniapond.CauseRow{r.Causes, r.Spans, r.Pools, r.Hosts, r.Replicas} {
		slices.SortFunc(rows, compare)
	}
	slices.SortFunc(r.Unknown, func(x, y zinniapond.ReasonCount) int {
		return cmp.Or(cmp.Compare(y.Requests, x.Requests), cmp.Compare(x.Reason, y.Reason))
	})
}
