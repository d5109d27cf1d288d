package leader

import (
	"math"
	"time"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/workerhealth"
)

const (
	// healthInterval is the pause between two estimates of all workers. One costs
	// about 20 ms of processor time with 1,000 workers. A new leader needs some steps
	// of a few seconds to know speeds.
	healthInterval = time.Second
)

// health is what the leader knows of workers over all jobs. The maps are those of the
// last estimate.
type health struct {
	speeds   workerhealth.Speeds
	failures workerhealth.Failures
	speed    map[string]float64 // by worker, of those that differ from the usual one
	risk     map[string]float64 // failure risk by worker
	marks    healthMarks

	loggedAt time.Time
	logged   healthMarks // at the last log lines
}

// newHealth returns the state of a leader that has seen no run, or nil.
func newHealth(on bool) *health {
	if !on {
		return nil
	}
	return &health{}
}

// place returns what the worker shares with others.
func (w *worker) place() workerhealth.Place {
	return workerhealth.Place{Worker: w.id, Rack: w.entry.Rack, Domain: w.entry.Zone}
}

// measurable reports whether the progress of the run tells of the speed of its worker.
// A task that uses only idle processor time depends on its neighbours, and a worker
// is slow for a time after its start. The caller holds l.mu.
func (l *Leader) measurable(w *worker, n *run, now time.Time) bool {
	return l.health != nil && n.step != nil && !n.step.LongRunning && !n.step.IdleCPUOnly && !n.stopping && !now.Before(w.entry.ColdUntil)
}

// beginHealth begins to measure a run. The caller holds l.mu.
func (l *Leader) beginHealth(w *worker, n *run, now time.Time) {
	key := workerhealth.Step{Job: n.unit.Job, Occurrence: n.unit.Occurrence, Step: n.unit.Step}
	if n.step.Gang {
		key.Run = n.key.run
	}
	key.Far = n.step.Rack != "" && n.step.Rack != w.entry.Rack
	n.health = l.health.speeds.Begin(key, w.place(), now)
}

// observeProgress notes the reported progress of a run. The caller holds l.mu.
func (l *Leader) observeProgress(w *worker, n *run, percent float64, now time.Time) {
	if !l.measurable(w, n, now) {
		return
	}
	if n.health == nil {
		l.beginHealth(w, n, now)
	}
	n.health.Progress(percent, now)
}

// observeEnd notes the reported end of a run. The caller holds l.mu.
func (l *Leader) observeEnd(w *worker, n *run, outcome ledger.RunOutcome, now time.Time) {
	if l.health == nil {
		return
	}
	switch outcome {
	case ledger.Done:
		l.health.failures.Done(n.unit.Job, w.place(), now)
	case ledger.Failed:
		l.health.failures.Failed(n.unit.Job, w.place(), now)
	}
	if outcome != ledger.Done || !l.measurable(w, n, now) {
		return
	}
	if n.health == nil && n.key.run == 1 && !n.inherited { // it was too short for a report, and had no checkpoint
		l.beginHealth(w, n, now)
		n.health.Progress(0, n.startedAt)
	}
	if n.health != nil {
		n.health.Done(now)
	}
}

// observeRestart notes that a worker has restarted. The caller holds l.mu.
func (l *Leader) observeRestart(w *worker) {
	if l.health != nil {
		l.health.failures.Restart(w.id)
	}
}

// healthLoop estimates the health of all workers until the epoch ends.
func (l *Leader) healthLoop() {
	for l.health != nil && l.ctx.Err() == nil {
		delay.For(l.ctx, healthInterval)
		l.updateHealth(time.Now())
	}
}

// updateHealth estimates the health of all workers, and logs what has changed.
func (l *Leader) updateHealth(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.health
	h.speeds.Update(now)
	h.failures.Update(now)
	h.speed, h.risk, h.marks = make(map[string]float64), make(map[string]float64), newHealthMarks()
	for id, w := range l.workers {
		if !w.listed {
			continue
		}
		p := w.place()
		h.risk[id] = h.failures.Risk(p)
		if v := h.speeds.Speed(p); v != 1 {
			h.speed[id] = v
		}
		h.mark(p)
	}
	if now.Sub(h.loggedAt) >= healthLogInterval {
		h.loggedAt = now
		l.logHealth(h.logged, h.marks)
		h.logged = h.marks
	}
}

// speed returns the speed of the worker for the planner; 0 is unknown. The caller
// holds l.mu.
func (l *Leader) speed(w *worker) float64 {
	if l.health == nil {
		return 0
	}
	return l.health.speed[w.id]
}

// failureRisk returns the probability that a run fails because of the worker. The
// caller holds l.mu.
func (l *Leader) failureRisk(w *worker) float64 {
	if l.health == nil {
		return 0
	}
	return l.health.risk[w.id]
}

// lastAttempt reports whether the job fails if the next run of the unit does, where
// the leader knows which workers are reliable. The caller holds l.mu.
func (l *Leader) lastAttempt(js *ledger.JobState, u *ledger.Unit) bool {
	return l.health != nil && js.Job.Attempts > 0 && u.Failures+1 >= js.Job.Attempts && !js.Job.Steps[u.ID.Step].LongRunning
}

// hasUsualRun reports whether a run on the worker advances about as fast as its
// siblings elsewhere; best has the rates of the fastest ones. Another run there that is
// much slower is then one of the tasks that take many times as long as their siblings,
// and tells nothing of the worker. The caller holds l.mu.
func (l *Leader) hasUsualRun(w *worker, best map[stepKey]float64, now time.Time) bool {
	if l.health == nil {
		return false
	}
	for _, n := range w.runs {
		if !l.measurable(w, n, now) || n.endProposed || !n.progress.rateIsFresh(now) {
			continue
		}
		v := plan.Straggler{Percent: n.progress.percent, Rate: n.progress.rate, BestRate: best[stepKey{n.unit.Job, n.unit.Occurrence, n.unit.Step}]}
		if v.Rate < v.BestRate && !v.Slow() {
			return true
		}
	}
	return false
}

// slack tells by which factor a job may take longer than on usual workers and still meet
// its objective. The zero value is unknown.
type slack struct {
	factor float64 // ratio of the objective to the job's time; infinite if the objective says nothing
	needed []int64 // time that the steps from each one on take, ms
}

// slackOf returns the slack of a job with the objective in ms. The caller holds l.mu.
func (l *Leader) slackOf(j *ledger.Job, objective int64) slack {
	if l.health == nil {
		return slack{}
	}
	out := slack{factor: math.Inf(1), needed: make([]int64, len(j.Steps))}
	total := int64(0)
	for i := len(j.Steps) - 1; i >= 0; i-- {
		total += j.Steps[i].Estimate
		out.needed[i] = total
	}
	switch {
	case objective <= 0:
	case j.Stretch > 0:
		out.factor = j.Stretch
	case total > 0:
		out.factor = float64(objective) / float64(total)
	}
	return out
}

// of returns the factor for the job from a step on, when the share age of the objective
// has passed. Estimates may be far off, so it follows from the factor of the objective
// and from the share of the job's time that is still needed.
func (s slack) of(step int, age float64) float64 {
	switch {
	case s.needed == nil:
		return 0
	case math.IsInf(s.factor, 1) || s.needed[step] == 0:
		return math.Inf(1)
	}
	return s.factor * (1 - age) * float64(s.needed[0]) / float64(s.needed[step])
}
