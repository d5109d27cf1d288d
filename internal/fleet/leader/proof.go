package leader

import (
	"errors"
	"time"
)

// settlement is what the result of a start or stop request settles about a run.
type settlement int

const (
	// settlesNothing means that the request may have been carried out, or may
	// still be, even after requests that were sent later.
	settlesNothing settlement = iota

	// settlesRequest means that this request had no effect and never will have
	// one. It says nothing about other requests.
	settlesRequest

	// settlesRun means that the worker has the run, had it, or refuses it from
	// now on, so no other request to start the run has an effect.
	settlesRun
)

// settledBy returns what the result of a start or stop request settles.
func settledBy(err error) settlement {
	var refused *RefusedError
	var notSent *NotSentError
	switch {
	case err == nil:
		return settlesRun
	case errors.As(err, &notSent):
		return settlesRequest
	case !errors.As(err, &refused):
		return settlesNothing
	case refused.Reason == RefusedStaleRun:
		return settlesRun
	}
	return settlesRequest
}

// proof is what the requests to start and stop a run, and the worker's answers and
// reports, prove about it.
type proof struct {
	openStarts   int       // start requests of this epoch without an answer; each may still be carried out
	startSentAt  time.Time // when the newest start request was sent
	unansweredAt time.Time // end of the newest start request that had no answer
	startToken   uint64    // fencing token of this request; 0 if this leader has sent none
	settledAt    time.Time // when the worker was known to have the run, to have had it or to refuse it; zero while unknown
	stoppedAt    time.Time // when an incarnation had carried out a stop request; zero while unknown
	stoppedOn    int64     // this incarnation
	stopFailedAt time.Time // first of the stop requests in a row that the worker did not carry out although it answered syncs
}

// recordAnswer notes what the answer to a request to start the run settles.
func (p *proof) recordAnswer(s settlement) {
	if s != settlesNothing {
		p.openStarts--
	}
	if s == settlesRun {
		p.settle()
	}
}

// settle notes that the worker has the run, had it, or refuses it from now on.
func (p *proof) settle() {
	if !p.settled() {
		p.settledAt = time.Now()
	}
}

// settled reports whether the worker is known to have the run, to have had it, or
// to refuse it.
func (p *proof) settled() bool { return !p.settledAt.IsZero() }

// settledBefore reports whether the run was settled when a report was requested.
// An earlier report may be older than the run.
func (p *proof) settledBefore(requested time.Time) bool {
	return p.settled() && !requested.Before(p.settledAt)
}

// settledByStop reports whether nothing but the stop request settled the run, so
// that the worker may have no end of it to report.
func (p *proof) settledByStop() bool { return !p.settledAt.Before(p.stoppedAt) }

// neverStarted reports whether the run certainly has not started and will not
// start unless another request is sent.
func (p *proof) neverStarted() bool { return p.openStarts == 0 && !p.settled() }

// refusedFrom reports whether a worker that has seen the fencing token refuses all
// requests of this leader to start the run.
func (p *proof) refusedFrom(token uint64) bool {
	return p.startToken != 0 && p.startToken < token
}

// recordStopFailure notes that the worker did not carry out a stop request.
// unresponsive reports whether it does not answer syncs either.
func (p *proof) recordStopFailure(unresponsive bool) {
	switch {
	case unresponsive:
		p.stopFailedAt = time.Time{}
	case p.stopFailedAt.IsZero():
		p.stopFailedAt = time.Now()
	}
}

// stopStep is a step to stop a run.
type stopStep int

const (
	stopDone    stopStep = iota // the run has ended
	stopRequest                 // the worker has to be asked to stop the run
	stopReport                  // a report has to show what has become of the run; that of an orphan run has no end to store
	stopWait                    // the worker will report the end, or has no address
)

// nextStopStep returns the next step to stop the run. The caller holds the lock
// of the leader.
func (n *run) nextStopStep(w *worker) stopStep {
	switch {
	case n.endProposed || n.removed:
		return stopDone
	case w.entry.Addr == "":
		return stopWait
	case n.stoppedAt.IsZero() || n.stoppedOn != w.incarnation:
		return stopRequest
	case n.orphan() || n.settledByStop() && !w.reportSentAt.After(n.settledAt):
		return stopReport
	}
	return stopWait
}
