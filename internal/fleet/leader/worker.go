package leader

import (
	"time"

	"jasminelane.example/lane/internal/fleet/ledger"
)

const (
	// maxClockRatio bounds how much slower than real time a worker's clock may
	// run.
	maxClockRatio = 1.02

	// leaseMargin allows for the time between reading a clock and using it.
	leaseMargin = 200 * time.Millisecond

	// staleLeaderTime is how long a leader that cannot read the log continues
	// to renew leases, so that runs survive outages of the log. A new leader
	// adds it to the leases of workers that it has never reached.
	staleLeaderTime = 10 * time.Second

	// maxRenewSilence is the time without an answer after which a worker's
	// leases are no longer extended, so that its runs certainly end.
	maxRenewSilence = 1500 * time.Millisecond

	// maxAckAge is the age of a worker's last answer up to which its ends may
	// be acknowledged. A restart of the worker takes longer.
	maxAckAge = 500 * time.Millisecond

	// suspectPeriod is how long a failed run counts against its worker. Suspect
	// workers are used last.
	suspectPeriod = 6 * time.Second

	// minSuspectJobs is the number of jobs with failed runs on a worker that
	// makes it suspect.
	minSuspectJobs = 2
)

// maxLeaseTime returns the longest time from sending a renewal to the end of the
// lease that it requests.
func maxLeaseTime(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*maxClockRatio) + leaseMargin
}

// worker is the leader's view of one worker.
type worker struct {
	id          string
	entry       WorkerEntry
	listed      bool
	knownSince  time.Time // when this leader first saw it
	absentLists int       // consecutive lists of machines without it
	sighted     int64     // newest incarnation that had runs before this leader began; 0 is unknown
	sightedAt   time.Time // when this instance first knew of it, see Sightings

	unresponsive bool   // did not answer the last sync
	contacted    bool   // its incarnation has answered a sync with the present fencing token
	generation   uint64 // number of restarts that this leader has seen
	incarnation  int64  // of the last answer
	clockMs      int64  // reading of the worker's clock at clockAt
	clockAt      time.Time
	lastAnswer   time.Time // when the last sync was answered
	reportSentAt time.Time // when the newest of its reports was requested
	leasesEnd    time.Time // when all leases that were requested have certainly ended
	unhealthyAt  time.Time // when it last refused a start as unhealthy or as another incarnation
	slowAt       time.Time // when a run on it was last found slow
	unstoppable  bool      // does not carry out stop requests; its leases are not renewed

	runs       map[runKey]*run
	orphans    map[runKey]*run      // runs that the state does not have
	ends       []reportedEnd        // reported ends that are not acknowledged yet, by seq
	lastEndSeq uint64               // highest seq reported
	failedJobs map[string]time.Time // jobs with failed runs on it, with the time of the last failure

	wake chan struct{}
}

// reportedEnd is an end that the worker reported.
type reportedEnd struct {
	seq    uint64
	key    runKey
	stored bool
}

// newWorker returns a worker whose leases have certainly ended at the time.
func newWorker(id string, leasesEnd time.Time) *worker {
	return &worker{
		id:         id,
		leasesEnd:  leasesEnd,
		knownSince: time.Now(),
		runs:       make(map[runKey]*run),
		orphans:    make(map[runKey]*run),
		failedJobs: make(map[string]time.Time),
		wake:       make(chan struct{}, 1),
	}
}

// setEntry stores the platform's entry of the worker and reports whether the
// worker is newly listed, has restarted or has another address. An unreadable
// entry without an address leaves what is known of the worker.
func (w *worker) setEntry(e WorkerEntry) bool {
	if e.Unreadable && e.Addr == "" {
		e = w.entry
		e.Unreadable = true
	}
	changed := !w.listed || w.entry.Addr != e.Addr || w.entry.Incarnation != e.Incarnation
	w.entry = e
	w.listed = true
	return changed
}

// busy reports whether runs are, or may be, on the worker.
func (w *worker) busy() bool { return len(w.runs) > 0 || len(w.orphans) > 0 }

// mayRenew reports whether the worker has a run whose lease may be renewed. That of a
// lost run may not until its return is stored: the next leader would not know that
// the run goes on.
func (w *worker) mayRenew() bool {
	for _, n := range w.runs {
		if n.lossCause == "" && !n.resuming {
			return true
		}
	}
	return false
}

// usable reports whether new runs may start on the worker.
func (w *worker) usable(now time.Time) bool { return w.unusable(now) == unusableNot }

// suspect reports whether runs of several jobs recently failed on the worker, a
// run on it was recently slow, or it is still slow after its start.
func (w *worker) suspect(now time.Time) bool {
	if now.Sub(w.slowAt) < slowPenalty || now.Before(w.entry.ColdUntil) {
		return true
	}
	n := 0
	for job, at := range w.failedJobs {
		if now.Sub(at) > suspectPeriod {
			delete(w.failedJobs, job)
			continue
		}
		n++
	}
	return n >= minSuspectJobs
}

// recordOutcome updates the worker's failed jobs from the end of a run on it.
func (w *worker) recordOutcome(r *ledger.End) {
	switch r.Outcome {
	case ledger.Failed:
		w.failedJobs[r.Unit.Job] = time.Now()
	case ledger.Done:
		clear(w.failedJobs)
	}
}

// extendLease returns the end of a full lease from now on, in ms on the worker's
// clock, and updates leasesEnd.
func (w *worker) extendLease(lease time.Duration) int64 {
	now := time.Now()
	elapsed := now.Sub(w.clockAt)
	drift := time.Duration(float64(elapsed) * (maxClockRatio - 1))
	if end := now.Add(maxLeaseTime(lease) + drift); end.After(w.leasesEnd) {
		w.leasesEnd = end
	}
	return w.clockMs + elapsed.Milliseconds() + lease.Milliseconds()
}

// markStored notes that the end of a run is stored in the log.
func (w *worker) markStored(key runKey) {
	for i := range w.ends {
		if w.ends[i].key == key {
			w.ends[i].stored = true
		}
	}
}

// storedSeq returns the seq up to which all reported ends are stored.
func (w *worker) storedSeq() uint64 {
	for i, e := range w.ends {
		if !e.stored {
			if i == 0 {
				return e.seq - 1
			}
			return w.ends[i-1].seq
		}
	}
	return w.lastEndSeq
}

// safeAck returns storedSeq, or 0 if the worker may have restarted since its
// last answer. A new incarnation numbers its ends from the start again, so the
// acknowledgement would drop ends that nobody has seen.
func (w *worker) safeAck(now time.Time) uint64 {
	if w.unresponsive || now.Sub(w.lastAnswer) > maxAckAge {
		return 0
	}
	return w.storedSeq()
}

// hasUnstoredEnds reports whether a reported end is not stored in the log yet.
func (w *worker) hasUnstoredEnds() bool {
	for _, e := range w.ends {
		if !e.stored {
			return true
		}
	}
	return false
}

// dropAcknowledged removes the ends that have been acknowledged.
func (w *worker) dropAcknowledged(acked uint64) {
	i := 0
	for i < len(w.ends) && w.ends[i].seq <= acked {
		i++
	}
	w.ends = w.ends[i:]
}

// wakeSession ends the session's wait without blocking.
func (w *worker) wakeSession() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}
