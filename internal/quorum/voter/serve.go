package voter

import (
	"errors"
	"time"

	"zinniapond.example/zinniapond"
)

// maxFetchWait limits the time for which a fetch is held, even if its sender
// requests a longer one.
const maxFetchWait = 5 * time.Second

// errStopped is the error of the requests that are pending when Run ends.
var errStopped = errors.New("voter is stopping")

// Vote handles a vote request of another voter. It returns once the vote is
// durable. Before this voter has formed or joined a cluster, and before its first
// term, the reply says that it has no data.
func (v *Voter) Vote(request zinniapond.VoteRequest, reply *zinniapond.VoteReply) error {
	v.initialise()
	v.mu.Lock()
	if v.node == nil {
		v.mu.Unlock()
		reply.Empty = true
		return nil
	}
	now := v.Clock()
	*reply = v.node.Core.HandleVote(now, request)
	reply.Empty = v.node.Core.Term() == 0
	sequence := v.node.Core.Sequence()
	err := v.processChanges(now)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	return v.waitUntilSaved(sequence)
}

// waitUntilSaved waits until the change with the given sequence number is durable.
func (v *Voter) waitUntilSaved(sequence uint64) error {
	for {
		v.mu.Lock()
		savedSequence, changed := v.node.SavedSequence(), v.recordsAppended
		v.mu.Unlock()
		if savedSequence >= sequence {
			return nil
		}
		select {
		case <-changed:
		case <-v.done:
			return errStopped
		}
	}
}

// Fetch handles a fetch of a voter or a host. It holds the request while there is
// nothing new, at most for the MaxWait of the request or maxFetchWait.
func (v *Voter) Fetch(request zinniapond.FetchRequest, reply *zinniapond.FetchReply) error {
	v.initialise()
	request.MaxWait = min(request.MaxWait, maxFetchWait)
	arrived := v.Clock()
	timer := time.NewTimer(request.MaxWait)
	defer timer.Stop()
	for {
		ready, changed, err := v.tryFetch(arrived, request, reply)
		if err != nil || ready {
			return err
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-v.done:
			return errStopped
		}
	}
}

func (v *Voter) tryFetch(arrived time.Time, request zinniapond.FetchRequest, reply *zinniapond.FetchReply) (bool, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if v.node == nil {
		return !now.Before(arrived.Add(request.MaxWait)), v.recordsCommitted, nil
	}
	var ready bool
	var err error
	if *reply, ready, err = v.node.HandleFetch(now, arrived, request); err == nil {
		err = v.processChanges(now)
	}
	reply.Urgent = request.Disk != ""
	if request.Disk != "" {
		return ready, v.recordsAppended, err
	}
	return ready, v.recordsCommitted, err
}

// Propose handles a proposal of a host. It appends the command and returns once
// the command is committed or refused, or the leadership is lost.
func (v *Voter) Propose(request zinniapond.ProposeRequest, reply *zinniapond.ProposeReply) error {
	v.initialise()
	result, err := v.appendCommand(request.Command)
	if err != nil {
		return err
	}
	select {
	case *reply = <-result:
		return nil
	case <-v.done:
		return errStopped
	}
}

func (v *Voter) appendCommand(command zinniapond.Command) (<-chan zinniapond.ProposeReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	result := make(chan zinniapond.ProposeReply, 1)
	if v.node == nil {
		result <- zinniapond.ProposeReply{}
		return result, nil
	}
	now := v.Clock()
	v.node.Propose(now, command, func(reply zinniapond.ProposeReply) { result <- reply })
	return result, v.processChanges(now)
}
