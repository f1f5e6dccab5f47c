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

// field describes one key of the settings.
type field struct {
	section, key string
	defaultValue string // empty for none
	allowed      string
	required     bool
	set          func(string) error
}

// minSecretBytes is the minimum length of the shared secret: 16 bytes are 128
// bits.
const minSecretBytes = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

func (r *reader) fields() []field {
	s := r.settings
	return []field{
		nameField("node", "name", &s.Host),
		nameField("node", "cluster", &s.Cluster),
		nameField("node", "data-centre", &s.DataCentre),
		r.pathField("node", "data", &s.DataFolder),
		{"node", "roles", "entry, owner", "entry, owner, store, control, keeper, front, operators", false, func(v string) (err error) {
			s.Roles, err = parseRoles(v)
			return err
		}},
		durationField("node", "drain", "30s", time.Second, time.Hour, &s.DrainTimeout),
		addressField("listen", "callers", false, true, &s.CallersAddress),
		addressField("listen", "operators", false, true, &s.OperatorsAddress),
		addressField("listen", "ready", false, true, &s.ReadyAddress),
		addressField("listen", "metrics", false, true, &s.MetricsAddress),
		addressField("listen", "peers", true, false, &s.PeersListenAddress),
		addressField("listen", "streams", true, false, &s.StreamsListenAddress),
		addressField("listen", "announce-peers", false, false, &s.AnnouncedPeersAddress),
		addressField("listen", "announce-streams", false, false, &s.AnnouncedStreamsAddress),
		{"control", "voters", "", "NAME@IP:PORT, ...; 1 to 7 of them", false, func(v string) (err error) {
			s.Control.Voters, err = parseVoters(v)
			return err
		}},
		{"control", "seeds", "", "IP:PORT, ...", false, func(string) error { return nil }}, // read by readSeeds, after all other fields
		{"control", "bootstrap", "false", "true, false", false, func(v string) (err error) {
			s.Control.Bootstrap, err = strconv.ParseBool(v)
			return simplifyError(err)
		}},
		numberField("control", "shards", "64", 1, 65536, &s.Control.Shards),
		durationField("control", "lease", "2.5s", 100*time.Millisecond, time.Minute, &s.Control.LeaseDuration),
		durationField("control", "session", "4s", 200*time.Millisecond, 5*time.Minute, &s.Control.SessionTimeout),
		durationField("control", "fetch", "600ms", 20*time.Millisecond, 30*time.Second, &s.Control.LeaderTimeout),
		durationField("control", "election", "300ms", 10*time.Millisecond, 30*time.Second, &s.Control.ElectionDelay),
		numberField("control", "replicas", "3", 1, 7, &s.Control.Replicas),
		numberField("control", "snapshot", "512", 16, 1<<20, &s.Control.SnapshotRecords),
		durationField("journal", "retention", "24h", time.Minute, 365*24*time.Hour, &s.Journal.Retention),
		numberField("keeper", "machines", "1", 0, 3, &s.Keeper.MaxLostMachines),
		numberField("keeper", "zones", "0", 0, 3, &s.Keeper.MaxLostZones),
		durationField("keeper", "catch-up", "10s", 100*time.Millisecond, time.Hour, &s.Keeper.CatchUpTime),
		r.listField(),
		durationField("access", "revocation", "0s", 0, time.Hour, &s.Access.RevocationTime),
		durationField("access", "window", "5s", 100*time.Millisecond, time.Hour, &s.Access.QuotaWindow),
		shareField("access", "overage", "0.1", &s.Access.QuotaOverage),
		numberField("access", "slack", "20", 0, 1<<20, &s.Access.QuotaSlack),
		durationField("platform", "apply", "4s", 100*time.Millisecond, time.Minute, &s.Platform.MaxApplyTime),
		durationField("platform", "refresh", "1s", 50*time.Millisecond, time.Minute, &s.Platform.RefreshInterval),
		durationField("platform", "weights", "5s", time.Millisecond, time.Hour, &s.Platform.MinWeightLoadInterval),
		r.secretField(),
		{"security", "open", "false", "true, false", false, func(string) error { return nil }}, // read by secretField
		{"security", "operator-hash", "", "sha256: and 64 hexadecimal digits", false, func(v string) (err error) {
			s.Security.OperatorHash, err = parseHash(v)
			return err
		}},
		r.fileField("security", "certificate", &s.Security.CertificateFile),
		r.fileField("security", "key", &s.Security.KeyFile),
		r.fileField("security", "authority", &s.Security.AuthorityFile),
		numberField("limits", "body", "8388608", 1024, 1<<30, &s.Limits.MaxBodyBytes),
		numberField("limits", "header", "65536", 4096, 1<<20, &s.Limits.MaxHeaderBytes),
		durationField("limits", "read", "30s", 100*time.Millisecond, time.Hour, &s.Limits.ReadTimeout),
		numberField("limits", "memory", "0", 0, 1<<40, &s.MemoryLimit),
		numberField("limits", "open", "1024", 1, 1<<20, &s.Limits.MaxOpenRequests),
		durationField("limits", "progress", "10s", 100*time.Millisecond, time.Hour, &s.Limits.ProgressTimeout),
		durationField("limits", "attempt", "10m", time.Second, 24*time.Hour, &s.Limits.AttemptTimeout),
		r.pathField("trace", "file", &s.Trace.File),
		{"trace", "otlp", "", "http://HOST:PORT/PATH", false, func(v string) error {
			s.Trace.OTLP = v
			return checkURL(v)
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

func nameField[T ~string](section, key string, target *T) field {
	return field{section, key, "", "up to 63 lower-case letters, digits, dots, dashes and underscores", true, func(v string) error {
		*target = T(v)
		if !namePattern.MatchString(v) {
			return fmt.Errorf("%q is not a name", v)
		}
		return nil
	}}
}

func shareField(section, key, defaultValue string, target *float64) field {
	return field{section, key, defaultValue, "number from 0 to 1", false, func(v string) error {
		share, err := strconv.ParseFloat(v, 64)
		if err != nil || !(share >= 0 && share <= 1) {
			return fmt.Errorf("%q is not a number from 0 to 1", v)
		}
		*target = share
		return nil
	}}
}

func durationField(section, key, defaultValue string, lowest, highest time.Duration, target *time.Duration) field {
	return field{section, key, defaultValue, fmt.Sprintf("duration from %s to %s", lowest, highest), false, func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return fmt.Errorf("%q is not a duration", v)
		}
		if d < lowest || d > highest {
			return fmt.Errorf("%s is out of range", d)
		}
		*target = d
		return nil
	}}
}

func numberField[T int | int64](section, key, defaultValue string, lowest, highest T, target *T) field {
	return field{section, key, defaultValue, fmt.Sprintf("whole number from %d to %d", lowest, highest), false, func(v string) error {
		n, err := strconv.ParseInt(v, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number", v)
		}
		if n < int64(lowest) || n > int64(highest) {
			return fmt.Errorf("%d is out of range", n)
		}
		*target = T(n)
		return nil
	}}
}

// addressField accepts IP:PORT. Unless anyAddress is set, the address is passed
// to other hosts and therefore needs a specified IP address and a port above 0.
func addressField(section, key string, required, anyAddress bool, target *netip.AddrPort) field {
	allowed := "IP:PORT"
	if !anyAddress {
		allowed = "IP:PORT that other hosts can reach, the port above 0"
	}
	return field{section, key, "", allowed, required, func(v string) error {
		a, err := netip.ParseAddrPort(v)
		if err != nil {
			return fmt.Errorf("%q is not an address with a port", v)
		}
		if !anyAddress && (a.Addr().IsUnspecified() || a.Port() == 0) {
			return fmt.Errorf("%s is not an address that other hosts can reach", a)
		}
		*target = a
		return nil
	}}
}

func (r *reader) resolvePath(v string) string {
	if filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(r.folder, v)
}

func (r *reader) pathField(section, key string, target *string) field {
	return field{section, key, "", "path", false, func(v string) error {
		*target = r.resolvePath(v)
		return nil
	}}
}

// fileField accepts the path of a file that can be read.
func (r *reader) fileField(section, key string, target *string) field {
	return field{section, key, "", "path of a file that can be read", false, func(v string) error {
		*target = r.resolvePath(v)
		f, err := os.Open(*target)
		if err != nil {
			return fmt.Errorf("file cannot be read: %w", errors.Unwrap(err))
		}
		return f.Close()
	}}
}

func (r *reader) listField() field {
	return field{"platform", "list", "", "path of a file, or an http or https URL", true, func(v string) error {
		if strings.Contains(v, "://") {
			r.settings.Platform.ListLocation = v
			return checkURL(v)
		}
		r.settings.Platform.ListLocation = r.resolvePath(v)
		return nil
	}}
}

func (r *reader) secretField() field {
	allowed := fmt.Sprintf("path of a file with at least %d bytes", minSecretBytes)
	openMode, _ := r.text.Value("security", "open")
	return field{"security", "secret", "", allowed, openMode != "true", func(v string) error {
		b, err := os.ReadFile(r.resolvePath(v))
		if err != nil {
			return fmt.Errorf("file cannot be read: %w", errors.Unwrap(err))
		}
		b = bytes.TrimSpace(b)
		if len(b) < minSecretBytes {
			return errors.New("secret is too short")
		}
		r.settings.Security.Secret = b
		return nil
	}}
}

func checkURL(v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("not an http or https URL")
	}
	return nil
}

func parseRoles(v string) ([]zinniapond.Role, error) {
	var list []zinniapond.Role
	for _, p := range strings.Split(v, ",") {
		role := zinniapond.Role(strings.TrimSpace(p))
		switch role {
		case zinniapond.RoleEntry, zinniapond.RoleOwner, zinniapond.RoleStore, zinniapond.RoleControl,
			zinniapond.RoleKeeper, zinniapond.RoleFront, zinniapond.RoleOperators:
		default:
			return nil, fmt.Errorf("unknown role %q", role)
		}
		for _, r := range list {
			if r == role {
				return nil, fmt.Errorf("role %s is named twice", role)
			}
		}
		list = append(list, role)
	}
	return list, nil
}

// maxVoters is the largest number of voters: more voters make each commit slower
// and tolerate more failures than the system is designed for.
const maxVoters = 7

func parseVoters(v string) ([]zinniapond.Voter, error) {
	var list []zinniapond.Voter
	for _, p := range strings.Split(v, ",") {
		host, address, ok := strings.Cut(strings.TrimSpace(p), "@")
		a, err := netip.ParseAddrPort(address)
		if !ok || err != nil || !namePattern.MatchString(host) || a.Port() == 0 || a.Addr().IsUnspecified() {
			return nil, fmt.Errorf("%q is not a voter", strings.TrimSpace(p))
		}
		for _, vo := range list {
			if string(vo.Name) == host || vo.PeersAddress == a {
				return nil, fmt.Errorf("voter %s is named twice", host)
			}
		}
		list = append(list, zinniapond.Voter{Name: zinniapond.HostName(host), PeersAddress: a})
	}
	if len(list) > maxVoters {
		return nil, fmt.Errorf("%d voters", len(list))
	}
	return list, nil
}

func parseHash(v string) (sum [32]byte, err error) {
	digits, ok := strings.CutPrefix(v, "sha256:")
	b, err := hex.DecodeString(digits)
	if !ok || err != nil || len(b) != len(sum) {
		// The error does not contain the value, as it may be the key itself by
		// mistake.
		return sum, errors.New("not a SHA-256 hash")
	}
	return [32]byte(b), nil
}

// simplifyError removes the function name from errors of strconv.
func simplifyError(err error) error {
	var e *strconv.NumError
	if errors.As(err, &e) {
		return fmt.Errorf("%q: %w", e.Num, e.Err)
	}
	return err
}
