package logs

import (
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var at = time.Date(2026, 8, 18, 22, 6, 12, 143e6, time.UTC)

// write returns the line that a host writes.
func write(asJSON bool, module, message string, fields ...any) string {
	var out bytes.Buffer
	hclog.New(&hclog.LoggerOptions{Name: module, Output: &out, JSONFormat: asJSON, TimeFn: func() time.Time { return at }}).Info(message, fields...)
	return strings.TrimSuffix(out.String(), "\n")
}

func assertParsed(t *testing.T, text string, want zinniapond.LogEvent) {
	t.Helper()
	got, err := Parser{}.Parse([]byte(text))
	assert.NoError(t, err)
	assert.Equal(t, got, want)
}

func assertMalformed(t *testing.T, text string) {
	t.Helper()
	_, err := Parser{}.Parse([]byte(text))
	assert.ErrorIs(t, err, zinniapond.ErrMalformed)
	assert.True(t, len(text) < 4 || !strings.Contains(err.Error(), text), "the error has the line: %v", err)
}

func TestFormats(t *testing.T) {
	for _, f := range []struct {
		name   string
		asJSON bool
	}{{"text", false}, {"JSON", true}} {
		t.Run("guards against fields that are lost in "+f.name, func(t *testing.T) {
			assertParsed(t, write(f.asJSON, "front-1.a.front", "not served", "id", "x", "program", `a "b" \ c`, "route", "", "version", 14, "restored", 21351569*time.Nanosecond,
				"limited", 3*time.Second, "took", 416*time.Microsecond, "tried", "i-1@10.0.0.1:80:read answer: unexpected EOF;", "begun", false,
				"error", errors.New(`outcome unknown; said "no"`), "pool", zinniapond.PoolName("models"), "tokens", time.Second),
				zinniapond.LogEvent{
					Kind: zinniapond.LogNotServed, At: at, Host: "front-1.a", Requests: 1, Program: `a "b" \ c`, Pool: "models",
					Restored: 21351569, Tokens: time.Second, Permits: 2 * time.Second,
					Replica: netip.MustParseAddrPort("10.0.0.1:80"), Tried: "i-1@10.0.0.1:80:read answer: unexpected EOF;", Reason: `outcome unknown; said "no"`,
				})
		})
		t.Run("guards against rejected keys that are not counted in "+f.name, func(t *testing.T) {
			assertParsed(t, write(f.asJSON, "h.front", "key rejected", "route", "u", "present", true, "version", 2, "others", 41),
				zinniapond.LogEvent{Kind: zinniapond.LogKeysRejected, At: at, Host: "h", Requests: 42, Route: "u"})
		})
		t.Run("guards against a stop that is not seen in "+f.name, func(t *testing.T) {
			assertParsed(t, write(f.asJSON, "h", "stopping", "signal", "terminated", "drain", time.Second),
				zinniapond.LogEvent{Kind: zinniapond.LogHostStopping, At: at, Host: "h", Requests: 1})
			assertParsed(t, write(f.asJSON, "h", "host stopped"), zinniapond.LogEvent{Kind: zinniapond.LogHostStopped, At: at, Host: "h", Requests: 1})
		})
	}
}

func TestLines(t *testing.T) {
	t.Run("guards against lines without time, host, pool or tokens that are not counted", func(t *testing.T) {
		assertParsed(t, `[INFO]  front: served late: id=9e8e3abb3cfafc6d program=84ff3b84e69045 route=r-9ddkawn target=250ms restored=8.4ms first=302ms kept=6.7ms limited=1ms took=524ms tried=i-3784a63489@10.3.64.29:8488:done;`,
			zinniapond.LogEvent{
				Kind: zinniapond.LogServedLate, Requests: 1, Program: "84ff3b84e69045", Route: "r-9ddkawn", Restored: 8400 * time.Microsecond,
				Replica: netip.MustParseAddrPort("10.3.64.29:8488"), First: 302 * time.Millisecond, Tokens: time.Millisecond, Tried: "i-3784a63489@10.3.64.29:8488:done;",
			})
		assertParsed(t, `[INFO]  front: not served: id=3bed3d77c9e937ab program= route="" version=14 restored=0s limited=0s took=416ns tried="" begun=false error="find route of host/path in version 14: not found"`,
			zinniapond.LogEvent{Kind: zinniapond.LogNotServed, Requests: 1, Reason: "find route of host/path in version 14: not found"})
	})
	t.Run("guards against the replica of a later attempt, and against IPv6 addresses that are not seen", func(t *testing.T) {
		for tried, want := range map[string]netip.AddrPort{
			"i-1@[2001:db8::1]:80:refused;i-2@10.0.0.2:80:done;": netip.MustParseAddrPort("[2001:db8::1]:80"),
			"i-1@10.0.0.1:80:a; b;i-2@10.0.0.2:80:done;":         netip.MustParseAddrPort("10.0.0.1:80"),
			"": {},
		} {
			e, err := Parser{}.Parse([]byte(write(false, "h.front", "not served", "tried", tried)))
			assert.NoError(t, err)
			assert.Equal(t, e.Replica, want)
		}
	})
	t.Run("guards against other lines that count as malformed", func(t *testing.T) {
		assertParsed(t, write(false, "h.pace", "replica ramps up", "replicas", []string{"a b"}), zinniapond.LogEvent{At: at, Host: "h", Requests: 1})
		assertParsed(t, "[WARN]  log lines dropped: count=3", zinniapond.LogEvent{Requests: 1})
	})
	t.Run("guards against malformed lines that are taken for requests", func(t *testing.T) {
		for _, text := range []string{
			"", "x", "panic: runtime error", "goroutine 1 [running]:", "yesterday [INFO]  h.front: not served: id=1", "[NOISE] h.front: not served: id=1",
			"[INFO]  h.front: not served: id=1 error=\"unfinished", "[INFO]  h.front: not served: id=1 restored=soon", "[INFO]  h.front: not served: noise",
			"[INFO]  h.front: key rejected: others=-3", "{", "{}", "[]", `{"@message":"not served","restored":{}}`, `{"@message":"not served","@timestamp":"now"}`, "[INFO]  h.front: not served: tried=i-1@999.0.0.1:80:done;",
		} {
			assertMalformed(t, text)
		}
	})
	t.Run("guards against a panic at a line that is cut off anywhere", func(t *testing.T) {
		for _, asJSON := range []bool{false, true} {
			text := write(asJSON, "h.front", "not served", "program", `a "b" é`, "restored", time.Second, "error", `read "x": not found`)
			for n := range len(text) {
				_, err := Parser{}.Parse([]byte(text[:n]))
				assert.True(t, err == nil || errors.Is(err, zinniapond.ErrMalformed), "%d bytes: %v", n, err)
			}
		}
	})
}
