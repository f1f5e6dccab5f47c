package voter

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"zinniapond.example/zinniapond"
)

// firstDisk is the disk id of the first voters of a cluster. They cannot know
// each other's drawn ids before there is a log.
const firstDisk zinniapond.DiskID = "first"

// askAgain is the pause between two rounds of asking the other voters whether
// they have data.
const askAgain = 100 * time.Millisecond

// open opens the data folder. A damaged one is kept aside, and the voter goes
// on as one that lost its disk.
func (v *Voter) open() error {
	if err := v.log.Open(); err != nil {
		if !errors.Is(err, zinniapond.ErrCorrupt) {
			return err
		}
		return v.discard(err)
	}
	if _, err := v.log.Load(); err != nil {
		return v.discard(errors.Join(err, v.log.Close()))
	}
	return nil
}

func (v *Voter) discard(cause error) error {
	if !errors.Is(cause, zinniapond.ErrCorrupt) {
		return cause
	}
	aside := fmt.Sprintf("%s.damaged-%d", v.log.Folder, v.Clock().UnixNano())
	v.Logger.Error("control log is damaged and is fetched anew", "error", cause, "kept", aside)
	if err := os.Rename(v.log.Folder, aside); err != nil {
		return fmt.Errorf("keep damaged control log: %w", errors.Join(err, cause))
	}
	return v.log.Open()
}

// form makes this voter one of the first of a new cluster, if the settings ask
// for it, the data folder is empty, and every other voter says the same of
// itself. Otherwise the voter joins: it fetches, and does not vote before a
// leader has put its disk into the voter set. A voter that lost its disk while
// its settings still say bootstrap would else vote a second time.
func (v *Voter) form(ctx context.Context) error {
	self := v.Settings.VoterName()
	first := slices.ContainsFunc(v.Settings.Control.Voters, func(p zinniapond.Voter) bool { return p.Name == self })
	if v.log.Formed() || !v.Settings.Control.Bootstrap || !first {
		return nil
	}
	var voters []zinniapond.VoterKey
	for _, p := range v.Settings.Control.Voters {
		voters = append(voters, zinniapond.VoterKey{Name: p.Name, Disk: firstDisk})
		if p.Name == self {
			continue
		}
		empty, err := v.probe(ctx, p)
		if err != nil {
			return err
		}
		if !empty {
			v.Logger.Warn("not forming a cluster: another voter has data", "voter", p.Name)
			return nil
		}
	}
	return v.log.Form(voters, firstDisk)
}

// probe returns whether a voter has no data, once it answers.
func (v *Voter) probe(ctx context.Context, p zinniapond.Voter) (bool, error) {
	for {
		var reply zinniapond.VoteReply
		limited, cancel := context.WithTimeout(ctx, v.Settings.Control.Fetch)
		err := v.Peers.Call(limited, p.Peers, "Control.Vote", zinniapond.VoteRequest{Candidate: v.Settings.Host, Pre: true}, &reply)
		cancel()
		if err == nil {
			return reply.Empty, nil
		}
		v.Logger.Debug("voter does not answer yet", "voter", p.Name, "error", err)
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(askAgain):
		}
	}
}
