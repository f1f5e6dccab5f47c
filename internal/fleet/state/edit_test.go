package state

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestEdit(t *testing.T) {
	t.Run("guards against a text that comes back otherwise", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			text := rapid.StringMatching("[ab\n]{0,12}")
			base := zinniapond.Lists{Version: 3, Plans: text.Draw(t, "plans before"), Usage: text.Draw(t, "usage before")}
			command := zinniapond.Command{ExpectedVersion: 3, Plans: text.Draw(t, "plans"), Usage: text.Draw(t, "usage")}
			short := command
			replaceTextsByEdits(base, &short)
			got, ok := restoreTexts(base, short)
			assert.True(t, ok, "edit does not fit")
			assert.Equal(t, got.Plans, command.Plans)
			assert.Equal(t, got.Usage, command.Usage)
			assert.Equal(t, digest(&got), digest(&command))
		})
	})
	t.Run("guards against an edit beyond the text", func(t *testing.T) {
		_, ok := restoreTexts(zinniapond.Lists{}, zinniapond.Command{
			PlansEdit: &zinniapond.ListEdit{KeptHeadBytes: 1}, UsageEdit: &zinniapond.ListEdit{},
		})
		assert.True(t, !ok, "accepted")
	})
	t.Run("guards against records that grow with the lists", func(t *testing.T) {
		long := make([]byte, 1<<20)
		command := zinniapond.Command{Plans: string(long) + "x", Usage: string(long)}
		replaceTextsByEdits(zinniapond.Lists{Plans: string(long), Usage: string(long)}, &command)
		data, err := cbor.Marshal(command)
		assert.NoError(t, err)
		assert.True(t, len(data) < 200, "record of %d bytes", len(data))
	})
}
