package voter

import (
	"errors"
	"time"

	"zinniapond.example/zinniapond"
)

// longestWait bounds how long a fetch is held, whatever its sender asks.
const longestWait = 5 * time.Second

// errStopped answers requests of a voter that stops.
var errStopped = errors.New("voter is stopping")

// Vote answers a vote request once the vote is durable.
func (v *Voter) Vote(request zinniapond.VoteRequest, reply *zinniapond.VoteReply) error {
	v.prepare()
	v.mu.Lock()
	if v.node == nil {
		v.mu.Unlock()
		reply.Empty = true
		return nil
	}
	now := v.Clock()
	*reply = v.node.Core.Vote(now, request)
	reply.Empty = v.node.Core.Term() == 0
	sequence := v.node.Core.Sequence()
	err := v.settle(now)
	v.mu.Unlock()
	if err != nil {
		return err
	}
	return v.durable(sequence)
}

// durable waits until the change with the given number is synced.
func (v *Voter) durable(sequence uint64) error {
	for {
		v.mu.Lock()
		saved, wake := v.node.Durable(), v.recorded
		v.mu.Unlock()
		if saved >= sequence {
			return nil
		}
		select {
		case <-wake:
		case <-v.done:
			return errStopped
		}
	}
}

// Fetch answers a fetch, and holds it while there is nothing new.
func (v *Voter) Fetch(request zinniapond.FetchRequest, reply *zinniapond.FetchReply) error {
	v.prepare()
	request.Wait = min(request.Wait, longestWait)
	arrived := v.Clock()
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for {
		ready, wake, err := v.answer(arrived, request, reply)
		if err != nil || ready {
			return err
		}
		select {
		case <-wake:
		case <-timer.C:
		case <-v.done:
			return errStopped
		}
	}
}

func (v *Voter) answer(arrived time.Time, request zinniapond.FetchRequest, reply *zinniapond.FetchReply) (bool, <-chan struct{}, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if v.node == nil {
		return !now.Before(arrived.Add(request.Wait)), v.committed, nil
	}
	var ready bool
	var err error
	if *reply, ready, err = v.node.Fetch(now, arrived, request); err == nil {
		err = v.settle(now)
	}
	if request.Disk != "" {
		return ready, v.recorded, err
	}
	return ready, v.committed, err
}

// Propose appends a command and returns its outcome once it is committed.
func (v *Voter) Propose(request zinniapond.ProposeRequest, reply *zinniapond.ProposeReply) error {
	v.prepare()
	result, err := v.propose(request.Command)
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

func (v *Voter) propose(command zinniapond.Command) (<-chan zinniapond.ProposeReply, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	result := make(chan zinniapond.ProposeReply, 1)
	if v.node == nil {
		result <- zinniapond.ProposeReply{}
		return result, nil
	}
	now := v.Clock()
	v.node.Propose(now, command, func(reply zinniapond.ProposeReply) { result <- reply })
	return result, v.settle(now)
}
