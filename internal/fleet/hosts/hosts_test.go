package hosts

import (
	"net/netip"
	"testing"
	"time"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/test/assert"
)

// directory has the voter set of the control log.
type directory struct{ voters []zinniapond.VoterKey }

func (d *directory) View() *zinniapond.ControlView {
	return &zinniapond.ControlView{Voters: d.voters}
}
func (d *directory) Catalog() *zinniapond.Catalog { return nil }
func (d *directory) LeaseValid(time.Time) bool    { return true }
func (d *directory) ConfirmedAt() time.Time       { return time.Time{} }
func (d *directory) Changed() <-chan struct{}     { return nil }

var seeds = []zinniapond.Voter{{Name: "10.0.0.1:7000", PeersAddress: netip.MustParseAddrPort("10.0.0.1:7000")}}

func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("guards against no control host while the log has no voter set of its own", func(t *testing.T) {
		c := &Chooser{Directory: &directory{}, Seeds: seeds}
		host, ok := c.Choose(now, "key")
		assert.True(t, ok, "none is known")
		assert.Equal(t, host, seeds[0].PeersAddress)
	})
	t.Run("guards against asking seeds that are no voters any more", func(t *testing.T) {
		c := &Chooser{Directory: &directory{voters: []zinniapond.VoterKey{{Name: "10.0.0.2:7000"}}}, Seeds: seeds}
		host, _ := c.Choose(now, "key")
		assert.Equal(t, host.String(), "10.0.0.2:7000")
	})
	t.Run("guards against hosts that ask different control hosts for one key", func(t *testing.T) {
		voters := []zinniapond.VoterKey{{Name: "10.0.0.1:7000"}, {Name: "10.0.0.2:7000"}, {Name: "10.0.0.3:7000"}}
		first, _ := (&Chooser{Directory: &directory{voters: voters}}).Choose(now, "key")
		voters = []zinniapond.VoterKey{voters[2], voters[0], voters[1]}
		second, _ := (&Chooser{Directory: &directory{voters: voters}}).Choose(now, "key")
		assert.Equal(t, first, second)
	})
}
