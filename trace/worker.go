package trace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"jasminelane.example/lane/record"
	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/state"
)

// partialLimit is how long, in milliseconds, some members of a gang may run
// without the others until the loss of a worker is handled: a lease, the
// interval of the lease keepers, and the abort of a placement.
const partialLimit = leaseDuration + leaseDuration/3 + holdTimeout

// grant identifies one placement of a job.
type grant struct {
	job   string
	token uint64
}

// simWorker simulates a worker. It holds a task when the task's accelerators are
// free, runs it for the job's run time, and stops it on request, with a
// checkpoint if the grace period allows one.
type simWorker struct {
	r        *replay
	index    int
	alive    bool
	failing  bool
	lostAt   int64
	tasks    map[grant]*simTask
	reported map[grant]bool // grants whose end was reported
}

// simTask is the task of a grant on a worker.
type simTask struct {
	grant
	mask          shape.Mask
	running       bool
	stopping      bool
	startedAt     int64
	startProgress float64
	remaining     int64 // remaining run time at the start
	totalRun      int64 // run time of the whole job
	canCheckpoint bool
}

// sync updates the worker's tasks from the state, as a sync request of the lease
// keeper does.
func (w *simWorker) sync() {
	if !w.alive || w.r.err != nil {
		return
	}
	want := map[grant]bool{}
	for _, t := range slices.Clone(w.r.state.Workers[w.index].Tasks) {
		g := grant{t.Job.ID, t.Token}
		want[g] = true
		w.updateTask(g, t)
	}
	for _, g := range w.grants() {
		if !want[g] && !w.tasks[g].stopping {
			w.drop(w.tasks[g], 0)
		}
	}
	w.holdTasks()
}

// grants returns the worker's grants in a deterministic order.
func (w *simWorker) grants() []grant {
	return slices.SortedFunc(maps.Keys(w.tasks), func(a, b grant) int {
		return cmp.Or(cmp.Compare(a.token, b.token), cmp.Compare(a.job, b.job))
	})
}

// updateTask changes one task to the phase that it has in the state.
func (w *simWorker) updateTask(g grant, t *state.Task) {
	task := w.tasks[g]
	switch {
	case task == nil && t.Phase == state.TaskHold, t.Phase == state.TaskDone:
	case task == nil:
		// The worker never held the grant, or lost the task when it was down.
		w.report(g, record.RunAbsent, 0, 0)
	case t.Phase == state.TaskRun && !task.running && !task.stopping:
		w.start(task, t)
	case t.Phase == state.TaskStopping && !task.stopping:
		w.stop(task, t.GraceMs)
	}
}

// holdTasks takes the grants in phase hold whose accelerators no other task
// uses.
func (w *simWorker) holdTasks() {
	for _, t := range w.r.state.Workers[w.index].Tasks {
		g := grant{t.Job.ID, t.Token}
		if t.Phase != state.TaskHold || w.tasks[g] != nil {
			continue
		}
		var used shape.Mask
		for _, o := range w.tasks {
			used |= o.mask
		}
		if used&t.Mask != 0 {
			continue
		}
		w.tasks[g] = &simTask{grant: g, mask: t.Mask}
		w.r.grantHeld(g, w.index)
	}
}

// start starts the task, from the job's checkpoint if it has one.
func (w *simWorker) start(task *simTask, t *state.Task) {
	j := w.r.jobs[task.job]
	task.running, task.startedAt, task.totalRun, task.canCheckpoint = true, w.r.clock.now, j.Run, j.Checkpoint
	if j.Checkpoint {
		task.startProgress = t.Job.Progress
	}
	task.remaining = max(1, int64(float64(j.Run)*(1-task.startProgress)))
	w.r.updateRunning(j, 1)
	outcome := record.RunDone
	if j.Outcome == "failed" {
		outcome = record.RunFailed
	}
	w.finishAfter(task, task.remaining, outcome)
	if w.failing {
		w.finishAfter(task, failDelay, record.RunFailed)
	}
}

// finishAfter ends the task with the outcome after the delay, unless it ends or
// is stopped before.
func (w *simWorker) finishAfter(task *simTask, delay int64, outcome record.RunOutcome) {
	w.r.clock.after(delay, func() {
		if w.tasks[task.grant] != task || task.stopping {
			return
		}
		ran := w.r.clock.now - task.startedAt
		if outcome == record.RunDone {
			w.remove(task)
		} else {
			w.drop(task, 0)
		}
		w.report(task.grant, outcome, ran, 0)
		w.holdTasks()
	})
}

// stop ends the task, after a checkpoint if the grace period is long enough.
func (w *simWorker) stop(task *simTask, grace int64) {
	task.stopping = true
	delay := int64(0)
	if task.running && task.canCheckpoint && grace >= checkpointDelay {
		delay = checkpointDelay
	}
	w.r.clock.after(delay, func() {
		if w.tasks[task.grant] != task {
			return
		}
		var progress float64
		var ran int64
		if task.running {
			ran = w.r.clock.now - task.startedAt
			if delay > 0 {
				progress = min(1, task.startProgress+float64(ran-delay)/float64(task.totalRun))
			}
		}
		w.drop(task, progress)
		w.report(task.grant, record.RunStopped, ran, progress)
		w.holdTasks()
	})
}

// drop removes a task and counts the work that no checkpoint preserves as lost.
func (w *simWorker) drop(task *simTask, progress float64) {
	if task.running {
		lost := w.r.clock.now - task.startedAt
		if progress > task.startProgress {
			lost -= int64((progress - task.startProgress) * float64(task.totalRun))
		}
		w.r.recorder.lostGPUMs += max(0, lost) * int64(task.mask.Count())
	}
	w.remove(task)
}

// remove removes a task without counting lost work.
func (w *simWorker) remove(task *simTask) {
	delete(w.tasks, task.grant)
	if task.running {
		w.r.updateRunning(w.r.jobs[task.job], -1)
	}
}

// report proposes the outcome of a grant's run, once for each grant.
func (w *simWorker) report(g grant, outcome record.RunOutcome, ran int64, progress float64) {
	if w.reported[g] {
		return
	}
	w.reported[g] = true
	w.r.log.propose(w.r.record(record.KindReport, fmt.Sprintf("report-%d-%s-%d", w.index, g.job, g.token), record.Report{
		Worker:  uint32(w.index),
		Results: []record.Result{{Job: g.job, Token: g.token, Outcome: outcome, RanMs: ran, Progress: progress}},
	}))
}

// setAlive simulates the loss of the worker with all of its tasks, or its return
// without tasks.
func (w *simWorker) setAlive(alive bool) {
	w.alive = alive
	if alive {
		w.r.clock.after(syncDelay, w.sync)
		return
	}
	w.lostAt = w.r.clock.now
	for _, g := range w.grants() {
		w.drop(w.tasks[g], 0)
	}
	w.r.clock.after(leaseDuration, w.checkCondition)
}

// setFailing sets whether every task that runs or starts on the worker fails.
func (w *simWorker) setFailing(failing bool) {
	w.failing = failing
	for _, g := range w.grants() {
		if t := w.tasks[g]; failing && t.running {
			w.finishAfter(t, failDelay, record.RunFailed)
		}
	}
}

// checkCondition proposes a change of the worker's condition, as its lease
// keeper does.
func (w *simWorker) checkCondition() {
	sw := w.r.state.Workers[w.index]
	lost := !w.alive && w.r.clock.now-w.lostAt >= leaseDuration
	var next record.Condition
	switch {
	case lost && sw.Condition != record.ConditionLost:
		next = record.ConditionLost
	case w.alive && sw.Condition == record.ConditionLost:
		next = record.ConditionReady
	default:
		return
	}
	id := fmt.Sprintf("health-%d-%d-%s", w.index, sw.Revision, next)
	if slices.ContainsFunc(w.r.log.queue, func(r record.Record) bool { return r.ID == id }) {
		return
	}
	w.r.log.propose(w.r.record(record.KindHealth, id, record.Health{
		Worker: uint32(w.index), Revision: sw.Revision, Condition: next, Cause: "keeper",
	}))
}
