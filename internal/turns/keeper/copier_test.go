package keeper

import (
	"bytes"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

const (
	// copyDelay is the time of a request to another disk: the way there and back, and a sync.
	copyDelay   = 10 * time.Millisecond
	catchUpTime = 4 * time.Second
)

// inBubble runs a subtest in a synctest bubble. Only the delays of requests and the pauses
// between them take time there, not the CPU and the file system of the machine.
func inBubble(t *testing.T, name string, test func(t *testing.T)) {
	t.Run(name, func(t *testing.T) { synctest.Test(t, test) })
}

// fill stores turns and spends on the disk of a keeper.
func fill(t *testing.T, h *hosts, k *Keeper, turns, turnBytes, spends int) {
	t.Helper()
	content := bytes.Repeat([]byte("x"), turnBytes)
	const perRequest = 100
	for first := 0; first < turns; first += perRequest {
		var request zinniapond.KeepRequest
		for i := range min(perRequest, turns-first) {
			request.Turns = append(request.Turns, zinniapond.Turn{ID: zinniapond.TurnID(fmt.Sprint("t", first+i)), Input: content, Origin: "b", Retention: time.Minute})
		}
		assert.True(t, h.keep(k, request), "not kept")
	}
	begun := time.Now().Truncate(time.Second)
	for first := 0; first < spends; first += perRequest {
		var request zinniapond.KeepRequest
		for i := range min(perRequest, spends-first) {
			request.Spends = append(request.Spends, zinniapond.Spend{
				Program: zinniapond.ProgramID(fmt.Sprint("p", first+i)), Turn: zinniapond.AttemptID(fmt.Sprint("a", first+i)), Reserved: 5,
				ReservedAt: begun.Add(-time.Duration(first/perRequest%60) * time.Second), Retention: time.Minute,
			})
		}
		assert.True(t, h.keep(k, request), "not kept")
	}
}

func TestCopyTime(t *testing.T) {
	// assertCaughtUp loses a disk and checks that the records of another one have enough
	// copies within the part of the catch-up time that the detection of the loss leaves.
	assertCaughtUp := func(t *testing.T, turns, turnBytes, spends int) *hosts {
		t.Helper()
		h := newHosts(t)
		k, _ := h.start(t.TempDir(), 1)
		k.Settings.Keeper.CatchUpTime = catchUpTime
		fill(t, h, k, turns, turnBytes, spends)
		others := []*Keeper{}
		for host := byte(2); host <= 4; host++ {
			other, _ := h.start(t.TempDir(), host)
			others = append(others, other)
		}
		h.delay.Store(int64(copyDelay))
		h.set(zinniapond.Disk{ID: "gone", State: zinniapond.DiskLost})
		lost, index := time.Now(), h.View().DisksIndex
		assert.Eventually(t, time.Minute, "the copies are verified", func() bool { return k.verifiedView.Load() >= uint64(index) })
		took := time.Since(lost)
		t.Logf("the copies took %s", took)
		assert.True(t, took < catchUpTime-k.Settings.Keeper.DetectionTimeout(), "the copies took %s", took)
		copies := 0
		for _, other := range others {
			copies += other.turns.Len()
			assert.Equal(t, other.programs.Len(), spends)
		}
		assert.Equal(t, copies, turns)
		return h
	}
	inBubble(t, "guards against a second loss before the many turns of one disk are copied", func(t *testing.T) {
		assertCaughtUp(t, 3000, 8<<10, 0)
	})
	inBubble(t, "guards against a second loss before the many spends of one disk are copied", func(t *testing.T) {
		assertCaughtUp(t, 0, 0, 20_000)
	})
	inBubble(t, "guards against copies of large turns that take the memory of the hosts", func(t *testing.T) {
		h := assertCaughtUp(t, 20, 2*maxCopyBytesInFlight, 0)
		assert.True(t, h.maxInFlight.Load() <= 2*maxCopyBytesInFlight, "%d bytes in flight", h.maxInFlight.Load())
	})
}

// countInFlight counts the bytes of the turns of a request until the returned function is
// called.
func (h *hosts) countInFlight(request zinniapond.KeepRequest) (end func()) {
	size := int64(0)
	for _, t := range request.Turns {
		size += int64(len(t.Input))
	}
	total := h.inFlight.Add(size)
	for {
		most := h.maxInFlight.Load()
		if total <= most || h.maxInFlight.CompareAndSwap(most, total) {
			break
		}
	}
	return func() { h.inFlight.Add(-size) }
}
