package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	rebornNodes     = 3
	rebornExecutors = 8
	rebornJob       = "6d0e7a21d94b36e2"
	rebornDown      = 2 * time.Second // from the crash of the executor to its next life
	rebornAfter     = 4 * time.Second // from the ack of the end to the crash
	rebornTime      = 15 * time.Second
)

// playReborn loses the answer to one start of a task. The retry is answered, and the task
// is done. Then its executor crashes and begins again under its id, and the first order is
// carried out late, by the new life.
func playReborn(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), rebornExecutors)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	var mu sync.Mutex
	starts, lost := 0, 0
	var ackedAt time.Time
	var again string
	d.Cloud.LosesStart = func(task string, _ int) bool {
		mu.Lock()
		defer mu.Unlock()
		starts++
		if !trouble || lost > 0 || !strings.HasPrefix(task, rebornJob) {
			return false
		}
		lost++
		return true
	}
	d.Cloud.OnAck = func(e *Executor, end Ended) {
		mu.Lock()
		defer mu.Unlock()
		if end.How != "done" || !strings.HasPrefix(end.Task, rebornJob) || !ackedAt.IsZero() {
			return
		}
		ackedAt = time.Now()
		d.Record("executor %s: the end of %s run %d is taken note of: done", e.ID, end.Task, end.Run)
		if trouble {
			time.AfterFunc(rebornAfter, func() { e.Crash(rebornDown, true) })
		}
	}
	d.Cloud.OnStart = func(e *Executor, r TaskRun) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(r.Task, rebornJob) && !ackedAt.IsZero() {
			again = fmt.Sprintf("TWICE broken: executor %s starts %s run %d again %.1f s after its end, done, was taken note of", e.ID, r.Task, r.Run, time.Since(ackedAt).Seconds())
		}
	}
	if err := d.StartNodes(rebornNodes); err != nil {
		return notRun, err.Error()
	}
	go otherJobs(d, 3)
	time.Sleep(500 * time.Millisecond)
	if !d.Submit("/sheets/"+rebornJob, `{"spec":"1000 ms","steps":[{"count":1,"cpu":11000,"memMb":8000,"gpu":1,"estimateMs":1000}]}`) {
		return notRun, "the job was not accepted"
	}
	time.Sleep(rebornTime)
	mu.Lock()
	defer mu.Unlock()
	d.Record("%d of %d starts got no answer", lost, starts)
	switch {
	case ackedAt.IsZero() || trouble && lost == 0:
		return notRun, "the task did not end, or no start was lost"
	case again != "":
		d.Record("%s", again)
		return broken, again
	}
	d.Record("held: the task ran once")
	return held, "held: the task ran once"
}
