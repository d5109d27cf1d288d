package trace

import (
	"fmt"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// gangPlaced handles an accepted placement. It schedules an abort for the case
// that not all of the placement's workers hold their accelerators within
// holdTimeout after the grace period, which preempted work may use up first.
func (r *replay) gangPlaced(p record.Place) {
	j := r.jobs[p.Job]
	token := r.state.Jobs[p.Job].Token
	j.token, j.holding = token, map[int]bool{}
	r.clock.after(holdTimeout+p.GraceMs, func() {
		if sj := r.state.Jobs[p.Job]; sj != nil && sj.Phase == state.JobHolding && sj.Token == token {
			r.log.propose(r.record(record.KindAbort, fmt.Sprintf("abort-%s-%d", p.Job, token), record.Abort{
				Job: p.Job, Token: token, Cause: "not all members hold",
			}))
		}
	})
}

// grantHeld records that a worker holds a grant. When all workers of the
// placement do, it proposes the start.
func (r *replay) grantHeld(g grant, worker int) {
	j := r.jobs[g.job]
	if j.token != g.token {
		return
	}
	j.holding[worker] = true
	if len(j.holding) < len(r.state.Jobs[g.job].Slots) {
		return
	}
	r.log.propose(r.record(record.KindStart, fmt.Sprintf("start-%s-%d", g.job, g.token), record.Start{Job: g.job, Token: g.token}))
}

// gangStarted handles an accepted start. It counts the gang as partial if one
// of its workers does not hold the grant.
func (r *replay) gangStarted(v record.Start) {
	j := r.jobs[v.Job]
	r.recorder.jobStarted(j.Job)
	r.waits.started(j.ID)
	for _, sl := range r.state.Jobs[v.Job].Slots {
		if !j.holding[int(sl.Worker)] {
			r.recorder.partialGangs++
			return
		}
	}
}

// updateRunning updates the number of workers that run the job by change, 1 or
// -1. It counts the gang as partial if some but not all of its workers ran it
// for longer than the detection of a lost worker takes.
func (r *replay) updateRunning(j *simJob, change int) {
	j.runningWorkers += change
	some := j.runningWorkers > 0 && j.runningWorkers < len(j.holding)
	switch {
	case some && j.partialSince < 0:
		j.partialSince = r.clock.now
	case !some && j.partialSince >= 0:
		if r.clock.now-j.partialSince > partialLimit {
			r.recorder.partialGangs++
		}
		j.partialSince = -1
	}
}
