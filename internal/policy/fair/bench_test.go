package fair

import (
	"fmt"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
)

func BenchmarkQueue(b *testing.B) {
	for _, count := range []int{100, 10_000, 140_000} {
		b.Run(fmt.Sprint("waiting=", count), func(b *testing.B) {
			q := &Queue{}
			push := func(i int) {
				w := newWaiting(i, zinniapond.PlanName(fmt.Sprint("plan-", i%100)), zinniapond.Class(i%3), 1+i%4, startTime)
				q.Push(startTime, w)
			}
			for i := range count {
				push(i)
			}
			now := startTime.Add(time.Second)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				w, ok := q.Pop(now, admitAll)
				if !ok {
					b.Fatal("queue is empty")
				}
				q.Charge(now, w.Plan, w.Program, w.Weight, 100)
				q.Forget(w.Program)
				b.StopTimer()
				next := newWaiting(count+i, w.Plan, w.Class, w.Weight, startTime)
				b.StartTimer()
				q.Push(now, next)
			}
		})
	}
}
