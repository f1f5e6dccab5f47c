package zinniapond

import (
	"net/netip"
	"time"
)

// Load is the number of requests at one replica.
type Load struct {
	Replica netip.AddrPort `cbor:"r"`
	Count   int            `cbor:"c"`
	// Good and Bad count the answers that the replica has given lately. They are zero
	// for a replica that is not bounded by its Pace and has not failed lately.
	Good int `cbor:"g,omitempty"`
	Bad  int `cbor:"b,omitempty"`
}

// Add adds the counts of another host's load of the same replica.
func (l *Load) Add(o Load) {
	l.Count += o.Count
	l.Good += o.Good
	l.Bad += o.Bad
}

// HasAnswers reports whether the load has counts of answers.
func (l Load) HasAnswers() bool { return l.Good != 0 || l.Bad != 0 }

// LoadsRequest reports how many requests one host has running at each replica.
type LoadsRequest struct {
	Sender HostName `cbor:"h"`
	Loads  []Load   `cbor:"l,omitempty"`
	// ListIndex is the index of the record with the list of replicas that the sender
	// has, 0 for none. Packed are loads in the order of the list with the index
	// PackedIndex; Loads are those that are not among them.
	ListIndex   Index  `cbor:"i,omitempty"`
	Packed      []byte `cbor:"p,omitempty"`
	PackedIndex Index  `cbor:"pi,omitempty"`
	// Relayed is set if the sender is a control host and Loads are the sums of the
	// hosts that report to it.
	Relayed bool `cbor:"r,omitempty"`
	// Hosts is the number of hosts whose loads are in relayed sums.
	Hosts int `cbor:"n,omitempty"`
	// Limits are the limits of replicas that the sender has learned since its last
	// report.
	Limits []LimitReport `cbor:"m,omitempty"`
	// Blame is the evidence on requests that end replicas that the sender has
	// learned since its last report.
	Blame BlameReport `cbor:"b,omitzero"`
}

// LoadsReply contains the sum over all hosts with a recent report.
type LoadsReply struct {
	Loads []Load `cbor:"l,omitempty"`
	// ListIndex is the index of the receiver's list of replicas; set in the reply to a
	// control host. Packed are loads in the order of the list that the request names;
	// Loads are those that are not among them.
	ListIndex Index  `cbor:"i,omitempty"`
	Packed    []byte `cbor:"k,omitempty"`
	// ReportInterval is the time after which the host is to report its loads
	// again.
	ReportInterval time.Duration `cbor:"p"`
	// Hosts is the number of hosts with a recent report.
	Hosts int `cbor:"n,omitempty"`
	// Limits are all limits that replicas name.
	Limits []LimitReport `cbor:"m,omitempty"`
	// Blame is the evidence that the control host has learned since the last report of
	// the host.
	Blame BlameReport `cbor:"b,omitzero"`
}
