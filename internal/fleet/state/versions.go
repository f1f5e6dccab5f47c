package state

import (
	"time"

	"zinniapond.example/zinniapond"
)

// poolVersion is a software version of the replicas of one pool.
type poolVersion struct {
	pool    zinniapond.PoolName
	version zinniapond.SoftwareVersion
}

// setBackends replaces the list of replicas by one that was read at the given time, and
// remembers the software versions that only the list before has.
func setBackends(view *zinniapond.ControlView, list []zinniapond.Backend, readAt time.Time) {
	var past []zinniapond.PastVersion
	for _, p := range view.PastVersions {
		if readAt.Sub(p.GoneAt) < zinniapond.VersionMemory {
			past = append(past, p)
		}
	}
	known := make(map[poolVersion]bool)
	for _, b := range list {
		known[poolVersion{b.Pool, b.Version}] = true
	}
	for _, b := range view.Backends {
		if v := (poolVersion{b.Pool, b.Version}); b.Version != "" && !known[v] {
			known[v] = true
			past = append(past, zinniapond.PastVersion{Pool: b.Pool, Version: b.Version, GoneAt: readAt})
		}
	}
	view.Backends, view.BackendsIndex, view.PastVersions = list, view.Index, past
}
