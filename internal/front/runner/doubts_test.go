package runner

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/backend/listed"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// useRoster replaces the fake roster by one that has the list from the control log.
func (w *testRunner) useRoster(t *testing.T) {
	t.Helper()
	w.view.Backends, w.view.BackendsIndex = w.list, 1
	settings := &zinniapond.Settings{}
	settings.Platform.RefreshInterval = time.Hour
	roster := &listed.Roster{Settings: settings, Directory: w, Logger: hclog.NewNullLogger(), Clock: time.Now}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- roster.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NoError(t, <-done)
	})
	assert.Eventually(t, time.Second, "the list is read", func() bool { return len(roster.Backends()) == len(w.list) })
	w.Roster = roster
	assert.NoError(t, w.update())
}

// refusesAndCloses refuses a request and closes the connection.
func refusesAndCloses(q zinniapond.ReplicaRequest) (*zinniapond.ReplicaAnswer, error) {
	r, err := refusesRequest(q)
	r.ClosesConnection = true
	return r, err
}

func TestDoubtfulReplicas(t *testing.T) {
	safe := zinniapond.Route{Kind: zinniapond.RequestSafe, MaxAttempts: 2}
	whole := answersWith(200, "answer", false, nil)
	t.Run("guards against an idle replica out of use after a refusal that closed its connection", func(t *testing.T) {
		w := newTestRunner(t, safe, refusesAndCloses, whole)
		w.list = w.list[:1]
		w.useRoster(t)
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
		assert.NoError(t, w.update())
		assert.Equal(t, w.forward(zinniapond.Request{}).body.String(), "answer")
	})
	t.Run("guards against trying a replica that leaves before the others", func(t *testing.T) {
		w := newTestRunner(t, safe, refusesAndCloses, whole)
		w.useRoster(t)
		w.forward(zinniapond.Request{})
		refused := w.sent[0].Replica
		for range 8 {
			w.forward(zinniapond.Request{})
		}
		for _, s := range w.sent[1:] {
			assert.True(t, s.Replica.ID != refused.ID, "the replica was tried again at once")
		}
	})
	t.Run("guards against a doubt that outlasts the list", func(t *testing.T) {
		w := newTestRunner(t, safe, refusesAndCloses, whole)
		w.useRoster(t)
		w.forward(zinniapond.Request{})
		refused, used := w.sent[0].Replica, false
		p, err := w.pool("pool")
		assert.NoError(t, err)
		for range 3 {
			c, ok := p.pickReplica(time.Now().Add(refusalDoubt), zinniapond.PickInfo{}, func(zinniapond.Backend) bool { return true })
			used = used || ok && c.ID == refused.ID
		}
		assert.True(t, used, "the replica is out of use")
	})
}
