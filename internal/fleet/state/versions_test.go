package state

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// withVersions returns replicas with the given software versions.
func withVersions(versions ...zinniapond.SoftwareVersion) []zinniapond.Backend {
	list := newReplicas(len(versions))
	for i, v := range versions {
		list[i].Version = v
	}
	return list
}

func TestPastVersions(t *testing.T) {
	start := time.Unix(1000, 0).UTC()
	record := func(t *testing.T, after time.Duration, s *State, versions ...zinniapond.SoftwareVersion) {
		t.Helper()
		commit(t, NewBackendsCommand(start.Add(after), s.View(), withVersions(versions...)), s)
	}
	past := func(version zinniapond.SoftwareVersion, after time.Duration) zinniapond.PastVersion {
		return zinniapond.PastVersion{Pool: "model", Version: version, GoneAt: start.Add(after)}
	}
	assertPast := func(t *testing.T, s *State, want ...zinniapond.PastVersion) {
		t.Helper()
		assert.Equal(t, len(s.View().PastVersions), len(want))
		for i, p := range s.View().PastVersions {
			assert.Equal(t, p.Version, want[i].Version)
			assert.True(t, p.GoneAt.Equal(want[i].GoneAt), "gone at %s, not %s", p.GoneAt, want[i].GoneAt)
		}
	}
	t.Run("guards against a version that is forgotten with its last replica", func(t *testing.T) {
		s := new(State)
		record(t, 0, s, "v1", "v1", "v2")
		record(t, time.Second, s, "v2", "v1", "v2")
		assertPast(t, s)
		record(t, 2*time.Second, s, "v2", "v2", "v2")
		assertPast(t, s, past("v1", 2*time.Second))
		record(t, 3*time.Second, s, "v3", "v3")
		assertPast(t, s, past("v1", 2*time.Second), past("v2", 3*time.Second))
	})
	t.Run("guards against a version that is remembered without end", func(t *testing.T) {
		s := new(State)
		record(t, 0, s, "v1")
		record(t, time.Second, s, "v2")
		record(t, time.Second+zinniapond.VersionMemory, s, "v2", "v2")
		assertPast(t, s)
	})
	t.Run("guards against a snapshot without the versions of before", func(t *testing.T) {
		s := new(State)
		record(t, 0, s, "v1")
		record(t, time.Second, s, "v2")
		data, err := s.Encode()
		assert.NoError(t, err)
		restored := new(State)
		assert.NoError(t, restored.Decode(data))
		assertPast(t, restored, past("v1", time.Second))
		assert.Equal(t, restored.View().Backends[0].Version, "v2")
	})
}
