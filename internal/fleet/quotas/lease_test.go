package quotas

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var start = time.Unix(1000, 0)

// candidate is a control host in a model of the lease in which messages are lost, and in
// which withdrawals arrive late.
type candidate struct {
	address netip.AddrPort
	vote    vote
	tenure  tenure
}

// delayed is a withdrawal that has not arrived yet.
type delayed struct {
	to      *candidate
	request zinniapond.CounterRequest
}

// ask requests the lease for a candidate from the reachable hosts, as requestLease does.
// now advances with each message.
func (c *candidate) ask(now *time.Time, hosts []*candidate, reaches []bool, step time.Duration) (request zinniapond.CounterRequest, ok bool) {
	sentAt := *now
	c.tenure.attempt++
	request = zinniapond.CounterRequest{Sender: c.address, Process: c.tenure.processNumber(), Attempt: c.tenure.attempt}
	own := c.vote.accept(*now, request)
	if !own.Accepted {
		return request, false
	}
	accepted, quiet := 1, own.Quiet
	for i, h := range hosts {
		if h == c || !reaches[i] {
			continue
		}
		*now = now.Add(step)
		if reply := h.vote.accept(*now, request); reply.Accepted && accepted < len(hosts)/2+1 {
			accepted++
			quiet = min(quiet, reply.Quiet)
		}
	}
	if accepted < len(hosts)/2+1 {
		return request, false
	}
	c.tenure.extend(*now, sentAt, quiet)
	return request, true
}

// assertOne fails if two hosts count at the same time.
func assertOne(t assert.TB, now time.Time, hosts []*candidate) (counting *candidate) {
	t.Helper()
	for _, h := range hosts {
		if _, ok := h.tenure.at(now); ok {
			assert.True(t, counting == nil, "two hosts count")
			counting = h
		}
	}
	return counting
}

// TestLease guards against two control hosts that grant at the same time, and against a
// host that takes tokens for unused that another host may have granted.
func TestLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []*candidate
		for i := range rapid.IntRange(1, 5).Draw(t, "hosts") {
			hosts = append(hosts, &candidate{address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)})
			hosts[i].vote.start(start)
		}
		now := start
		var late []delayed
		// countedAt is the last time at which a host counted.
		countedAt := make(map[*candidate]time.Time)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 310}).Draw(t, "pause")) * time.Millisecond)
			at := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			c := hosts[at]
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0: // the process restarts
				*c = candidate{address: c.address}
				c.vote.start(now)
			case 1:
				for _, d := range late {
					d.to.vote.accept(now, d.request)
				}
				late = nil
			default:
				reaches := make([]bool, len(hosts))
				for i := range reaches {
					reaches[i] = rapid.IntRange(0, 3).Draw(t, "reached") > 0
				}
				step := time.Duration(rapid.IntRange(0, 40).Draw(t, "latency")) * time.Millisecond
				request, ok := c.ask(&now, hosts, reaches, step)
				if _, valid := c.tenure.at(now); !ok && !valid {
					request.Withdrawn = true
					for _, h := range hosts {
						late = append(late, delayed{h, request})
					}
				}
			}
			if c := assertOne(t, now, hosts); c != nil {
				for other, last := range countedAt {
					assert.True(t, other == c || !c.tenure.term.since.Before(last), "another host has counted for %s of the term", last.Sub(c.tenure.term.since))
				}
				countedAt[c] = now
			}
		}
	})
}

func TestVote(t *testing.T) {
	request := zinniapond.CounterRequest{Sender: netip.MustParseAddrPort("10.0.0.1:1"), Process: 1, Attempt: 1}
	other := zinniapond.CounterRequest{Sender: netip.MustParseAddrPort("10.0.0.2:1"), Process: 2, Attempt: 1}
	t.Run("guards against a restarted host that has forgotten its promise", func(t *testing.T) {
		var v vote
		v.start(start)
		assert.True(t, !v.accept(start.Add(leaseTime-1), request).Accepted, "accepted at once")
		assert.True(t, v.accept(start.Add(leaseTime), request).Accepted, "not accepted later")
	})
	t.Run("guards against a bucket that is empty after each pause of the load", func(t *testing.T) {
		var v vote
		v.start(start)
		v.accept(start.Add(time.Second), request)
		reply := v.accept(start.Add(time.Hour), request)
		assert.True(t, reply.Accepted && reply.Quiet == time.Hour-leaseTime, "reply %v", reply)
	})
	t.Run("guards against a late withdrawal that ends a newer promise", func(t *testing.T) {
		var v vote
		v.start(start)
		now := start.Add(time.Second)
		newer, withdrawal := request, request
		newer.Attempt++
		withdrawal.Withdrawn = true
		v.accept(now, newer)
		v.accept(now, withdrawal)
		assert.True(t, !v.accept(now, other).Accepted, "the promise has ended")
	})
}
