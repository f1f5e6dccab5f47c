package writer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"zinniapond.example/zinniapond"
)

// maxRounds bounds the attempts to find an unused round of an epoch. Each restart
// of a host uses one; the reply to a refused seal shows which one is free next.
const maxRounds = 8

// sealAnswer is one replica's answer to a seal request.
type sealAnswer struct {
	host  zinniapond.HostName
	reply zinniapond.SealReply
	err   error
}

// Recover seals the shard at the assignment's epoch on a majority of its
// replicas, brings a majority to the newest log, and passes the records of
// programs that have not ended to visit, in order.
func (w *Writer) Recover(ctx context.Context, _ time.Time, assignment zinniapond.Assignment,
	visit func(zinniapond.Record) error,
) error {
	w.abandonLog(assignment.Shard)
	ballot, answers, isNew, err := w.sealMajority(ctx, assignment)
	if err != nil {
		return err
	}
	l := w.newLog(assignment, ballot, answers)
	if err := l.commitFirstRecord(ctx, isNew); err != nil {
		l.fail(err)
		return err
	}
	if err := l.replayRecords(ctx, &zinniapond.ReadRequest{Shard: l.shard, FromIndex: 1, OnlyLive: true}, visit); err != nil {
		l.fail(err)
		return err
	}
	w.logs.Set(assignment.Shard, l)
	w.applyAssignment(l, w.Directory.View())
	return nil
}

// abandonLog ends the log of a shard that this host recovered before.
func (w *Writer) abandonLog(shard zinniapond.ShardID) {
	if l, ok := w.logs.Get(shard); ok {
		l.fail(fmt.Errorf("journal shard %d is recovered anew: %w", shard, zinniapond.ErrFenced))
		w.logs.Delete(shard)
	}
}

// sealMajority makes a majority of the replicas promise the shard to this host. The
// bool is true if the log is new, so that its first record must reach every
// replica.
func (w *Writer) sealMajority(ctx context.Context, a zinniapond.Assignment) (zinniapond.Epoch, []sealAnswer, bool, error) {
	var round zinniapond.Epoch
	for range maxRounds {
		ballot := makeBallot(a.Epoch, round)
		answers := w.sealReplicas(ctx, a, ballot, false)
		voting, empty, counted, newest := countAnswers(answers, ballot)
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
			return 0, nil, false, w.quorumError(a, answers, voting)
		}
		// No replica has an entry, and no voting replica ever had one: the first
		// record of a shard reaches all replicas before any record is acknowledged.
		if a.Epoch > 1 {
			w.Logger.Warn("journal shard started with an empty log", "shard", a.Shard, "epoch", a.Epoch)
		}
		answers = w.sealReplicas(ctx, a, ballot, true)
		if voting, _, _, _ = countAnswers(answers, ballot); voting < len(a.Replicas) {
			return 0, nil, false, w.quorumError(a, answers, voting)
		}
		return ballot, answers, true, nil
	}
	return 0, nil, false, fmt.Errorf("seal journal shard %d: no free round of epoch %d: %w",
		a.Shard, a.Epoch, zinniapond.ErrFenced)
}

func (w *Writer) quorumError(a zinniapond.Assignment, answers []sealAnswer, voting int) error {
	err := fmt.Errorf("seal journal shard %d: %d of %d replicas sealed and vote: %w",
		a.Shard, voting, len(a.Replicas), zinniapond.ErrNoQuorum)
	for _, s := range answers {
		err = errors.Join(err, s.err)
	}
	return err
}

// countAnswers returns the number of voting replicas that sealed, the number of
// replicas without an entry, the last index of the voting ones, and the newest
// promised epoch.
func countAnswers(answers []sealAnswer, ballot zinniapond.Epoch) (voting, empty int, last zinniapond.Index, newest zinniapond.Epoch) {
	newest = ballot
	for _, s := range answers {
		if s.err != nil {
			continue
		}
		if !s.reply.Accepted {
			// Another writer holds the promise of this epoch: take a later round.
			newest = max(newest, s.reply.PromisedEpoch, ballot+1)
			continue
		}
		if s.reply.Voting {
			voting++
			last = max(last, s.reply.LastIndex)
		}
		if s.reply.LastIndex == 0 {
			empty++
		}
	}
	return voting, empty, last, newest
}

// sealReplicas asks all replicas in parallel. It returns when a voting majority with
// records has sealed, when all have answered, or at the deadline. formShard makes the
// empty replicas of a new shard vote; then it waits for all of them.
func (w *Writer) sealReplicas(ctx context.Context, a zinniapond.Assignment, ballot zinniapond.Epoch, formShard bool) []sealAnswer {
	ctx, cancel := context.WithTimeout(ctx, w.timeout())
	defer cancel()
	results := make(chan sealAnswer, len(a.Replicas))
	for _, h := range a.Replicas {
		go func() {
			s := sealAnswer{host: h}
			s.err = w.callReplica(ctx, h, "Journal.Seal", &zinniapond.SealRequest{
				Sender: w.Host, Shard: a.Shard, Epoch: ballot, StartVotingIfEmpty: formShard,
			}, &s.reply)
			results <- s
		}()
	}
	var answers []sealAnswer
	for range a.Replicas {
		select {
		case s := <-results:
			answers = append(answers, s)
		case <-ctx.Done():
			return answers
		}
		voting, _, last, _ := countAnswers(answers, ballot)
		if !formShard && last > 0 && voting > len(a.Replicas)/2 {
			break
		}
	}
	return answers
}

// newLog makes the owner's log from the newest of the sealed logs and starts the
// replication to all replicas.
func (w *Writer) newLog(a zinniapond.Assignment, ballot zinniapond.Epoch, answers []sealAnswer) *shardLog {
	newestAnswer := sealAnswer{}
	for _, s := range answers {
		if s.err != nil || !s.reply.Accepted || !s.reply.Voting {
			continue
		}
		if newestAnswer.host == "" || s.reply.LastEpoch > newestAnswer.reply.LastEpoch ||
			s.reply.LastEpoch == newestAnswer.reply.LastEpoch && s.reply.LastIndex > newestAnswer.reply.LastIndex {
			newestAnswer = s
		}
	}
	l := &shardLog{
		writer: w, shard: a.Shard, ballot: ballot, lowestEpoch: a.Epoch, newestEpoch: a.Epoch,
		spans:       append(newestAnswer.reply.Spans, zinniapond.EpochSpan{Epoch: ballot, FirstIndex: newestAnswer.reply.LastIndex + 1}),
		firstCached: newestAnswer.reply.LastIndex + 1, lastIndex: newestAnswer.reply.LastIndex, ballotStart: newestAnswer.reply.LastIndex + 1,
		replicas: a.Replicas, followers: make(map[zinniapond.HostName]*follower),
	}
	l.ctx, l.cancel = context.WithCancel(w.rootContext())
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range a.Replicas {
		f := l.startFollower(h, l.firstCached)
		for _, s := range answers {
			if s.host == h && s.err == nil && s.reply.Accepted {
				f.voting = s.reply.Voting
			}
		}
		if h == newestAnswer.host {
			f.matchIndex = newestAnswer.reply.LastIndex
		}
	}
	return l
}

// commitFirstRecord appends the first record of the epoch and waits until it, and
// with it every earlier entry, is on a majority, or on every replica of a new
// shard. Copying a long log to a replica may take as long as it makes progress.
func (l *shardLog) commitFirstRecord(ctx context.Context, isNew bool) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go l.cancelIfStalled(done, cancel)
	index, err := l.append(ctx, []zinniapond.JournalEntry{{Kind: zinniapond.RecordEmpty}})
	if err != nil || !isNew {
		return err
	}
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !l.isOnAllReplicas(index) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return fmt.Errorf("start journal shard %d with an empty log: not all replicas have the first record: %w", l.shard, zinniapond.ErrNoQuorum)
		}
	}
	return nil
}

// cancelIfStalled cancels a recovery in which no replica syncs an entry for the
// time-out of one step.
func (l *shardLog) cancelIfStalled(done <-chan struct{}, cancel context.CancelCauseFunc) {
	ticker := time.NewTicker(l.writer.timeout())
	defer ticker.Stop()
	for previous := l.totalMatched(); ; {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		current := l.totalMatched()
		if current == previous {
			cancel(errors.New("recovery makes no progress"))
			return
		}
		previous = current
	}
}

// totalMatched returns the sum of the last indexes that the replicas have synced; it
// grows with each entry.
func (l *shardLog) totalMatched() zinniapond.Index {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum zinniapond.Index
	for _, f := range l.followers {
		sum += f.matchIndex
	}
	return sum
}

func (l *shardLog) isOnAllReplicas(index zinniapond.Index) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.followers {
		if f.matchIndex < index {
			return false
		}
	}
	return true
}

// replayRecords passes the committed records that a request selects to visit.
func (l *shardLog) replayRecords(ctx context.Context, request *zinniapond.ReadRequest, visit func(zinniapond.Record) error) error {
	l.mu.Lock()
	commit := l.commitIndex
	l.mu.Unlock()
	for {
		reply, err := l.readFromReplica(ctx, "", request, commit)
		if err != nil {
			return err
		}
		for _, e := range reply.Entries {
			if e.Index > commit {
				return nil
			}
			r, err := decodeRecord(e)
			if err != nil {
				return err
			}
			if err := visit(r); err != nil {
				return err
			}
		}
		if reply.NextIndex == 0 || reply.NextIndex > commit {
			return nil
		}
		request.FromIndex = reply.NextIndex
	}
}

// History passes the records of one program to visit, in order. It holds one
// page of them in memory at a time.
func (w *Writer) History(ctx context.Context, _ time.Time, shard zinniapond.ShardID, program zinniapond.ProgramID,
	visit func(zinniapond.Record) error,
) error {
	l, err := w.findLog(shard, 0)
	if err != nil {
		return err
	}
	if err := l.failure(); err != nil {
		return err
	}
	return l.replayRecords(ctx, &zinniapond.ReadRequest{Shard: shard, Program: program, FromIndex: 1}, visit)
}
