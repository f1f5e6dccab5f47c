package config

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const minimalSettings = `[node]
name = nord-1
cluster = rennbach
data-centre = nord
[listen]
callers = 127.0.0.1:8080
operators = 127.0.0.1:0
peers = 127.0.0.1:7000
streams = 127.0.0.1:7001
[control]
voters = nord-1@127.0.0.1:7000, sued-1@127.0.0.2:7000
[platform]
list = list.json
[security]
secret = secret
`

// folderWithSecret returns a folder with the secret file of minimalSettings.
func folderWithSecret(t testing.TB) string {
	dir := t.TempDir()
	assert.NoError(t, os.WriteFile(filepath.Join(dir, "secret"), []byte("0123456789abcdef\n"), 0o600))
	return dir
}

func TestParse(t *testing.T) {
	dir := folderWithSecret(t)
	file := filepath.Join(dir, "node.ini")
	t.Run("guards against an undocumented default", func(t *testing.T) {
		s, faults := (&Loader{}).Parse(file, minimalSettings)
		assert.Equal(t, faults, nil)
		assert.Equal(t, *s, zinniapond.Settings{
			File: file, Cluster: "rennbach", Host: "nord-1", DataCentre: "nord",
			Roles: []zinniapond.Role{"entry", "owner"}, DrainTimeout: 30 * time.Second,
			CallersAddress: netip.MustParseAddrPort("127.0.0.1:8080"), OperatorsAddress: netip.MustParseAddrPort("127.0.0.1:0"),
			PeersListenAddress: netip.MustParseAddrPort("127.0.0.1:7000"), StreamsListenAddress: netip.MustParseAddrPort("127.0.0.1:7001"),
			Control: zinniapond.ControlSettings{
				Voters: []zinniapond.Voter{
					{Name: "nord-1", PeersAddress: netip.MustParseAddrPort("127.0.0.1:7000")},
					{Name: "sued-1", PeersAddress: netip.MustParseAddrPort("127.0.0.2:7000")},
				},
				Shards: 64, LeaseDuration: 2500 * time.Millisecond, SessionTimeout: 4 * time.Second, LeaderTimeout: 600 * time.Millisecond,
				ElectionDelay: 300 * time.Millisecond, Replicas: 3, SnapshotRecords: 512,
			},
			Journal: zinniapond.JournalSettings{Retention: 24 * time.Hour},
			Keeper:  zinniapond.KeeperSettings{MaxLostMachines: 1, CatchUpTime: 10 * time.Second},
			Platform: zinniapond.PlatformSettings{
				ListLocation: filepath.Join(dir, "list.json"), RefreshInterval: time.Second, MaxApplyTime: 4 * time.Second, MinWeightLoadInterval: 5 * time.Second,
			},
			Security: zinniapond.SecuritySettings{Secret: []byte("0123456789abcdef")},
			Limits: zinniapond.LimitSettings{
				MaxBodyBytes: 8 << 20, MaxHeaderBytes: 64 << 10, ReadTimeout: 30 * time.Second, MaxOpenRequests: 1024,
				ProgressTimeout: 10 * time.Second, AttemptTimeout: 10 * time.Minute,
			},
			Access:   zinniapond.AccessSettings{QuotaWindow: 5 * time.Second, QuotaOverage: 0.1, QuotaSlack: 20},
			LogLevel: "info", Plugins: map[string]string{"queue": "fair", "router": "prefix"},
		})
	})
	t.Run("guards against printing credentials", func(t *testing.T) {
		s, _ := (&Loader{}).Parse(file, minimalSettings)
		for _, format := range []string{"%v", "%+v", "%#v", "%s"} {
			for _, v := range []any{s, *s, s.Security, &s.Security} {
				text := fmt.Sprintf(format, v)
				assert.True(t, !strings.Contains(text, "0123456789") && !strings.Contains(text, "48, 49") && !strings.Contains(text, "48 49") && !strings.Contains(text, "0x30, 0x31"), "%s", text)
			}
		}
	})
	t.Run("guards against a plug-in setting that is ignored", func(t *testing.T) {
		s, faults := (&Loader{}).Parse(file, minimalSettings+"[plugins]\nqueue = fifo\n")
		assert.Equal(t, faults, nil)
		assert.Equal(t, s.Plugins, map[string]string{"queue": "fifo", "router": "prefix"})
	})
}

func TestFaults(t *testing.T) {
	dir := folderWithSecret(t)
	file := filepath.Join(dir, "node.ini")
	for _, c := range []struct{ name, old, text, want string }{
		{"a key that is misspelt", "[platform]", "sesion = 1s\n[platform]", "12: [control] has no key sesion; allowed: voters"},
		{"a section that is misspelt", "[platform]", "[limit]\nbody = 1\n[platform]", "12: unknown section [limit]; allowed: access, control, journal"},
		{"a key that is missing", "name = nord-1\n", "", "1: [node] name is not set; allowed: up to 63"},
		{"a key that is empty", "name = nord-1", "name =", "2: [node] name is not set"},
		{"a key that is set twice", "[listen]", "name = b\n[listen]", "5: name is already at line 2; allowed: each key once"},
		{"a section that is there twice", "[security]", "[node]\n[security]", "14: section [node] is already at line 1"},
		{"a duration without unit", "[listen]", "drain = 30\n[listen]", `5: [node] drain: "30" is not a duration; allowed: duration from 1s to 1h0m0s`},
		{"a duration out of range", "[listen]", "drain = 9h\n[listen]", "5: [node] drain: 9h0m0s is out of range"},
		{"a number with a letter", "[platform]", "shards = 6x\n[platform]", `12: [control] shards: "6x" is not a whole number; allowed: whole number from 1 to 65536`},
		{"an unknown role", "[listen]", "roles = entry, king\n[listen]", `5: [node] roles: unknown role "king"; allowed: entry, owner, store, control`},
		{"an address without port", "127.0.0.1:8080", "127.0.0.1", `6: [listen] callers: "127.0.0.1" is not an address with a port`},
		{"an address that peers cannot reach", "127.0.0.1:7001", "0.0.0.0:7001", "9: [listen] streams: 0.0.0.0:7001 is not an address that other hosts can reach"},
		{"a voter without name", "nord-1@", "", `11: [control] voters: "127.0.0.1:7000" is not a voter; allowed: NAME@IP:PORT`},
		{"a voter that is there twice", "sued-1@", "nord-1@", "11: [control] voters: voter nord-1 is named twice"},
		{"a voter with another address than the host", "peers = 127.0.0.1:7000", "peers = 127.0.0.1:7009", "11: voter nord-1 has 127.0.0.1:7000, but"},
		{"a session below the lease", "[platform]", "session = 2s\n[platform]", "12: session 2s is not above lease 2.5s"},
		{"a disk role without folder", "[listen]", "roles = store\n[listen]", "1: roles store and control need [node] data"},
		{"a certificate without key", "secret = secret", "secret = secret\ncertificate = secret", "16: certificate and key go together"},
		{"a secret that is not there", "secret = secret", "secret = none", "15: [security] secret: file cannot be read: no such file"},
		{"a hash that is the key itself", "secret = secret", "secret = secret\noperator-hash = swordfish", "16: [security] operator-hash: not a SHA-256 hash; allowed: sha256:"},
		{"an interface that is not known", "[platform]", "[plugins]\nqueues = fair\n[platform]", "13: [plugins] has no interface queues; allowed: budget"},
		{"a line that is no pair", "[platform]", "shards 64\n[platform]", "12: line in [control] cannot be read; allowed: KEY = VALUE"},
		{"a value that runs over lines", "name = nord-1", "name = \"\"\"nord", "2: value of name is quoted"},
	} {
		t.Run("guards against accepting "+c.name, func(t *testing.T) {
			text := strings.Replace(minimalSettings, c.old, c.text, 1)
			assert.True(t, text != minimalSettings, "nothing replaced")
			_, faults := (&Loader{}).Parse(file, text)
			assert.True(t, len(faults) > 0, "no fault")
			all := fmt.Sprint(faults)
			assert.Contains(t, all, file+":"+c.want)
			assert.True(t, !strings.Contains(all, "swordfish"), "the key is shown")
		})
	}
	t.Run("guards against showing one fault at a time", func(t *testing.T) {
		bad := filepath.Join(dir, "bad.ini")
		assert.NoError(t, os.WriteFile(bad, []byte("[node]\nname = A B\n[listen]\npeers = x\n[log]\nlevel = loud\n"), 0o600))
		_, err := (&Loader{}).Load(bad)
		for _, want := range []string{"1: [node] cluster", "2: [node] name", "4: [listen] peers", "6: [log] level"} {
			assert.Contains(t, err.Error(), "bad.ini:"+want)
		}
	})
	t.Run("guards against an unclear error for a missing file", func(t *testing.T) {
		_, err := (&Loader{}).Load(filepath.Join(dir, "none.ini"))
		assert.ErrorIs(t, err, os.ErrNotExist)
	})
}

func FuzzParse(f *testing.F) {
	dir := folderWithSecret(f)
	f.Add(minimalSettings)
	f.Add("[node]\nname = \"\"\"a\n[x.y]\n%(a)s = `\n\ufeff[node] ; c\n= 1\n[plugins]\nqueue=\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, faults := (&Loader{}).Parse(filepath.Join(dir, "node.ini"), text)
		if (s == nil) == (len(faults) == 0) {
			t.Fatalf("settings %v, faults %v", s, faults)
		}
		for _, a := range faults {
			if a.Line < 1 || a.Line > strings.Count(text, "\n")+1 || a.Problem == "" || a.Allowed == "" {
				t.Fatalf("fault %+v", a)
			}
		}
	})
}
