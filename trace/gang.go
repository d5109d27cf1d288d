package trace

import (
	"fmt"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// placed handles an accepted placement. It schedules an abort for the case that
// not all of the placement's workers hold their accelerators within holdLimit
// after the grace period, which preempted work may use up first.
func (r *replay) placed(p record.Place) {
	j := r.jobs[p.Job]
	token := r.state.Jobs[p.Job].Token
	j.token, j.holds = token, map[int]bool{}
	r.clock.after(holdLimit+p.GraceMs, func() {
		if sj := r.state.Jobs[p.Job]; sj != nil && sj.Phase == state.JobHolding && sj.Token == token {
			r.log.propose(r.record(record.KindAbort, fmt.Sprintf("abort-%s-%d", p.Job, token), record.Abort{
				Job: p.Job, Token: token, Cause: "not all members hold",
			}))
		}
	})
}

// held records that a worker holds a grant. When all workers of the placement
// do, it proposes the start.
func (r *replay) held(g grant, worker int) {
	j := r.jobs[g.job]
	if j.token != g.token {
		return
	}
	j.holds[worker] = true
	if len(j.holds) < len(r.state.Jobs[g.job].Slots) {
		return
	}
	r.log.propose(r.record(record.KindStart, fmt.Sprintf("start-%s-%d", g.job, g.token), record.Start{Job: g.job, Token: g.token}))
}

// started handles an accepted start. It counts the gang as partial if one of its
// workers does not hold the grant.
func (r *replay) started(v record.Start) {
	j := r.jobs[v.Job]
	r.side.started(j.Job)
	r.waits.started(j.ID)
	for _, sl := range r.state.Jobs[v.Job].Slots {
		if !j.holds[int(sl.Worker)] {
			r.side.partial++
			return
		}
	}
}

// members updates the number of workers that run the job by change, 1 or -1. It
// counts the gang as partial if some but not all of its workers ran it for
// longer than the detection of a lost worker takes.
func (r *replay) members(j *simJob, change int) {
	j.running += change
	some := j.running > 0 && j.running < len(j.holds)
	switch {
	case some && j.partial < 0:
		j.partial = r.clock.now
	case !some && j.partial >= 0:
		if r.clock.now-j.partial > partialLimit {
			r.side.partial++
		}
		j.partial = -1
	}
}
