package zinniapond

import (
	"net/netip"
	"time"
)

// Voter is one host of the control quorum, as the settings name it.
type Voter struct {
	Name  HostName
	Peers netip.AddrPort
}

// Settings are the settings of one host, read once at its start.
type Settings struct {
	File    string // path it was read from
	Cluster string
	Host    HostName
	// DataCentre is where the host is.
	DataCentre DataCentre
	// Data is the data folder; empty on a host without a disk.
	Data  string
	Roles []Role
	// Drain bounds a graceful stop.
	Drain time.Duration

	Callers   netip.AddrPort
	Operators netip.AddrPort
	Ready     netip.AddrPort // where readiness is asked, if not with callers
	Metrics   netip.AddrPort
	Peers     netip.AddrPort
	Streams   netip.AddrPort
	// AnnouncePeers and AnnounceStreams are the addresses by which other hosts
	// reach Peers and Streams, where these are translated on the way.
	AnnouncePeers   netip.AddrPort
	AnnounceStreams netip.AddrPort

	Control  ControlSettings
	Journal  JournalSettings
	Keeper   KeeperSettings
	Platform PlatformSettings
	Security SecuritySettings
	Limits   LimitSettings
	Trace    TraceSettings
	LogLevel string
	// Memory bounds the process in bytes; 0 for no bound.
	Memory int64
	// Plugins names the implementation of an interface, by the interface's
	// name in lower case.
	Plugins map[string]string
}

// HasRole reports whether the host takes the given role.
func (s *Settings) HasRole(role Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// PeersAddress returns the address for other hosts' net/rpc calls.
func (s *Settings) PeersAddress() netip.AddrPort {
	if s.AnnouncePeers.IsValid() {
		return s.AnnouncePeers
	}
	return s.Peers
}

// StreamsAddress returns the address for other hosts' streams.
func (s *Settings) StreamsAddress() netip.AddrPort {
	if s.AnnounceStreams.IsValid() {
		return s.AnnounceStreams
	}
	return s.Streams
}

// VoterName is the name of this host as a voter.
func (s *Settings) VoterName() HostName {
	if s.Control.Seeds {
		return HostName(s.PeersAddress().String())
	}
	return s.Host
}

// ControlSettings are the settings of the control quorum. They are equal on all
// hosts.
type ControlSettings struct {
	Voters []Voter
	// Seeds tells that Voters are found by their peer addresses and only the
	// first of a quorum that any control host may join. Their names are their
	// addresses.
	Seeds     bool
	Bootstrap bool // form a new cluster; only with an empty data folder
	Shards    int
	Lease     time.Duration // freshness lease of a host
	Session   time.Duration // silence after which a host is fenced; above Lease
	Fetch     time.Duration // silence after which a voter starts an election
	Election  time.Duration // mean time between election attempts
	Replicas  int           // replicas of a journal shard
	Snapshot  int           // records between snapshots
}

// JournalSettings are the settings of the program journal.
type JournalSettings struct {
	Retention time.Duration // how long ended programs are kept
}

// KeeperSettings are the settings of the disks that keep turns and budgets.
type KeeperSettings struct {
	// Machines and Zones may be lost at the same time with their disks.
	Machines int
	Zones    int
	// CatchUp is the time in which others have to make up for a disk.
	CatchUp time.Duration
}

// Patience is the silence after which a disk counts as lost: half of the time to
// make up for it, so that the other half is left for the copies.
func (s KeeperSettings) Patience() time.Duration { return s.CatchUp / 2 }

// PlatformSettings say how the platform's list of backend servers is read.
type PlatformSettings struct {
	List    string        // path of a file, or an http URL
	Refresh time.Duration // span between two readings
	// Apply is the time in which a confirmed configuration is in force.
	Apply time.Duration
	// Weights is the least span between two loads from the weight store.
	Weights time.Duration
}

// SecuritySettings hold credentials. They are never logged.
type SecuritySettings struct {
	Secret       []byte   // shared by the hosts of the cluster
	OperatorHash [32]byte // SHA-256 of the operators' key
	Certificate  string   // path; TLS is used when set
	Key          string   // path
	Authority    string   // path of the CA that signs the peers' certificates
}

// String keeps credentials out of printed settings.
func (SecuritySettings) String() string { return "(hidden)" }

// GoString keeps credentials out of settings printed with %#v.
func (SecuritySettings) GoString() string { return "(hidden)" }

// LimitSettings bound what callers may send.
type LimitSettings struct {
	Body   int64         // bytes of a request body
	Header int           // bytes of the request header
	Read   time.Duration // time to send a request
	Open   int           // requests open at once at one entry
	// Progress is the longest silence of a backend server within an answer.
	Progress time.Duration
	// Attempt bounds one attempt as a whole.
	Attempt time.Duration
}

// TraceSettings say where spans go; both empty for nowhere.
type TraceSettings struct {
	File string
	OTLP string // http URL of a collector
}
