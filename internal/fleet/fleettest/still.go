package fleettest

import (
	"slices"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

const (
	// stillLimit is how long a job with a task that could run may have nothing
	// running.
	stillLimit = 3 * time.Second

	// calmBefore is how long before that nothing may have been disrupted.
	calmBefore = 4 * time.Second

	// longRunningPause is the time after the last run of a long-running task from
	// which it must not stand still.
	longRunningPause = 6 * time.Second

	// spareRoom is how many times a unit must fit into the free resources to
	// count as able to run.
	spareRoom = 2

	// stillInterval is the time between two checks for jobs that stand still.
	stillInterval = 50 * time.Millisecond
)

// waiting is what stands still: a job, or one task if it is long-running.
type waiting struct {
	job  string
	task leader.TaskID // empty for a job
}

// still records since when something could run and does not.
type still struct {
	since    time.Time
	reported bool
}

// BeginDisruption records that a fault or planned restart of an instance, a worker,
// a link or the log begins. It ends with EndDisruption.
func (r *Checker) BeginDisruption() { r.disruptions++ }

// EndDisruption records the end of a disruption.
func (r *Checker) EndDisruption() {
	r.disruptions--
	r.disruptedAt = time.Now()
}

// checkStill checks that no accepted job stands still while a task of it could run.
func (r *Checker) checkStill(ws *Workers, now time.Time) {
	if len(r.Accepted) == 0 || now.Sub(r.stillChecked) < stillInterval {
		return
	}
	r.stillChecked = now
	if r.disruptions > 0 {
		r.disruptedAt = now
	}
	found := make(map[waiting]bool)
	for id := range r.Accepted {
		if j := r.Jobs[id]; !r.CancelSent[id] && !r.Ended[id] && !r.mayBeGivenUp(j) {
			r.checkJobStill(ws, j, now, found)
		}
	}
	for what := range r.still {
		if !found[what] {
			delete(r.still, what)
		}
	}
}

// checkJobStill checks one job, and adds to found what of it could run and does not.
func (r *Checker) checkJobStill(ws *Workers, j ledger.Job, now time.Time, found map[waiting]bool) {
	running, done := ws.tasksOf(j.ID)
	for k := range j.Occurrences() {
		for i, s := range j.Steps {
			if !s.LongRunning && len(running) > 0 || now.UnixMilli() < j.Due(k) || !r.stepReady(j, k, i) {
				continue
			}
			room := ws.roomFor(stepKey{j.ID, k, i}, s)
			if !hasRoom(room, s) {
				continue
			}
			for _, unit := range unitsOf(j, k, i) {
				if !anyOf(unit, running) && !anyOf(unit, done) && !r.unitOver(s, unit) {
					r.recordStill(unit[0], s, room, now, found)
				}
			}
		}
	}
}

// unitsOf returns the tasks of each unit of a step.
func unitsOf(j ledger.Job, occurrence, n int) [][]leader.TaskID {
	var units [][]leader.TaskID
	for i := range j.Steps[n].Count {
		t := leader.TaskID{Job: j.ID, Occurrence: occurrence, Step: n, Index: i}
		if i > 0 && j.Steps[n].Gang {
			units[0] = append(units[0], t)
			continue
		}
		units = append(units, []leader.TaskID{t})
	}
	return units
}

// anyOf reports whether one of the tasks is in the set.
func anyOf(tasks []leader.TaskID, set map[leader.TaskID]bool) bool {
	return slices.ContainsFunc(tasks, func(t leader.TaskID) bool { return set[t] })
}

// recordStill records that a task could run and does not.
func (r *Checker) recordStill(task leader.TaskID, s ledger.Step, room map[string]int, now time.Time, found map[waiting]bool) {
	what, last := waiting{job: task.Job}, r.lastActive[waiting{job: task.Job}]
	if s.LongRunning {
		what.task = task
		if last = r.lastActive[what]; !last.IsZero() {
			last = last.Add(longRunningPause)
		}
	}
	found[what] = true
	if r.still[what] == nil {
		r.still[what] = &still{since: now}
	}
	state := r.still[what]
	since := latest(state.since, last, r.disruptedAt.Add(calmBefore), r.Accepted[task.Job])
	if now.Sub(since) < stillLimit {
		return
	}
	if !state.reported {
		r.addViolation("STILL", task, " could run since ", since.Format("15:04:05.000"), " and does not; ", r.StartCounts[task], " runs so far, ",
			s.Count, " tasks of ", s.Estimate, " ms, gang ", s.Gang, ", same rack ", s.SameRack, ", rack ", s.Rack, ", room ", room)
	}
	state.reported = true
}

// latest returns the latest of the times.
func latest(times ...time.Time) time.Time {
	out := times[0]
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// recordActive records that a run of the task begins or ends now.
func (r *Checker) recordActive(t leader.TaskID) {
	now := time.Now()
	r.lastActive[waiting{job: t.Job}] = now
	r.lastActive[waiting{job: t.Job, task: t}] = now
}

// stepReady reports whether the system knows that all steps are done that must be
// done before the step.
func (r *Checker) stepReady(j ledger.Job, occurrence, n int) bool {
	for _, before := range j.Steps[n].After {
		if !r.stepAcked(j, occurrence, before) {
			return false
		}
	}
	return true
}

// stepAcked reports whether the system acknowledged that the step is done.
func (r *Checker) stepAcked(j ledger.Job, occurrence, n int) bool {
	acked := 0
	for i := range j.Steps[n].Count {
		if r.doneAcked[leader.TaskID{Job: j.ID, Occurrence: occurrence, Step: n, Index: i}] {
			acked++
		}
	}
	return acked == j.Steps[n].Count || j.Steps[n].Gang && acked > 0
}

// unitOver reports whether no run of the unit is needed any more. The system may
// have stored an end that it had no time to acknowledge.
func (r *Checker) unitOver(s ledger.Step, unit []leader.TaskID) bool {
	return !s.LongRunning && (anyOf(unit, r.doneListed) || anyOf(unit, r.doneAcked))
}

// mayBeGivenUp reports whether a task of the job has failed too often or crashed
// too many workers, so that the system need not run the job any more.
func (r *Checker) mayBeGivenUp(j ledger.Job) bool {
	failures := make(map[leader.TaskID]int) // by the first task of the unit
	for t, n := range r.failedRuns {
		if t.Job != j.ID || j.Steps[t.Step].LongRunning {
			continue
		}
		if j.Steps[t.Step].Gang {
			t.Index = 0
		}
		failures[t] += n
		if failures[t] >= j.Attempts && j.Attempts > 0 {
			return true
		}
	}
	for t, n := range r.crashes {
		if t.Job == j.ID && n >= minCrashesToFail {
			return true
		}
	}
	return false
}

// tasksOf returns the tasks of a job that run on workers that are up, and those that
// such a worker lists as done.
func (ws *Workers) tasksOf(job string) (running, done map[leader.TaskID]bool) {
	running, done = make(map[leader.TaskID]bool), make(map[leader.TaskID]bool)
	for _, w := range ws.List {
		if w.Down {
			continue
		}
		for t := range w.runs {
			if t.Job == job {
				running[t] = true
			}
		}
		for _, e := range w.ended {
			if e.Task.Job == job && e.Outcome == ledger.Done {
				done[e.Task] = true
			}
		}
	}
	return running, done
}

// roomFor returns how many more tasks of the step fit on each worker on which any
// does.
func (ws *Workers) roomFor(key stepKey, s ledger.Step) map[string]int {
	room := make(map[string]int)
	for id, w := range ws.List {
		if w.Down || w.Unlisted || w.Draining || w.StopErr != nil || s.Label != "" && s.Label != anyLabel && s.Label != w.Rack {
			continue
		}
		if n := ws.roomOn(w, key, s); n > 0 {
			room[id] = n
		}
	}
	return room
}

// hasRoom reports whether a unit of the step fits spareRoom times into the room.
func hasRoom(room map[string]int, s ledger.Step) bool {
	width, total := 1, 0
	if s.Gang {
		width = s.Count
	}
	for _, n := range room {
		total += n
	}
	return total >= spareRoom*width
}

// roomOn returns how many more tasks of the step fit on the worker.
func (ws *Workers) roomOn(w *Worker, key stepKey, s ledger.Step) int {
	free, same := w.Total, 0
	for t := range w.runs {
		o := ws.Checker.Jobs[t.Job].Steps[t.Step]
		free = free.Sub(plan.Resources{CPU: o.CPU, Memory: o.Memory, GPU: o.GPU})
		if stepOf(t) == key {
			same++
		}
	}
	n := free.MaxTasks(plan.Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU})
	if s.MaxPerWorker > 0 {
		n = min(n, s.MaxPerWorker-same)
	}
	return max(n, 0)
}
