package blame

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	step         = 10 * time.Millisecond
	runTime      = 400 * time.Millisecond
	crashDelay   = 60 * time.Millisecond // from the start of a deadly request to the end of its replica
	downTime     = 3 * time.Second
	maxSends     = 3 // times that a client sends a request
	requestRate  = 13
	perReplica   = 8 // requests at a replica that have the same cached prefix
	hubDelay     = 110 * time.Millisecond
	newsWakeTime = 20 * time.Millisecond
)

// fleet is a model of hosts before replicas, with clients that repeat what broke off.
// Hosts know each other's evidence through a hub, with delays.
type fleet struct {
	random   *rand.Rand
	hosts    []*modelHost
	hub      *Book
	replicas []modelReplica
	returns  map[int][]work // by step
	now      time.Time
	tick     int
	figures  modelFigures
}

type modelHost struct {
	book                *Book
	exchangeAt, lastNew time.Time
}

type modelReplica struct {
	life    int
	downTil time.Time
	running []work
}

// work is one request.
type work struct {
	digest zinniapond.Digest
	prefix int
	deadly bool
	sends  int
	host   int
	ends   time.Time
}

// modelFigures has what a play showed.
type modelFigures struct {
	lost, innocent, falselyRefused, innocentFailed, deadlySent int
}

func newFleet(hosts, replicas int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), hub: newBook(), now: start, returns: make(map[int][]work)}
	for range hosts {
		f.hosts = append(f.hosts, &modelHost{book: &Book{Logger: hclog.NewNullLogger()}, exchangeAt: start.Add(time.Duration(f.random.Int64N(int64(hubDelay))))})
	}
	f.replicas = make([]modelReplica, replicas)
	return f
}

func (f *fleet) address(i int) zinniapond.Backend {
	return zinniapond.Backend{
		Pool: "pool", ID: fmt.Sprint(i, "/", f.replicas[i].life),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
	}
}

// choose returns the replica of a request: suspects are spread by their digests, others
// follow their prefix.
func (f *fleet) choose(w work, apart bool) int {
	first := w.prefix
	if apart {
		first = int(xxhash.Sum64String(fmt.Sprint(w.digest)) % uint64(len(f.replicas)))
	}
	for i := range f.replicas {
		if at := (first + i) % len(f.replicas); !f.now.Before(f.replicas[at].downTil) {
			return at
		}
	}
	return -1
}

// send lets a host decide about a request and start it.
func (f *fleet) send(w work) {
	w.host = f.random.IntN(len(f.hosts))
	w.sends++
	verdict := f.hosts[w.host].book.Judge(f.now, w.digest)
	at := f.choose(w, verdict.Standing == zinniapond.StandingSuspect)
	if verdict.Standing == zinniapond.StandingGuilty || at < 0 {
		if !w.deadly {
			f.figures.falselyRefused++
			f.comeBack(w)
		}
		return
	}
	w.ends = f.now.Add(runTime)
	if w.deadly {
		f.figures.deadlySent++
		w.ends = f.now.Add(crashDelay)
	}
	f.replicas[at].running = append(f.replicas[at].running, w)
}

// comeBack lets a client send a request again after a while.
func (f *fleet) comeBack(w work) {
	if w.sends < maxSends {
		delay := f.tick + 10 + f.random.IntN(30)
		f.returns[delay] = append(f.returns[delay], w)
	} else if !w.deadly {
		f.figures.innocentFailed++
	}
}

// crash ends a replica with all that runs there.
func (f *fleet) crash(i int) {
	r := &f.replicas[i]
	f.figures.lost++
	for _, w := range r.running {
		host := f.hosts[w.host]
		host.book.RecordEnding(f.now, f.address(i), w.digest)
		if soon := f.now.Add(newsWakeTime); soon.Before(host.exchangeAt) {
			host.exchangeAt = soon
		}
		f.comeBack(w)
	}
	r.running, r.downTil = nil, f.now.Add(downTime)
	r.life++
}

// advance plays one step.
func (f *fleet) advance() {
	f.now, f.tick = f.now.Add(step), f.tick+1
	for _, w := range f.returns[f.tick] {
		f.send(w)
	}
	delete(f.returns, f.tick)
	for i := range f.replicas {
		r := &f.replicas[i]
		kept, crashes := r.running[:0], false
		for _, w := range r.running {
			switch {
			case f.now.Before(w.ends):
				kept = append(kept, w)
			case w.deadly:
				crashes = true
				kept = append(kept, w)
			default:
				f.hosts[w.host].book.RecordFinish(f.now, w.digest)
			}
		}
		if r.running = kept; crashes {
			f.crash(i)
		}
	}
	for _, h := range f.hosts {
		if f.now.Before(h.exchangeAt) {
			continue
		}
		f.hub.Merge(f.now, h.book.News(f.now, h.lastNew))
		h.book.Merge(f.now, f.hub.News(f.now, h.lastNew))
		h.lastNew, h.exchangeAt = f.now, f.now.Add(hubDelay)
	}
}

// play sends requests for some seconds, of which a share has one of the given number of
// deadly inputs.
func (f *fleet) play(causes int, share float64, span time.Duration) modelFigures {
	next := zinniapond.Digest(1 << 20)
	perStep := float64(requestRate*len(f.hosts)) * step.Seconds()
	for due := 0.0; f.now.Sub(start) < span; f.advance() {
		for due += perStep; due >= 1; due-- {
			next++
			w := work{digest: next, prefix: f.random.IntN(len(f.replicas)/perReplica+1) * perReplica}
			if f.random.Float64() < share {
				w.digest, w.deadly = zinniapond.Digest(f.random.IntN(causes)+1), true
			} else {
				f.figures.innocent++
			}
			f.send(w)
		}
	}
	return f.figures
}

func TestSize(t *testing.T) {
	for _, size := range []struct{ hosts, replicas int }{{7, 12}, {54, 48}, {171, 59}, {390, 600}} {
		for _, causes := range []int{1, 4} {
			t.Run(fmt.Sprintf("guards against blame that fails at %d hosts, %d replicas and %d causes", size.hosts, size.replicas, causes), func(t *testing.T) {
				t.Parallel()
				f := newFleet(size.hosts, size.replicas, 1)
				// Each deadly input comes once in 2 s.
				got := f.play(causes, 0.5/float64(size.hosts*requestRate)*float64(causes), 6*time.Second)
				t.Logf("%d replicas lost, %d of %d innocent requests refused falsely, %d failed, %d deadly sent",
					got.lost, got.falselyRefused, got.innocent, got.innocentFailed, got.deadlySent)
				// The users' rule: no request is sent on after the end of three replicas.
				assert.True(t, got.lost <= 3*causes, "%d replicas lost to %d causes", got.lost, causes)
				assert.True(t, got.falselyRefused*500 <= got.innocent, "%d of %d innocent requests refused", got.falselyRefused, got.innocent)
			})
		}
	}
}

// BenchmarkMerge merges the evidence of a failure that ends 600 replicas at once.
func BenchmarkMerge(b *testing.B) {
	var report zinniapond.BlameReport
	for i := range 600 {
		e := zinniapond.Ending{Pool: "pool", Replica: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80)}
		for d := range 8 {
			e.Suspects = append(e.Suspects, zinniapond.Digest(100*i+d))
		}
		report.Endings = append(report.Endings, e)
	}
	for b.Loop() {
		newBook().Merge(start, report)
	}
}
