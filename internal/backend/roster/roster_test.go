package roster

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var start = time.Unix(1_000_000, 0)

func entry(port int, state string) string {
	return fmt.Sprintf(`{"address":"10.0.0.1:%d","kind":"engine","pool":"m","dataCentre":"nord","state":%q}`, port, state)
}

func list(sequence int, entries ...string) string {
	s := ""
	for i, e := range entries {
		if i > 0 {
			s += ","
		}
		s += e
	}
	return fmt.Sprintf(`{"sequence":%d,"backends":[%s]}`, sequence, s)
}

// applyText decodes a list and applies it, as Run does.
func applyText(r *Roster, now time.Time, text string) error {
	sequence, list, err := decode([]byte(text))
	if err != nil {
		return err
	}
	return r.apply(now, sequence, list)
}

func states(r *Roster) string {
	s := ""
	for _, b := range r.Backends() {
		s += fmt.Sprintf("%d %s;", b.Address.Port(), b.State)
	}
	return s
}

func TestApply(t *testing.T) {
	t.Run("guards against going back to an older list", func(t *testing.T) {
		r := &Roster{}
		assert.NoError(t, applyText(r, start, list(5, entry(2, "leaving"), entry(1, "live"))))
		err := applyText(r, start, list(4, entry(2, "live")))
		assert.Contains(t, err.Error(), "older")
		assert.Equal(t, states(r), "1 live;2 leaving;")
	})
	t.Run("guards against listing a server as live that reports that it is leaving", func(t *testing.T) {
		r := &Roster{}
		assert.NoError(t, applyText(r, start, list(1, entry(1, "live"), entry(2, "live"))))
		changed := r.Changed()
		r.SetState(start, netip.MustParseAddrPort("10.0.0.1:1"), zinniapond.BackendLeaving)
		<-changed
		assert.NoError(t, applyText(r, start.Add(markDuration-1), list(2, entry(1, "live"), entry(2, "live"))))
		assert.Equal(t, states(r), "1 leaving;2 live;")
		assert.NoError(t, applyText(r, start.Add(markDuration), list(2, entry(1, "live"), entry(2, "live"))))
		assert.Equal(t, states(r), "1 live;2 live;")
	})
	t.Run("guards against a leaving server that cannot report itself as live again", func(t *testing.T) {
		r := &Roster{}
		assert.NoError(t, applyText(r, start, list(1, entry(1, "live"))))
		r.SetState(start, netip.MustParseAddrPort("10.0.0.1:1"), zinniapond.BackendLeaving)
		r.SetState(start, netip.MustParseAddrPort("10.0.0.1:1"), zinniapond.BackendLive)
		assert.Equal(t, states(r), "1 live;")
	})
	t.Run("guards against notifying readers of an unchanged list", func(t *testing.T) {
		r := &Roster{}
		assert.NoError(t, applyText(r, start, list(1, entry(1, "live"))))
		changed := r.Changed()
		assert.NoError(t, applyText(r, start, list(2, entry(1, "live"))))
		select {
		case <-changed:
			t.Fatal("notified without a change")
		default:
		}
	})
}

func TestDecode(t *testing.T) {
	for name, text := range map[string]string{
		"no JSON":            "<html>",
		"a truncated list":   list(1, entry(1, "live"))[:40],
		"two lists":          list(1) + list(2),
		"no sequence":        `{"backends":[]}`,
		"no list":            `{"sequence":1}`,
		"no address":         list(1, `{"kind":"engine","pool":"m"}`),
		"a bad address":      list(1, `{"address":"host:1","kind":"engine","pool":"m"}`),
		"an address twice":   list(1, entry(1, "live"), entry(1, "leaving")),
		"an unknown kind":    list(1, `{"address":"10.0.0.1:1","kind":"x","pool":"m"}`),
		"no pool":            list(1, `{"address":"10.0.0.1:1","kind":"engine"}`),
		"an unknown state":   list(1, entry(1, "dead")),
		"a negative version": `{"sequence":-1,"backends":[]}`,
	} {
		t.Run("guards against accepting "+name+" as a list", func(t *testing.T) {
			_, _, err := decode([]byte(text))
			assert.True(t, err != nil, "no error")
		})
	}
}

func TestRun(t *testing.T) {
	run := func(t *testing.T, from string) *Roster {
		r := &Roster{ListLocation: from, RefreshInterval: 5 * time.Millisecond, Logger: hclog.NewNullLogger(), Clock: time.Now}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- r.Run(ctx) }()
		t.Cleanup(func() {
			cancel()
			assert.NoError(t, <-ended)
		})
		return r
	}
	t.Run("guards against losing the list while its file is being written", func(t *testing.T) {
		path := filepath.Join(t.TempDir(), "list")
		assert.NoError(t, os.WriteFile(path, []byte(list(1, entry(1, "live"))), 0o600))
		r := run(t, path)
		assert.Eventually(t, time.Second, "first list", func() bool { return states(r) == "1 live;" })
		assert.NoError(t, os.WriteFile(path, []byte(`{"sequence":2,`), 0o600))
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, states(r), "1 live;")
		assert.NoError(t, os.WriteFile(path, []byte(list(3, entry(1, "leaving"))), 0o600))
		assert.Eventually(t, time.Second, "third list", func() bool { return states(r) == "1 leaving;" })
	})
	t.Run("guards against losing the list while its server fails", func(t *testing.T) {
		var status atomic.Int64
		status.Store(200)
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(int(status.Load()))
			_, _ = fmt.Fprint(w, list(1, entry(1, "live")))
		}))
		defer s.Close()
		r := run(t, s.URL)
		assert.Eventually(t, time.Second, "first list", func() bool { return states(r) == "1 live;" })
		status.Store(500)
		time.Sleep(20 * time.Millisecond)
		assert.Equal(t, states(r), "1 live;")
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(list(3, entry(1, "live"), entry(2, "leaving"))))
	f.Add([]byte(`{"sequence":1,"backends":[{"address":"[::1]:8","kind":"service","pool":"s","fences":true}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		sequence, list, err := decode(text)
		if err != nil {
			return
		}
		if sequence == 0 {
			t.Fatal("sequence 0")
		}
		for i, b := range list {
			if !b.Address.IsValid() || b.Pool == "" || b.State == "" || (i > 0 && list[i-1].Address.Compare(b.Address) >= 0) {
				t.Fatalf("entry %d: %+v", i, b)
			}
		}
	})
}
