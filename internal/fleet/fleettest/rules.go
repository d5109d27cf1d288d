package fleettest

import (
	"fmt"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
)

// stepKey names an occurrence of a step.
type stepKey struct {
	job              string
	occurrence, step int
}

func step(t leader.TaskID) stepKey { return stepKey{t.Job, t.Occurrence, t.Step} }

// Rules checks the promises to callers and workers, from what the workers see.
// The exported fields are used under the lock of the workers.
type Rules struct {
	Jobs      map[string]ledger.Job
	Cancelled map[string]time.Time  // by the acknowledgement
	Refused   map[string]bool       // jobs that were certainly not accepted
	Alone     []string              // members of gangs that waited in vain
	Calm      bool                  // no fault strikes in this history
	Broken    []string              // promises that were broken
	Starts    map[leader.TaskID]int // orders that were carried out

	done      map[leader.TaskID]bool
	doneNoted map[leader.TaskID]bool // the system acknowledged an end as done
	finished  map[stepKey]bool       // a member of the gang has ended as done
	fails     map[leader.TaskID]int  // acknowledged ends as failed
}

// NewRules returns rules that are not broken.
func NewRules() *Rules {
	return &Rules{
		Jobs:      make(map[string]ledger.Job),
		Cancelled: make(map[string]time.Time),
		Refused:   make(map[string]bool),
		Starts:    make(map[leader.TaskID]int),
		done:      make(map[leader.TaskID]bool),
		doneNoted: make(map[leader.TaskID]bool),
		finished:  make(map[stepKey]bool),
		fails:     make(map[leader.TaskID]int),
	}
}

func (r *Rules) breach(rule string, detail ...any) {
	r.Broken = append(r.Broken, rule+": "+fmt.Sprint(detail...))
}

// cancelSlack is the time in which starts after a cancellation are allowed.
const cancelSlack = 3 * time.Second

// started checks a start that a worker is about to carry out; false means that
// it cannot, because nobody submitted the job.
func (r *Rules) started(ws *Workers, w *Worker, o leader.StartRequest, late bool) bool {
	r.Starts[o.Task]++
	j, ok := r.Jobs[o.Task.Job]
	if !ok {
		r.breach("UNASKED", "unknown job ", o.Task)
		return false
	}
	s := j.Steps[o.Task.Step]
	if o.Spec != j.Spec {
		r.breach("UNASKED", "another spec ", o.Task)
	}
	if at, ok := r.Cancelled[j.ID]; ok && !late && time.Since(at) > cancelSlack {
		r.breach("UNASKED", o.Task, " started ", time.Since(at), " after its cancellation")
	}
	if r.Refused[j.ID] {
		r.breach("REFUSED", o.Task, " started")
	}
	r.room(w, o, s)
	for _, other := range ws.List {
		if run := other.runs[o.Task]; !other.Down && run != nil {
			r.breach("TWICE", o.Task, " run ", o.Run, " on ", w.ID, " beside run ", run.run, " on ", other.ID)
		}
	}
	if r.doneNoted[o.Task] {
		r.breach("TWICE", o.Task, " run ", o.Run, " after its end was stored")
	}
	for _, before := range s.After {
		if !r.stepDone(j, o.Task.Occurrence, before) {
			r.breach("ORDER", o.Task, " before step ", before)
		}
	}
	if due := j.Due(o.Task.Occurrence); time.Now().UnixMilli() < due {
		r.breach("ORDER", o.Task, " before its time")
	}
	if j.Attempts > 0 && r.fails[o.Task] >= j.Attempts && !s.LongRunning {
		r.breach("BUDGET", o.Task, " run ", o.Run)
	}
	r.apart(w, o, s)
	return true
}

// room checks that a worker is not filled beyond its capacity.
func (r *Rules) room(w *Worker, o leader.StartRequest, s ledger.Step) {
	used := plan.Resources{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
	for task := range w.runs {
		o := r.Jobs[task.Job].Steps[task.Step]
		used = used.Add(plan.Resources{CPU: o.CPU, Memory: o.Memory, GPU: o.GPU})
	}
	if !w.Total.Fits(used) {
		r.breach("LIMIT", o.Task, " on ", w.ID, " ", used)
	}
}

// apart checks that a step's tasks do not share a worker beyond its limit.
func (r *Rules) apart(w *Worker, o leader.StartRequest, s ledger.Step) {
	if s.MaxPerWorker == 0 {
		return
	}
	n := 1
	for task := range w.runs {
		if step(task) == step(o.Task) {
			n++
		}
	}
	if n > s.MaxPerWorker {
		r.breach("ROUTE", o.Task, " beside ", n-1, " tasks of its step on ", w.ID)
	}
}

// overdue checks that what was cancelled does not run on.
func (r *Rules) overdue(run *taskRun, w *Worker) {
	at, ok := r.Cancelled[run.task.Job]
	if r.Calm && ok && time.Since(at) > cancelSlack+StopGrace+tick {
		r.breach("UNASKED", run.task, " on ", w.ID, " runs ", time.Since(at), " after its cancellation")
	}
}

// Unfinished returns the steps of a job shown as done that did not end so.
func (r *Rules) Unfinished(id string) []string {
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

func (r *Rules) stepDone(j ledger.Job, occurrence, n int) bool {
	s := j.Steps[n]
	if s.Gang {
		return r.finished[stepKey{j.ID, occurrence, n}]
	}
	for i := range s.Count {
		if !r.done[leader.TaskID{Job: j.ID, Occurrence: occurrence, Step: n, Index: i}] {
			return false
		}
	}
	return true
}

func (r *Rules) ended(run *taskRun, how ledger.RunOutcome) {
	if how == ledger.Done {
		r.done[run.task] = true
		r.finished[step(run.task)] = true
	}
}

// noted takes account of an end that the system said is stored.
func (r *Rules) noted(e leader.EndedTask) {
	switch e.Outcome {
	case ledger.Done:
		r.doneNoted[e.Task] = true
	case ledger.Failed:
		r.fails[e.Task]++
	}
}
