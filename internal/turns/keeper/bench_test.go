package keeper

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
)

// BenchmarkDueBatches measures a check while no renewal is due.
func BenchmarkDueBatches(b *testing.B) {
	k := &Keeper{Settings: &zinniapond.Settings{}, Directory: newHosts(nil)}
	now := time.Now()
	for i := range 100_000 {
		t := zinniapond.Turn{ID: zinniapond.TurnID(fmt.Sprint(i)), Chain: []zinniapond.TurnID{"first"}, Retention: time.Hour}
		s := &turnEntry{chain: t.Chain}
		s.renewal.init(now, &t)
		s.renewal.learn(now.Add(time.Hour))
		k.turns.Set(t.ID, s)
	}
	b.ReportAllocs()
	for b.Loop() {
		k.dueBatches(now)
	}
}
