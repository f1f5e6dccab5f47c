package status

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/inject"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var now = time.Unix(1000, 0).UTC()

func newOverview() zinniapond.HostOverview {
	ms := func(n int) zinniapond.Milliseconds {
		return zinniapond.Milliseconds(n) * zinniapond.Milliseconds(time.Millisecond)
	}
	return zinniapond.HostOverview{
		Host: "front-1", At: now,
		Configuration: zinniapond.ConfigurationOverview{Version: 7, Plans: 81, ConfirmedAge: ms(120), KeyLease: ms(4500), KeyLeaseValid: true},
		Limits:        zinniapond.LimitOverview{AtLimit: []zinniapond.PlanName{"équipe rouge"}, AtLimitCount: 3, Counted: 9, Counter: netip.MustParseAddrPort("10.0.0.1:7000")},
		Queues:        []zinniapond.QueueOverview{{Pool: "models", Length: 4, LongestWait: ms(350), FreedPerS: 21.25, Refused: 5, Expired: 6}},
		RampUps:       []zinniapond.RampUp{{Replica: netip.MustParseAddrPort("10.0.0.9:80"), ID: "i-9", Pool: "models", Bound: 3, Load: 2, Since: now.Add(-1500 * time.Millisecond)}},
	}
}

// show runs the command against a stand-in for a host that answers with the given text.
func show(t *testing.T, answer string, change func(*Options)) (string, error) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Equal(t, r.URL.Path, "/debug/vars")
		_, _ = io.WriteString(w, answer)
	}))
	defer server.Close()
	o := &Options{Metrics: netip.MustParseAddrPort(server.Listener.Addr().String())}
	if change != nil {
		change(o)
	}
	var out bytes.Buffer
	f := inject.New()
	f.Out = &out
	err := o.Run(context.Background(), f)
	return out.String(), err
}

func export(t *testing.T, h zinniapond.HostOverview) string {
	t.Helper()
	text, err := json.Marshal(h)
	assert.NoError(t, err)
	return fmt.Sprintf(`{"cmdline":["zinniapond"],"overview":%s}`, text)
}

func TestOverview(t *testing.T) {
	asJSON := func(o *Options) { o.JSON = true }
	check := func(o *Options) { o.Check = true }
	t.Run("guards against a part of the overview that is not printed", func(t *testing.T) {
		text, err := show(t, export(t, newOverview()), nil)
		assert.NoError(t, err)
		assert.Equal(t, text, strings.TrimPrefix(`
host front-1 at 1970-01-01T00:16:40Z
configuration: version 7, plans 81, confirmed 120ms ago; lease on keys: valid for 4.38s
request limits: 10.0.0.1:7000 counts, plans counted here 9, at their limits 3
AT LIMIT équipe rouge
AT LIMIT and 2 more
POOL              WAITING  LONGEST WAIT  FREED/S  REFUSED  EXPIRED
models            4        350ms         21.2     5        6
REPLICA RAMPS UP  ID       POOL          BOUND    LOAD     SINCE
10.0.0.9:80       i-9      models        3        2        1.5s
`, "\n"))
	})
	t.Run("guards against JSON that differs from that of the host", func(t *testing.T) {
		text, err := show(t, `{"overview":{"host":"a","later":1}}`, asJSON)
		assert.NoError(t, err)
		assert.Equal(t, text, `{"host":"a","later":1}`+"\n")
	})
	t.Run("guards against an expired lease that is not noticed", func(t *testing.T) {
		h := newOverview()
		h.Configuration.KeyLeaseValid = false
		text, err := show(t, export(t, h), check)
		assert.Contains(t, text, "lease on keys: EXPIRED")
		assert.True(t, err != nil && strings.Contains(err.Error(), "lease on keys of front-1 has expired"), "error %v", err)
	})
	t.Run("guards against a failed check of a healthy host, or of one without keys", func(t *testing.T) {
		h := newOverview()
		_, err := show(t, export(t, h), check)
		assert.NoError(t, err)
		h.Configuration.KeyLeaseValid, h.Configuration.Plans = false, 0
		_, err = show(t, export(t, h), check)
		assert.NoError(t, err)
	})
	t.Run("guards against an empty overview of a host that exports none", func(t *testing.T) {
		_, err := show(t, `{"zinniapond":{}}`, nil)
		assert.ErrorIs(t, err, zinniapond.ErrNotFound)
	})
}
