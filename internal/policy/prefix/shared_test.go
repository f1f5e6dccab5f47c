package prefix

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	frontCount      = 60
	replicaCount    = 48
	slowCount       = (replicaCount + 3) / 5
	slowFactor      = 5
	usualTime       = 300 * time.Millisecond // of a request, with up to a third more or less
	requestInterval = 4 * time.Millisecond   // between requests of all fronts together
	exchangeTime    = 200 * time.Millisecond
)

// ending is the end of a running request of the replayed load.
type ending struct {
	at      time.Duration
	front   int
	replica netip.AddrPort
	need    zinniapond.PickInfo
	took    time.Duration
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// slowReplay is a load of 250 requests a second from 60 fronts on 48 replicas, a fifth of
// which are slow from the first to the second instant. It returns the number of requests
// that were sent to those replicas in each second.
func slowReplay(shares bool, from, to, end time.Duration) []int {
	random := rand.New(rand.NewPCG(1, 2))
	fronts := make([]*Router, frontCount)
	for i := range fronts {
		fronts[i] = newRouter(replicaCount)
		fronts[i].Seed = random.Uint64()
	}
	isSlow := func(a netip.AddrPort) bool { return a.Addr().As4()[3]%5 == 1 }
	sent := make([]int, end/time.Second)
	var running endings
	for now, i := time.Duration(0), 0; now < end; now, i = now+requestInterval, i+1 {
		at := startTime.Add(now)
		for len(running) > 0 && running[0].at <= now {
			e := heap.Pop(&running).(ending)
			fronts[e.front].AttemptFinished(startTime.Add(e.at), e.replica, e.need, zinniapond.Observation{
				TimeToFirstByte: e.took / 4, Duration: e.took, Usage: zinniapond.Usage{Prompt: e.need.PromptTokens, Generated: e.need.MaxGenerated},
			})
		}
		if now%exchangeTime == 0 {
			exchangeLoads(at, fronts, shares)
		}
		need := zinniapond.PickInfo{Call: zinniapond.CallID(fmt.Sprint(i)), PromptTokens: 1024, MaxGenerated: 50}
		front := random.IntN(frontCount)
		choice, ok := fronts[front].Pick(at, need, allFree)
		if !ok {
			continue
		}
		fronts[front].AttemptStarted(at, choice.Backend, need)
		took := time.Duration(float64(usualTime) * (2.0/3 + random.Float64()*2/3))
		if isSlow(choice.Backend) {
			sent[now/time.Second]++
			if now >= from && now < to {
				took *= slowFactor
			}
		}
		heap.Push(&running, ending{now + took, front, choice.Backend, need, took})
	}
	return sent
}

// exchangeLoads gives each front the sums of all of them.
func exchangeLoads(at time.Time, fronts []*Router, shares bool) {
	for a := range replicaCount {
		report := zinniapond.LoadReport{Backend: address(a), TakenAt: at}
		for _, f := range fronts {
			s, _ := f.servers.Get(address(a))
			report.RunningCalls += len(s.inFlight)
			if shares {
				answers, slowness := f.RecentAnswers(at, address(a))
				report.Answers, report.Slowness = report.Answers+answers, report.Slowness+slowness
			}
		}
		if report.Answers > 0 {
			report.Slowness /= float64(report.Answers)
		}
		for _, f := range fronts {
			f.UpdateLoad(at, report)
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func TestSharedSlowness(t *testing.T) {
	const from, to, end = 8, 20, 34 // seconds
	shared := slowReplay(true, from*time.Second, to*time.Second, end*time.Second)
	alone := slowReplay(false, from*time.Second, to*time.Second, end*time.Second)
	t.Logf("requests to %d slow replicas in each second, shared:  %v", slowCount, shared)
	t.Logf("requests to %d slow replicas in each second, measured by each front alone: %v", slowCount, alone)
	usual := sum(shared[5:from]) / (from - 5)
	t.Run("guards against fronts that each have to find a slow replica", func(t *testing.T) {
		// The first answers of slow replicas come after a second and a half.
		found := sum(shared[from+2 : to])
		assert.True(t, 2*found < sum(alone[from+2:to]), "%d requests to slow replicas after 2 s, %d if each front measures alone", found, sum(alone[from+2:to]))
		assert.True(t, sum(shared[from:from+5]) < 50*slowCount, "%d requests until slow replicas are found", sum(shared[from:from+5]))
	})
	t.Run("guards against slow replicas that no front observes", func(t *testing.T) {
		for second := from + 3; second+5 <= to; second += 5 {
			assert.True(t, sum(shared[second:second+5]) >= slowCount, "%d requests in 5 s to %d slow replicas", sum(shared[second:second+5]), slowCount)
		}
	})
	t.Run("guards against replicas that stay without work after they were slow", func(t *testing.T) {
		after := sum(shared[to+10:]) / (end - to - 10)
		assert.True(t, 2*after > usual, "%d requests a second to replicas that are fast again, %d before", after, usual)
	})
}
