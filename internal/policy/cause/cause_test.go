package cause

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func failed(reason string) zinniapond.LogEvent {
	return zinniapond.LogEvent{Kind: zinniapond.LogNotServed, At: startTime, Host: "a", Requests: 1, Program: "p", Route: "r", Reason: reason}
}

func late(restored, tokens, permits, first time.Duration, tried string) zinniapond.LogEvent {
	return zinniapond.LogEvent{
		Kind: zinniapond.LogServedLate, At: startTime, Host: "a", Requests: 1, Program: "p", Route: "r",
		Restored: restored * time.Millisecond, Tokens: tokens * time.Millisecond, Permits: permits * time.Millisecond, First: first * time.Millisecond, Tried: tried,
	}
}

func report(events ...zinniapond.LogEvent) zinniapond.CauseReport {
	var b Book
	for _, e := range events {
		b.Add(e)
	}
	return b.Report()
}

func assertCause(t *testing.T, want zinniapond.Cause, events ...zinniapond.LogEvent) {
	t.Helper()
	for _, e := range events {
		r := report(e)
		assert.Equal(t, len(r.Causes), 1)
		assert.True(t, r.Causes[0].Cause == want, "cause %q, want %q, of %+v", r.Causes[0].Cause, want, e)
	}
}

func TestNotServed(t *testing.T) {
	for want, reasons := range map[zinniapond.Cause][]string{
		zinniapond.CauseTokens: {"check request limit: request limit of the plan is reached", "check request limit: context deadline exceeded"},
		zinniapond.CauseDisks: {
			"prepare turn: reserve tokens of program p: 0 of 9 disks have answered: no majority; Keeper.Keep: peer 10.0.0.1:1: context deadline exceeded",
			"keep turn x.1: 2 of 9 disks have synced: no majority; context canceled",
			"prepare turn: read turn x.1: 2 disks have answered: no majority; context canceled",
		},
		zinniapond.CauseNoRoom: {
			"wait for a replica: overloaded", "wait for a limited replica: overloaded",
			"choose replica: overloaded; send request: peer 10.0.0.1:1: no byte reached the peer: context deadline exceeded; expected wait of 901ms: overloaded",
			"check request: too many replicas have ended lately: overloaded", "replica began to leave: no backend server available",
		},
		zinniapond.CauseInterrupted: {
			"outcome unknown; read answer: peer 10.0.0.1:1: unexpected EOF", "read stream: context canceled",
			"outcome unknown; read answer: peer 10.0.0.1:1: read tcp: read: connection reset by peer",
			"replica i-1: answer with status 200 is not its own: backend server failed",
		},
		zinniapond.CauseDeadline: {
			"outcome unknown; read answer: peer 10.0.0.1:1: context deadline exceeded", "read stream: context deadline exceeded",
			"outcome unknown; context deadline exceeded; read answer: peer 10.0.0.1:1: context canceled",
		},
		zinniapond.CauseBudget:        {"reserve tokens of program p: 3552 of 1776 are spent, 592 asked: budget of the plan is used up"},
		zinniapond.CauseKey:           {"check key in version 3: unknown or expired key"},
		zinniapond.CauseRoute:         {"find route of host/path in version 14: not found"},
		zinniapond.CauseConfiguration: {"find route: no configuration yet: configuration not confirmed", "check key: configuration confirmed 3s ago: configuration not confirmed"},
		zinniapond.CauseStopping:      {"read answer: host is stopping: no backend server available"},
		zinniapond.CauseUnknown:       {"", "read turn x.1: not found", "body of 9 bytes: body too large"},
	} {
		t.Run("guards against requests of another cause than "+string(want), func(t *testing.T) {
			for _, reason := range reasons {
				assertCause(t, want, failed(reason))
			}
		})
	}
	t.Run("guards against rejected keys without a cause", func(t *testing.T) {
		assertCause(t, zinniapond.CauseKey, zinniapond.LogEvent{Kind: zinniapond.LogKeysRejected, At: startTime, Requests: 42})
	})
}

func TestLate(t *testing.T) {
	t.Run("guards against a slow replica that is blamed for another's share", func(t *testing.T) {
		assertCause(t, zinniapond.CauseSlowReplica, late(20, 0, 0, 300, "i-1@10.0.0.1:80:done;"), late(100, 50, 50, 350, ""))
		assertCause(t, zinniapond.CauseDisks, late(200, 0, 0, 300, "i-1@10.0.0.1:80:done;"))
		assertCause(t, zinniapond.CauseTokens, late(10, 200, 20, 300, ""))
		assertCause(t, zinniapond.CauseNoRoom, late(10, 0, 200, 300, ""),
			late(10, 0, 0, 300, "i-2@10.0.0.2:80:replica i-2 refused with status 503: no backend server available;i-1@10.0.0.1:80:done;"))
		assertCause(t, zinniapond.CauseInterrupted, late(10, 0, 0, 300, "i-2@10.0.0.2:80:read answer: unexpected EOF;i-1@10.0.0.1:80:done;"))
	})
}

func TestStop(t *testing.T) {
	stop := func(host zinniapond.HostName, kind zinniapond.LogEventKind) zinniapond.LogEvent {
		return zinniapond.LogEvent{Kind: kind, At: startTime, Host: host, Requests: 1}
	}
	cut := failed("read stream: context canceled")
	for _, c := range []struct {
		name   string
		before []zinniapond.LogEvent
		want   zinniapond.Cause
	}{
		{"a stop that is not the cause of requests cut off by it", []zinniapond.LogEvent{stop("a", zinniapond.LogHostStopping)}, zinniapond.CauseStopping},
		{"a stop of another host as cause", []zinniapond.LogEvent{stop("b", zinniapond.LogHostStopping)}, zinniapond.CauseInterrupted},
		{"a stop as cause after the next start", []zinniapond.LogEvent{stop("a", zinniapond.LogHostStopping), stop("a", zinniapond.LogHostStopped)}, zinniapond.CauseInterrupted},
	} {
		t.Run("guards against "+c.name, func(t *testing.T) {
			r := report(append(c.before, cut)...)
			assert.Equal(t, r.Causes[0].Cause, c.want)
		})
	}
}

// random returns events of several hosts, programs, routes and times.
func random(count int) []zinniapond.LogEvent {
	source := rand.New(rand.NewPCG(1, 2))
	reasons := []string{"wait for a replica: overloaded", "read stream: context canceled", "x"}
	events := make([]zinniapond.LogEvent, count)
	for i := range events {
		events[i] = failed(reasons[source.IntN(len(reasons))])
		if source.IntN(3) == 0 {
			events[i] = late(1, 0, 0, 9, "")
		}
		events[i].At = startTime.Add(time.Duration(i) * 7 * time.Millisecond)
		events[i].Program = zinniapond.ProgramID(fmt.Sprint(source.IntN(40)))
		events[i].Host = zinniapond.HostName(fmt.Sprint("front-", source.IntN(9)))
		events[i].Route = fmt.Sprint("r", source.IntN(3))
	}
	return events
}

func assertSum(t *testing.T, rows []zinniapond.CauseRow, want zinniapond.CauseCounts) {
	t.Helper()
	var sum zinniapond.CauseCounts
	for _, r := range rows {
		add(&sum, r.CauseCounts)
	}
	assert.Equal(t, sum, want)
}

func TestCounts(t *testing.T) {
	events := random(2000)
	want := report(events...)
	t.Run("guards against tables whose sums differ", func(t *testing.T) {
		var sum zinniapond.CauseCounts
		for _, c := range want.Causes {
			add(&sum, c.CauseCounts)
		}
		assert.Equal(t, sum.RequestsNotServed+sum.RequestsLate, len(events))
		assertSum(t, want.Spans, sum)
		assertSum(t, want.Pools, sum)
		assert.Equal(t, want.Total, zinniapond.CauseCounts{RequestsNotServed: sum.RequestsNotServed, ProgramsNotServed: 40, RequestsLate: sum.RequestsLate, ProgramsLate: 40})
	})
	t.Run("guards against counts that depend on the order of the files", func(t *testing.T) {
		shuffled := append([]zinniapond.LogEvent(nil), events...)
		rand.New(rand.NewPCG(3, 4)).Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		assert.Equal(t, report(shuffled...), want)
	})
	t.Run("guards against a second report that counts twice", func(t *testing.T) {
		var b Book
		b.Add(events[0])
		assert.Equal(t, b.Report(), b.Report())
	})
	t.Run("guards against a pool that is not shown although it is known", func(t *testing.T) {
		e := failed("x")
		e.Pool = "models"
		r := report(e, failed("x"))
		assert.Equal(t, len(r.Pools), 2)
		assert.Equal(t, []string{r.Pools[0].Route, string(r.Pools[1].Pool), r.Pools[1].Route}, []string{"r", "models", ""})
	})
	t.Run("guards against requests without time in a span of their own", func(t *testing.T) {
		e := failed("x")
		e.At = time.Time{}
		r := report(e)
		assert.Equal(t, []int{r.Untimed, len(r.Spans), r.Total.RequestsNotServed, r.Total.ProgramsNotServed}, []int{1, 0, 1, 1})
	})
}

func TestMemory(t *testing.T) {
	t.Run("guards against memory that grows with the number of lines", func(t *testing.T) {
		var b Book
		for i := range 100_000 {
			e := failed(fmt.Sprintf("%c%c%c%c: strange", 'a'+i%26, 'a'+i/26%26, 'a'+i/676%26, 'a'+i/17576))
			e.At = startTime.Add(time.Duration(i) * 3 * time.Second)
			e.Host, e.Route, e.Program = zinniapond.HostName(fmt.Sprint("h", i)), fmt.Sprint("r", i), zinniapond.ProgramID(fmt.Sprint(i%100))
			b.Add(e)
		}
		r := b.Report()
		assert.Equal(t, len(b.programs), 100)
		assert.True(t, len(b.spans) <= maxSpanRows, "%d rows of spans", len(b.spans))
		assert.True(t, len(b.hosts) <= maxNames+1 && len(b.pools) <= maxNames+1 && len(b.reasons) <= maxReasons+1, "%d hosts, %d pools, %d reasons", len(b.hosts), len(b.pools), len(b.reasons))
		assert.Equal(t, r.Total.RequestsNotServed, 100_000)
		assertSum(t, r.Spans, r.Total)
		assert.Equal(t, r.SpanMS.Duration(), 128*time.Second)
		assert.Equal(t, r.Spans[0].At.Truncate(128*time.Second), *r.Spans[0].At)
	})
	t.Run("guards against names of any length that stay in memory", func(t *testing.T) {
		long := strings.Repeat("é", 1<<16)
		e := failed(long)
		e.Host, e.Route = zinniapond.HostName(long), long
		r := report(e)
		assert.Equal(t, r.Pools[0].Route, long[:maxNameBytes])
		assert.True(t, len(r.Unknown[0].Reason) <= maxReasonBytes, "reason of %d bytes", len(r.Unknown[0].Reason))
	})
	t.Run("guards against identifiers in the errors without cause", func(t *testing.T) {
		r := report(failed("read turn X5eiAGv8SK58g_sH.46344c8f53cc8556: not found"), failed("read turn 9-wK95fjP9NIihk9.23055e1ec20beb61: not found"))
		assert.Equal(t, r.Unknown, []zinniapond.ReasonCount{{Reason: "read turn #: not found", Requests: 2}})
	})
}

func TestReplicas(t *testing.T) {
	at := func(reason string, i byte) zinniapond.LogEvent {
		e := failed(reason)
		e.Replica = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 80)
		return e
	}
	var b Book
	for i := range byte(20) {
		b.Add(at("read stream: context deadline exceeded", i))
		for range 20 { // the disks are the cause, not the replica
			b.Add(at("keep turn x: no majority", 7))
		}
		b.Add(at("read stream: context deadline exceeded", 3))
	}
	t.Run("guards against a replica that is not shown, or is blamed for the disks", func(t *testing.T) {
		r := b.Report()
		assert.Equal(t, len(r.Replicas), 1)
		assert.Equal(t, r.Replicas[0], zinniapond.CauseRow{
			Cause: zinniapond.CauseDeadline, Replica: at("", 3).Replica, OthersMean: 1,
			CauseCounts: zinniapond.CauseCounts{RequestsNotServed: 21},
		})
	})
}

func TestHosts(t *testing.T) {
	spread := func(hosts, each, most int) zinniapond.CauseReport {
		var b Book
		for h := range hosts {
			n := each
			if h == 0 {
				n = most
			}
			for range n {
				e := failed("wait for a replica: overloaded")
				e.Host = zinniapond.HostName(fmt.Sprint("front-", h))
				b.Add(e)
			}
		}
		return b.Report()
	}
	for _, c := range []struct {
		hosts, each, most, want int
	}{{54, 10, 40, 1}, {54, 10, 20, 0}, {54, 100, 190, 0}, {54, 1, 4, 0}, {1, 0, 50, 0}, {2, 1, 50, 1}} {
		t.Run(fmt.Sprintf("guards against a wrong host: %d hosts with %d, one with %d", c.hosts, c.each, c.most), func(t *testing.T) {
			r := spread(c.hosts, c.each, c.most)
			assert.Equal(t, len(r.Hosts), c.want)
			if c.want > 0 {
				assert.Equal(t, r.Hosts[0].Host, "front-0")
				assert.Equal(t, r.Hosts[0].OthersMean, float64(c.each))
				assert.Equal(t, r.Hosts[0].RequestsNotServed, c.most)
			}
		})
	}
	t.Run("guards against noise taken for a host that stands out", func(t *testing.T) {
		assert.Equal(t, fmt.Sprint(report(random(2000)...).Hosts), "[]")
	})
}
