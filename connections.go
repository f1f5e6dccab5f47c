package zinniapond

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
	// OpenProbe is a connection that carries no request.
	OpenProbe OpenReason = "probe"
)
