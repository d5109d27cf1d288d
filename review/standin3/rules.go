package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// rules checks what clients and executors see.
type rules struct {
	rec *record

	mu     sync.Mutex
	jobs   map[string]*job
	runs   map[string][]*runSeen // by task
	broken []string
}

// job is a job as its client sees it.
type job struct {
	id        string
	spec      string
	shape     shape
	due       time.Time // of its only occurrence; zero if it is not scheduled
	accepted  time.Time // of the first answer that accepted it
	rejected  int       // attempts that were answered as not accepted
	unknown   int       // other attempts
	cancelled time.Time // when the cancelling was first acknowledged
	shown     string
}

// runSeen is a run as its executor sees it.
type runSeen struct {
	task  string
	run   int
	on    string
	boot  int64
	began time.Time
	end   time.Time
	how   string
	noted time.Time
}

func newRules(rec *record) *rules {
	return &rules{rec: rec, jobs: make(map[string]*job), runs: make(map[string][]*runSeen)}
}

// breach notes a broken rule.
func (r *rules) breach(rule, format string, args ...any) {
	line := rule + ": " + fmt.Sprintf(format, args...)
	r.broken = append(r.broken, line)
	r.rec.add("BROKEN %s", line)
}

// taskParts splits the name of a task.
func taskParts(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	step, _ = strconv.Atoi(parts[2])
	return parts[0], step
}

// stepOf returns the step of a task, and whether its job was sent.
func (r *rules) stepOf(task string) (shapeStep, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, step := taskParts(task)
	j := r.jobs[id]
	if j == nil || step >= len(j.shape.steps) {
		return shapeStep{count: 1, work: time.Second}, false
	}
	return j.shape.steps[step], true
}

// started notes a start.
func (r *rules) started(t *taskRun, q request, known bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !known {
		r.breach("UNASKED", "%s starts on %s, and no client sent it", t.task, t.on.id)
		return
	}
	id, _ := taskParts(t.task)
	j := r.jobs[id]
	if q.spec != j.spec {
		r.breach("UNASKED", "%s starts with another spec", t.task)
	}
	if q.checkpoint != "" && q.checkpoint[:strings.LastIndexByte(q.checkpoint, ':')] != t.task && !t.step.gang {
		r.breach("UNASKED", "%s starts with the checkpoint %s", t.task, q.checkpoint)
	}
	for _, other := range r.runs[t.task] {
		switch {
		case other.end.IsZero():
			r.breach("TWICE", "%s run %d starts on %s while run %d is on %s", t.task, t.run, t.on.id, other.run, other.on)
		case other.how == "done" && !other.noted.IsZero() && !t.step.lasts:
			r.breach("TWICE", "%s run %d starts on %s after run %d ended done, which was taken note of", t.task, t.run, t.on.id, other.run)
		}
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > 3*time.Second {
		r.breach("UNASKED", "%s run %d starts on %s %.1f s after its cancelling was acknowledged", t.task, t.run, t.on.id, now.Sub(j.cancelled).Seconds())
	}
	r.runs[t.task] = append(r.runs[t.task], &runSeen{task: t.task, run: t.run, on: t.on.id, boot: t.boot, began: now})
}

// ended notes an end.
func (r *rules) ended(t *taskRun, how string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, seen := range r.runs[t.task] {
		if seen.run == t.run && seen.on == t.on.id && seen.boot == t.boot {
			seen.end, seen.how = now, how
		}
	}
}

// noted notes that an end was taken note of.
func (r *rules) noted(row endRow, e *executor, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, seen := range r.runs[row.task] {
		if seen.run == row.run && seen.on == e.id && seen.boot == e.born && seen.noted.IsZero() {
			seen.noted = now
		}
	}
	if row.how != "done" {
		return
	}
	for _, seen := range r.runs[row.task] {
		if seen.run > row.run {
			r.rec.add("note: %s run %d was done and is taken note of after run %d has started", row.task, row.run, seen.run)
		}
	}
}

// ranAny reports whether a task of the job has started.
func (r *rules) ranAny(id string) bool {
	for task := range r.runs {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	return false
}
