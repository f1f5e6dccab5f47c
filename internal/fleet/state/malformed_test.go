package state

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// kinds are all kinds of commands, and one that this version does not know.
var kinds = []zinniapond.CommandKind{
	"", zinniapond.CommandEmpty, zinniapond.CommandLists, zinniapond.CommandRegister, zinniapond.CommandMember, zinniapond.CommandAssign,
	zinniapond.CommandOrder, zinniapond.CommandRouting, zinniapond.CommandDisk, zinniapond.CommandBackends, zinniapond.CommandVoters, "unknown",
}

// drawCommand returns a command whose fields may be missing or not fit together.
func drawCommand(t *rapid.T) zinniapond.Command {
	name := rapid.SampledFrom([]string{"", "a", "b"})
	number := rapid.Int64Range(-2, 9)
	c := zinniapond.Command{
		Kind: rapid.SampledFrom(kinds).Draw(t, "kind"), ExpectedVersion: zinniapond.Version(number.Draw(t, "version")),
		Plans: name.Draw(t, "plans"), Usage: name.Draw(t, "usage"), Shards: int(number.Draw(t, "shards")), BackendsIndex: zinniapond.Index(rapid.Uint64Range(0, 9).Draw(t, "list")),
	}
	if rapid.Bool().Draw(t, "has member") {
		c.Member = &zinniapond.Member{
			Name: zinniapond.HostName(name.Draw(t, "member")), Epoch: zinniapond.Epoch(rapid.Uint64Range(0, 9).Draw(t, "epoch")),
			State: rapid.SampledFrom([]zinniapond.MemberState{"", zinniapond.MemberActive, zinniapond.MemberFenced, zinniapond.MemberLeft, "odd"}).Draw(t, "state"),
		}
	}
	if rapid.Bool().Draw(t, "has order") {
		c.Order = &zinniapond.Order{Model: zinniapond.PoolName(name.Draw(t, "model"))}
	}
	if rapid.Bool().Draw(t, "has edit") {
		c.PlansEdit = &zinniapond.ListEdit{KeptHeadBytes: int(number.Draw(t, "head")), KeptTailBytes: int(number.Draw(t, "tail")), Text: name.Draw(t, "text")}
	}
	if rapid.Bool().Draw(t, "has other edit") {
		c.UsageEdit = &zinniapond.ListEdit{KeptHeadBytes: int(number.Draw(t, "head")), KeptTailBytes: int(number.Draw(t, "tail")), Text: name.Draw(t, "text")}
	}
	if rapid.Bool().Draw(t, "has disk") {
		c.Disk = &zinniapond.DiskChange{
			Disk: zinniapond.Disk{ID: zinniapond.DiskID(name.Draw(t, "disk")), State: zinniapond.DiskState(name.Draw(t, "disk state"))}, Remove: rapid.Bool().Draw(t, "remove"),
		}
	}
	for range rapid.IntRange(0, 2).Draw(t, "assignments") {
		c.Assignments = append(c.Assignments, zinniapond.Assignment{Owner: zinniapond.HostName(name.Draw(t, "owner"))})
	}
	return c
}

func TestMalformedCommands(t *testing.T) {
	t.Run("guards against a command that ends every host that applies it", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			s := new(State)
			for range rapid.IntRange(1, 12).Draw(t, "commands") {
				data, err := cbor.Marshal(drawCommand(t))
				assert.NoError(t, err)
				_, err = s.Apply(zinniapond.LogEntry{Index: s.View().Index + 1, Term: 1, Data: data})
				assert.NoError(t, err)
			}
			data, err := s.Encode()
			assert.NoError(t, err)
			assert.NoError(t, new(State).Decode(data))
		})
	})
}
