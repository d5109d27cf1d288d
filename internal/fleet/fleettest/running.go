package fleettest

import (
	"slices"

	"jasminelane.example/lane/internal/fleet/ledger"
)

// RunningTasks returns the number of tasks of the job that are on workers.
func (ws *Workers) RunningTasks(job string) int {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	n := 0
	for _, w := range ws.List {
		for task := range w.runs {
			if task.Job == job {
				n++
			}
		}
	}
	return n
}

// Hosts returns the workers that have tasks of the job, in order.
func (ws *Workers) Hosts(job string) []string {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	var out []string
	for _, w := range ws.List {
		for task := range w.runs {
			if task.Job == job && !slices.Contains(out, w.ID) {
				out = append(out, w.ID)
			}
		}
	}
	slices.Sort(out)
	return out
}

// FailRun lets one run on the worker end as failed.
func (ws *Workers) FailRun(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	w := ws.List[id]
	if w == nil {
		return
	}
	for _, r := range w.runs {
		ws.end(w, r, ledger.Failed)
		return
	}
}
