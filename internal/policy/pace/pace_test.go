package pace

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/stats"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var start = time.Unix(1000, 0)

func newBook(hosts int) *Book {
	b := &Book{Logger: hclog.NewNullLogger(), Stats: new(stats.Set[string])}
	b.SetHostCount(hosts)
	return b
}

// poolOf returns a list of replicas.
func poolOf(count int) []zinniapond.Backend {
	var list []zinniapond.Backend
	for i := range count {
		list = append(list, zinniapond.Backend{
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), ID: fmt.Sprint("i-", i), Pool: "pool", Slots: modelSlots,
		})
	}
	return list
}

// withNew returns a book in whose pool of 12 the last replica is new.
func withNew(hosts int) (*Book, zinniapond.Backend) {
	b, list := newBook(hosts), poolOf(12)
	b.SetReplicas(start, "pool", list[:11])
	b.SetReplicas(start, "pool", list)
	return b, list[11]
}

func assertBound(t *testing.T, b *Book, replica zinniapond.Backend, want int) {
	t.Helper()
	bound, bounded := b.Bound(start, replica)
	assert.True(t, bounded && bound == want, "the bound is %d (%t), want %d", bound, bounded, want)
}

func assertFree(t *testing.T, b *Book, replica zinniapond.Backend) {
	t.Helper()
	bound, bounded := b.Bound(start, replica)
	assert.True(t, !bounded, "the bound is %d", bound)
}

func answer(first time.Duration) zinniapond.PaceAnswer {
	return zinniapond.PaceAnswer{TimeToFirstByte: first, Uncached: 1000}
}

var failure = zinniapond.PaceAnswer{Failed: true}

func TestLifetimes(t *testing.T) {
	t.Run("guards against a bound for the replicas that a starting host finds", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list)
		for _, replica := range list {
			assertFree(t, b, replica)
		}
	})
	t.Run("guards against bounds by which half of a pool holds up the other half", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list[:6])
		b.SetReplicas(start, "pool", list)
		assertBound(t, b, list[11], 6)
	})
	t.Run("guards against a new replica without a bound", func(t *testing.T) {
		b, replica := withNew(60)
		assertBound(t, b, replica, initialBound)
		replica.ID = "i-next"
		b.SetReplicas(start, "pool", append(poolOf(11), replica))
		assertBound(t, b, replica, initialBound)
	})
	t.Run("guards against a bound for a replica that lists show by turns", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list)
		b.SetReplicas(start, "pool", list[:11])
		b.SetReplicas(start.Add(absenceTime-1), "pool", list)
		assertFree(t, b, list[11])
		b.SetReplicas(start, "pool", list[:11])
		b.SetReplicas(start.Add(absenceTime), "pool", list)
		assertBound(t, b, list[11], initialBound)
	})
	t.Run("guards against a bound that never ends", func(t *testing.T) {
		b, replica := withNew(60)
		list := append(poolOf(11), replica)
		b.SetReplicas(start.Add(longestRamp-1), "pool", list)
		assertBound(t, b, replica, initialBound)
		b.SetReplicas(start.Add(longestRamp), "pool", list)
		assertFree(t, b, replica)
	})
	t.Run("guards against state that is kept for replicas that are gone", func(t *testing.T) {
		b, _ := withNew(60)
		b.SetReplicas(start, "pool", poolOf(11))
		b.SetReplicas(start.Add(forgetTime), "pool", poolOf(11))
		assert.Equal(t, b.servers.Len(), 11)
		assert.Equal(t, b.Stats.Value("pace.dropped"), 1)
	})
}

func TestAnswers(t *testing.T) {
	t.Run("guards against a bound that good answers do not end", func(t *testing.T) {
		b, replica := withNew(1)
		for range modelSlots - initialBound {
			b.RecordAnswer(start, replica, answer(time.Millisecond))
		}
		assertFree(t, b, replica)
	})
	t.Run("guards against a bound that grows with the answers of a cold cache", func(t *testing.T) {
		b, replica := withNew(1)
		for range minAnswers {
			b.RecordAnswer(start, poolOf(1)[0], answer(50*time.Millisecond))
		}
		b.RecordAnswer(start, replica, answer(400*time.Millisecond))
		assertBound(t, b, replica, initialBound)
		b.RecordAnswer(start.Add(coldTime), replica, answer(400*time.Millisecond))
		assertBound(t, b, replica, initialBound-1)
	})
	t.Run("guards against answers to other hosts that do not count", func(t *testing.T) {
		b, replica := withNew(60)
		b.SetLoads(start, []zinniapond.Load{{Replica: replica.Address, Count: 2, Good: 2}})
		assertBound(t, b, replica, initialBound+2*goodStep)
		b.SetLoads(start, []zinniapond.Load{{Replica: replica.Address, Count: 2, Good: 2, Bad: 3}})
		assertBound(t, b, replica, 2)
	})
	t.Run("guards against counting an own answer again in the sums", func(t *testing.T) {
		b, replica := withNew(60)
		b.RecordAnswer(start, replica, answer(time.Millisecond))
		b.SetLoads(start, b.Report(start, nil))
		assertBound(t, b, replica, initialBound+1)
	})
	t.Run("guards against a failing replica without a bound", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list)
		b.SetLoads(start, []zinniapond.Load{{Replica: list[3].Address, Bad: troubleAnswers}})
		assertBound(t, b, list[3], initialBound)
		b.RecordAnswer(start, list[3], failure)
		assertBound(t, b, list[3], 2)
	})
	t.Run("guards against a host with a broken network that has a replica bounded at the others", func(t *testing.T) {
		broken, other, list := newBook(60), newBook(60), poolOf(12)
		broken.SetReplicas(start, "pool", list)
		other.SetReplicas(start, "pool", list)
		for i := range 100 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			broken.RecordAnswer(now, list[3], failure)
			other.SetLoads(now, broken.Report(now, nil))
			assertFree(t, other, list[3])
		}
	})
	t.Run("guards against bounds for a whole pool whose replicas fail together", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list)
		bounded := 0
		for _, replica := range list {
			for range troubleAnswers {
				b.RecordAnswer(start, replica, failure)
			}
			if _, ok := b.Bound(start, replica); ok {
				bounded++
			}
		}
		assert.Equal(t, bounded, 4)
	})
	t.Run("guards against a bound for a replica that is slow because it is busy", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list)
		now := start.Add(coldTime)
		for _, replica := range list[:6] {
			for range minAnswers {
				b.RecordAnswer(now, replica, answer(50*time.Millisecond))
			}
		}
		slow := func() {
			for range troubleAnswers {
				b.RecordAnswer(now, list[7], answer(time.Second))
			}
		}
		b.SetLoads(now, []zinniapond.Load{{Replica: list[7].Address, Count: modelSlots}})
		slow()
		assertFree(t, b, list[7])
		b.SetLoads(now, []zinniapond.Load{{Replica: list[7].Address, Count: 1}})
		slow()
		assertBound(t, b, list[7], initialBound)
	})
	t.Run("guards against refusals of a full replica that count as failures", func(t *testing.T) {
		b, list := newBook(60), poolOf(12)
		b.SetReplicas(start, "pool", list)
		for range 10 {
			b.RecordAnswer(start, list[3], zinniapond.PaceAnswer{Refused: true})
		}
		assertFree(t, b, list[3])
	})
}

// admitted returns how many of 60 hosts admit a request to a new replica in one interval.
func admitted(now time.Time, noOther bool, prepare func(b *Book, replica zinniapond.Backend)) int {
	count := 0
	for i := range 60 {
		b, replica := withNew(60)
		s, _ := b.servers.Get(replica.Address)
		s.phase = uint64(i+1) * 0x9e3779b97f4a7c15
		prepare(b, replica)
		if b.Admits(now, replica, noOther) {
			count++
		}
	}
	return count
}

func TestAdmits(t *testing.T) {
	sumsAt := func(now time.Time, count int) func(*Book, zinniapond.Backend) {
		return func(b *Book, replica zinniapond.Backend) {
			b.SetLoads(now, []zinniapond.Load{{Replica: replica.Address, Count: count}})
		}
	}
	sums := func(count int) func(*Book, zinniapond.Backend) { return sumsAt(start, count) }
	t.Run("guards against 60 hosts that all try a little", func(t *testing.T) {
		total := 0
		for i := range 20 {
			now := start.Add(time.Duration(i) * drawInterval)
			total += admitted(now, false, sumsAt(now, 0))
		}
		assert.True(t, total >= 20 && total <= 20*2*initialBound, "%.1f hosts send at a time", float64(total)/20)
	})
	t.Run("guards against 60 hosts that all try a little while there are no sums", func(t *testing.T) {
		total := 0
		for i := range 20 {
			total += admitted(start.Add(maxSumAge+time.Duration(i)*drawInterval), false, sums(0))
		}
		assert.True(t, total >= 20 && total <= 20*2*initialBound, "%.1f hosts send at a time", float64(total)/20)
	})
	t.Run("guards against free places that only hosts without a suitable request may use", func(t *testing.T) {
		total := 0
		for i := range 20 {
			now := start.Add(time.Duration(i) * drawInterval)
			total += admitted(now, false, func(b *Book, replica zinniapond.Backend) {
				for range 10 {
					sumsAt(now, 0)(b, replica)
				}
			})
		}
		assert.True(t, total >= 20*2*initialBound && total <= 20*2*modelSlots, "%.1f hosts send at a time", float64(total)/20)
	})
	t.Run("guards against requests above the bound", func(t *testing.T) {
		assert.Equal(t, admitted(start, false, sums(initialBound)), 0)
	})
	t.Run("guards against a bound that holds while all others are full", func(t *testing.T) {
		assert.True(t, admitted(start, true, sums(initialBound)) > 0, "no host may send")
		assert.Equal(t, admitted(start, true, sums(modelSlots)), 0)
	})
	t.Run("guards against a single host that does not use the bound", func(t *testing.T) {
		b, replica := withNew(1)
		for range initialBound {
			assert.True(t, b.Admits(start, replica, false), "the host may not send")
			b.RecordStart(start, replica)
		}
		assert.True(t, !b.Admits(start, replica, false), "the host may send more")
		b.RecordFinish(start, replica)
		assert.True(t, b.Admits(start.Add(drawInterval), replica, false), "the place is not free again")
	})
	t.Run("guards against a replica that looks full by an old sum", func(t *testing.T) {
		b, replica := withNew(60)
		sums(modelSlots)(b, replica)
		assert.True(t, b.IsFull(start, replica), "not full")
		assert.True(t, !b.IsFull(start.Add(maxSumAge+1), replica), "full")
	})
}
