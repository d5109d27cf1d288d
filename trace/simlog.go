package trace

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// appendDelay is the time in milliseconds from an append to the log until all
// instances have read it back.
const appendDelay = 5

// simLog simulates the platform's log and the instances that append to it, with
// at most one append in flight. Each record is applied as a batch of its own, so
// that the invariants can be checked after each record. The hash of its id
// selects the instance that writes it.
type simLog struct {
	r                *replay
	writers          []string // writer names of the current incarnations, by instance
	seqs             map[string]uint64
	incarnation      int
	queue            []record.Record // records other than decisions that wait for the next append
	outstanding      bool
	down             bool // reads and appends fail
	loseNextResponse bool // the next append takes effect but its response is lost, then the log is down
	unacknowledged   []*record.Batch
	epoch            int   // incremented with each restart; invalidates responses to earlier appends
	mayDecide        bool  // whether to call decide; false after an append of decisions that were all refused, until the next tick
	unavailableMs    int64 // milliseconds of completed outages and restarts
	unavailableSince int64 // start of the current outage or restart; -1 if there is none

	appends int // appends to the log
	records int // records in them
	resent  int // records that were appended again after a lost response
	refused map[state.Reason]int
}

func newSimLog(r *replay) *simLog {
	return &simLog{r: r, seqs: map[string]uint64{}, mayDecide: true, unavailableSince: -1, refused: map[state.Reason]int{}}
}

// join adds a new incarnation of each instance to the state.
func (l *simLog) join() {
	l.incarnation++
	l.writers, l.seqs = nil, map[string]uint64{}
	for i := range l.r.trace.Head.Instances {
		l.writers = append(l.writers, fmt.Sprintf("i%d-%d", i, l.incarnation))
	}
	for i, w := range l.writers {
		domain := l.r.fleet.domains[i%len(l.r.fleet.domains)]
		body := record.Join{Name: fmt.Sprintf("i%d", i), Addr: "127.0.0.1:1", Domain: domain, Version: record.Version}
		l.applyBatches([]*record.Batch{l.batch(w, l.r.record(record.KindJoin, w, body))})
	}
	l.resume()
}

// stop ends all instances. An append in flight still takes effect.
func (l *simLog) stop() {
	l.epoch++
	l.outstanding = false
	l.pause()
}

// pause begins a time during which no decision is possible.
func (l *simLog) pause() {
	if l.unavailableSince < 0 {
		l.unavailableSince = l.r.clock.now
	}
}

// resume ends the time that pause began.
func (l *simLog) resume() {
	if l.unavailableSince >= 0 {
		l.unavailableMs += l.r.clock.now - l.unavailableSince
		l.unavailableSince = -1
	}
}

// available returns the milliseconds so far during which decisions were
// possible.
func (l *simLog) available() int64 {
	t := l.r.clock.now - l.unavailableMs
	if l.unavailableSince >= 0 {
		t -= l.r.clock.now - l.unavailableSince
	}
	return t
}

// propose queues records for the next append.
func (l *simLog) propose(recs ...record.Record) {
	l.queue = append(l.queue, recs...)
	l.appendNext()
}

// appendNext appends queued records together with the scheduler's decisions on
// the current state, unless an append is in flight or the log is down.
func (l *simLog) appendNext() {
	if l.outstanding || l.down || l.r.decide == nil || l.r.err != nil {
		return
	}
	slices.SortStableFunc(l.queue, func(a, b record.Record) int { return a.Kind.Priority() - b.Kind.Priority() })
	n := min(len(l.queue), record.MaxBatchRecords/2)
	recs := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	decided := 0
	if l.r.stateChanged && l.mayDecide {
		l.r.stateChanged = false
		more := l.r.decide(l.r.state, l.r.now())
		decided = len(more)
		recs = append(recs, more...)
	}
	if len(recs) == 0 {
		return
	}
	l.appends++
	l.records += len(recs)
	l.outstanding = true
	if l.loseNextResponse {
		l.loseNextResponse, l.down = false, true
		l.unacknowledged = l.batches(recs)
		return
	}
	batches, epoch := l.batches(recs), l.epoch
	l.r.clock.after(appendDelay, func() {
		decisions := l.applyBatches(batches)
		if l.epoch != epoch {
			return
		}
		l.outstanding = false
		// If every record is a refused decision, the state has not changed and
		// the next decision would be the same. Other records change the state.
		if decided > 0 && decided == len(decisions) && !slices.ContainsFunc(decisions, state.Decision.Accepted) {
			l.mayDecide = false
		}
		l.appendNext()
	})
}

// setOutage begins or ends an outage of the log. The first append of the outage
// takes effect although its response is lost. When the log is available again,
// the writer repeats that append with the same sequence numbers, which must not
// change the state.
func (l *simLog) setOutage(begin bool) {
	if begin {
		l.loseNextResponse = true
		l.pause()
		return
	}
	l.loseNextResponse = false
	l.r.clock.after(rejoinDelay, func() {
		l.down = false
		l.resume()
		if l.unacknowledged != nil {
			batches := l.unacknowledged
			l.unacknowledged = nil
			l.applyBatches(batches)
			l.resend(batches)
			l.outstanding = false
		}
		l.appendNext()
	})
}

// resend applies batches that were applied before. Each record must be refused
// as a duplicate.
func (l *simLog) resend(batches []*record.Batch) {
	for _, b := range batches {
		decisions, err := l.r.state.Apply(l.r.state.Offset, b)
		if err != nil {
			l.r.fail(err)
			return
		}
		for _, o := range decisions {
			l.resent++
			if o.Reason != state.ReasonDuplicate {
				l.r.fail(&ReplayError{At: l.r.clock.now, Rule: "a repeated append is a duplicate", Detail: o.ID})
			}
		}
	}
}

// applyRecords appends records and applies them to the state without delay.
func (l *simLog) applyRecords(recs []record.Record) []state.Decision {
	return l.applyBatches(l.batches(recs))
}

// batches wraps each record in a batch of the instance that writes it.
func (l *simLog) batches(recs []record.Record) []*record.Batch {
	var out []*record.Batch
	for _, rec := range recs {
		out = append(out, l.batch(l.writers[l.writerIndex(rec.ID)], rec))
	}
	return out
}

// writerIndex returns the index of the instance that writes records with the id.
func (l *simLog) writerIndex(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(l.writers)))
}

// batch returns a batch with the record, encoded and decoded as in the log.
func (l *simLog) batch(writer string, rec record.Record) *record.Batch {
	l.seqs[writer]++
	b := &record.Batch{Writer: writer, Seq: l.seqs[writer], At: l.r.now(), Records: []record.Record{rec}}
	data, err := record.Encode(b)
	if err != nil {
		l.r.fail(err)
		return b
	}
	out, err := record.Decode(data)
	if err != nil {
		l.r.fail(err)
		return b
	}
	return out
}

// applyBatches applies batches to the state and returns the decision on each
// record.
func (l *simLog) applyBatches(batches []*record.Batch) []state.Decision {
	var all []state.Decision
	for _, b := range batches {
		decisions, err := l.r.state.Apply(l.r.state.Offset, b)
		if err != nil {
			l.r.fail(err)
			return all
		}
		for i, o := range decisions {
			if !o.Accepted() {
				l.refused[o.Reason]++
			}
			l.r.recordApplied(b.Records[i], o)
		}
		l.r.batchApplied()
		all = append(all, decisions...)
	}
	return all
}
