package fleettest

import (
	"time"

	"jasminelane.example/lane/internal/fleet/leader"
)

// Crash stops a worker; its runs end without a report.
func (ws *Workers) Crash(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	if w := ws.List[id]; w != nil {
		ws.crash(w)
	}
}

// crash is Crash under the lock.
func (ws *Workers) crash(w *Worker) {
	for task := range w.runs {
		ws.Checker.crashes[task]++
	}
	ws.Checker.disruptedAt = time.Now()
	w.Down = true
	w.runs = make(map[leader.TaskID]*taskRun)
	w.notify()
}

// crashByTask crashes a worker that has just started a deadly task, and lets it
// return later. The caller holds the lock.
func (ws *Workers) crashByTask(w *Worker) {
	incarnation := w.incarnation
	time.AfterFunc(deadlyDelay, func() {
		ws.mu.Lock()
		defer ws.mu.Unlock()
		if w.Down || w.incarnation != incarnation {
			return
		}
		ws.crash(w)
		if ws.ReplaceCrashed {
			delete(ws.List, w.ID)
		}
		time.AfterFunc(crashTime, func() { ws.returnCrashed(w) })
	})
}

// returnCrashed boots a worker that a task crashed, under another ID if it was
// replaced.
func (ws *Workers) returnCrashed(w *Worker) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.Checker.disruptedAt = time.Now()
	switch {
	case ws.List[w.ID] == w && w.Down:
		ws.boot(w)
	case ws.ReplaceCrashed && ws.List[w.ID] == nil:
		w.ID += "'"
		ws.boot(w)
		ws.List[w.ID] = w
	}
}

// Drain announces that the worker leaves, and removes it after the time.
func (ws *Workers) Drain(id string, stays time.Duration) {
	ws.WithLock(func() {
		if w := ws.List[id]; w != nil {
			w.Draining, w.Remaining = true, stays
		}
	})
	time.AfterFunc(stays, func() { ws.Remove(id) })
}

// Remove crashes a worker and deletes it from the set.
func (ws *Workers) Remove(id string) {
	ws.Crash(id)
	ws.WithLock(func() { delete(ws.List, id) })
}

// Reboot starts a new incarnation of a worker.
func (ws *Workers) Reboot(id string) {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.Checker.disruptedAt = time.Now()
	if w := ws.List[id]; w != nil {
		ws.boot(w)
	}
}

// ClearFaults ends the faults of the network and reboots crashed workers.
func (ws *Workers) ClearFaults() {
	ws.mu.Lock()
	defer ws.mu.Unlock()
	ws.DelayedRate, ws.LostResponseRate, ws.RefusedRate = 0, 0, 0
	for _, w := range ws.List {
		clear(w.UnreachableFrom)
		if w.Down {
			ws.boot(w)
		}
	}
}
