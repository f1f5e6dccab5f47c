package urgent

import (
	"slices"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

var now = time.Unix(1000, 0)

func rank(priority int, remaining time.Duration) int {
	return Policy{}.Rank(now, zinniapond.TurnState{Priority: priority, FinishBy: now.Add(remaining)})
}

func TestRank(t *testing.T) {
	t.Run("guards against late programs before those that are in time", func(t *testing.T) {
		assert.True(t, rank(0, -time.Second) > rank(0, time.Second), "late before in time")
		assert.True(t, rank(0, 0) > rank(1, time.Second), "late before in time of the next lower priority")
	})
	t.Run("guards against ranks that ignore the priority of the route", func(t *testing.T) {
		assert.True(t, rank(1, time.Second) > rank(0, time.Second), "in time")
		assert.True(t, rank(1, -time.Second) > rank(0, -time.Second), "late")
	})
	t.Run("guards against a program without a time objective taken for late", func(t *testing.T) {
		assert.Equal(t, Policy{}.Rank(now, zinniapond.TurnState{Priority: 1}), rank(1, time.Second))
	})
	t.Run("guards against ranks that servers do not know", func(t *testing.T) {
		assert.Equal(t, rank(20, -time.Second), lowestUrgency)
	})
}

// waitingTurn is a turn in the queue of the replayed load.
type waitingTurn struct {
	arrived, finishBy time.Duration
	rank, order       int
}

// countInTime replays a burst on one server that runs one turn at a time: 2 turns
// arrive for each that it can run, for 6 s, then as many as it can run for 14 s. It
// returns how many of the programs, of one turn each, finish in time.
func countInTime(rankAt func(arrived, finishBy time.Duration) int) int {
	const turnTime, aim, burst, end = 100 * time.Millisecond, 500 * time.Millisecond, 6 * time.Second, 20 * time.Second
	var queue []waitingTurn
	arrived, count := 0, 0
	arrive := func(at time.Duration) {
		// One turn in four belongs to a program that is late already.
		finishBy := at + aim
		if arrived%4 == 0 {
			finishBy = at - aim
		}
		queue = append(queue, waitingTurn{at, finishBy, rankAt(at, finishBy), arrived})
		arrived++
	}
	for at := time.Duration(0); at < end; at += turnTime {
		arrive(at)
		if at < burst {
			arrive(at)
		}
		next := slices.MinFunc(queue, func(a, b waitingTurn) int {
			if a.rank != b.rank {
				return a.rank - b.rank
			}
			return a.order - b.order
		})
		queue = slices.DeleteFunc(queue, func(w waitingTurn) bool { return w.order == next.order })
		if at+turnTime <= next.finishBy {
			count++
		}
	}
	return count
}

func TestBurst(t *testing.T) {
	t.Run("guards against a burst after which late programs keep all others from their objective", func(t *testing.T) {
		byArrival := countInTime(func(time.Duration, time.Duration) int { return 0 })
		ranked := countInTime(func(arrived, finishBy time.Duration) int {
			return Policy{}.Rank(now.Add(arrived), zinniapond.TurnState{FinishBy: now.Add(finishBy)})
		})
		assert.True(t, ranked > byArrival, "%d in time, by arrival %d", ranked, byArrival)
		t.Logf("in time: %d ranked, %d by arrival", ranked, byArrival)
	})
}
