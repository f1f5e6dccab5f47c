package zinniapond

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"
)

// Role is a service that a host provides, as selected in its settings.
type Role string

// The roles of a host.
const (
	RoleEntry   Role = "entry"
	RoleOwner   Role = "owner"
	RoleStore   Role = "store"
	RoleControl Role = "control"
	// RoleKeeper stores the turns and budgets of programs on its disk.
	RoleKeeper Role = "keeper"
	// RoleFront and RoleOperators serve the callers and the operators of a
	// platform outside of this system.
	RoleFront     Role = "front"
	RoleOperators Role = "operators"
)

// MemberState is the state of a host in the member list.
type MemberState string

// The states of a member.
const (
	// MemberStarting has registered but has not yet applied the control record of
	// its registration.
	MemberStarting MemberState = "starting"
	MemberActive   MemberState = "active"
	// MemberDraining hands its shards over and takes no new programs.
	MemberDraining MemberState = "draining"
	// MemberFenced did not renew its lease within the session timeout.
	MemberFenced MemberState = "fenced"
	MemberLeft   MemberState = "left"
)

// Member is the entry of one host in the control state.
type Member struct {
	Name           HostName       `cbor:"n" json:"name"`
	Epoch          Epoch          `cbor:"e" json:"epoch"` // control log index of its registration
	DataCentre     DataCentre     `cbor:"dc" json:"dataCentre"`
	Roles          []Role         `cbor:"r" json:"roles"`
	PeersAddress   netip.AddrPort `cbor:"p" json:"peers"`   // net/rpc
	StreamsAddress netip.AddrPort `cbor:"s" json:"streams"` // net/http between hosts
	State          MemberState    `cbor:"st" json:"state"`
	// Instance identifies the process, so that a resent registration is
	// recognised as such and a restarted process is not mistaken for its
	// predecessor.
	Instance string `cbor:"i" json:"instance"`
}

// HasRole reports whether the member has the given role.
func (m Member) HasRole(role Role) bool {
	for _, r := range m.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Assignment names the owner of a shard and the replicas of its journal.
type Assignment struct {
	Shard    ShardID    `cbor:"s" json:"shard"`
	Owner    HostName   `cbor:"o" json:"owner"`
	Epoch    Epoch      `cbor:"e" json:"epoch"`
	Replicas []HostName `cbor:"r" json:"replicas"`
	// JoiningReplica is a replica that is still catching up and does not count
	// towards a majority.
	JoiningReplica HostName `cbor:"j,omitempty" json:"joining,omitempty"`
	// ReplacedReplica is the replica that JoiningReplica replaces; empty if
	// JoiningReplica is an additional replica.
	ReplacedReplica HostName `cbor:"l,omitempty" json:"leaving,omitempty"`
	// MemberEpoch is the epoch of the owner's registration at the time of the
	// assignment. A restarted owner has a newer registration and does not hold
	// the shard.
	MemberEpoch Epoch `cbor:"m" json:"member"`
}

// Lists is the accepted pair of operators' lists, as text.
type Lists struct {
	Version Version `cbor:"v" json:"version"`
	Plans   string  `cbor:"p" json:"plans"` // text of plans.ini
	Usage   string  `cbor:"u" json:"usage"` // text of usage.ini
}

// Customer is one customer of a plan.
type Customer struct {
	Name CustomerName
	// KeyHash is the SHA-256 of the customer's key.
	KeyHash [32]byte
	// Expires is the instant from which the key is refused; zero if the key does
	// not expire.
	Expires time.Time
}

// Plan is one plan of the plan list.
type Plan struct {
	Name     PlanName
	Class    Class
	Priority int // 0 is the most urgent; takes precedence over the priority of a route
	// RequestRate is the number of requests a second that replicas may run for the
	// plan, and RequestBurst the number in excess of it; a rate of 0 means no limit.
	RequestRate  RequestRate
	RequestBurst int
	Weight       int           // share under contention, at least 1
	Budget       Tokens        // tokens for each window
	BudgetWindow time.Duration // span of the budget
	MaxCalls     int           // cap on the calls of a program
	MaxTokens    Tokens        // cap on the tokens of a program
	MaxDuration  time.Duration // cap on the lifetime of a program
	MaxQueueTime time.Duration // longest time in the queue
	Customers    []Customer
	// Models and Services are the pools that the plan may use, from the usage
	// list.
	Models   []PoolName
	Services []PoolName
}

// ServiceRule defines which calls of a service are idempotent.
type ServiceRule struct {
	Service PoolName
	// Idempotent has entries "METHOD" or "METHOD /path/prefix".
	Idempotent []string
}

// Catalog is the parsed pair of lists.
type Catalog struct {
	Version  Version
	Plans    map[PlanName]Plan
	Services map[PoolName]ServiceRule
}

// ListFault is one error in a list or settings file.
type ListFault struct {
	File    string `cbor:"f" json:"file"`
	Line    int    `cbor:"l" json:"line"`
	Problem string `cbor:"p" json:"problem"`
	Allowed string `cbor:"a,omitempty" json:"allowed,omitempty"`
}

// String formats the fault as FILE:LINE: PROBLEM, like a compiler message.
func (f ListFault) String() string {
	s := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	if f.Allowed != "" {
		s += "; allowed: " + f.Allowed
	}
	return s
}

// BackendState is the state of a backend server on the platform's list.
type BackendState string

// The states of a backend server.
const (
	BackendLive    BackendState = "live"
	BackendLeaving BackendState = "leaving"
)

// Backend is one backend server on the platform's list.
type Backend struct {
	Address    netip.AddrPort `json:"address"`
	Kind       BackendKind    `json:"kind"`
	Pool       PoolName       `json:"pool"`
	DataCentre DataCentre     `json:"dataCentre"`
	State      BackendState   `json:"state"`
	// ChecksFence is set if the server refuses orders with an outdated fencing
	// token.
	ChecksFence bool `json:"fences"`
	// ID distinguishes successive starts of a server at the same address; empty
	// if the list does not contain it.
	ID string `json:"id,omitempty"`
	// Slots is the number of requests that the server runs concurrently; 0 if
	// unknown.
	Slots int `json:"slots,omitempty"`
	// Version is the version of the server's software. A stream goes on only at the version
	// that has begun it.
	Version SoftwareVersion `json:"version,omitempty"`
}

// Compare orders replicas by address and id.
func (b Backend) Compare(o Backend) int {
	return cmp.Or(b.Address.Compare(o.Address), strings.Compare(b.ID, o.ID))
}

// ControlView is the control state as applied by one host. It is immutable once
// published, so that readers can share it.
type ControlView struct {
	Index       Index                    `json:"index"`
	Leader      HostName                 `json:"leader"`
	Voters      []VoterKey               `json:"voters"`
	Shards      int                      `json:"shards"`
	Lists       Lists                    `json:"lists"`
	Members     map[HostName]Member      `json:"members"`
	Assignments map[ShardID]Assignment   `json:"assignments"`
	Orders      map[netip.AddrPort]Order `json:"orders"`
	// Routing is the operators' configuration in force; nil before the first.
	Routing *Routing `json:"routing,omitempty"`
	// Disks are the disks that store turns and budgets. DisksIndex is the index
	// of the record that last changed the set.
	Disks      map[DiskID]Disk `json:"disks"`
	DisksIndex Index           `json:"disksIndex"`
	// Retired contains the disks that were emptied at an operator's request.
	Retired map[DiskID]Disk `json:"retired"`
	// Backends is the list of replicas as last read by the control leader.
	// BackendsIndex is the index of the record that contains it.
	Backends      []Backend `json:"backends"`
	BackendsIndex Index     `json:"backendsIndex"`
	// PastVersions are the software versions that the list has had within VersionMemory and
	// has no more.
	PastVersions []PastVersion `json:"pastVersions,omitempty"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The orders to engines.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order tells an engine to load or unload a model or to change role.
type Order struct {
	Backend netip.AddrPort `cbor:"b" json:"backend"`
	Kind    OrderKind      `cbor:"k" json:"kind"`
	Model   PoolName       `cbor:"m" json:"model"`
	// Fence is the fencing token: the index of the control record with the order.
	Fence Index `cbor:"f" json:"fence"`
}
