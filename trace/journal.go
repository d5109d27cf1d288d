package trace

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// appendDelay is how long an append to the log takes, in milliseconds, until
// all instances have read it back.
const appendDelay = 5

// journal stands for the platform's log and for the instances that append to
// it, with one append outstanding at most. Each record is applied as an entry
// of its own, so that the invariants can be checked after each record; which
// instance writes it follows from its id.
type journal struct {
	r           *replay
	writers     []string // of the present incarnations, by instance
	seqs        map[string]uint64
	incarnation int
	queue       []record.Record // facts that wait for the next append
	outstanding bool
	down        bool // reads and appends fail
	dying       bool // the next append takes effect, then the log is down
	lost        []*record.Batch
	epoch       int   // grows with each restart, to recognize appends of before
	retry       bool  // false after an append of decisions that were all refused, until the next tick
	off         int64 // milliseconds of outages and restarts so far
	since       int64 // start of the current outage or restart; -1 when there is none

	appends int // appends to the log
	records int // records in them
	again   int // records that were appended again after a lost answer
	refused map[state.Reason]int
}

func newJournal(r *replay) *journal {
	return &journal{r: r, seqs: map[string]uint64{}, retry: true, since: -1, refused: map[state.Reason]int{}}
}

// join lets a new incarnation of each instance join.
func (l *journal) join() {
	l.incarnation++
	l.writers, l.seqs = nil, map[string]uint64{}
	for i := range l.r.trace.Head.Instances {
		l.writers = append(l.writers, fmt.Sprintf("i%d-%d", i, l.incarnation))
	}
	for i, w := range l.writers {
		domain := l.r.fleet.domains[i%len(l.r.fleet.domains)]
		body := record.Join{Name: fmt.Sprintf("i%d", i), Addr: "127.0.0.1:1", Domain: domain, Version: record.Version}
		l.fold([]*record.Batch{l.batch(w, l.r.record(record.KindJoin, w, body))})
	}
	l.resume()
}

// stop ends every instance; an append in flight still takes effect.
func (l *journal) stop() {
	l.epoch++
	l.outstanding = false
	l.pause()
}

func (l *journal) pause() {
	if l.since < 0 {
		l.since = l.r.clock.now
	}
}

func (l *journal) resume() {
	if l.since >= 0 {
		l.off += l.r.clock.now - l.since
		l.since = -1
	}
}

// available returns the time so far during which decisions were possible.
func (l *journal) available() int64 {
	t := l.r.clock.now - l.off
	if l.since >= 0 {
		t -= l.r.clock.now - l.since
	}
	return t
}

// propose adds a fact to the next append.
func (l *journal) propose(recs ...record.Record) {
	l.queue = append(l.queue, recs...)
	l.commit()
}

// commit appends what waits and what is decided on the present state.
func (l *journal) commit() {
	if l.outstanding || l.down || l.r.decide == nil || l.r.err != nil {
		return
	}
	slices.SortStableFunc(l.queue, func(a, b record.Record) int { return a.Kind.Priority() - b.Kind.Priority() })
	n := min(len(l.queue), record.MaxBatchRecords/2)
	recs := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	decided := 0
	if l.r.dirty && l.retry {
		l.r.dirty = false
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
	if l.dying {
		l.dying, l.down = false, true
		l.lost = l.batches(recs)
		return
	}
	batches, epoch := l.batches(recs), l.epoch
	l.r.clock.after(appendDelay, func() {
		outs := l.fold(batches)
		if l.epoch != epoch {
			return
		}
		l.outstanding = false
		// Facts change the state, so that the next decision differs.
		if decided > 0 && decided == len(outs) && !slices.ContainsFunc(outs, state.Decision.Accepted) {
			l.retry = false
		}
		l.commit()
	})
}

// outage begins or ends a time without the log. The first append of it takes
// effect although its answer is lost; when the log is back, the writer sends
// the same sequence numbers again, which must change nothing.
func (l *journal) outage(begin bool) {
	if begin {
		l.dying = true
		l.pause()
		return
	}
	l.dying = false
	l.r.clock.after(rejoinTime, func() {
		l.down = false
		l.resume()
		if l.lost != nil {
			batches := l.lost
			l.lost = nil
			l.fold(batches)
			l.resend(batches)
			l.outstanding = false
		}
		l.commit()
	})
}

// resend applies batches that were applied before; none may be accepted.
func (l *journal) resend(batches []*record.Batch) {
	for _, b := range batches {
		outs, err := l.r.state.Apply(l.r.state.Offset, b)
		if err != nil {
			l.r.fail(err)
			return
		}
		for _, o := range outs {
			l.again++
			if o.Reason != state.ReasonDuplicate {
				l.r.fail(&ReplayError{At: l.r.clock.now, Rule: "a repeated append is a duplicate", Detail: o.ID})
			}
		}
	}
}

// apply appends and folds records at once.
func (l *journal) apply(recs []record.Record) []state.Decision { return l.fold(l.batches(recs)) }

// batches wraps each record in a batch of the instance that writes it.
func (l *journal) batches(recs []record.Record) []*record.Batch {
	var out []*record.Batch
	for _, rec := range recs {
		out = append(out, l.batch(l.writers[l.writer(rec.ID)], rec))
	}
	return out
}

// writer returns the number of the instance that writes the records of an id.
func (l *journal) writer(id string) int {
	return int(xxhash.Sum64String(id) % uint64(len(l.writers)))
}

// batch passes the record through the log's codec.
func (l *journal) batch(writer string, rec record.Record) *record.Batch {
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

func (l *journal) fold(batches []*record.Batch) []state.Decision {
	var all []state.Decision
	for _, b := range batches {
		outs, err := l.r.state.Apply(l.r.state.Offset, b)
		if err != nil {
			l.r.fail(err)
			return all
		}
		for i, o := range outs {
			if !o.Accepted() {
				l.refused[o.Reason]++
			}
			l.r.folded(b.Records[i], o)
		}
		l.r.settle()
		all = append(all, outs...)
	}
	return all
}
