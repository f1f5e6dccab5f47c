package keeper

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"zinniapond.example/zinniapond"
	"zinniapond.example/zinniapond/internal/turns/ranks"
)

// equal gives the other disks the spends of those seconds in which too few have
// the same spends as this one. The seconds are taken in random order, so that
// several disks do not send the same ones.
func (k *Keeper) equal(ctx context.Context, set ranks.Set) error {
	here := k.digest()
	there := make(map[zinniapond.DiskID]map[int64]uint64)
	for _, d := range set.Disks {
		if !d.Counts() {
			continue
		}
		if there[d.ID] = here; d.ID == k.log.ID() {
			continue
		}
		sums, err := k.sums(ctx, d)
		if err != nil {
			return err
		}
		there[d.ID] = sums
	}
	short := make(map[int64][]zinniapond.Spend)
	for at, sum := range here {
		same := slices.DeleteFunc(slices.Clone(set.Disks), func(d zinniapond.Disk) bool { return there[d.ID][at] != sum })
		if !set.Written(same) {
			short[at] = nil
		}
	}
	k.programs.Each(func(_ zinniapond.ProgramID, a *account) bool {
		for _, s := range a.all() {
			if list, ok := short[s.At.Unix()]; ok {
				short[s.At.Unix()] = append(list, s)
			}
		}
		return true
	})
	seconds := slices.Collect(maps.Keys(short))
	rand.Shuffle(len(seconds), func(a, b int) { seconds[a], seconds[b] = seconds[b], seconds[a] })
	for _, at := range seconds {
		for _, d := range set.Disks {
			if !d.Counts() || there[d.ID][at] == here[at] {
				continue
			}
			for part := range slices.Chunk(short[at], offerMost) {
				if err := k.offer(ctx, d, part); err != nil {
					return err
				}
			}
		}
	}
	return nil
}

// sums returns the checksums of a disk by the second.
func (k *Keeper) sums(ctx context.Context, d zinniapond.Disk) (map[int64]uint64, error) {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var there zinniapond.DigestReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Digest", zinniapond.DiskRequest{Sender: k.Settings.Host}, &there); err != nil {
		return nil, zinniapond.Wrap("compare spends", d.Address, err)
	}
	if there.Disk != d.ID {
		return nil, fmt.Errorf("compare spends: %s has disk %s, not %s: %w", d.Address, there.Disk, d.ID, zinniapond.ErrNotFound)
	}
	sums := make(map[int64]uint64, len(there.Sums))
	for _, s := range there.Sums {
		sums[s.At.Unix()] = s.Sum
	}
	return sums, nil
}

// offer copies those of the spends that a disk does not have.
func (k *Keeper) offer(ctx context.Context, d zinniapond.Disk, spends []zinniapond.Spend) error {
	limited, cancel := context.WithTimeout(ctx, copyLimit)
	defer cancel()
	var request zinniapond.LackRequest
	for _, s := range spends {
		request.Spends = append(request.Spends, zinniapond.SpendKey{Program: s.Program, Turn: s.Turn})
	}
	var reply zinniapond.LackReply
	if err := k.Peers.Call(limited, d.Address, "Keeper.Lacks", request, &reply); err != nil {
		return zinniapond.Wrap("offer spends", d.Address, err)
	}
	if reply.Disk != d.ID {
		return fmt.Errorf("offer spends: %s has disk %s, not %s: %w", d.Address, reply.Disk, d.ID, zinniapond.ErrNotFound)
	}
	lacks := make(map[zinniapond.SpendKey]bool, len(reply.Lack))
	for _, key := range reply.Lack {
		lacks[key] = true
	}
	missing := slices.DeleteFunc(slices.Clone(spends), func(s zinniapond.Spend) bool {
		return !lacks[zinniapond.SpendKey{Program: s.Program, Turn: s.Turn}]
	})
	if len(missing) == 0 {
		return nil
	}
	return k.copy(ctx, d, zinniapond.KeepRequest{Spends: missing, Retention: zinniapond.SpendRetention})
}
