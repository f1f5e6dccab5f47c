package zinniapond

import (
	"fmt"
	"net/netip"
	"time"
)

// Role is a part of the work that a host takes on by its settings.
type Role string

// The roles of a host.
const (
	RoleEntry   Role = "entry"
	RoleOwner   Role = "owner"
	RoleStore   Role = "store"
	RoleControl Role = "control"
	// RoleKeeper keeps the turns and budgets of programs on its disk.
	RoleKeeper Role = "keeper"
	// RoleFront and RoleOperators serve the callers and the operators of an
	// outside platform.
	RoleFront     Role = "front"
	RoleOperators Role = "operators"
)

// MemberState is the standing of a host in the member list.
type MemberState string

// The states of a member.
const (
	// MemberStarting has registered and has not yet applied its registration.
	MemberStarting MemberState = "starting"
	MemberActive   MemberState = "active"
	// MemberDraining gives its shards away and takes no new programs.
	MemberDraining MemberState = "draining"
	// MemberFenced missed its session timeout.
	MemberFenced MemberState = "fenced"
	MemberLeft   MemberState = "left"
)

// Member is one host of the system as the control log has it.
type Member struct {
	Name       HostName       `cbor:"n" json:"name"`
	Epoch      Epoch          `cbor:"e" json:"epoch"` // index of its registration
	DataCentre DataCentre     `cbor:"dc" json:"dataCentre"`
	Roles      []Role         `cbor:"r" json:"roles"`
	Peers      netip.AddrPort `cbor:"p" json:"peers"`   // net/rpc
	Streams    netip.AddrPort `cbor:"s" json:"streams"` // net/http between hosts
	State      MemberState    `cbor:"st" json:"state"`
	// Instance identifies the process, so that a resent registration is
	// recognised and a restarted process is not taken for the earlier one.
	Instance string `cbor:"i" json:"instance"`
}

// Has reports whether the member has the given role.
func (m Member) Has(role Role) bool {
	for _, r := range m.Roles {
		if r == role {
			return true
		}
	}
	return false
}

// Assignment says who owns a shard and who keeps its journal.
type Assignment struct {
	Shard    ShardID    `cbor:"s" json:"shard"`
	Owner    HostName   `cbor:"o" json:"owner"`
	Epoch    Epoch      `cbor:"e" json:"epoch"`
	Replicas []HostName `cbor:"r" json:"replicas"`
	// Joining is a replica that still catches up and does not count.
	Joining HostName `cbor:"j,omitempty" json:"joining,omitempty"`
	// Leaving is the replica that Joining replaces; empty if it is added.
	Leaving HostName `cbor:"l,omitempty" json:"leaving,omitempty"`
	// Member is the owner's registration for which the assignment was made.
	// A restarted owner has another one and does not hold the shard.
	Member Epoch `cbor:"m" json:"member"`
}

// Lists is the accepted pair of lists, as text and as parsed.
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
	// Expires is the instant from which the key is refused; zero for never.
	Expires time.Time
}

// Plan is one plan of the plan list.
type Plan struct {
	Name      PlanName
	Class     Class
	Weight    int           // share under contention, at least 1
	Budget    Tokens        // tokens for each window
	Window    time.Duration // span of the budget
	Turns     int           // cap on the calls of a program
	Tokens    Tokens        // cap on the tokens of a program
	Time      time.Duration // cap on the life of a program
	Wait      time.Duration // longest time in queue
	Customers []Customer
	// Models and Services are what the plan may use, from the usage list.
	Models   []PoolName
	Services []PoolName
}

// ServiceRule says which calls of a service may be repeated.
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

// ListFault is one mistake in a list or settings file.
type ListFault struct {
	File    string `cbor:"f" json:"file"`
	Line    int    `cbor:"l" json:"line"`
	Problem string `cbor:"p" json:"problem"`
	Allowed string `cbor:"a,omitempty" json:"allowed,omitempty"`
}

// String returns the fault in the form of a compiler message.
func (f ListFault) String() string {
	s := fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Problem)
	if f.Allowed != "" {
		s += "; allowed: " + f.Allowed
	}
	return s
}

// BackendState is the standing of a backend server on the platform's list.
type BackendState string

// The states of a backend server.
const (
	BackendLive    BackendState = "live"
	BackendLeaving BackendState = "leaving"
)

// Backend is one backend server on the platform's list.
type Backend struct {
	Address    netip.AddrPort `json:"address"`
	Kind       Kind           `json:"kind"`
	Pool       PoolName       `json:"pool"`
	DataCentre DataCentre     `json:"dataCentre"`
	State      BackendState   `json:"state"`
	// Fences tells that the server refuses orders with an old fencing number.
	Fences bool `json:"fences"`
	// ID tells one start of a server from the next at the same address; empty
	// if the list does not say.
	ID string `json:"id,omitempty"`
	// Slots is the number of requests that the server runs at once; 0 if unknown.
	Slots int `json:"slots,omitempty"`
}

// ControlView is the control state as one host has applied it. It is never
// changed after it was published; readers share it.
type ControlView struct {
	Index       Index                    `json:"index"`
	Leader      HostName                 `json:"leader"`
	Shards      int                      `json:"shards"`
	Lists       Lists                    `json:"lists"`
	Members     map[HostName]Member      `json:"members"`
	Assignments map[ShardID]Assignment   `json:"assignments"`
	Orders      map[netip.AddrPort]Order `json:"orders"`
	// Routing is the operators' configuration in force; nil before the first.
	Routing *Routing `json:"routing,omitempty"`
	// Disks keep turns and budgets. DisksIndex is the record that last changed
	// them.
	Disks      map[DiskID]Disk `json:"disks"`
	DisksIndex Index           `json:"disksIndex"`
	// Retired has the disks that were emptied at an operator's request.
	Retired map[DiskID]Disk `json:"retired"`
	// Backends is the list of replicas, as the leader has read it last.
	Backends      []Backend `json:"backends"`
	BackendsIndex Index     `json:"backendsIndex"`
}

// OrderKind is what an engine is told to do.
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
	// Fence is the index of the control record that gave the order.
	Fence Index `cbor:"f" json:"fence"`
}
