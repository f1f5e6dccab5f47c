package keeper

import (
	"context"
	"fmt"
	"time"

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
	if request.View != 0 && request.View < view.DisksIndex {
		return nil
	}
	if request.View != 0 && view.Disks[k.log.ID()].State == zinniapond.DiskLeaving {
		reply.Spends = k.spends(request.Program)
		return nil
	}
	now := k.Clock()
	for _, id := range request.Touch {
		if s, ok := k.turns.Get(id); ok {
			s.until.Store(max(s.until.Load(), now.Add(request.Retention+zinniapond.RetentionSlack).UnixNano()))
		}
	}
	if err := k.store(request); err != nil {
		return err
	}
	reply.Kept, reply.Spends = true, k.spends(request.Program)
	return nil
}

// spends returns what a program has spent; nothing for no program.
func (k *Keeper) spends(program zinniapond.ProgramID) []zinniapond.Spend {
	if a, ok := k.programs.Get(program); ok {
		return a.all()
	}
	return nil
}

// store appends what is news.
func (k *Keeper) store(request zinniapond.KeepRequest) error {
	now := k.Clock()
	until := now.Add(request.Retention + zinniapond.RetentionSlack)
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
	reply.Spends = k.spends(request.Program)
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
	reply.Disk = k.log.ID()
	for at, sum := range k.digest() {
		reply.Sums = append(reply.Sums, zinniapond.SpendsSum{At: time.Unix(at, 0), Sum: sum})
	}
	return nil
}

// digest returns the checksums of the spends by the second of their reservation.
func (k *Keeper) digest() map[int64]uint64 {
	sums := make(map[int64]uint64)
	k.programs.Each(func(_ zinniapond.ProgramID, a *account) bool {
		a.add(sums)
		return true
	})
	return sums
}

// Lacks tells which spends this disk does not have.
func (k *Keeper) Lacks(request zinniapond.LackRequest, reply *zinniapond.LackReply) error {
	if !k.open.Load() {
		return errNotOpen
	}
	reply.Disk = k.log.ID()
	for _, key := range request.Spends {
		if a, ok := k.programs.Get(key.Program); !ok || !a.has(key.Turn) {
			reply.Lack = append(reply.Lack, key)
		}
	}
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
