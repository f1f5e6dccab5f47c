package zinniapond

import (
	"net/netip"
	"time"
)

// OpenReason is why a connection to a replica is opened although connections are kept.
type OpenReason string

// The reasons for opening a connection.
const (
	// OpenFirst is the first connection to a replica since it was listed.
	OpenFirst OpenReason = "first"
	// OpenAllInUse means that all connections carry a request.
	OpenAllInUse OpenReason = "busy"
	// OpenClosedIdle replaces a connection that the replica closed, or on which it sent
	// bytes, while it was idle.
	OpenClosedIdle OpenReason = "closed"
	// OpenFinalAnswer replaces a connection that the replica closed with an answer.
	OpenFinalAnswer OpenReason = "final"
	// OpenAfterError replaces a connection whose last answer was not read to its end.
	OpenAfterError OpenReason = "error"
	// OpenRestarted replaces a connection to an earlier start of the replica.
	OpenRestarted OpenReason = "restarted"
	// OpenStale replaces a connection that had been idle for too long, or is opened as
	// the idle ones do not suit the request.
	OpenStale OpenReason = "stale"
	// OpenOverShare replaces a connection that was closed as this host had more than its
	// share.
	OpenOverShare OpenReason = "share"
	// OpenProbe is a connection that carries no request.
	OpenProbe OpenReason = "probe"
)

// ConnectionShare bounds one host's connections to a replica.
type ConnectionShare struct {
	// IsLimited is false if there is no bound.
	IsLimited bool
	// Open bounds the connections, and Idle those that are kept while idle.
	Open, Idle int
}

// ConnectionUse is what a host knows of a replica that limits its connections.
type ConnectionUse struct {
	// Limit is the number of connections that the replica accepts from all hosts
	// together.
	Limit int
	// Running is the number of requests that all hosts have at the replica.
	Running int
	// Slots is the number of requests that the replica runs at once; 0 if unknown.
	Slots int
}

// ConnectionSharing divides the connections that replicas accept among the hosts.
type ConnectionSharing interface {
	// SetHostCount sets the number of hosts that send requests to the replicas.
	SetHostCount(now time.Time, count int)
	// Share returns this host's share of the connections to a replica.
	Share(now time.Time, replica netip.AddrPort, use ConnectionUse) ConnectionShare
}
