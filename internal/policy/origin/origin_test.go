package origin

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestResolve(t *testing.T) {
	now := time.Unix(1000, 0)
	past := func(age time.Duration) []zinniapond.PastVersion {
		return []zinniapond.PastVersion{{Version: "v1", GoneAt: now.Add(-age)}}
	}
	resolves := func(origin zinniapond.StreamOrigin, want zinniapond.SoftwareVersion) func(*testing.T) {
		return func(t *testing.T) {
			got, err := Policy{}.Resolve(now, origin)
			assert.NoError(t, err)
			assert.Equal(t, got, want)
		}
	}
	refuses := func(origin zinniapond.StreamOrigin) func(*testing.T) {
		return func(t *testing.T) {
			_, err := Policy{}.Resolve(now, origin)
			assert.ErrorIs(t, err, zinniapond.ErrUnavailable)
		}
	}
	t.Run("guards against another version than the recorded one", resolves(zinniapond.StreamOrigin{Recorded: "v1", Listed: []zinniapond.SoftwareVersion{"v2"}}, "v1"))
	t.Run("guards against refusing streams of the only version", resolves(zinniapond.StreamOrigin{Listed: []zinniapond.SoftwareVersion{"v1"}, Past: past(time.Second)}, "v1"))
	t.Run("guards against a version that nobody knows to have begun the stream", refuses(zinniapond.StreamOrigin{Listed: []zinniapond.SoftwareVersion{"v1", "v2"}}))
	t.Run("guards against the newer version for a stream of one that has just left", refuses(zinniapond.StreamOrigin{Listed: []zinniapond.SoftwareVersion{"v2"}, Past: past(time.Second)}))
	t.Run("guards against refusing streams for a version that left long ago", resolves(zinniapond.StreamOrigin{Listed: []zinniapond.SoftwareVersion{"v2"}, Past: past(zinniapond.VersionMemory)}, "v2"))
	t.Run("guards against the only version that this host knows for a stream whose record is missing", refuses(zinniapond.StreamOrigin{IsNamed: true, Listed: []zinniapond.SoftwareVersion{"v1"}}))
	t.Run("guards against the version that has just left for a stream whose record is missing", refuses(zinniapond.StreamOrigin{IsNamed: true, Past: past(time.Second)}))
	t.Run("guards against refusing streams of replicas without versions", resolves(zinniapond.StreamOrigin{IsNamed: true}, ""))
	t.Run("guards against a pool without replicas", resolves(zinniapond.StreamOrigin{}, ""))
}
