package quotas

import (
	"time"

	"zinniapond.example/zinniapond"
)

// queueGrace is the time for which a host that was told to ask again may be late.
const queueGrace = 200 * time.Millisecond

// queue has the requests of one plan for which hosts wait, with the last message of each.
type queue map[zinniapond.HostName]queued

// queued are the requests for which one host waits until it asks again.
type queued struct {
	beginning, continuing int
	until                 time.Time
}

// others returns the numbers of requests for which other hosts wait, and removes the hosts
// that have not asked again.
func (q queue) others(now time.Time, sender zinniapond.HostName) (beginning, continuing int) {
	for host, w := range q {
		switch {
		case now.After(w.until):
			delete(q, host)
		case host != sender:
			beginning, continuing = beginning+w.beginning, continuing+w.continuing
		}
	}
	return beginning, continuing
}

// record records for which requests a host waits.
func (q queue) record(now time.Time, sender zinniapond.HostName, need *zinniapond.QuotaNeed, grant *zinniapond.QuotaGrant) {
	w := queued{beginning: need.Beginning - grant.Beginning, continuing: need.Continuing - grant.Continuing}
	if w.beginning+w.continuing <= 0 {
		delete(q, sender)
		return
	}
	// A host asks for all its requests together, as soon as one of them may be allowed.
	wait := grant.OtherWait
	if w.continuing <= 0 {
		wait = grant.BeginWait
	}
	w.until = now.Add(wait + queueGrace)
	q[sender] = w
}
