package keeper

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
)

// Keep stores turns and spends, and answers once they are synced. It stores nothing
// if the sender's view of the set of disks is older than that of this host, or if
// this host does not know the set yet.
func (k *Keeper) Keep(request zinniapond.KeepRequest, reply *zinniapond.KeepReply) error {
	if !k.ready.Load() {
		return errNotReady
	}
	view := k.Directory.View()
	if request.DisksIndex != 0 && view.Index == 0 {
		return errNotReady
	}
	reply.DisksIndex, reply.Disk = view.DisksIndex, k.log.ID()
	if request.DisksIndex != 0 && request.DisksIndex < view.DisksIndex {
		return nil
	}
	if request.DisksIndex != 0 && view.Disks[k.log.ID()].State == zinniapond.DiskLeaving {
		reply.Spends = k.spends(request.SpendsOf)
		return nil
	}
	k.applyRenewal(k.Clock(), request, reply)
	if err := k.appendNew(request); err != nil {
		return err
	}
	reply.Kept, reply.Spends = true, k.spends(request.SpendsOf)
	return nil
}

// spends returns the spends of a program; none for an empty id.
func (k *Keeper) spends(program zinniapond.ProgramID) []zinniapond.Spend {
	if a, ok := k.programs.Get(program); ok {
		return a.listSpends()
	}
	return nil
}

// appendNew appends the records that are not yet on the disk, and returns once they
// are synced.
func (k *Keeper) appendNew(request zinniapond.KeepRequest) error {
	now := k.Clock()
	spendExpiry := func(s *zinniapond.Spend) time.Time { return now.Add(s.KeepTime() + zinniapond.RetentionSlack) }
	var entries []diskRecord
	for i := range request.Turns {
		if _, ok := k.turns.Get(request.Turns[i].ID); !ok {
			entries = append(entries, diskRecord{Turn: &request.Turns[i]})
		}
	}
	for i := range request.Spends {
		s := &request.Spends[i]
		a := k.accountOf(s.Program)
		if a.addsInformation(*s) {
			entries = append(entries, diskRecord{Spend: s, Retention: s.KeepTime()})
		}
		// A reservation counts before its sync has returned, as it may already be
		// on the disk.
		a.merge(*s, 0, spendExpiry(s))
	}
	if len(entries) == 0 {
		return nil
	}
	records := make([][]byte, len(entries))
	for i := range entries {
		data, err := cbor.Marshal(entries[i])
		if err != nil {
			return fmt.Errorf("encode turn: %w", err)
		}
		records[i] = data
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	segments, offsets, err := k.log.Append(ctx, records)
	if err != nil {
		k.Logger.Warn("records not synced", "records", len(records), "error", err)
		return err
	}
	for i, e := range entries {
		if e.Turn != nil {
			k.indexTurn(now, e.Turn, segments[i], offsets[i])
		} else {
			k.accountOf(e.Spend.Program).merge(*e.Spend, segments[i], spendExpiry(e.Spend))
		}
	}
	return nil
}

// Find returns which of the turns the disk has, and the spends of a program. It does
// not answer a host before this one knows the set of disks: the view of that host may
// be old, and its answers together would count as conclusive.
func (k *Keeper) Find(request zinniapond.FindRequest, reply *zinniapond.FindReply) error {
	if !k.ready.Load() {
		return errNotReady
	}
	view := k.Directory.View()
	if request.DisksIndex != 0 && view.Index == 0 {
		return errNotReady
	}
	reply.DisksIndex, reply.Disk = view.DisksIndex, k.log.ID()
	for _, id := range request.IDs {
		s, ok := k.turns.Get(id)
		if !ok {
			continue
		}
		if !request.WithContent {
			link := zinniapond.TurnLink{ID: id}
			if !request.IDsOnly {
				link.Chain = s.chain
			}
			reply.Found = append(reply.Found, link)
			continue
		}
		t, err := k.readTurn(s)
		if err != nil {
			k.Logger.Error("turn cannot be read", "turn", id, "error", err)
			return err
		}
		reply.Turns = append(reply.Turns, t)
	}
	reply.Spends = k.spends(request.SpendsOf)
	return nil
}

func (k *Keeper) readTurn(s *turnEntry) (zinniapond.Turn, error) {
	var e diskRecord
	data, err := k.log.Read(s.segment, s.offset)
	if err == nil {
		err = cbor.Unmarshal(data, &e)
	}
	if err == nil && e.Turn == nil {
		err = zinniapond.ErrCorrupt
	}
	if err != nil {
		return zinniapond.Turn{}, fmt.Errorf("read turn: %w", err)
	}
	return *e.Turn, nil
}

// Digest returns the checksums of this disk's spends.
func (k *Keeper) Digest(_ zinniapond.DiskStatusRequest, reply *zinniapond.DigestReply) error {
	if !k.ready.Load() {
		return errNotReady
	}
	reply.Disk = k.log.ID()
	for at, sum := range k.checksums() {
		reply.Checksums = append(reply.Checksums, zinniapond.SpendsChecksum{ReservedAt: time.Unix(at, 0), Checksum: sum})
	}
	return nil
}

// checksums returns the checksums of the spends by the second of their reservation.
func (k *Keeper) checksums() map[int64]uint64 {
	sums := make(map[int64]uint64)
	k.programs.Each(func(_ zinniapond.ProgramID, a *account) bool {
		a.addChecksums(sums)
		return true
	})
	return sums
}

// Lacks returns which of the spends this disk does not have.
func (k *Keeper) Lacks(request zinniapond.MissingSpendsRequest, reply *zinniapond.MissingSpendsReply) error {
	if !k.ready.Load() {
		return errNotReady
	}
	reply.Disk = k.log.ID()
	for _, key := range request.Spends {
		if a, ok := k.programs.Get(key.Program); !ok || !a.has(key.Turn) {
			reply.Missing = append(reply.Missing, key)
		}
	}
	return nil
}

// Report returns to the control leader the last control record that this host has
// applied, and the last view for which the disk has verified its copies.
func (k *Keeper) Report(_ zinniapond.DiskStatusRequest, reply *zinniapond.DiskStatusReply) error {
	if !k.ready.Load() {
		return errNotReady
	}
	reply.Disk = k.log.ID()
	reply.AppliedIndex = k.Directory.View().Index
	reply.VerifiedDisksIndex = zinniapond.Index(k.verifiedView.Load())
	return nil
}
