package voter

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

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
	if v.core == nil {
		v.mu.Unlock()
		reply.Empty = true
		return nil
	}
	now := v.Clock()
	*reply = v.core.Vote(now, request)
	reply.Empty = v.core.Term() == 0
	sequence := v.core.Sequence()
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
		saved, wake := v.saved, v.recorded
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
	if v.core == nil {
		return !now.Before(arrived.Add(request.Wait)), v.committed, nil
	}
	var ready bool
	*reply, ready = v.core.Fetch(now, arrived, request)
	if err := v.settle(now); err != nil {
		return false, nil, err
	}
	if v.leader.Meet(now, ready, v.state.View(), request, reply) {
		signal(v.duty)
	}
	if request.Disk != "" {
		return ready, v.recorded, nil
	}
	// A fenced host is told at once, so that it registers again.
	return ready || reply.Fenced, v.committed, nil
}

// Propose appends a command and returns its outcome once it is committed.
func (v *Voter) Propose(request zinniapond.ProposeRequest, reply *zinniapond.ProposeReply) error {
	v.prepare()
	result, err := v.propose(request.Command, reply)
	if err != nil || result == nil {
		return err
	}
	select {
	case a := <-result:
		reply.Accepted, reply.Result = a.accepted, a.result
		return nil
	case <-v.done:
		return errStopped
	}
}

// propose appends a command. It returns no channel if the reply is complete.
func (v *Voter) propose(command zinniapond.Command, reply *zinniapond.ProposeReply) (<-chan answer, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Clock()
	if v.core == nil || !v.core.Leading(now) {
		if v.core != nil && v.core.Leader() != v.Settings.Host {
			reply.Leader = v.core.Leader()
		}
		return nil, nil
	}
	reply.Leader = v.Settings.Host
	if reply.RetryAfter = v.leader.Early(now, v.state.View(), command); reply.RetryAfter > 0 {
		return nil, nil
	}
	result, ok := v.state.Check(&command)
	if !ok {
		reply.Accepted, reply.Result = true, result
		return nil, nil
	}
	index, term, err := v.append(now, command)
	if err != nil {
		reply.Accepted, reply.Result = true, zinniapond.CommandResult{Reason: err.Error()}
		return nil, nil //nolint:nilerr // The outcome of the command.
	}
	v.leader.Proposed(now, command)
	c := make(chan answer, 1)
	v.waits[index] = wait{term: term, result: c}
	return c, v.settle(now)
}

func (v *Voter) append(now time.Time, command zinniapond.Command) (zinniapond.Index, zinniapond.Term, error) {
	data, err := cbor.Marshal(command)
	if err != nil {
		return 0, 0, err
	}
	if command.Kind == zinniapond.CommandVoters {
		return v.core.ProposeVoters(now, command.Voters, data)
	}
	return v.core.Propose(now, data)
}
