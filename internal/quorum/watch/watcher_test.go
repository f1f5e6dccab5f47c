package watch

import (
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func newWatcher() *Watcher {
	w := &Watcher{
		Settings: &zinniapond.Settings{Host: "front", Control: zinniapond.ControlSettings{LeaseDuration: time.Second}},
		Clock:    time.Now, Logger: hclog.NewNullLogger(),
	}
	w.initialise()
	return w
}

// applyRecords applies records with the given indexes from a leader that has
// committed the records up to commitIndex.
func applyRecords(t *testing.T, w *Watcher, commitIndex zinniapond.Index, indexes ...zinniapond.Index) {
	t.Helper()
	reply := zinniapond.FetchReply{Accepted: true, CommittedOwnTerm: true, CommitIndex: commitIndex}
	for _, i := range indexes {
		reply.Entries = append(reply.Entries, zinniapond.LogEntry{Index: i, Term: 1})
	}
	assert.NoError(t, w.applyReply(time.Unix(1000, 0), w.nextRequest(), reply))
}

func TestPublish(t *testing.T) {
	t.Run("guards against readers that see an early state after a restart", func(t *testing.T) {
		w := newWatcher()
		changed := w.Changed()
		applyRecords(t, w, 3, 1, 2)
		assert.Equal(t, w.View().Index, 0)
		applyRecords(t, w, 3, 3)
		assert.Equal(t, w.View().Index, 3)
		<-changed
	})
	t.Run("guards against a state that is hidden while newer records are fetched", func(t *testing.T) {
		w := newWatcher()
		applyRecords(t, w, 1, 1)
		applyRecords(t, w, 4, 2, 3)
		assert.Equal(t, w.View().Index, 3)
	})
}
