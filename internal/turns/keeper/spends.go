package keeper

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/quorum"
)

// replicateSpends compares checksums of spends by second with the other disks, and
// copies the spends of each second for which too few disks have the checksum of this
// disk. The seconds are processed in random order, so that several disks do not send
// the same spends at the same time. It returns the number of spends that were offered.
func (c *copier) replicateSpends(set quorum.Set) (offered int, err error) {
	ownSums := c.checksums()
	sumsByDisk := make(map[zinniapond.DiskID]map[int64]uint64)
	for _, d := range set.Disks {
		if !d.CountsForWrites() {
			continue
		}
		if sumsByDisk[d.ID] = ownSums; d.ID == c.log.ID() {
			continue
		}
		sums, err := c.fetchChecksums(c.ctx, d)
		if err != nil {
			return 0, err
		}
		sumsByDisk[d.ID] = sums
	}
	missingBySecond := c.spendsOf(func(at int64) bool {
		matching := slices.DeleteFunc(slices.Clone(set.Disks), func(d zinniapond.Disk) bool { return sumsByDisk[d.ID][at] != ownSums[at] })
		return !set.IsWriteQuorum(matching)
	})
	seconds := slices.Collect(maps.Keys(missingBySecond))
	rand.Shuffle(len(seconds), func(a, b int) { seconds[a], seconds[b] = seconds[b], seconds[a] })
	for _, d := range set.Disks {
		if !d.CountsForWrites() || d.ID == c.log.ID() {
			continue
		}
		var spends []zinniapond.Spend
		for _, at := range seconds {
			if sumsByDisk[d.ID][at] != ownSums[at] {
				spends = append(spends, missingBySecond[at]...)
			}
		}
		offered += len(spends)
		for chunk := range slices.Chunk(spends, maxRecordsPerQuery) {
			if err := c.run(maxCopyBytes, func() error { return c.sendMissingSpends(d, chunk) }); err != nil {
				return offered, err
			}
		}
	}
	return offered, nil
}

// spendsOf returns the spends of this disk by the second of their reservation, of those
// seconds for which isWanted returns true.
func (k *Keeper) spendsOf(isWanted func(second int64) bool) map[int64][]zinniapond.Spend {
	bySecond := make(map[int64][]zinniapond.Spend)
	wanted := make(map[int64]bool)
	k.programs.Each(func(_ zinniapond.ProgramID, a *account) bool {
		for _, s := range a.listSpends() {
			at := s.ReservedAt.Unix()
			want, isKnown := wanted[at]
			if !isKnown {
				want = isWanted(at)
				wanted[at] = want
			}
			if want {
				bySecond[at] = append(bySecond[at], s)
			}
		}
		return true
	})
	return bySecond
}

// fetchChecksums returns the checksums of the spends of another disk by second.
func (k *Keeper) fetchChecksums(ctx context.Context, d zinniapond.Disk) (map[int64]uint64, error) {
	callCtx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var reply zinniapond.DigestReply
	if err := k.Peers.Call(callCtx, d.Address, "Keeper.Digest", zinniapond.DiskStatusRequest{Sender: k.Settings.Host}, &reply); err != nil {
		return nil, zinniapond.Wrap("compare spends", d.Address, err)
	}
	if reply.Disk != d.ID {
		return nil, fmt.Errorf("compare spends: %s has disk %s, not %s: %w", d.Address, reply.Disk, d.ID, zinniapond.ErrNotFound)
	}
	sums := make(map[int64]uint64, len(reply.Checksums))
	for _, s := range reply.Checksums {
		sums[s.ReservedAt.Unix()] = s.Checksum
	}
	return sums, nil
}

// sendMissingSpends asks a disk which of the spends it does not have, and copies
// those.
func (c *copier) sendMissingSpends(d zinniapond.Disk, spends []zinniapond.Spend) error {
	callCtx, cancel := context.WithTimeout(c.ctx, copyTimeout)
	defer cancel()
	var request zinniapond.MissingSpendsRequest
	for _, s := range spends {
		request.Spends = append(request.Spends, zinniapond.SpendKey{Program: s.Program, Turn: s.Turn})
	}
	var reply zinniapond.MissingSpendsReply
	if err := c.Peers.Call(callCtx, d.Address, "Keeper.Lacks", request, &reply); err != nil {
		return zinniapond.Wrap("offer spends", d.Address, err)
	}
	if reply.Disk != d.ID {
		return fmt.Errorf("offer spends: %s has disk %s, not %s: %w", d.Address, reply.Disk, d.ID, zinniapond.ErrNotFound)
	}
	isMissing := make(map[zinniapond.SpendKey]bool, len(reply.Missing))
	for _, key := range reply.Missing {
		isMissing[key] = true
	}
	missing := slices.DeleteFunc(slices.Clone(spends), func(s zinniapond.Spend) bool {
		return !isMissing[zinniapond.SpendKey{Program: s.Program, Turn: s.Turn}]
	})
	if len(missing) == 0 {
		return nil
	}
	return c.sendRecords(d, zinniapond.KeepRequest{Spends: missing})
}
