package zinniapond

import (
	"net/netip"
	"time"
)

// Voter is one host of the control quorum, as given in the settings.
type Voter struct {
	Name  HostName
	Peers netip.AddrPort
}

// Settings are the settings of one host, which it reads at its start.
type Settings struct {
	File    string // path of the settings file
	Cluster string
	Host    HostName
	// DataCentre is the data centre of the host.
	DataCentre DataCentre
	// Data is the path of the data folder; empty on a host without a disk.
	Data  string
	Roles []Role
	// Drain is the longest time for a graceful stop.
	Drain time.Duration

	Callers   netip.AddrPort
	Operators netip.AddrPort
	Ready     netip.AddrPort // address of the readiness check, if not that of the callers
	Metrics   netip.AddrPort
	Peers     netip.AddrPort
	Streams   netip.AddrPort
	// AnnouncePeers and AnnounceStreams are the addresses at which other hosts
	// reach Peers and Streams if the network translates addresses; else not valid.
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
	// Memory is the memory limit of the process in bytes; 0 for none.
	Memory int64
	// Plugins maps the lower-case name of an interface to the name of the selected
	// implementation.
	Plugins map[string]string
}

// HasRole reports whether the host has the given role.
func (s *Settings) HasRole(role Role) bool {
	for _, r := range s.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// PeersAddress returns the address to which other hosts send net/rpc calls.
func (s *Settings) PeersAddress() netip.AddrPort {
	if s.AnnouncePeers.IsValid() {
		return s.AnnouncePeers
	}
	return s.Peers
}

// StreamsAddress returns the address to which other hosts send HTTP requests for
// streams.
func (s *Settings) StreamsAddress() netip.AddrPort {
	if s.AnnounceStreams.IsValid() {
		return s.AnnounceStreams
	}
	return s.Streams
}

// VoterName returns the name of this host as a voter: its peer address if the
// voters are given as seeds, else its host name.
func (s *Settings) VoterName() HostName {
	if s.Control.Seeds {
		return HostName(s.PeersAddress().String())
	}
	return s.Host
}

// ControlSettings are the settings of the control quorum. They are the same on
// all hosts.
type ControlSettings struct {
	Voters []Voter
	// Seeds is set if Voters were given as seeds: they are only the first voters of
	// a quorum that any control host may join, and their peer addresses are also
	// their names.
	Seeds     bool
	Bootstrap bool // form a new cluster; requires an empty data folder
	Shards    int
	Lease     time.Duration // validity of a host's state after its last contact to the leader
	Session   time.Duration // time without contact after which a host is fenced; above Lease
	Fetch     time.Duration // time without a leader after which a voter starts an election
	Election  time.Duration // mean time between election attempts
	Replicas  int           // number of replicas of a journal shard
	Snapshot  int           // number of records between snapshots
}

// JournalSettings are the settings of the program journal.
type JournalSettings struct {
	Retention time.Duration // time for which ended programs are kept
}

// KeeperSettings are the settings of the disks that store turns and budgets.
type KeeperSettings struct {
	// Machines and Zones are the numbers of machines and of zones whose disks may
	// be lost at the same time without loss of data.
	Machines int
	Zones    int
	// CatchUp is the time within which the copies on a lost disk have to be
	// replaced by copies on other disks.
	CatchUp time.Duration
}

// Patience returns the time without a reply after which a disk counts as lost:
// half of CatchUp, which leaves the other half for making the new copies.
func (s KeeperSettings) Patience() time.Duration { return s.CatchUp / 2 }

// PlatformSettings are the settings for the platform's list of backend servers,
// its configuration and its weight store.
type PlatformSettings struct {
	List    string        // path or http URL of the list of backend servers
	Refresh time.Duration // time between two reads of the list
	// Apply is the time within which a confirmed configuration is in force.
	Apply time.Duration
	// Weights is the least time between two loads of models from the weight store.
	Weights time.Duration
}

// SecuritySettings contain credentials. They are never logged.
type SecuritySettings struct {
	Secret       []byte   // shared by the hosts of the cluster
	OperatorHash [32]byte // SHA-256 of the operators' key
	Certificate  string   // path of the TLS certificate; TLS is used if it is set
	Key          string   // path of the private key of the certificate
	Authority    string   // path of the CA certificate that signs the peers' certificates
}

// String returns a placeholder, so that printed settings contain no credentials.
func (SecuritySettings) String() string { return "(hidden)" }

// GoString is String for the format %#v.
func (SecuritySettings) GoString() string { return "(hidden)" }

// LimitSettings are the limits for the requests of callers and for attempts at
// backend servers.
type LimitSettings struct {
	Body   int64         // size of a request body in bytes
	Header int           // size of a request header in bytes
	Read   time.Duration // time to send a request
	Open   int           // concurrent requests at one entry host
	// Progress is the longest time without a byte from a backend server during an
	// answer.
	Progress time.Duration
	// Attempt is the longest time for one attempt as a whole.
	Attempt time.Duration
}

// TraceSettings are the destinations of spans; if both are empty, no spans are
// exported.
type TraceSettings struct {
	File string
	OTLP string // http URL of a collector
}
