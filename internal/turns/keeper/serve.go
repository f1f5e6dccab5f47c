package keeper

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"zinniapond.example/zinniapond"
)

// Keep stores turns and spends, and answers once they are synced. It stores
// nothing for a sender that does not know the present set of disks.
func (k *Keeper) Keep(request zinniapond.KeepRequest, reply *zinniapond.KeepReply) error {
	if !k.open.Load() {
		return errNotOpen
	}
	view := k.Directory.View()
	reply.View, reply.Disk = view.DisksIndex, k.log.ID()
	if request.View != 0 && (request.View < view.DisksIndex || view.Disks[k.log.ID()].State == zinniapond.DiskLeaving) {
		return nil
	}
	now := k.Clock()
	for _, id := range request.Touch {
		if s, ok := k.turns.Get(id); ok {
			s.until.Store(max(s.until.Load(), now.Add(request.Retention+slack).UnixNano()))
		}
	}
	if err := k.store(request); err != nil {
		return err
	}
	reply.Kept = true
	return nil
}

// store appends what is news.
func (k *Keeper) store(request zinniapond.KeepRequest) error {
	now := k.Clock()
	until := now.Add(request.Retention + slack)
	var entries []entry
	for i := range request.Turns {
		if _, ok := k.turns.Get(request.Turns[i].ID); !ok {
			entries = append(entries, entry{Turn: &request.Turns[i]})
		}
	}
	for i := range request.Spends {
		s := &request.Spends[i]
		a := k.account(s.Program)
		if a.news(*s) {
			entries = append(entries, entry{Spend: s, Retention: request.Retention})
		}
		// A reservation that is not synced yet counts already: it may be.
		a.merge(*s, 0, until)
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
	ctx, cancel := context.WithTimeout(context.Background(), appendLimit)
	defer cancel()
	segments, offsets, err := k.log.Append(ctx, records)
	if err != nil {
		k.Logger.Warn("records not synced", "records", len(records), "error", err)
		return err
	}
	for i, e := range entries {
		if e.Turn != nil {
			k.index(now, e.Turn, segments[i], offsets[i])
		} else {
			k.account(e.Spend.Program).merge(*e.Spend, segments[i], until)
		}
	}
	return nil
}

// Find tells which turns the disk has, and what a program has spent.
func (k *Keeper) Find(request zinniapond.FindRequest, reply *zinniapond.FindReply) error {
	if !k.open.Load() {
		return errNotOpen
	}
	reply.View, reply.Disk = k.Directory.View().DisksIndex, k.log.ID()
	for _, id := range request.IDs {
		s, ok := k.turns.Get(id)
		if !ok {
			continue
		}
		if !request.Whole {
			link := zinniapond.TurnLink{ID: id}
			if !request.Brief {
				link.Chain = s.chain
			}
			reply.Have = append(reply.Have, link)
			continue
		}
		t, err := k.read(s)
		if err != nil {
			k.Logger.Error("turn cannot be read", "turn", id, "error", err)
			return err
		}
		reply.Turns = append(reply.Turns, t)
	}
	if request.Program != "" {
		reply.Spends = k.account(request.Program).all()
	}
	return nil
}

func (k *Keeper) read(s *stored) (zinniapond.Turn, error) {
	var e entry
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
func (k *Keeper) Digest(_ zinniapond.DiskRequest, reply *zinniapond.DigestReply) error {
	if !k.open.Load() {
		return errNotOpen
	}
	reply.Disk, reply.Groups = k.log.ID(), k.digest()
	return nil
}

// Report tells the control leader how far the disk is.
func (k *Keeper) Report(_ zinniapond.DiskRequest, reply *zinniapond.DiskReply) error {
	if !k.open.Load() {
		return errNotOpen
	}
	reply.Disk = k.log.ID()
	reply.Applied = k.Directory.View().Index
	reply.Walked = zinniapond.Index(k.walked.Load())
	return nil
}
