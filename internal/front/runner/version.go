package runner

import (
	"context"
	"fmt"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

const (
	// beginTimeout bounds the time for recording the software version of a stream, which is
	// part of the time to its first event. A stream without a record may not be resumed.
	beginTimeout = 250 * time.Millisecond
	// recordTime bounds the further attempts to record it beside the stream, and
	// recordPause is the pause between two of them.
	recordTime  = 3 * time.Second
	recordPause = 100 * time.Millisecond
)

// versions are the software versions of a pool's replicas.
type versions struct {
	listed []zinniapond.SoftwareVersion       // of live and leaving replicas
	live   map[zinniapond.SoftwareVersion]int // number of live replicas
}

func newVersions(list []zinniapond.Backend) *versions {
	v := &versions{live: make(map[zinniapond.SoftwareVersion]int)}
	for _, b := range list {
		if b.Version != "" && !slices.Contains(v.listed, b.Version) {
			v.listed = append(v.listed, b.Version)
		}
		if b.State == zinniapond.BackendLive {
			v.live[b.Version]++
		}
	}
	return v
}

// onlyVersion returns the software version that all replicas of the pool have; empty if
// they have several.
func (p *pool) onlyVersion() zinniapond.SoftwareVersion {
	if listed := p.versions.Load().listed; len(listed) == 1 {
		return listed[0]
	}
	return ""
}

// serves reports whether a live replica has a software version.
func (p *pool) serves(version zinniapond.SoftwareVersion) bool {
	return p.versions.Load().live[version] > 0
}

// hasOtherOf reports whether a stream of a replica may go on at another one: it does if all
// have one version.
func (p *pool) hasOtherOf(replica zinniapond.Backend) bool {
	v := p.versions.Load()
	return len(v.listed) <= 1 || v.live[replica.Version] > 1
}

// neededVersion returns the software version that may run the request; empty for any.
func (u *run) neededVersion(p *pool) zinniapond.SoftwareVersion {
	if u.origin != "" {
		return u.origin
	}
	// At the version of the reservation the stream needs no second record.
	if u.spend.Version != "" && p.serves(u.spend.Version) {
		return u.spend.Version
	}
	return ""
}

// versionGoneError returns the error for a stream that no replica can continue. The client
// may run the request again from its beginning, or come back soon if this host has not
// learned of the version yet.
func (u *run) versionGoneError(p *pool, version zinniapond.SoftwareVersion, last error) error {
	isPast := slices.ContainsFunc(u.pastVersions(), func(past zinniapond.PastVersion) bool { return past.Version == version })
	if !isPast && !slices.Contains(p.versions.Load().listed, version) {
		u.Stats.Add("front.versionunknown", 1)
		err := fmt.Errorf("version %s is not known here yet: %w", version, zinniapond.ErrUnavailable)
		return retryableError("find replica", shortRetryAfter, zinniapond.Join(err, last))
	}
	u.Stats.Add("front.versiongone", 1)
	return zinniapond.Join(fmt.Errorf("no replica of version %s is left: %w", version, zinniapond.ErrUnavailable), last)
}

// pastVersions returns the versions that replicas of the pool have had lately.
func (u *run) pastVersions() []zinniapond.PastVersion {
	var list []zinniapond.PastVersion
	for _, past := range u.Directory.View().PastVersions {
		if past.Pool == u.poolName {
			list = append(list, past)
		}
	}
	return list
}

// resolveOrigin finds the software version that has begun a stream which the client
// resumes. It asks the disks, whatever versions this host knows: it may have missed the
// coming of one while it was cut off or stood still.
func (u *run) resolveOrigin(ctx context.Context, now time.Time, p *pool) error {
	if !u.route.IsStream() || !u.route.Resumable || u.request.LastEventID == "" {
		return nil
	}
	origin := zinniapond.StreamOrigin{IsNamed: u.request.Resumes != "", Listed: p.versions.Load().listed, Past: u.pastVersions()}
	spends := u.others
	if u.needsOwnRecord() && origin.IsNamed && len(origin.Listed)+len(origin.Past) > 0 {
		var err error
		if spends, err = u.Turns.Reserve(ctx, now, u.originSpend(now, u.request.Resumes), 0); err != nil {
			return retryableError("find beginning of stream", shortRetryAfter, err)
		}
	}
	for _, s := range spends {
		if origin.IsNamed && s.Turn == u.request.Resumes {
			origin.Recorded = s.Version
		}
	}
	version, err := u.Origins.Resolve(now, origin)
	if err != nil {
		u.Stats.Add("front.originunknown", 1)
		return retryableError("find beginning of stream", 0, err)
	}
	u.origin = version
	return nil
}

// needsOwnRecord reports whether the stream has no reservation that could have its version.
func (u *run) needsOwnRecord() bool { return u.request.Program == "" || u.request.TokenBudget <= 0 }

// originSpend returns the record of the version of a stream without a budget. It has no
// tokens, and is kept in an account of its own.
func (u *run) originSpend(now time.Time, first zinniapond.AttemptID) zinniapond.Spend {
	return zinniapond.Spend{
		Program: zinniapond.ProgramID("stream/" + u.scoped(string(first))), Turn: u.request.ID, ReservedAt: now.Truncate(time.Second), Retention: u.route.Timeout,
	}
}

// recordOrigin records the software version at which a stream begins, before the client
// has the first event. It does nothing if the reservation has the version. That this host
// knows no other version says nothing about the host at which the client takes the stream up.
// If the disks are late, the stream begins and the record follows, unless they have another
// version of it: the error is then that of the record, and the stream must not begin.
func (u *run) recordOrigin(ctx context.Context) error {
	if !u.route.Resumable || u.origin != "" {
		return nil
	}
	u.origin = u.replicaVersion
	if u.replicaVersion == "" || u.spend.Version == u.replicaVersion {
		return nil
	}
	now := u.Clock()
	spend := u.spend
	if u.needsOwnRecord() {
		spend = u.originSpend(now, u.request.ID)
	}
	isReservedElsewhere := spend.Version != ""
	spend.Version, spend.Begun = u.replicaVersion, true
	callCtx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	if err := u.Turns.Begin(callCtx, now, spend); err != nil {
		u.Stats.Add("front.unrecorded", 1)
		u.Logger.Warn("version of stream not recorded", "id", u.request.ID, "version", u.replicaVersion, "error", err)
		if isReservedElsewhere {
			return fmt.Errorf("record version %s of stream: %w", u.replicaVersion, err)
		}
		u.inBackground("record version", func() { u.recordLater(now, spend) })
	}
	if !u.needsOwnRecord() {
		u.spend.Version, u.spend.Begun = spend.Version, true
	}
	return nil
}

// recordLater records the version of a stream that has begun without a record.
func (u *run) recordLater(now time.Time, spend zinniapond.Spend) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTime)
	defer cancel()
	for next := now; sleepUntil(ctx, u.Clock(), next) == nil; next = u.Clock().Add(recordPause) {
		if err := u.Turns.Begin(ctx, now, spend); err == nil {
			u.Stats.Add("front.recordedlate", 1)
			return
		}
	}
}

// passMisfit offers the room that the request was woken for to the next request, if its
// replica has another software version than the request needs.
func (w *waitState) passMisfit(now time.Time, p *pool, need zinniapond.PickInfo) {
	if !w.isUnused || !w.only.IsValid() {
		return
	}
	if b, live := (*p.replicas.Load())[w.only]; live && need.Fits(b) {
		return
	}
	w.isUnused = false
	w.waiters.pass(now, wake{replica: w.only, passes: w.passes})
}
