package zinniapond

import (
	"net/netip"
	"time"
)

// Load is the number of requests at one replica.
type Load struct {
	Replica netip.AddrPort `cbor:"r"`
	Count   int            `cbor:"c"`
}

// LoadsRequest reports how many requests one host has running at each replica.
type LoadsRequest struct {
	Sender HostName `cbor:"h"`
	Loads  []Load   `cbor:"l,omitempty"`
	// Relayed is set if the sender is a control host and Loads are the sums of the
	// hosts that report to it.
	Relayed bool `cbor:"r,omitempty"`
}

// LoadsReply contains the sum over all hosts with a recent report.
type LoadsReply struct {
	Loads []Load `cbor:"l,omitempty"`
	// ReportInterval is the time after which the host is to report its loads
	// again.
	ReportInterval time.Duration `cbor:"p"`
}
