package commit

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"zinniapond.example/zinniapond/internal/test/assert"
)

const duration = 2 * time.Second

func newTrial(b *testing.B, replicas int, single bool) *Trial {
	t := &Trial{Folder: b.TempDir(), Replicas: replicas, Shards: 64, SyncEachAppend: single, BodyBytes: 2048, Clock: time.Now}
	assert.NoError(b, t.Start(context.Background()))
	b.Cleanup(t.Stop)
	return t
}

func report(b *testing.B, r result) {
	assert.Equal(b, r.Failures, 0)
	b.ReportMetric(float64(r.Appends)/r.Elapsed.Seconds(), "appends/s")
	b.ReportMetric(float64(r.Syncs)/r.Elapsed.Seconds(), "commits/s")
	b.ReportMetric(float64(r.Latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(r.Latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkAppend measures appends through the writer to three replicas.
func BenchmarkAppend(b *testing.B) {
	for _, single := range []bool{false, true} {
		for _, programs := range []int{1, 8, 64, 512} {
			b.Run(fmt.Sprintf("single=%t/programs=%d", single, programs), func(b *testing.B) {
				report(b, newTrial(b, 3, single).MeasureAppends(context.Background(), programs, duration))
			})
		}
	}
}

// BenchmarkEngine compares one store, on bbolt, with a bare segment log.
func BenchmarkEngine(b *testing.B) {
	for _, programs := range []int{1, 8, 64, 512} {
		b.Run(fmt.Sprintf("bbolt/programs=%d", programs), func(b *testing.B) {
			report(b, newTrial(b, 1, false).MeasureStore(programs, duration))
		})
		b.Run(fmt.Sprintf("wal/programs=%d", programs), func(b *testing.B) {
			r, err := MeasureSegmentLog(time.Now, b.TempDir(), programs, 2048, duration)
			assert.NoError(b, err)
			report(b, r)
		})
	}
}

// BenchmarkRecovery measures the time until a new owner has all live programs,
// and what a live program costs in bytes on each disk and in memory.
func BenchmarkRecovery(b *testing.B) {
	for _, programs := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("live=%d", programs), func(b *testing.B) {
			t := newTrial(b, 3, false)
			before := heapBytes()
			assert.NoError(b, t.AppendPrograms(context.Background(), programs, 10))
			used := heapBytes() - before
			size, err := t.Size()
			assert.NoError(b, err)
			took, records, err := t.Recover(context.Background())
			assert.NoError(b, err)
			assert.Equal(b, records, programs*21)
			b.ReportMetric(float64(took.Milliseconds()), "ms")
			b.ReportMetric(float64(size)/float64(programs), "disk-B/program")
			b.ReportMetric(float64(used)/float64(programs), "heap-B/program")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
