package fleettest

import (
	"math"
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
	"jasminelane.example/lane/internal/fleet/ledger"
)

// unslowedTail is the tail latency of a serving task that nothing slows down, as a
// share of its target.
const unslowedTail = 0.8

// step returns the step of a task.
func (ws *Workers) step(t leader.TaskID) *ledger.Step { return &ws.Checker.Jobs[t.Job].Steps[t.Step] }

// factor returns how many times as long a run on the worker takes now.
func (ws *Workers) factor(w *Worker, r *taskRun) float64 {
	image := ws.step(r.task).Image
	if ws.Slowdown == nil || image == "" {
		return 1
	}
	beside := make(map[string]bool)
	for _, o := range w.runs {
		if other := ws.step(o.task).Image; o != r && other != "" && !o.runningSince.IsZero() {
			beside[other] = true
		}
	}
	f := 1.0
	for other := range beside {
		f += ws.Slowdown(image, other)
	}
	return f
}

// slowDown takes the time from the runs that they lost since the last tick.
func (ws *Workers) slowDown() {
	if ws.Slowdown == nil {
		return
	}
	for _, w := range ws.List {
		for _, r := range w.runs {
			if !r.runningSince.IsZero() {
				r.slowed += tickInterval - time.Duration(float64(tickInterval)/ws.factor(w, r))
			}
		}
	}
}

// running returns the row of a run in a report.
func (ws *Workers) running(w *Worker, r *taskRun) leader.RunningTask {
	out := leader.RunningTask{Task: r.task, Run: r.run, Percent: r.percent}
	if ws.Slowdown == nil || r.runningSince.IsZero() {
		return out
	}
	step := ws.step(r.task)
	if step.LongRunning {
		out.Figure = math.Round(unslowedTail * float64(step.TailTarget) * ws.factor(w, r))
		return out
	}
	out.Percent = math.Floor(min(100, 100*float64(r.work(time.Now()))/float64(r.runTime)))
	out.Figure = float64(step.CPU)
	return out
}
