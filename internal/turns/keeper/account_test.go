package keeper

import (
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

func TestAccount(t *testing.T) {
	reserved := zinniapond.Spend{Program: "p", Turn: "1", Reserved: 10, Version: "v1"}
	begun, settled := reserved, reserved
	begun.Version, begun.Begun = "v2", true
	settled.Version, settled.Settled, settled.Used = "v2", true, 5
	states := []zinniapond.Spend{reserved, begun, settled}
	t.Run("guards against a spend that goes back to an earlier state", func(t *testing.T) {
		for i, earlier := range states {
			for _, later := range states[i:] {
				for _, order := range [][]zinniapond.Spend{{earlier, later}, {later, earlier}} {
					var a account
					for _, s := range order {
						a.merge(s, 1, time.Unix(1000, 0))
					}
					assert.Equal(t, a.listSpends(), []zinniapond.Spend{later})
				}
			}
		}
	})
	t.Run("guards against a later state that is not written to the disk", func(t *testing.T) {
		var a account
		for _, s := range states {
			assert.True(t, a.addsInformation(s), "%+v is not written", s)
			a.merge(s, 1, time.Unix(1000, 0))
			assert.True(t, !a.addsInformation(s), "%+v is written twice", s)
		}
		assert.True(t, !a.addsInformation(begun), "a settled spend begins again")
	})
}
