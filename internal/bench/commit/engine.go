package commit

import (
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"github.com/tidwall/wal"

	"zinniapond.example/zinniapond"
)

// MeasureSegmentLog measures the append path of a segment log, tidwall/wal,
// with the same group commit as the store: entries that arrive while a sync
// runs are written and synced together. The log keeps no index by program and
// removes nothing, so the result is a lower bound for the cost of a
// purpose-built log.
func MeasureSegmentLog(clock func() time.Time, folder string, programs, body int, duration time.Duration) (result, error) {
	log, err := wal.Open(filepath.Join(folder, "wal"), &wal.Options{NoSync: true, SegmentSize: 64 << 20})
	if err != nil {
		return result{}, err
	}
	type entry struct {
		data []byte
		done chan struct{}
	}
	queue := make(chan entry, programs)
	var failure error
	var syncs int64
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		index := uint64(0)
		for first := range queue {
			batch := []entry{first}
			for more := true; more; {
				select {
				case j, ok := <-queue:
					if more = ok; ok {
						batch = append(batch, j)
					}
				default:
					more = false
				}
			}
			var entries wal.Batch
			for _, j := range batch {
				index++
				entries.Write(index, j.data)
			}
			if err := log.WriteBatch(&entries); err != nil {
				failure = err
			}
			if err := log.Sync(); err != nil {
				failure = err
			}
			syncs++
			for _, j := range batch {
				close(j.done)
			}
		}
	}()
	r := measureAppends(clock, programs, duration, func(int, int) error {
		j := entry{data: make([]byte, body), done: make(chan struct{})}
		queue <- j
		<-j.done
		return nil
	})
	close(queue)
	<-finished
	r.Syncs = syncs
	if err := log.Close(); err != nil {
		return r, err
	}
	return r, failure
}

// MeasureStore measures the append path of one store, without a writer. Each
// program has a shard of its own.
func (t *Trial) MeasureStore(programs int, duration time.Duration) result {
	s := t.stores[t.view.Members["store0"].PeersAddress]
	before := t.syncs.Load()
	r := measureAppends(t.Clock, programs, duration, func(p, n int) error {
		index := zinniapond.Index(n + 1)
		request := &zinniapond.AppendRequest{
			Shard: zinniapond.ShardID(p + t.Shards), Epoch: 1, PrevIndex: index - 1,
			PrevEpoch: min(zinniapond.Epoch(n), 1), LastIndex: index,
			Entries: []zinniapond.JournalEntry{{
				Index: index, Epoch: 1, Kind: zinniapond.RecordIntent,
				Program: zinniapond.ProgramID("program-" + strconv.Itoa(p)), Data: make([]byte, t.BodyBytes),
			}},
		}
		return s.Append(request, new(zinniapond.AppendReply))
	})
	r.Syncs = t.syncs.Load() - before
	return r
}

// measureAppends calls appendOne in a loop for the given time, from one
// goroutine for each program, and merges the measurements.
func measureAppends(clock func() time.Time, programs int, duration time.Duration, appendOne func(program, number int) error) result {
	parts := make([]result, programs)
	began := clock()
	var group sync.WaitGroup
	for p := range programs {
		parts[p].Latency = newHistogram()
		group.Go(func() {
			for n := 0; clock().Sub(began) < duration; n++ {
				at := clock()
				if err := appendOne(p, n); err != nil {
					parts[p].Failures++
					continue
				}
				parts[p].Appends++
				_ = parts[p].Latency.RecordValue(clock().Sub(at).Microseconds())
			}
		})
	}
	group.Wait()
	r := result{Elapsed: clock().Sub(began), Latency: newHistogram()}
	for _, p := range parts {
		r.Appends += p.Appends
		r.Failures += p.Failures
		r.Latency.Merge(p.Latency)
	}
	return r
}
