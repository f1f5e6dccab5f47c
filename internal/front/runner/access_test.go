package runner

import (
	"bytes"
	"crypto/sha256"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	blueKey = "blue-key"
	redKey  = "red-key"
)

func planWithKeys(name zinniapond.PlanName, keys ...string) zinniapond.Plan {
	p := zinniapond.Plan{Name: name}
	for _, key := range keys {
		p.Customers = append(p.Customers, zinniapond.Customer{KeyHash: sha256.Sum256([]byte(key))})
	}
	return p
}

// setPlans puts a configuration with the given plans in force.
func (w *testRunner) setPlans(plans ...zinniapond.Plan) {
	next := *w.view.Routing
	next.Version++
	next.HasPlans, next.Plans = true, plans
	w.view.Routing = &next
}

// newKeyedRunner returns a runner with the plans blue and red.
func newKeyedRunner(t *testing.T, route zinniapond.Route, replies ...reply) *testRunner {
	t.Helper()
	w := newTestRunner(t, route, replies...)
	w.Access.RevocationTime, w.MaxApplyTime = 5*time.Second, 2500*time.Millisecond
	w.setPlans(planWithKeys("blue", blueKey), planWithKeys("red", redKey))
	return w
}

// withKey returns a request of a client with the given key.
func withKey(key string) zinniapond.Request {
	return zinniapond.Request{
		KeyHash: sha256.Sum256([]byte(key)), Program: "p",
		Credentials: []zinniapond.HeaderField{{Name: "Authorization", Value: "Bearer " + key}},
	}
}

func TestEarlyRequest(t *testing.T) {
	t.Run("guards against a request that ends the host because it comes before the start of the runner", func(t *testing.T) {
		w := newKeyedRunner(t, zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}, refusesRequest)
		r := &Runner{Directory: w, Access: w.Access, MaxApplyTime: w.MaxApplyTime, Logger: hclog.NewNullLogger(), Clock: time.Now}
		q := withKey(blueKey)
		q.Host, q.Path = "h", "/r/x"
		assert.NoError(t, r.Authenticate(time.Now(), q))
		<-r.configured
	})
}

func TestAccess(t *testing.T) {
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	turn := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 1, Retained: true, Retention: time.Minute}
	whole := answersWith(200, "answer", false, nil)
	stream := answersWith(200, wholeText, true, nil)
	refusesWith := func(t *testing.T, w *testRunner, key string, want error) {
		t.Helper()
		assert.ErrorIs(t, w.forward(withKey(key)).refused, want)
		assert.Equal(t, len(w.sent), 0)
		q := withKey(key)
		q.Host, q.Path = "h", "/r/x"
		assert.ErrorIs(t, w.Authenticate(time.Now(), q), want)
	}
	t.Run("guards against running a request with an unknown key", func(t *testing.T) {
		refusesWith(t, newKeyedRunner(t, safe, whole), "other", zinniapond.ErrInvalidKey)
	})
	t.Run("guards against running a request without a key", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		assert.ErrorIs(t, w.forward(zinniapond.Request{}).refused, zinniapond.ErrInvalidKey)
		assert.Equal(t, len(w.sent), 0)
	})
	t.Run("guards against a key that leaves the host", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		assert.True(t, w.forward(withKey(blueKey)).ended, "the answer is not complete")
		assert.Equal(t, w.sent[0].Plan, zinniapond.PlanName("blue"))
		assert.Equal(t, len(w.sent[0].Request.Fields), 0)
	})
	t.Run("guards against other header fields for a deployment without plans", func(t *testing.T) {
		w := newTestRunner(t, safe, whole)
		assert.True(t, w.forward(withKey(blueKey)).ended, "the answer is not complete")
		assert.Equal(t, w.sent[0].Plan, zinniapond.PlanName(""))
		assert.Equal(t, w.sent[0].Request.Fields[0].Value, "Bearer "+blueKey)
	})
	t.Run("guards against a public route that needs a key", func(t *testing.T) {
		public := safe
		public.Public = true
		w := newKeyedRunner(t, public, whole)
		w.confirmedAge = time.Hour
		assert.True(t, w.forward(withKey("other")).ended, "the answer is not complete")
		assert.Equal(t, w.sent[0].Plan, zinniapond.PlanName(""))
		assert.Equal(t, len(w.sent[0].Request.Fields), 0)
	})
	t.Run("guards against a revoked key on a host that cannot learn of it", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		w.confirmedAge = 5 * time.Second
		refusesWith(t, w, blueKey, zinniapond.ErrStaleConfig)
		assert.True(t, !w.Ready(), "the host is ready")
	})
	t.Run("guards against refusing known keys while the host still has to serve", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		w.confirmedAge = 3 * time.Second
		assert.True(t, w.forward(withKey(blueKey)).ended, "the answer is not complete")
		assert.True(t, w.Ready(), "the host is not ready")
	})
	t.Run("guards against a final refusal of a key that the host has not learned of", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		w.confirmedAge = 3 * time.Second
		refusesWith(t, w, "new", zinniapond.ErrStaleConfig)
	})
	t.Run("guards against a key that is revoked while the request connects or the process is suspended", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		w.confirmedAge = 3 * time.Second
		confirmedAt := time.Now().Add(-w.confirmedAge)
		assert.True(t, w.forward(withKey(blueKey)).ended, "the answer is not complete")
		until := w.sent[0].SendUntil.Sub(confirmedAt)
		assert.True(t, until >= 4500*time.Millisecond && until < 4900*time.Millisecond, "to be sent until %s after the configuration was known to be current", until)
	})
	t.Run("guards against sending a request whose key could not be confirmed in time", func(t *testing.T) {
		connectsLate := func(zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			return nil, zinniapond.Join(zinniapond.ErrNotSent, zinniapond.ErrPermitExpired)
		}
		w := newKeyedRunner(t, safe)
		w.replies = []reply{func(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			w.confirmedAge = 5 * time.Second
			return connectsLate(q)
		}}
		assert.ErrorIs(t, w.forward(withKey(blueKey)).refused, zinniapond.ErrStaleConfig)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against a table that is older than the instant at which it was known to be current", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		assert.NoError(t, w.update())
		w.setPlans(planWithKeys("red", redKey))
		refusesWith(t, w, blueKey, zinniapond.ErrInvalidKey)
	})
	t.Run("guards against sending a request whose key was revoked while it waited", func(t *testing.T) {
		var w *testRunner
		w = newKeyedRunner(t, safe, func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			w.setPlans(planWithKeys("red", redKey))
			return refusesRequest(s)
		}, whole)
		assert.ErrorIs(t, w.forward(withKey(blueKey)).refused, zinniapond.ErrInvalidKey)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against a key that moves to another plan within a request", func(t *testing.T) {
		var w *testRunner
		w = newKeyedRunner(t, safe, func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			w.setPlans(planWithKeys("red", redKey, blueKey))
			return refusesRequest(s)
		}, whole)
		assert.ErrorIs(t, w.forward(withKey(blueKey)).refused, zinniapond.ErrStaleConfig)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against sending a request whose key was revoked while it waited for the permission of a replica", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		w.Throttle = &fakeThrottle{limited: map[string]bool{"a": true, "b": true, "c": true}, grant: func(b zinniapond.Backend, maxWait time.Duration) (zinniapond.Permit, error) {
			w.setPlans(planWithKeys("red", redKey))
			return grantNow(b, maxWait)
		}}
		assert.ErrorIs(t, w.forward(withKey(blueKey)).refused, zinniapond.ErrInvalidKey)
		assert.Equal(t, len(w.sent), 0)
	})
	t.Run("guards against identifiers without a plan, and a key that leaves the host, if keys are introduced while a request waits", func(t *testing.T) {
		var w *testRunner
		w = newTestRunner(t, safe, func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			w.setPlans(planWithKeys("blue", blueKey))
			return refusesRequest(s)
		}, whole)
		assert.ErrorIs(t, w.forward(withKey(blueKey)).refused, zinniapond.ErrStaleConfig)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against a final refusal of a request without a key if keys are introduced while it waits", func(t *testing.T) {
		var w *testRunner
		w = newTestRunner(t, safe, func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			w.setPlans(planWithKeys("blue", blueKey))
			return refusesRequest(s)
		}, whole)
		assert.ErrorIs(t, w.forward(zinniapond.Request{}).refused, zinniapond.ErrStaleConfig)
	})
	t.Run("guards against a final refusal after an attempt that may have run", func(t *testing.T) {
		var w *testRunner
		w = newKeyedRunner(t, safe, func(s zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
			w.setPlans(planWithKeys("red", redKey))
			return failsAfterSend(s)
		}, whole)
		assert.ErrorIs(t, w.forward(withKey(blueKey)).refused, zinniapond.ErrOutcomeUnknown)
		assert.Equal(t, len(w.sent), 1)
	})
	t.Run("guards against equal identifiers of two plans that meet", func(t *testing.T) {
		w := newKeyedRunner(t, turn, stream)
		for _, key := range []string{blueKey, redKey} {
			q := withKey(key)
			q.PreviousTurn, q.TokenBudget, q.MaxGenerated = "t", 100, 1
			w.turns.chain = []zinniapond.Turn{{ID: "t", Program: "p", Input: []byte("in")}}
			assert.True(t, w.forward(q).ended, "the answer is not complete")
		}
		assert.True(t, w.turns.asked[0] != w.turns.asked[1], "both read turn %s", w.turns.asked[0])
		kept := w.turns.kept
		assert.True(t, kept[0].ID != kept[1].ID && kept[0].Program != kept[1].Program, "both stored turn %s", kept[0].ID)
	})
	t.Run("guards against a client without a key that names the turn of a plan", func(t *testing.T) {
		public := turn
		public.Public = true
		w := newKeyedRunner(t, public, stream)
		blue := (&run{plan: &zinniapond.Plan{Name: "blue"}}).scoped("t")
		w.turns.chain = []zinniapond.Turn{{ID: zinniapond.TurnID(blue), Program: "p", Input: []byte("in")}}
		w.forward(zinniapond.Request{Program: "p", PreviousTurn: zinniapond.TurnID(blue)})
		assert.Equal(t, len(w.turns.asked), 1)
		assert.True(t, w.turns.asked[0] != zinniapond.TurnID(blue), "the plan's turn is read")
	})
	t.Run("guards against requests of two plans with equal ids that are taken for one in flight at a replica", func(t *testing.T) {
		w := newKeyedRunner(t, safe, whole)
		call := func(plan zinniapond.PlanName) zinniapond.CallID {
			u := &run{Runner: w.Runner, request: &zinniapond.Request{ID: "id"}, route: &w.view.Routing.Routes[0], plan: &zinniapond.Plan{Name: plan}}
			return u.routingNeed().Call
		}
		assert.True(t, call("blue") != call("red"), "both are call %s", call("red"))
	})
	t.Run("guards against a request that is blamed for the same one of another plan", func(t *testing.T) {
		q := withKey(blueKey)
		blue := &run{request: &q, plan: &zinniapond.Plan{Name: "blue"}}
		red := &run{request: &q, plan: &zinniapond.Plan{Name: "red"}}
		assert.True(t, digest(&q, blue.scoped("pool")) != digest(&q, red.scoped("pool")), "equal digests")
	})
}

func TestRejectedKeys(t *testing.T) {
	var lines bytes.Buffer
	w := newKeyedRunner(t, zinniapond.Route{Kind: zinniapond.RequestSafe}, answersWith(200, "answer", false, nil))
	w.Logger = hclog.New(&hclog.LoggerOptions{Output: &lines})
	now := time.Now()
	reject := func(t *testing.T, at time.Time, key string) {
		t.Helper()
		q := withKey(key)
		q.Host, q.Path = "h", "/r/x"
		assert.ErrorIs(t, w.Authenticate(at, q), zinniapond.ErrInvalidKey)
	}
	count := func() int { return strings.Count(lines.String(), "key rejected") }
	t.Run("guards against a line for each rejected key", func(t *testing.T) {
		for i := range 100 {
			reject(t, now.Add(time.Duration(i)*time.Second/100), "wrong-key")
		}
		assert.Equal(t, count(), 1)
	})
	t.Run("guards against rejections that are not noticed after a quiet time", func(t *testing.T) {
		w.confirmedAge = -2 * rejectionPause
		reject(t, now.Add(2*rejectionPause), "wrong-key")
		assert.Equal(t, count(), 2)
	})
	t.Run("guards against a key in the log", func(t *testing.T) {
		assert.True(t, !strings.Contains(lines.String(), "wrong-key"), "logged %s", lines.String())
	})
}
