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

// firstDisk is the disk id of all initial voters of a cluster. They cannot know
// each other's generated ids before there is a log.
const firstDisk zinniapond.DiskID = "first"

// probeInterval is the time between two requests to another voter for whether it
// has data.
const probeInterval = 100 * time.Millisecond

// openLog opens the data folder. A damaged folder is renamed and kept, and the
// voter continues like one that lost its disk.
func (v *Voter) openLog() error {
	if err := v.log.Open(); err != nil {
		if !errors.Is(err, zinniapond.ErrCorrupt) {
			return err
		}
		return v.setDamagedLogAside(err)
	}
	if _, err := v.log.Load(); err != nil {
		return v.setDamagedLogAside(errors.Join(err, v.log.Close()))
	}
	return nil
}

func (v *Voter) setDamagedLogAside(cause error) error {
	if !errors.Is(cause, zinniapond.ErrCorrupt) {
		return cause
	}
	backup := fmt.Sprintf("%s.damaged-%d", v.log.Folder, v.Clock().UnixNano())
	v.Logger.Error("control log is damaged; fetching it again", "error", cause, "kept", backup)
	if err := os.Rename(v.log.Folder, backup); err != nil {
		return fmt.Errorf("rename damaged control log: %w", errors.Join(err, cause))
	}
	return v.log.Open()
}

// formCluster makes this voter an initial voter of a new cluster if the settings
// say bootstrap, the data folder is empty, and every other voter replies that its
// folder is empty as well. Otherwise the voter joins: it fetches, and does not
// vote before a leader has added its disk to the voter set. Without these
// conditions, a voter that lost its disk while its settings still say bootstrap
// could vote twice in a term.
func (v *Voter) formCluster(ctx context.Context) error {
	self := v.Settings.VoterName()
	isInitialVoter := slices.ContainsFunc(v.Settings.Control.Voters, func(p zinniapond.Voter) bool { return p.Name == self })
	if v.log.IsFormed() || !v.Settings.Control.Bootstrap || !isInitialVoter {
		return nil
	}
	var voters []zinniapond.VoterKey
	for _, p := range v.Settings.Control.Voters {
		voters = append(voters, zinniapond.VoterKey{Name: p.Name, Disk: firstDisk})
		if p.Name == self {
			continue
		}
		isEmpty, err := v.hasNoData(ctx, p)
		if err != nil {
			return err
		}
		if !isEmpty {
			v.Logger.Warn("another voter has data; joining its cluster", "voter", p.Name)
			return nil
		}
	}
	return v.log.FormCluster(voters, firstDisk)
}

// hasNoData asks a voter until it replies, or ctx is done, and reports whether it
// has no data.
func (v *Voter) hasNoData(ctx context.Context, p zinniapond.Voter) (bool, error) {
	for {
		var reply zinniapond.VoteReply
		callCtx, cancel := context.WithTimeout(ctx, v.Settings.Control.LeaderTimeout)
		err := v.Peers.Call(callCtx, p.PeersAddress, "Control.Vote", zinniapond.VoteRequest{Candidate: v.Settings.Host, PreVote: true}, &reply)
		cancel()
		if err == nil {
			return reply.Empty, nil
		}
		v.Logger.Debug("voter did not answer; asking again", "voter", p.Name, "error", err)
		select {
		case <-ctx.Done():
			return false, ctx.Err()
		case <-time.After(probeInterval):
		}
	}
}
