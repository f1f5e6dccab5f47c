package config

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"

	"zinniapond.example/zinniapond"
)

// field is one key of the settings.
type field struct {
	section, key string
	usual        string // default; empty for none
	allowed      string
	needed       bool
	set          func(string) error
}

// secretLeast is the least length of the shared secret: 16 bytes are 128 bits.
const secretLeast = 16

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (r *reader) fields() []field {
	s := r.settings
	return []field{
		name("node", "name", &s.Host),
		name("node", "cluster", &s.Cluster),
		name("node", "data-centre", &s.DataCentre),
		r.path("node", "data", &s.Data),
		{"node", "roles", "entry, owner", "entry, owner, store, control, keeper, front, operators", false, func(v string) (err error) {
			s.Roles, err = roles(v)
			return err
		}},
		span("node", "drain", "30s", time.Second, time.Hour, &s.Drain),
		address("listen", "callers", false, true, &s.Callers),
		address("listen", "operators", false, true, &s.Operators),
		address("listen", "ready", false, true, &s.Ready),
		address("listen", "metrics", false, true, &s.Metrics),
		address("listen", "peers", true, false, &s.Peers),
		address("listen", "streams", true, false, &s.Streams),
		address("listen", "announce-peers", false, false, &s.AnnouncePeers),
		address("listen", "announce-streams", false, false, &s.AnnounceStreams),
		{"control", "voters", "", "NAME@IP:PORT, ...; 1 to 7 of them", false, func(v string) (err error) {
			s.Control.Voters, err = voters(v)
			return err
		}},
		{"control", "seeds", "", "IP:PORT, ...", false, func(string) error { return nil }}, // read when all else is set
		{"control", "bootstrap", "false", "true, false", false, func(v string) (err error) {
			s.Control.Bootstrap, err = strconv.ParseBool(v)
			return short(err)
		}},
		number("control", "shards", "64", 1, 65536, &s.Control.Shards),
		span("control", "lease", "2.5s", 100*time.Millisecond, time.Minute, &s.Control.Lease),
		span("control", "session", "4s", 200*time.Millisecond, 5*time.Minute, &s.Control.Session),
		span("control", "fetch", "600ms", 20*time.Millisecond, 30*time.Second, &s.Control.Fetch),
		span("control", "election", "300ms", 10*time.Millisecond, 30*time.Second, &s.Control.Election),
		number("control", "replicas", "3", 1, 7, &s.Control.Replicas),
		number("control", "snapshot", "512", 16, 1<<20, &s.Control.Snapshot),
		span("journal", "retention", "24h", time.Minute, 365*24*time.Hour, &s.Journal.Retention),
		number("keeper", "machines", "1", 0, 3, &s.Keeper.Machines),
		number("keeper", "zones", "0", 0, 3, &s.Keeper.Zones),
		span("keeper", "catch-up", "10s", 100*time.Millisecond, time.Hour, &s.Keeper.CatchUp),
		r.list(),
		span("platform", "apply", "4s", 100*time.Millisecond, time.Minute, &s.Platform.Apply),
		span("platform", "refresh", "1s", 50*time.Millisecond, time.Minute, &s.Platform.Refresh),
		span("platform", "weights", "5s", time.Millisecond, time.Hour, &s.Platform.Weights),
		r.secret(),
		{"security", "open", "false", "true, false", false, func(string) error { return nil }}, // read with the secret
		{"security", "operator-hash", "", "sha256: and 64 hexadecimal digits", false, func(v string) (err error) {
			s.Security.OperatorHash, err = hash(v)
			return err
		}},
		r.file("security", "certificate", &s.Security.Certificate),
		r.file("security", "key", &s.Security.Key),
		r.file("security", "authority", &s.Security.Authority),
		number("limits", "body", "8388608", 1024, 1<<30, &s.Limits.Body),
		number("limits", "header", "65536", 4096, 1<<20, &s.Limits.Header),
		span("limits", "read", "30s", 100*time.Millisecond, time.Hour, &s.Limits.Read),
		number("limits", "memory", "0", 0, 1<<40, &s.Memory),
		number("limits", "open", "1024", 1, 1<<20, &s.Limits.Open),
		span("limits", "progress", "10s", 100*time.Millisecond, time.Hour, &s.Limits.Progress),
		span("limits", "attempt", "10m", time.Second, 24*time.Hour, &s.Limits.Attempt),
		r.path("trace", "file", &s.Trace.File),
		{"trace", "otlp", "", "http://HOST:PORT/PATH", false, func(v string) error {
			s.Trace.OTLP = v
			return webAddress(v)
		}},
		{"log", "level", "info", "trace, debug, info, warn, error", false, func(v string) error {
			s.LogLevel = v
			if !contains([]string{"trace", "debug", "info", "warn", "error"}, v) {
				return fmt.Errorf("unknown level %q", v)
			}
			return nil
		}},
	}
}

func name[T ~string](section, key string, to *T) field {
	return field{section, key, "", "up to 63 lower-case letters, digits, dots, dashes and underscores", true, func(v string) error {
		*to = T(v)
		if !nameForm.MatchString(v) {
			return fmt.Errorf("%q is not a name", v)
		}
		return nil
	}}
}

func span(section, key, usual string, least, most time.Duration, to *time.Duration) field {
	return field{section, key, usual, fmt.Sprintf("duration from %s to %s", least, most), false, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration", v)
		}
		if d < least || d > most {
			return fmt.Errorf("%s is out of range", d)
		}
		*to = d
		return nil
	}}
}

func number[T int | int64](section, key, usual string, least, most T, to *T) field {
	return field{section, key, usual, fmt.Sprintf("whole number from %d to %d", least, most), false, func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < int64(least) || n > int64(most) {
			return fmt.Errorf("%d is out of range", n)
		}
		*to = T(n)
		return nil
	}}
}

// address reads IP:PORT. Where open is false, the address is given to other
// hosts, so that it must be a definite one.
func address(section, key string, needed, open bool, to *netip.AddrPort) field {
	allowed := "IP:PORT"
	if !open {
		allowed = "IP:PORT that other hosts can reach, the port above 0"
	}
	return field{section, key, "", allowed, needed, func(v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return fmt.Errorf("%q is not an address with a port", v)
		}
		if !open && (a.Addr().IsUnspecified() || a.Port() == 0) {
			return fmt.Errorf("%s is not an address that other hosts can reach", a)
		}
		*to = a
		return nil
	}}
}

func (r *reader) resolve(v string) string {
	if filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(r.folder, v)
}

func (r *reader) path(section, key string, to *string) field {
	return field{section, key, "", "path", false, func(v string) error {
		*to = r.resolve(v)
		return nil
	}}
}

// file is a path whose file has to be there.
func (r *reader) file(section, key string, to *string) field {
	return field{section, key, "", "path of a file that can be read", false, func(v string) error {
		*to = r.resolve(v)
		f, err := os.Open(*to)
		if err != nil {
			return fmt.Errorf("file cannot be read: %w", errors.Unwrap(err))
		}
		return f.Close()
	}}
}

func (r *reader) list() field {
	return field{"platform", "list", "", "path of a file, or an http or https URL", true, func(v string) error {
		if strings.Contains(v, "://") {
			r.settings.Platform.List = v
			return webAddress(v)
		}
		r.settings.Platform.List = r.resolve(v)
		return nil
	}}
}

func (r *reader) secret() field {
	allowed := fmt.Sprintf("path of a file with at least %d bytes", secretLeast)
	open, _ := r.text.Value("security", "open")
	return field{"security", "secret", "", allowed, open != "true", func(v string) error {
		b, err := os.ReadFile(r.resolve(v))
		if err != nil {
			return fmt.Errorf("file cannot be read: %w", errors.Unwrap(err))
		}
		b = bytes.TrimSpace(b)
		if len(b) < secretLeast {
			return errors.New("secret is too short")
		}
		r.settings.Security.Secret = b
		return nil
	}}
}

func webAddress(v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("not an http or https URL")
	}
	return nil
}

func roles(v string) ([]zinniapond.Role, error) {
	var list []zinniapond.Role
	for _, p := range strings.Split(v, ",") {
		role := zinniapond.Role(strings.TrimSpace(p))
		switch role {
		case zinniapond.RoleEntry, zinniapond.RoleOwner, zinniapond.RoleStore, zinniapond.RoleControl,
			zinniapond.RoleKeeper, zinniapond.RoleFront, zinniapond.RoleOperators:
		default:
			return nil, fmt.Errorf("unknown role %q", role)
		}
		for _, have := range list {
			if have == role {
				return nil, fmt.Errorf("role %s is named twice", role)
			}
		}
		list = append(list, role)
	}
	return list, nil
}

// votersMost is the largest quorum: more voters make each commit slower and
// tolerate more failures than are planned for.
const votersMost = 7

func voters(v string) ([]zinniapond.Voter, error) {
	var list []zinniapond.Voter
	for _, p := range strings.Split(v, ",") {
		host, at, ok := strings.Cut(strings.TrimSpace(p), "@")
		a, err := netip.ParseAddrPort(at)
		if !ok || err != nil || !nameForm.MatchString(host) || a.Port() == 0 || a.Addr().IsUnspecified() {
			return nil, fmt.Errorf("%q is not a voter", strings.TrimSpace(p))
		}
		for _, have := range list {
			if string(have.Name) == host || have.Peers == a {
				return nil, fmt.Errorf("voter %s is named twice", host)
			}
		}
		list = append(list, zinniapond.Voter{Name: zinniapond.HostName(host), Peers: a})
	}
	if len(list) > votersMost {
		return nil, fmt.Errorf("%d voters", len(list))
	}
	return list, nil
}

func hash(v string) (sum [32]byte, err error) {
	digits, ok := strings.CutPrefix(v, "sha256:")
	b, err := hex.DecodeString(digits)
	if !ok || err != nil || len(b) != len(sum) {
		// The value is not repeated: it may be the key itself by mistake.
		return sum, errors.New("not a SHA-256 hash")
	}
	return [32]byte(b), nil
}

// short drops the function name that strconv puts into its errors.
func short(err error) error {
	var e *strconv.NumError
	if errors.As(err, &e) {
		return fmt.Errorf("%q: %w", e.Num, e.Err)
	}
	return err
}
