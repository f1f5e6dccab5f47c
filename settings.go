package zinniapond

import (
	"net/netip"
	"time"
)

// Voter is one host of the control quorum, as given in the settings.
type Voter struct {
	Name         HostName
	PeersAddress netip.AddrPort
}

// Settings are the settings of one host, which it reads at its start.
type Settings struct {
	File    string // path of the settings file
	Cluster string
	Host    HostName
	// DataCentre is the data centre of the host.
	DataCentre DataCentre
	// DataFolder is the path of the data folder; empty on a host without a disk.
	DataFolder string
	Roles      []Role
	// DrainTimeout is the longest time for a graceful stop.
	DrainTimeout time.Duration

	CallersAddress       netip.AddrPort
	OperatorsAddress     netip.AddrPort
	ReadyAddress         netip.AddrPort // address of the readiness check, if not that of the callers
	MetricsAddress       netip.AddrPort
	PeersListenAddress   netip.AddrPort
	StreamsListenAddress netip.AddrPort
	// AnnouncedPeersAddress and AnnouncedStreamsAddress are the addresses at which
	// other hosts reach PeersListenAddress and StreamsListenAddress if the network
	// translates addresses; else not valid.
	AnnouncedPeersAddress   netip.AddrPort
	AnnouncedStreamsAddress netip.AddrPort

	Control  ControlSettings
	Journal  JournalSettings
	Keeper   KeeperSettings
	Platform PlatformSettings
	Security SecuritySettings
	Limits   LimitSettings
	Access   AccessSettings
	Trace    TraceSettings
	LogLevel string
	// MemoryLimit is the memory limit of the process in bytes; 0 for none.
	MemoryLimit int64
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
	if s.AnnouncedPeersAddress.IsValid() {
		return s.AnnouncedPeersAddress
	}
	return s.PeersListenAddress
}

// StreamsAddress returns the address to which other hosts send HTTP requests for
// streams.
func (s *Settings) StreamsAddress() netip.AddrPort {
	if s.AnnouncedStreamsAddress.IsValid() {
		return s.AnnouncedStreamsAddress
	}
	return s.StreamsListenAddress
}

// VoterName returns the name of this host as a voter: its peer address if the
// voters are given as seeds, else its host name.
func (s *Settings) VoterName() HostName {
	if s.Control.UsesSeeds {
		return HostName(s.PeersAddress().String())
	}
	return s.Host
}

// ControlSettings are the settings of the control quorum. They are the same on
// all hosts.
type ControlSettings struct {
	Voters []Voter
	// UsesSeeds is set if Voters were given as seeds: they are only the first
	// voters of a quorum that any control host may join, and their peer
	// addresses are also their names.
	UsesSeeds       bool
	Bootstrap       bool // form a new cluster; requires an empty data folder
	Shards          int
	LeaseDuration   time.Duration // validity of a host's state after its last contact to the leader
	SessionTimeout  time.Duration // time without contact after which a host is fenced; above LeaseDuration
	LeaderTimeout   time.Duration // time without a leader after which a voter starts an election
	ElectionDelay   time.Duration // mean time between election attempts
	Replicas        int           // number of replicas of a journal shard
	SnapshotRecords int           // number of records between snapshots
}

// Seeds returns the voters of the first start if they were given as seeds.
func (s ControlSettings) Seeds() []Voter {
	if !s.UsesSeeds {
		return nil
	}
	return s.Voters
}

// JournalSettings are the settings of the program journal.
type JournalSettings struct {
	Retention time.Duration // time for which ended programs are kept
}

// KeeperSettings are the settings of the disks that store turns and budgets.
type KeeperSettings struct {
	// MaxLostMachines and MaxLostZones are the numbers of machines and of zones
	// whose disks may be lost at the same time without loss of data.
	MaxLostMachines int
	MaxLostZones    int
	// CatchUpTime is the time within which the copies on a lost disk have to be
	// replaced by copies on other disks.
	CatchUpTime time.Duration
}

// DetectionTimeout returns the time without a reply after which a disk counts
// as lost: half of CatchUpTime, which leaves the other half for making the new
// copies.
func (s KeeperSettings) DetectionTimeout() time.Duration { return s.CatchUpTime / 2 }

// PlatformSettings are the settings for the platform's list of backend servers,
// its configuration and its weight store.
type PlatformSettings struct {
	ListLocation    string        // path or http URL of the list of backend servers
	RefreshInterval time.Duration // time between two reads of the list
	// MaxApplyTime is the time within which a confirmed configuration is in force.
	MaxApplyTime time.Duration
	// MinWeightLoadInterval is the least time between two loads of models from the
	// weight store.
	MinWeightLoadInterval time.Duration
}

// SecuritySettings contain credentials. They are never logged.
type SecuritySettings struct {
	Secret          []byte   // shared by the hosts of the cluster
	OperatorHash    [32]byte // SHA-256 of the operators' key
	CertificateFile string   // path of the TLS certificate; TLS is used if it is set
	KeyFile         string   // path of the private key of the certificate
	AuthorityFile   string   // path of the CA certificate that signs the peers' certificates
}

// String returns a placeholder, so that printed settings contain no credentials.
func (SecuritySettings) String() string { return "(hidden)" }

// GoString is String for the format %#v.
func (SecuritySettings) GoString() string { return "(hidden)" }

// AccessSettings are the settings for the keys and request limits of plans.
type AccessSettings struct {
	// RevocationTime is the time after which a revoked key is refused on all hosts, also
	// on those without a connection to the control hosts; 0 if that is not required.
	RevocationTime time.Duration
	// QuotaWindow is the length of the sliding window in which the requests of a plan
	// are bounded: by its rate times the window and its burst, times 1 + QuotaOverage,
	// plus QuotaSlack.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   int
}

// keyLeaseShare is the share of RevocationTime for which a host accepts keys after
// its configuration was last known to be current. The rest allows for clocks of different
// speed.
const keyLeaseShare = 0.9

// KeyLease returns the largest age of a confirmed configuration with which a host accepts
// keys; 0 if it does not expire.
func (s AccessSettings) KeyLease() time.Duration {
	return time.Duration(float64(s.RevocationTime) * keyLeaseShare)
}

// LimitSettings are the limits for the requests of callers and for attempts at
// backend servers.
type LimitSettings struct {
	MaxBodyBytes    int64         // size of a request body in bytes
	MaxHeaderBytes  int           // size of a request header in bytes
	ReadTimeout     time.Duration // time to send a request
	MaxOpenRequests int           // concurrent requests at one entry host
	// ProgressTimeout is the longest time without a byte from a backend server
	// during an answer.
	ProgressTimeout time.Duration
	// AttemptTimeout is the longest time for one attempt as a whole.
	AttemptTimeout time.Duration
}

// TraceSettings are the destinations of spans; if both are empty, no spans are
// exported.
type TraceSettings struct {
	File string
	OTLP string // http URL of a collector
}
