package fleettest

import (
	"fmt"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// stepKey identifies a step within one occurrence of its job.
type stepKey struct {
	job              string
	occurrence, step int
}

func stepOf(t leader.TaskID) stepKey { return stepKey{t.Job, t.Occurrence, t.Step} }

// Checker checks the scheduler's guarantees to callers and workers by what the
// workers observe. The exported fields are accessed under the lock of Workers.
type Checker struct {
	Jobs            map[string]ledger.Job
	Cancelled       map[string]time.Time  // when the cancellation of a job was acknowledged
	Evacuated       map[string]time.Time  // when all instances knew that a failure domain is evacuated
	Refused         map[string]bool       // jobs that the system reported as not accepted
	IncompleteGangs []string              // tasks that ended because their gang was not complete in time
	NoDisruption    bool                  // the test injects no faults
	Accepted        map[string]time.Time  // when a job was accepted; jobs that are not here are not checked for standing still
	CancelSent      map[string]bool       // jobs of which a cancellation was requested
	Ended           map[string]bool       // jobs that the system has shown as ended
	Violations      []string              // violated guarantees
	StartCounts     map[leader.TaskID]int // start requests that workers carried out

	done         map[leader.TaskID]bool
	doneListed   map[leader.TaskID]bool // a worker reported that the task ended as done
	doneAcked    map[leader.TaskID]bool // the system acknowledged that the task ended as done
	stepFinished map[stepKey]bool       // a task of the step ended as done, which is enough for a gang
	failures     map[leader.TaskID]int  // acknowledged failures
	failedRuns   map[leader.TaskID]int  // runs that failed
	crashes      map[leader.TaskID]int  // workers that crashed while they ran the task
	deadlyStarts map[leader.TaskID]int  // starts of a deadly task after maxCrashes crashes
	doneRuns     map[taskRunID]string   // runs that ended as done, with a later start of their task if there is one

	disruptions  int       // disruptions that have begun and not ended
	disruptedAt  time.Time // last time of a disruption
	stillChecked time.Time
	lastActive   map[waiting]time.Time // last begin or end of a run
	still        map[waiting]*still
}

// taskRunID identifies a run of a task.
type taskRunID struct {
	task leader.TaskID
	run  int
}

const (
	// maxCrashes is the number of crashed workers after which a task that
	// crashes them may be started only maxDeadlyStarts times more.
	maxCrashes      = 3
	maxDeadlyStarts = 2

	// minCrashesToFail is the number of crashed workers after which a task may
	// be given up.
	minCrashesToFail = 2
)

// NewChecker returns a checker without violations.
func NewChecker() *Checker {
	return &Checker{
		Jobs:         make(map[string]ledger.Job),
		Cancelled:    make(map[string]time.Time),
		Evacuated:    make(map[string]time.Time),
		Refused:      make(map[string]bool),
		StartCounts:  make(map[leader.TaskID]int),
		done:         make(map[leader.TaskID]bool),
		doneListed:   make(map[leader.TaskID]bool),
		doneAcked:    make(map[leader.TaskID]bool),
		stepFinished: make(map[stepKey]bool),
		failures:     make(map[leader.TaskID]int),
		failedRuns:   make(map[leader.TaskID]int),
		crashes:      make(map[leader.TaskID]int),
		deadlyStarts: make(map[leader.TaskID]int),
		doneRuns:     make(map[taskRunID]string),
		Accepted:     make(map[string]time.Time),
		CancelSent:   make(map[string]bool),
		Ended:        make(map[string]bool),
		lastActive:   make(map[waiting]time.Time),
		still:        make(map[waiting]*still),
	}
}

func (r *Checker) addViolation(rule string, detail ...any) {
	r.Violations = append(r.Violations, rule+": "+fmt.Sprint(detail...))
}

// cancelSlack is how long after a cancellation starts are still allowed.
const cancelSlack = 3 * time.Second

// evacuationSlack is how long after an evacuation is known requests that were
// sent before may still arrive.
const evacuationSlack = 500 * time.Millisecond

// checkStart checks a start that a worker is about to carry out. It returns false
// if the worker cannot carry it out because no such job was submitted.
func (r *Checker) checkStart(ws *Workers, w *Worker, o leader.StartRequest, late bool) bool {
	r.StartCounts[o.Task]++
	r.recordActive(o.Task)
	j, ok := r.Jobs[o.Task.Job]
	if !ok {
		r.addViolation("UNASKED", "unknown job ", o.Task)
		return false
	}
	s := j.Steps[o.Task.Step]
	if o.Spec != j.Spec {
		r.addViolation("UNASKED", "another spec ", o.Task)
	}
	if at, ok := r.Cancelled[j.ID]; ok && !late && time.Since(at) > cancelSlack {
		r.addViolation("UNASKED", o.Task, " started ", time.Since(at), " after its cancellation")
	}
	if at, ok := r.Evacuated[w.Domain]; ok && !late && time.Since(at) > evacuationSlack {
		r.addViolation("EVAC", o.Task, " started in ", w.Domain, " ", time.Since(at), " after its evacuation")
	}
	if r.Refused[j.ID] {
		r.addViolation("REFUSED", o.Task, " started")
	}
	r.checkCapacity(w, o, s)
	for _, other := range ws.List {
		if run := other.runs[o.Task]; !other.Down && run != nil {
			r.addViolation("TWICE", o.Task, " run ", o.Run, " on ", w.ID, " beside run ", run.run, " on ", other.ID)
		}
	}
	if r.doneAcked[o.Task] {
		r.addViolation("TWICE", o.Task, " run ", o.Run, " after its end was stored")
	}
	r.recordStartAfterDone(w, o)
	for _, before := range s.After {
		if !r.stepDone(j, o.Task.Occurrence, before) {
			r.addViolation("ORDER", o.Task, " before step ", before)
		}
	}
	if due := j.Due(o.Task.Occurrence); time.Now().UnixMilli() < due {
		r.addViolation("ORDER", o.Task, " before its time")
	}
	if j.Attempts > 0 && r.failures[o.Task] >= j.Attempts && !s.LongRunning {
		r.addViolation("BUDGET", o.Task, " run ", o.Run)
	}
	if ws.DeadlyJobs[j.ID] && !s.LongRunning && r.crashes[o.Task] >= maxCrashes {
		if r.deadlyStarts[o.Task]++; r.deadlyStarts[o.Task] > maxDeadlyStarts {
			r.addViolation("BUDGET", o.Task, " run ", o.Run, " after it crashed ", r.crashes[o.Task], " workers")
		}
	}
	r.checkMaxPerWorker(w, o, s)
	return true
}

// checkCapacity checks that the tasks on a worker do not exceed its resources.
func (r *Checker) checkCapacity(w *Worker, o leader.StartRequest, s ledger.Step) {
	used := plan.Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
	for task := range w.runs {
		o := r.Jobs[task.Job].Steps[task.Step]
		used = used.Add(plan.Resources{CPU: o.CPU, Memory: o.Memory, GPU: o.GPU})
	}
	if !w.Total.Fits(used) {
		r.addViolation("LIMIT", o.Task, " on ", w.ID, " ", used)
	}
}

// checkMaxPerWorker checks the limit of a step's tasks on one worker.
func (r *Checker) checkMaxPerWorker(w *Worker, o leader.StartRequest, s ledger.Step) {
	if s.MaxPerWorker == 0 {
		return
	}
	n := 1
	for task := range w.runs {
		if stepOf(task) == stepOf(o.Task) {
			n++
		}
	}
	if n > s.MaxPerWorker {
		r.addViolation("ROUTE", o.Task, " beside ", n-1, " tasks of its step on ", w.ID)
	}
}

// checkCancelled checks that a run of a cancelled job ends in time.
func (r *Checker) checkCancelled(run *taskRun, w *Worker) {
	at, ok := r.Cancelled[run.task.Job]
	if r.NoDisruption && ok && time.Since(at) > cancelSlack+StopGrace+tickInterval {
		r.addViolation("UNASKED", run.task, " on ", w.ID, " runs ", time.Since(at), " after its cancellation")
	}
}

// Unfinished describes the steps that are not done, of a job shown as done.
func (r *Checker) Unfinished(id string) []string {
	var wrong []string
	j := r.Jobs[id]
	for k := range j.Occurrences() {
		for i := range j.Steps {
			if !r.stepDone(j, k, i) {
				wrong = append(wrong, fmt.Sprintf("MIXED: %s is shown as done, step %d of occurrence %d is not", id, i, k))
			}
		}
	}
	return wrong
}

// FailedWithoutCause describes a job shown as failed of which no task has failed
// too often or may be given up for the workers that crashed under it.
func (r *Checker) FailedWithoutCause(id string) []string {
	j := r.Jobs[id]
	gangFailures := make(map[stepKey]int)
	for task, n := range r.failedRuns {
		if task.Job != id {
			continue
		}
		gangFailures[stepOf(task)] += n
		if n >= j.Attempts || j.Steps[task.Step].Gang && gangFailures[stepOf(task)] >= j.Attempts {
			return nil
		}
	}
	for task, n := range r.crashes {
		if task.Job == id && n >= minCrashesToFail {
			return nil
		}
	}
	return []string{"LOST: " + id + " is shown as failed without cause"}
}

func (r *Checker) stepDone(j ledger.Job, occurrence, n int) bool {
	s := j.Steps[n]
	if s.Gang {
		return r.stepFinished[stepKey{j.ID, occurrence, n}]
	}
	for i := range s.Count {
		if !r.done[leader.TaskID{Job: j.ID, Occurrence: occurrence, Step: n, Index: i}] {
			return false
		}
	}
	return true
}

// recordStartAfterDone records that a task starts of which a run has ended as done.
func (r *Checker) recordStartAfterDone(w *Worker, o leader.StartRequest) {
	for id, start := range r.doneRuns {
		if id.task == o.Task && start == "" {
			r.doneRuns[id] = fmt.Sprint("run ", o.Run, " on ", w.ID)
		}
	}
}

func (r *Checker) recordEnd(run *taskRun, how ledger.RunOutcome) {
	r.recordActive(run.task)
	if how == ledger.Done {
		r.doneRuns[taskRunID{run.task, run.run}] = ""
		r.done[run.task] = true
		r.stepFinished[stepOf(run.task)] = true
	}
	if how == ledger.Failed {
		r.failedRuns[run.task]++
	}
}

// recordListed records the ends that a worker reports.
func (r *Checker) recordListed(ends []leader.EndedTask) {
	for _, e := range ends {
		if e.Outcome == ledger.Done {
			r.doneListed[e.Task] = true
		}
	}
}

// recordAck records an end that the system acknowledged as stored.
func (r *Checker) recordAck(e leader.EndedTask) {
	switch e.Outcome {
	case ledger.Done:
		r.doneAcked[e.Task] = true
		if start := r.doneRuns[taskRunID{e.Task, e.Run}]; start != "" {
			r.addViolation("TWICE", e.Task, " ", start, " after run ", e.Run, " ended as done, which was acknowledged later")
		}
		delete(r.doneRuns, taskRunID{e.Task, e.Run})
	case ledger.Failed:
		r.failures[e.Task]++
	}
}
