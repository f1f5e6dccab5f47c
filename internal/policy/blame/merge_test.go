package blame

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// crowdOf returns the digests of requests that run at one replica only.
func crowdOf(n int, first zinniapond.Digest) []zinniapond.Digest {
	var list []zinniapond.Digest
	for i := range n {
		list = append(list, first+zinniapond.Digest(i))
	}
	return list
}

func TestCrowdKept(t *testing.T) {
	t.Run("guards against a cause that is dropped as many requests were running with it", func(t *testing.T) {
		b := newBook()
		for i := range guiltyEndings {
			b.RecordEnding(after(i), replica(i, 1), append(crowdOf(256, zinniapond.Digest(1000*(i+1))), poison)...)
		}
		assertStanding(t, b, after(guiltyEndings), poison, zinniapond.StandingGuilty)
		assertStanding(t, b, after(guiltyEndings), 1000, zinniapond.StandingClear)
	})
	t.Run("guards against crowds that leave no room for the requests of later endings", func(t *testing.T) {
		b := newBook()
		for i := range maxEndings - guiltyEndings {
			b.RecordEnding(start, replica(i, 1), crowdOf(2*maxCrowd, zinniapond.Digest(10_000*(i+1)))...)
		}
		for i := range guiltyEndings {
			b.RecordEnding(after(i), replica(maxEndings+i, 1), append(crowdOf(assuredSuspects-1, zinniapond.Digest(100*(i+1))), poison)...)
		}
		assert.Equal(t, len(b.endings), maxEndings)
		assert.True(t, len(b.suspects) <= maxEndings*maxSuspects, "%d suspects", len(b.suspects))
		assert.Equal(t, b.Judge(after(guiltyEndings), poison).Endings, guiltyEndings)
	})
	t.Run("guards against room that is not free again after the endings are forgotten", func(t *testing.T) {
		b := newBook()
		for i := range maxEndings {
			b.RecordEnding(start, replica(i, 1), crowdOf(maxCrowd, zinniapond.Digest(10_000*(i+1)))...)
		}
		b.RecordEnding(start.Add(memory), replica(0, 2), crowdOf(maxCrowd, 1)...)
		assert.Equal(t, len(b.suspects), maxCrowd)
	})
}

// TestReportLimit guards against a host that is kept busy by one message of a peer.
func TestReportLimit(t *testing.T) {
	b := newBook()
	var report zinniapond.BlameReport
	for i := range 2 * maxEndings {
		report.Endings = append(report.Endings, zinniapond.Ending{Replica: replica(i, 1).Address, Suspects: crowdOf(maxCrowd, 1)})
	}
	b.Merge(start, report)
	total := 0
	for _, e := range b.endings {
		total += len(e.suspects)
	}
	assert.True(t, len(b.endings) <= maxEndings && total <= maxEndings*maxSuspects, "%d endings, %d suspects", len(b.endings), total)
}

// TestStrength guards against a count of endings that holds for longer than its oldest
// ending.
func TestStrength(t *testing.T) {
	b := newBook()
	b.RecordEnding(start, replica(1, 1), poison)
	b.RecordEnding(start.Add(time.Second), replica(2, 1), poison)
	assert.Equal(t, b.Judge(start.Add(memory-1), poison).Endings, 2)
	assert.Equal(t, b.Judge(start.Add(memory), poison).Endings, 1)
	assertStanding(t, b, start.Add(memory+time.Second), poison, zinniapond.StandingClear)
}

// BenchmarkMergeLargest merges reports with as many entries as a host keeps: the same
// requests in all endings, which has the most pairs to compare.
func BenchmarkMergeLargest(b *testing.B) {
	for _, shape := range []struct {
		name             string
		endings, perEach int
	}{{"crowds", 48, 384}, {"many", maxEndings, maxSuspects}} {
		b.Run(shape.name, func(b *testing.B) {
			var report zinniapond.BlameReport
			for i := range shape.endings {
				report.Endings = append(report.Endings, zinniapond.Ending{
					Pool: "pool", Replica: replica(i, 1).Address, Suspects: crowdOf(shape.perEach, 1),
				})
			}
			for b.Loop() {
				newBook().Merge(start, report)
			}
		})
	}
}
