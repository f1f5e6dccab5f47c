package runner

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// setVersions gives the replicas a, b and so on the given software versions.
func (w *testRunner) setVersions(t *testing.T, versions ...zinniapond.SoftwareVersion) {
	t.Helper()
	base := w.list[0]
	w.list = nil
	for i, v := range versions {
		base.ID, base.Address, base.Version = fmt.Sprintf("replica-%d", i), netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80), v
		w.list = append(w.list, base)
	}
	assert.NoError(t, w.update())
}

// sentVersions returns the versions of the replicas that got a request, in order.
func (w *testRunner) sentVersions() []zinniapond.SoftwareVersion {
	var list []zinniapond.SoftwareVersion
	for _, s := range w.sent {
		list = append(list, s.Replica.Version)
	}
	return list
}

func TestVersions(t *testing.T) {
	resumable := zinniapond.Route{Kind: zinniapond.RequestStream, MaxAttempts: 2, Resumable: true}
	rest := "id: 2\ndata: two\n\n"
	t.Run("guards against a stream that goes on at another software version within one answer", func(t *testing.T) {
		w := newTestRunner(t, resumable, answersWith(200, first, true, errBroken), answersWith(200, rest, true, nil))
		w.setVersions(t, "v1", "v2", "v3", "v1", "v2", "v3")
		to := w.forward(zinniapond.Request{ClientTimeout: time.Second})
		assert.Equal(t, to.body.String(), wholeText)
		sent := w.sentVersions()
		assert.Equal(t, len(sent), 2)
		assert.Equal(t, sent[1], sent[0])
	})
}
