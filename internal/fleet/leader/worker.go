package leader

import (
	"time"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// clockRate bounds how much slower than real time a worker's clock may run.
	clockRate = 1.02

	// leaseMargin covers the time between reading a clock and using it.
	leaseMargin = 200 * time.Millisecond

	// unawareLeader is how long a leader that cannot read the log goes on
	// renewing leases. It bridges outages of the log; a new leader adds it to
	// the lease of workers that it has never reached.
	unawareLeader = 10 * time.Second

	// renewSilence is how long a worker may fail to answer before its lease is
	// no longer extended, so that its runs certainly end.
	renewSilence = 1500 * time.Millisecond

	// ackFresh is how old a worker's answer may be for its count of ends to be
	// acknowledged; a restart takes longer.
	ackFresh = 500 * time.Millisecond

	// suspectFor is how long a worker on which runs of several jobs failed is
	// used last.
	suspectFor = 6 * time.Second

	// suspectAfter is the number of jobs that make a worker suspect.
	suspectAfter = 2
)

// leaseBound is the longest time from sending a renewal to the end of the
// lease that it asks for.
func leaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockRate) + leaseMargin
}

// worker is the leader's view of one worker.
type worker struct {
	id     string
	entry  Entry
	listed bool
	known  time.Time // since when this leader knows it
	absent int       // lists of machines in a row that did not name it

	silent  bool  // did not answer the last sync
	looked  bool  // has answered in this epoch
	born    int64 // incarnation that answered
	clock   int64 // its clock, ms, at clockAt
	clockAt time.Time
	lastOK  time.Time // last answer
	lapse   time.Time // when all leases that were asked for have ended
	refused time.Time // last refusal as unhealthy
	slow    time.Time // last time at which a run here was slow

	runs    map[runKey]*run
	foreign map[runKey]time.Time // runs that are not in the state, with the time of the last stop order
	ends    []end                // reported ends that are not acknowledged yet, by number
	seenEnd uint64               // highest number reported
	failed  map[string]time.Time // jobs that failed here

	wake chan struct{}
}

// end is a reported end and whether it is stored.
type end struct {
	number uint64
	key    runKey
	stored bool
}

func newWorker(id string, lapse time.Time) *worker {
	return &worker{
		id:      id,
		lapse:   lapse,
		known:   time.Now(),
		runs:    make(map[runKey]*run),
		foreign: make(map[runKey]time.Time),
		failed:  make(map[string]time.Time),
		wake:    make(chan struct{}, 1),
	}
}

// enlist takes over an entry of the list and reports whether it is news.
func (w *worker) enlist(e Entry) bool {
	news := !w.listed || w.entry.Addr != e.Addr || w.entry.Born != e.Born
	w.entry = e
	w.listed = true
	return news
}

// usable reports whether new runs may start on the worker.
func (w *worker) usable(now time.Time) bool {
	return w.listed && w.looked && !w.silent && !w.entry.Draining && len(w.foreign) == 0 &&
		now.Sub(w.lastOK) < idleSync+renewSilence && now.Sub(w.refused) > refusedPause &&
		(w.entry.Born == 0 || w.entry.Born == w.born)
}

// suspect reports whether runs of several jobs failed here lately, or runs
// were slow.
func (w *worker) suspect(now time.Time) bool {
	if now.Sub(w.slow) < slowFor {
		return true
	}
	n := 0
	for job, at := range w.failed {
		if now.Sub(at) > suspectFor {
			delete(w.failed, job)
			continue
		}
		n++
	}
	return n >= suspectAfter
}

// judge learns from how a run ended.
func (w *worker) judge(r *ledger.End) {
	switch r.Outcome {
	case ledger.Failed:
		w.failed[r.Unit.Job] = time.Now()
	case ledger.Done:
		clear(w.failed)
	}
}

// until returns the end of a full lease on the worker's clock, and notes when
// it will have ended.
func (w *worker) until(lease time.Duration) int64 {
	now := time.Now()
	elapsed := now.Sub(w.clockAt)
	drift := time.Duration(float64(elapsed) * (clockRate - 1))
	if lapse := now.Add(leaseBound(lease) + drift); lapse.After(w.lapse) {
		w.lapse = lapse
	}
	return w.clock + elapsed.Milliseconds() + lease.Milliseconds()
}

// stored notes that the end of a run is in the log.
func (w *worker) stored(key runKey) {
	for i := range w.ends {
		if w.ends[i].key == key {
			w.ends[i].stored = true
		}
	}
}

// ack returns the number up to which all reported ends are stored.
func (w *worker) ack() uint64 {
	for i, e := range w.ends {
		if !e.stored {
			if i == 0 {
				return e.number - 1
			}
			return w.ends[i-1].number
		}
	}
	return w.seenEnd
}

// safeAck is ack, or 0 if the worker may have restarted since its last answer:
// a new incarnation counts its ends anew, and the acknowledgement would drop
// one that nobody has seen.
func (w *worker) safeAck(now time.Time) uint64 {
	if w.silent || now.Sub(w.lastOK) > ackFresh {
		return 0
	}
	return w.ack()
}

// unstored reports whether a reported end is not in the log yet.
func (w *worker) unstored() bool {
	for _, e := range w.ends {
		if !e.stored {
			return true
		}
	}
	return false
}

// prune drops ends that have been acknowledged.
func (w *worker) prune(ack uint64) {
	i := 0
	for i < len(w.ends) && w.ends[i].number <= ack {
		i++
	}
	w.ends = w.ends[i:]
}

func (w *worker) kick() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
