package trace

import (
	"fmt"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/state"
)

// placed starts the wait for the holds of a placement; it is aborted when they
// do not come in time. Evicted work may use up its grace first.
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

// held notes that a worker holds a grant, and proposes the start when all do.
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

// started checks that the gang that starts is whole.
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

// members notes that one worker more or fewer runs the job, and counts the
// gang as partial when some but not all of its workers ran it for longer than
// it takes to notice a lost worker.
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
