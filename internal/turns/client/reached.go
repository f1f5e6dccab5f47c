package client

import (
	"errors"
	"sync"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/core/shard"
)

// reachability signals that requests reach a disk again that they could not be sent to.
type reachability struct {
	unreached shard.Map[zinniapond.DiskID, struct{}]

	mu     sync.Mutex
	signal chan struct{} // closed at the next return of a disk; nil if nobody waits
}

// next returns a channel that is closed when the next disk is reached again.
func (r *reachability) next() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.signal == nil {
		r.signal = make(chan struct{})
	}
	return r.signal
}

// record records the result of a request to a disk. Any reply, also an error of the
// disk, shows that it is reached: a disk that refuses some requests and answers others
// must not wake the waiting requests each time.
func (r *reachability) record(disk zinniapond.DiskID, err error) {
	if errors.Is(err, zinniapond.ErrNotSent) {
		r.unreached.Set(disk, struct{}{})
		return
	}
	returned := false
	r.unreached.Update(disk, func(values map[zinniapond.DiskID]struct{}) {
		_, returned = values[disk]
		delete(values, disk)
	})
	if !returned {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.signal != nil {
		close(r.signal)
		r.signal = nil
	}
}

// Reached returns a channel that is closed when a disk that requests of this host could
// not be sent to is reached again.
func (c *Client) Reached() <-chan struct{} { return c.reachability.next() }
