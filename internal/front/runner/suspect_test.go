package runner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/policy/least"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// repeatPause is the shortest time after which clients send a request again.
const repeatPause = 100 * time.Millisecond

// newLargePool returns a runner with a pool of the given size.
func newLargePool(t *testing.T, size int, route zinniapond.Route, replies ...reply) *testRunner {
	t.Helper()
	w := newTestRunner(t, route, replies...)
	w.gone = make(map[netip.AddrPort]bool)
	w.list = nil
	for i := range size {
		w.list = append(w.list, zinniapond.Backend{
			ID: fmt.Sprint("i-", i), Pool: "pool", State: zinniapond.BackendLive,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(i)}), 80),
		})
	}
	assert.NoError(t, w.update())
	return w
}

// endsReplica breaks a request off as its replica ends.
func (w *testRunner) endsReplica(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[q.Replica.Address] = true
	return nil, errBroken
}

func TestSuspects(t *testing.T) {
	stream := zinniapond.Route{Kind: zinniapond.RequestStream}
	whole := answersWith(200, wholeText, true, nil)
	deadly := zinniapond.Request{Body: []byte("deadly")}
	inBubble(t, "guards against a third replica that ends by the same request", func(t *testing.T) {
		w := newLargePool(t, 12, stream)
		w.replies = []reply{w.endsReplica}
		for range 5 {
			w.forward(deadly)
			time.Sleep(repeatPause)
		}
		assert.Equal(t, len(w.sent), 2)
		assert.ErrorIs(t, w.forward(deadly).refused, zinniapond.ErrOverload)
	})
	inBubble(t, "guards against blaming an input that several programs had sent to replicas which ended at one moment", func(t *testing.T) {
		w := newLargePool(t, 12, zinniapond.Route{Kind: zinniapond.RequestStream, Retained: true})
		w.replies = []reply{w.endsReplica, w.endsReplica, whole}
		w.turns.chain = []zinniapond.Turn{{ID: "t"}}
		turn := func(program int) *recorder {
			return w.forward(zinniapond.Request{Body: []byte("go on"), Program: zinniapond.ProgramID(fmt.Sprint("p", program)), PreviousTurn: "t"})
		}
		turn(1)
		turn(2)
		time.Sleep(10 * time.Second)
		for n := range 6 {
			assert.Equal(t, turn(n).body.String(), wholeText)
		}
	})
	inBubble(t, "guards against refusing an input for good that was at two replicas by chance", func(t *testing.T) {
		w := newLargePool(t, 12, stream)
		w.replies = []reply{w.endsReplica, w.endsReplica, whole}
		for range 2 {
			w.forward(deadly)
			time.Sleep(repeatPause)
		}
		served := false
		for begun := time.Now(); !served && time.Since(begun) < 30*time.Second; time.Sleep(repeatPause) {
			served = w.forward(deadly).ended
		}
		assert.True(t, served, "the request is never run again")
		assert.Equal(t, w.forward(deadly).body.String(), wholeText)
	})
	t.Run("guards against refusing the other requests", func(t *testing.T) {
		w := newLargePool(t, 12, stream)
		w.replies = []reply{w.endsReplica, w.endsReplica, whole}
		w.forward(deadly)
		w.forward(deadly)
		to := w.forward(zinniapond.Request{Body: []byte("other")})
		assert.Equal(t, to.body.String(), wholeText)
	})
	t.Run("guards against blaming a request whose replica goes on", func(t *testing.T) {
		w := newLargePool(t, 12, stream, failsAfterSend)
		for range 5 {
			w.forward(deadly)
		}
		assert.Equal(t, len(w.sent), 5)
	})
	t.Run("guards against blaming a request whose replica was leaving", func(t *testing.T) {
		w := newLargePool(t, 12, stream)
		w.replies = []reply{func(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			for i := range w.list {
				if w.list[i].ID == q.Replica.ID {
					w.list[i].State = zinniapond.BackendLeaving
				}
			}
			assert.NoError(t, w.update())
			return w.endsReplica(q)
		}}
		for range 4 {
			w.forward(deadly)
		}
		assert.Equal(t, len(w.sent), 4)
	})
	inBubble(t, "guards against a request that is known by its conversation and not by its input", func(t *testing.T) {
		w := newLargePool(t, 12, zinniapond.Route{Kind: zinniapond.RequestStream, Retained: true})
		w.replies = []reply{w.endsReplica}
		for i := range 4 {
			q := deadly
			q.Program, q.PreviousTurn = zinniapond.ProgramID(fmt.Sprint("p", i)), "t"
			w.turns.chain = []zinniapond.Turn{{ID: "t", Input: []byte(q.Program)}}
			w.forward(q)
			time.Sleep(repeatPause)
		}
		assert.Equal(t, len(w.sent), 2)
	})
	t.Run("guards against suspects that follow each other to the next replica", func(t *testing.T) {
		w := newLargePool(t, 12, stream)
		lost := zinniapond.Backend{Pool: "pool", ID: "lost", Address: netip.MustParseAddrPort("10.9.9.9:80")}
		w.replies = []reply{whole}
		chosen := make(map[string]bool)
		p, err := w.pool("pool")
		assert.NoError(t, err)
		p.router = &least.Router{} // sends all of them to the same idle replica
		p.router.Update(time.Now(), w.list)
		for i := range 6 {
			q := zinniapond.Request{Body: []byte(fmt.Sprint("input ", i))}
			w.Blame.RecordEnding(time.Now(), lost, digest(&q, "pool"))
			w.forward(q)
			replica := w.sent[len(w.sent)-1].Replica
			chosen[replica.ID] = true
			p.beginSuspect(replica.Address) // goes on
		}
		assert.Equal(t, len(chosen), 6)
	})
	t.Run("guards against losing most of a pool to requests of which each is another one", func(t *testing.T) {
		w := newLargePool(t, 12, stream)
		for i := range 7 {
			q := zinniapond.Request{Body: []byte(fmt.Sprint("input ", i))}
			w.Blame.RecordEnding(time.Now(), w.list[i], digest(&q, "pool"))
		}
		w.replies = []reply{whole}
		to := w.forward(zinniapond.Request{Body: []byte("input 1")})
		assert.ErrorIs(t, to.refused, zinniapond.ErrOverload)
		assert.Equal(t, w.forward(zinniapond.Request{Body: []byte("new")}).body.String(), wholeText)
	})
	t.Run("guards against a pool with one replica that never serves again", func(t *testing.T) {
		w := newLargePool(t, 1, stream)
		w.replies = []reply{w.endsReplica, whole}
		w.forward(deadly)
		assert.Equal(t, w.forward(deadly).body.String(), wholeText)
	})
}

func TestEndedReplicas(t *testing.T) {
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	whole := answersWith(200, "answer", false, nil)
	refused := func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
		return nil, zinniapond.Join(zinniapond.ErrNotSent, zinniapond.ErrUnavailable)
	}
	misdirected := func(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
		r, err := refusesRequest(q)
		r.Misdirected = true
		return r, err
	}
	for name, ended := range map[string]reply{"refuses connections": refused, "has another one at its address": misdirected} {
		t.Run("guards against requests that each find out that a replica "+name, func(t *testing.T) {
			w := newLargePool(t, 4, safe)
			w.replies = []reply{func(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
				if q.Replica.ID == "i-2" {
					return ended(q)
				}
				return whole(q)
			}}
			for range 20 {
				assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
			}
			assert.Equal(t, len(w.sent), 21)
		})
	}
	t.Run("guards against a replica that only other hosts know to have ended", func(t *testing.T) {
		w := newLargePool(t, 4, safe, whole)
		w.applyEndings(time.Now(), []zinniapond.Ending{{Pool: "pool", Replica: w.list[2].Address, ID: w.list[2].ID}})
		for range 12 {
			w.forward(zinniapond.Request{})
		}
		for _, s := range w.sent {
			assert.True(t, s.Replica.ID != w.list[2].ID, "the replica was tried")
		}
	})
	t.Run("guards against leaving out the next replica at the address", func(t *testing.T) {
		w := newLargePool(t, 1, safe, whole)
		w.applyEndings(time.Now(), []zinniapond.Ending{{Pool: "pool", Replica: w.list[0].Address, ID: "earlier"}})
		p, err := w.pool("pool")
		assert.NoError(t, err)
		assert.True(t, !p.doubts.Has(time.Now(), w.list[0]), "the next replica is doubtful")
	})
}
