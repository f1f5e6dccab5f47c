package writer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// mostRounds bounds the attempts to find an unused round of an epoch. Each
// restart of a host uses one; the answer to a refusal names the next free one.
const mostRounds = 8

// sealed is one replica's answer to a seal.
type sealed struct {
	host  zinniapond.HostName
	reply zinniapond.SealReply
	err   error
}

// Recover seals the shard at the assignment's epoch on a majority of its
// replicas, brings a majority to the newest log, and passes the records of
// programs that have not ended to each, in order.
func (w *Writer) Recover(ctx context.Context, _ time.Time, assignment zinniapond.Assignment,
	each func(zinniapond.Record) error,
) error {
	w.release(assignment.Shard)
	ballot, answers, form, err := w.sealAll(ctx, assignment)
	if err != nil {
		return err
	}
	l := w.begin(assignment, ballot, answers)
	if err := l.settle(ctx, form); err != nil {
		l.fail(err)
		return err
	}
	if err := l.replay(ctx, &zinniapond.ReadRequest{Shard: l.shard, From: 1, Live: true}, each); err != nil {
		l.fail(err)
		return err
	}
	w.logs.Set(assignment.Shard, l)
	w.adopt(l, w.Directory.View())
	return nil
}

// release ends the writing of a shard that was held before.
func (w *Writer) release(shard zinniapond.ShardID) {
	if l, ok := w.logs.Get(shard); ok {
		l.fail(fmt.Errorf("journal shard %d is recovered anew: %w", shard, zinniapond.ErrFenced))
		w.logs.Delete(shard)
	}
}

// sealAll promises the shard to this host on a majority. form is true if the
// log is new, so that its first record must reach every replica.
func (w *Writer) sealAll(ctx context.Context, a zinniapond.Assignment) (zinniapond.Epoch, []sealed, bool, error) {
	var round zinniapond.Epoch
	for range mostRounds {
		ballot := ballotOf(a.Epoch, round)
		answers := w.seal(ctx, a, ballot, false)
		voting, empty, counted, newest := tally(answers, ballot)
		if newest > ballot {
			if newest>>roundBits != a.Epoch {
				return 0, nil, false, fmt.Errorf("seal journal shard %d: epoch %d is promised: %w",
					a.Shard, newest>>roundBits, zinniapond.ErrFenced)
			}
			round = newest&(1<<roundBits-1) + 1
			continue
		}
		if voting > len(a.Replicas)/2 {
			return ballot, answers, counted == 0, nil
		}
		if empty < len(a.Replicas) {
			return 0, nil, false, w.tooFew(a, answers, voting)
		}
		// No replica has an entry, and none that counts ever had one: the first
		// record of a shard reaches all its replicas before any is acknowledged.
		if a.Epoch > 1 {
			w.Logger.Warn("journal shard formed", "shard", a.Shard, "epoch", a.Epoch)
		}
		answers = w.seal(ctx, a, ballot, true)
		if voting, _, _, _ = tally(answers, ballot); voting < len(a.Replicas) {
			return 0, nil, false, w.tooFew(a, answers, voting)
		}
		return ballot, answers, true, nil
	}
	return 0, nil, false, fmt.Errorf("seal journal shard %d: no free round of epoch %d: %w",
		a.Shard, a.Epoch, zinniapond.ErrFenced)
}

func (w *Writer) tooFew(a zinniapond.Assignment, answers []sealed, voting int) error {
	err := fmt.Errorf("seal journal shard %d: %d of %d replicas answer and count: %w",
		a.Shard, voting, len(a.Replicas), zinniapond.ErrNoQuorum)
	for _, s := range answers {
		err = errors.Join(err, s.err)
	}
	return err
}

// tally counts the replicas that sealed and count, those without an entry, the
// entries of the counting ones, and the newest promise.
func tally(answers []sealed, ballot zinniapond.Epoch) (voting, empty int, last zinniapond.Index, newest zinniapond.Epoch) {
	newest = ballot
	for _, s := range answers {
		if s.err != nil {
			continue
		}
		if !s.reply.Accepted {
			// An equal promise was given to another writer: take a later round.
			newest = max(newest, s.reply.Promised, ballot+1)
			continue
		}
		if s.reply.Voting {
			voting++
			last = max(last, s.reply.Last)
		}
		if s.reply.Last == 0 {
			empty++
		}
	}
	return voting, empty, last, newest
}

// seal asks all replicas at once. It returns when a majority that counts has
// sealed, or when all have answered or the time is over.
func (w *Writer) seal(ctx context.Context, a zinniapond.Assignment, ballot zinniapond.Epoch, form bool) []sealed {
	ctx, cancel := context.WithTimeout(ctx, w.wait())
	defer cancel()
	results := make(chan sealed, len(a.Replicas))
	for _, h := range a.Replicas {
		go func() {
			s := sealed{host: h}
			s.err = w.call(ctx, h, "Journal.Seal", &zinniapond.SealRequest{
				Sender: w.Host, Shard: a.Shard, Epoch: ballot, Form: form,
			}, &s.reply)
			results <- s
		}()
	}
	var answers []sealed
	for range a.Replicas {
		select {
		case s := <-results:
			answers = append(answers, s)
		case <-ctx.Done():
			return answers
		}
		voting, _, last, _ := tally(answers, ballot)
		if !form && last > 0 && voting > len(a.Replicas)/2 {
			break
		}
	}
	return answers
}

// begin makes the log from the newest of the sealed ones.
func (w *Writer) begin(a zinniapond.Assignment, ballot zinniapond.Epoch, answers []sealed) *shardLog {
	best := sealed{}
	for _, s := range answers {
		if s.err != nil || !s.reply.Accepted || !s.reply.Voting {
			continue
		}
		if best.host == "" || s.reply.LastEpoch > best.reply.LastEpoch ||
			s.reply.LastEpoch == best.reply.LastEpoch && s.reply.Last > best.reply.Last {
			best = s
		}
	}
	l := &shardLog{
		w: w, shard: a.Shard, ballot: ballot, lowest: a.Epoch, newest: a.Epoch,
		spans: append(best.reply.Spans, zinniapond.EpochSpan{Epoch: ballot, First: best.reply.Last + 1}),
		base:  best.reply.Last + 1, last: best.reply.Last, start: best.reply.Last + 1,
		replicas: a.Replicas, members: make(map[zinniapond.HostName]*member),
	}
	l.ctx, l.cancel = context.WithCancel(w.context())
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range a.Replicas {
		m := l.add(h, l.base)
		for _, s := range answers {
			if s.host == h && s.err == nil && s.reply.Accepted {
				m.voting = s.reply.Voting
			}
		}
		if h == best.host {
			m.match = best.reply.Last
		}
	}
	return l
}

// settle appends the first record of the epoch and waits until it, and with it
// everything before it, is on a majority, or on every replica of a new shard. A
// long copy to a replica may take as long as it makes progress.
func (l *shardLog) settle(ctx context.Context, form bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go l.watch(done, cancel)
	index, err := l.append(ctx, []zinniapond.JournalEntry{{Kind: zinniapond.RecordEmpty}})
	if err != nil || !form {
		return err
	}
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for !l.everywhere(index) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return fmt.Errorf("form journal shard %d: not all replicas answer: %w", l.shard, zinniapond.ErrNoQuorum)
		}
	}
	return nil
}

// watch cancels a recovery that makes no progress.
func (l *shardLog) watch(done <-chan struct{}, cancel context.CancelCauseFunc) {
	tick := time.NewTicker(l.w.wait())
	defer tick.Stop()
	for before := l.progress(); ; {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		now := l.progress()
		if now == before {
			cancel(errors.New("recovery makes no progress"))
			return
		}
		before = now
	}
}

// progress grows with each entry that a replica has synced.
func (l *shardLog) progress() zinniapond.Index {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum zinniapond.Index
	for _, m := range l.members {
		sum += m.match
	}
	return sum
}

func (l *shardLog) everywhere(index zinniapond.Index) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.members {
		if m.match < index {
			return false
		}
	}
	return true
}

// replay passes the committed records that a request asks for to each.
func (l *shardLog) replay(ctx context.Context, request *zinniapond.ReadRequest, each func(zinniapond.Record) error) error {
	l.mu.Lock()
	commit := l.commit
	l.mu.Unlock()
	for {
		reply, err := l.read(ctx, "", request, commit)
		if err != nil {
			return err
		}
		for _, e := range reply.Entries {
			if e.Index > commit {
				return nil
			}
			r, err := decode(e)
			if err != nil {
				return err
			}
			if err := each(r); err != nil {
				return err
			}
		}
		if reply.Next == 0 || reply.Next > commit {
			return nil
		}
		request.From = reply.Next
	}
}

// History passes the records of one program to each, in order. It holds one
// page of them in memory at a time.
func (w *Writer) History(ctx context.Context, _ time.Time, shard zinniapond.ShardID, program zinniapond.ProgramID,
	each func(zinniapond.Record) error,
) error {
	l, err := w.log(shard, 0)
	if err != nil {
		return err
	}
	if err := l.failure(); err != nil {
		return err
	}
	return l.replay(ctx, &zinniapond.ReadRequest{Shard: shard, Program: program, From: 1}, each)
}
