package duty

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var begin = time.Unix(1000, 0)

func newLeader() (*Leader, *zinniapond.ControlView) {
	l := &Leader{SessionTimeout: 4 * time.Second, Shards: 1}
	l.Begin(begin)
	return l, &zinniapond.ControlView{Index: 9, Shards: 1, Members: map[zinniapond.HostName]zinniapond.Member{
		"a": {Name: "a", Epoch: 3, Instance: "1", State: zinniapond.MemberActive},
	}}
}

func fetchReply(l *Leader, now time.Time, view *zinniapond.ControlView, epoch zinniapond.Epoch) zinniapond.FetchReply {
	reply := zinniapond.FetchReply{Accepted: true, CommittedOwnTerm: true}
	l.CompleteReply(now, true, view, zinniapond.FetchRequest{Sender: "a", MemberEpoch: epoch}, &reply)
	return reply
}

func TestLeader(t *testing.T) {
	t.Run("guards against fencing a host that still holds a lease", func(t *testing.T) {
		l, view := newLeader()
		now := begin.Add(3 * time.Second)
		assert.Equal(t, fetchReply(l, now, view, 3).CommittedOwnTerm, true)
		assert.Equal(t, len(l.DueCommands(now.Add(l.SessionTimeout-1), view)), 0)
		assert.Equal(t, l.DueCommands(now.Add(l.SessionTimeout), view)[0].Member.State, zinniapond.MemberFenced)
	})
	t.Run("guards against fencing a host at once to which an earlier leader granted a lease", func(t *testing.T) {
		l, view := newLeader()
		assert.Equal(t, len(l.DueCommands(begin.Add(l.SessionTimeout-1), view)), 0)
	})
	t.Run("guards against granting a lease before the fencing is committed", func(t *testing.T) {
		l, view := newLeader()
		now := begin.Add(l.SessionTimeout)
		assert.Equal(t, len(l.DueCommands(now, view)), 1)
		reply := fetchReply(l, now, view, 3)
		assert.True(t, reply.Fenced && !reply.CommittedOwnTerm, "the host got a lease")
	})
	t.Run("guards against a lease for an earlier registration", func(t *testing.T) {
		l, view := newLeader()
		assert.Equal(t, fetchReply(l, begin, view, 2).Fenced, true)
	})
	t.Run("guards against registering a second process while the first may hold a lease", func(t *testing.T) {
		l, view := newLeader()
		fetchReply(l, begin.Add(time.Second), view, 3)
		other := zinniapond.Command{Kind: zinniapond.CommandRegister, Member: &zinniapond.Member{Name: "a", Instance: "2"}}
		assert.Equal(t, l.RegistrationDelay(begin.Add(2*time.Second), view, other), 3*time.Second)
		other.Member.Instance = "1"
		assert.Equal(t, l.RegistrationDelay(begin.Add(2*time.Second), view, other), 0)
	})
}
