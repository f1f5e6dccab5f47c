package cache

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var (
	startTime    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	firstServer  = netip.MustParseAddrPort("10.0.0.1:80")
	secondServer = netip.MustParseAddrPort("10.0.0.2:80")
)

func TestLeases(t *testing.T) {
	t.Run("guards against memory held for long pauses", func(t *testing.T) {
		l := &Leases{}
		now := startTime
		for range 10 {
			l.Retain(now, "p", firstServer, 100)
			now = now.Add(time.Hour)
			l.PauseEnded(now, "p")
		}
		_, ok := l.Retain(now, "p", firstServer, 100)
		assert.True(t, !ok, "kept for a program that pauses for hours")
	})
	t.Run("guards against pins on a server whose memory is full", func(t *testing.T) {
		l := &Leases{}
		for i := range 20 {
			l.Retain(startTime, zinniapond.ProgramID(fmt.Sprint(i)), firstServer, pinCapacity/10)
		}
		_, ok := l.Retain(startTime, "last", firstServer, 100)
		assert.True(t, !ok, "kept on a full server")
		_, ok = l.Retain(startTime, "last", secondServer, 100)
		assert.True(t, ok, "not kept on an empty server")
	})
	t.Run("guards against an expiry during a call", func(t *testing.T) {
		l := &Leases{}
		until, _ := l.Retain(startTime, "p", firstServer, 100)
		l.PauseEnded(until.Add(-time.Second), "p")
		assert.Equal(t, len(l.RemoveExpired(until.Add(time.Minute))), 0)
		assert.Equal(t, len(l.RemoveExpired(until.Add(runningExpiry))), 1)
	})
	t.Run("guards against sweeping a program that was reported before it was pinned", func(t *testing.T) {
		l := &Leases{}
		report := zinniapond.LoadReport{Backend: firstServer, TakenAt: startTime, Programs: []zinniapond.ProgramID{"old", "new"}}
		assert.Equal(t, len(l.FindUnpinned(startTime, report)), 0)
		l.Retain(startTime, "new", firstServer, 100)
		report.TakenAt = startTime.Add(sweepGrace)
		pins := l.FindUnpinned(startTime.Add(sweepGrace), report)
		assert.True(t, len(pins) == 1 && pins[0].Program == "old", "swept %v", pins)
	})
}

// TestOracle compares the leases with a plain map of the kept pins.
func TestOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &Leases{}
		now := startTime
		kept := map[zinniapond.Pin]time.Time{} // the latest possible expiry
		draw := func(t *rapid.T) zinniapond.ProgramID {
			return zinniapond.ProgramID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "program"))
		}
		key := func(p zinniapond.Pin) zinniapond.Pin {
			return zinniapond.Pin{Program: p.Program, Backend: p.Backend}
		}
		t.Repeat(map[string]func(*rapid.T){
			"keep": func(t *rapid.T) {
				id, at := draw(t), rapid.SampledFrom([]netip.AddrPort{firstServer, secondServer}).Draw(t, "server")
				until, ok := l.Retain(now, id, at, zinniapond.Tokens(rapid.IntRange(0, pinCapacity).Draw(t, "held")))
				delete(kept, zinniapond.Pin{Program: id, Backend: at})
				if ok {
					kept[zinniapond.Pin{Program: id, Backend: at}] = until
					assert.True(t, until.After(now), "expires at once")
				}
			},
			"returned": func(t *rapid.T) {
				id := draw(t)
				l.PauseEnded(now, id)
				for p := range kept {
					if p.Program == id {
						kept[p] = now.Add(runningExpiry)
					}
				}
			},
			"end": func(t *rapid.T) {
				id := draw(t)
				for _, p := range l.RemoveProgram(id) {
					delete(kept, key(p))
				}
				assert.Equal(t, len(l.ProgramPins(id)), 0)
				for p := range kept {
					assert.True(t, p.Program != id, "pin of an ended program was not returned")
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
				for _, p := range l.RemoveExpired(now) {
					_, ok := kept[key(p)]
					assert.True(t, ok, "returned twice: %v", p)
					delete(kept, key(p))
				}
				for p, until := range kept {
					assert.True(t, until.After(now), "held past its expiry: %v", p)
				}
			},
			"": func(t *rapid.T) {
				held := 0
				for _, id := range []zinniapond.ProgramID{"a", "b", "c"} {
					held += len(l.ProgramPins(id))
				}
				assert.Equal(t, held, len(kept))
			},
		})
		// Removed pins must not count against the memory of a server.
		for _, id := range []zinniapond.ProgramID{"a", "b", "c"} {
			l.RemoveProgram(id)
		}
		for _, a := range []netip.AddrPort{firstServer, secondServer} {
			s, ok := l.servers.Get(a)
			assert.True(t, !ok || s.pinnedTokens == 0, "%s still counts", a)
		}
	})
}
