package instance

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

// rules checks the promises to callers and workers, from what the workers see.
type rules struct {
	jobs      map[string]ledger.Job
	cancelled map[string]time.Time // by the acknowledgement
	done      map[leader.TaskID]bool
	doneNoted map[leader.TaskID]bool // the system acknowledged an end as done
	finished  map[stepKey]bool       // a member of the gang has ended as done
	fails     map[leader.TaskID]int  // acknowledged ends as failed
	alone     []string
	calm      bool     // no fault strikes in this history
	broken    []string // rules that were broken
}

func newRules() *rules {
	return &rules{
		jobs:      make(map[string]ledger.Job),
		cancelled: make(map[string]time.Time),
		done:      make(map[leader.TaskID]bool),
		doneNoted: make(map[leader.TaskID]bool),
		finished:  make(map[stepKey]bool),
		fails:     make(map[leader.TaskID]int),
	}
}

func (r *rules) breach(rule string, detail ...any) {
	r.broken = append(r.broken, rule+": "+fmt.Sprint(detail...))
}

// cancelSlack is the time in which starts after a cancellation are allowed.
const cancelSlack = 3 * time.Second

func (r *rules) started(ws *fakeWorkers, w *fakeWorker, o leader.StartOrder, late bool) {
	j, ok := r.jobs[o.Task.Job]
	if !ok {
		r.breach("UNASKED", "unknown job ", o.Task)
		return
	}
	s := j.Steps[o.Task.Step]
	if o.Spec != j.Spec {
		r.breach("UNASKED", "another spec ", o.Task)
	}
	if at, ok := r.cancelled[j.ID]; ok && !late && time.Since(at) > cancelSlack {
		r.breach("UNASKED", o.Task, " started ", time.Since(at), " after its cancellation")
	}
	r.room(w, o, s, j)
	for _, other := range ws.list {
		if run := other.runs[o.Task]; !other.down && run != nil {
			r.breach("TWICE", o.Task, " run ", o.Run, " on ", w.id, " beside run ", run.run, " on ", other.id)
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
	if j.Attempts > 0 && r.fails[o.Task] >= j.Attempts && !s.Lasting {
		r.breach("BUDGET", o.Task, " run ", o.Run)
	}
	r.apart(ws, w, o, s)
}

// room checks that a worker is not filled beyond its capacity.
func (r *rules) room(w *fakeWorker, o leader.StartOrder, s ledger.Step, _ ledger.Job) {
	used := plan.Room{CPU: s.CPU, Memory: s.Memory, GPU: s.GPU}
	for task := range w.runs {
		o := r.jobs[task.Job].Steps[task.Step]
		used = used.Add(plan.Room{CPU: o.CPU, Memory: o.Memory, GPU: o.GPU})
	}
	if !w.total.Fits(used) {
		r.breach("LIMIT", o.Task, " on ", w.id, " ", used)
	}
}

// apart checks that a step's tasks do not share a worker beyond its limit.
func (r *rules) apart(_ *fakeWorkers, w *fakeWorker, o leader.StartOrder, s ledger.Step) {
	if s.Apart == 0 {
		return
	}
	n := 1
	for task := range w.runs {
		if step(task) == step(o.Task) {
			n++
		}
	}
	if n > s.Apart {
		r.breach("ROUTE", o.Task, " beside ", n-1, " tasks of its step on ", w.id)
	}
}

// overdue checks that what was cancelled does not run on.
func (r *rules) overdue(run *taskRun, w *fakeWorker) {
	at, ok := r.cancelled[run.task.Job]
	if r.calm && ok && time.Since(at) > cancelSlack+stopGrace+worldTick {
		r.breach("UNASKED", run.task, " on ", w.id, " runs ", time.Since(at), " after its cancellation")
	}
}

func (r *rules) stepDone(j ledger.Job, occurrence, n int) bool {
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

func (r *rules) ended(run *taskRun, how ledger.How) {
	if how == ledger.Done {
		r.done[run.task] = true
		r.finished[step(run.task)] = true
	}
}

// noted takes account of an end that the system said is stored.
func (r *rules) noted(e leader.EndedTask) {
	switch e.How {
	case ledger.Done:
		r.doneNoted[e.Task] = true
	case ledger.Failed:
		r.fails[e.Task]++
	}
}
