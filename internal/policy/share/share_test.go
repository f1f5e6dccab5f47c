package share

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const replicaCount = 60

func replica(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 8080)
}

func newBooks(count int) []*Book {
	books := make([]*Book, count)
	for i := range books {
		books[i] = &Book{Host: zinniapond.HostName(fmt.Sprint("front-", i))}
		books[i].SetHostCount(startTime, count)
	}
	return books
}

func TestSum(t *testing.T) {
	for _, hosts := range []int{7, 54, 171, 390} {
		for _, limit := range []int{9, 100, 200, 360, 1000} {
			t.Run(fmt.Sprintf("guards against more than %d connections of %d hosts", limit, hosts), func(t *testing.T) {
				books := newBooks(hosts)
				for i := range replicaCount {
					open, idle, least := 0, 0, limit
					for _, b := range books {
						s := b.Share(startTime, replica(i), zinniapond.ConnectionUse{Limit: limit})
						assert.True(t, s.IsLimited && s.Idle <= s.Open, "%+v", s)
						open, idle, least = open+s.Open, idle+s.Idle, min(least, s.Open)
					}
					assert.True(t, least >= 1, "a host has no connection to a replica without requests")
					if hosts <= limit*9/10 {
						assert.True(t, open <= limit, "%d connections", open)
						assert.True(t, open >= limit*9/10-hosts, "only %d connections are used", open)
					} else {
						assert.True(t, idle <= limit/2, "%d connections are kept", idle)
					}
				}
			})
		}
	}
}

func TestShare(t *testing.T) {
	share := func(b *Book, use zinniapond.ConnectionUse) zinniapond.ConnectionShare {
		return b.Share(startTime, replica(1), use)
	}
	book := func(count int) *Book { return newBooks(count)[0] }
	t.Run("guards against a bound where none is configured", func(t *testing.T) {
		assert.True(t, !share(book(7), zinniapond.ConnectionUse{}).IsLimited, "limited")
	})
	t.Run("guards against no connection, or all of them, before the number of hosts is known", func(t *testing.T) {
		b := new(Book)
		b.SetHostCount(startTime, 0)
		assert.Equal(t, share(b, zinniapond.ConnectionUse{Limit: 100}), zinniapond.ConnectionShare{IsLimited: true, Open: 1, Idle: 1})
	})
	t.Run("guards against the shares of few hosts after a control host has started that does not know all", func(t *testing.T) {
		b := book(50)
		before := share(b, zinniapond.ConnectionUse{Limit: 200})
		for _, count := range []int{0, 1, 20, 49} {
			b.SetHostCount(startTime.Add(time.Second), count)
			assert.Equal(t, share(b, zinniapond.ConnectionUse{Limit: 200}), before)
		}
		b.SetHostCount(startTime.Add(2*time.Second), 50)
		b.SetHostCount(startTime.Add(time.Minute), 25)
		assert.Equal(t, share(b, zinniapond.ConnectionUse{Limit: 200}), before)
		b.SetHostCount(startTime.Add(time.Minute+countMemory), 24)
		assert.Equal(t, b.hostCount(), 25)
	})
	t.Run("guards against keeping all connections to a replica with a long queue", func(t *testing.T) {
		use := zinniapond.ConnectionUse{Limit: 200, Slots: 10, Running: 20}
		usual := share(book(10), use)
		use.Running = 60
		long := share(book(10), use)
		assert.True(t, usual.Open >= 18 && long.Open <= 8 && long.Open >= 5, "%d connections, %d with a long queue", usual.Open, long.Open)
	})
	t.Run("guards against connections beyond the limit of a replica that has fewer than hosts and is busy", func(t *testing.T) {
		opened := 0
		for _, b := range newBooks(390) {
			opened += share(b, zinniapond.ConnectionUse{Limit: 200, Running: 100}).Open
		}
		assert.True(t, opened <= 100, "%d hosts may open a connection", opened)
	})
}

// sharedHost is a host of the model: the connections to each replica, and those in use.
type sharedHost struct {
	book       *Book
	open, busy []int
}

// TestModel replays hosts that keep their connections and know the requests of all hosts
// from late sums.
func TestModel(t *testing.T) {
	const (
		servers, slots = 14, 20
		exchange       = 200 // steps of 1 ms between two sums
		callSteps      = 25
		steps          = 4000
	)
	for _, c := range []struct{ hosts, limit int }{{7, 60}, {54, 100}, {171, 200}, {390, 200}} {
		t.Run(fmt.Sprintf("guards against more than %d connections of %d hosts to a replica, and against requests that find none", c.limit, c.hosts), func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, uint64(c.hosts)))
			hosts := make([]sharedHost, c.hosts)
			for i, b := range newBooks(c.hosts) {
				hosts[i] = sharedHost{b, make([]int, servers), make([]int, servers)}
			}
			type call struct{ host, server int }
			ending := make([][]call, steps+20*callSteps)
			running, sums, connections := make([]int, servers), make([]int, servers), make([]int, servers)
			most, calls, unplaced := 0, 0, 0
			shareOf := func(h *sharedHost, server int) zinniapond.ConnectionShare {
				return h.book.Share(startTime, replica(server), zinniapond.ConnectionUse{Limit: c.limit, Running: sums[server], Slots: slots})
			}
			for now := range steps {
				if now%exchange == 0 {
					copy(sums, running)
				}
				for _, e := range ending[now] {
					h := &hosts[e.host]
					running[e.server]--
					h.busy[e.server]--
					if s := shareOf(h, e.server); s.IsLimited && (h.open[e.server]-h.busy[e.server] > s.Idle || h.open[e.server] > s.Open) {
						h.open[e.server]--
						connections[e.server]--
					}
				}
				// About three quarters of the slots, most of them at a few servers.
				for range 8 {
					i := random.IntN(c.hosts)
					h := &hosts[i]
					calls++
					server := -1
					for try := 0; try < 2*servers && server < 0; try++ {
						at := min(random.IntN(servers), random.IntN(servers))
						s := shareOf(h, at)
						if h.open[at] > h.busy[at] || !s.IsLimited || h.open[at] < s.Open {
							server = at
						}
					}
					if server < 0 {
						unplaced++
						continue
					}
					if h.open[server] == h.busy[server] {
						h.open[server]++
						connections[server]++
					}
					h.busy[server]++
					running[server]++
					most = max(most, connections[server])
					took := 1 + int(random.ExpFloat64()*callSteps)
					end := min(now+took, len(ending)-1)
					ending[end] = append(ending[end], call{i, server})
				}
			}
			t.Logf("most connections %d, calls %d, without a replica %d", most, calls, unplaced)
			assert.True(t, most <= c.limit, "%d connections to one replica", most)
			assert.True(t, unplaced*1000 <= calls, "%d of %d calls found no replica", unplaced, calls)
		})
	}
}
