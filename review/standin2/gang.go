package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	gangNodes     = 3
	gangExecutors = 48
	gangJob       = "aa000000a1b2c3d4"
	gangBody      = `{"spec":"1500 ms","steps":[{"count":14000,"cpu":100,"memMb":10,"estimateMs":1500,"gang":true}]}`
	gangTime      = 40 * time.Second // from the last ordinary job to the judgement; finish_s is 14 s
)

// ordinaryBody is an ordinary job of two steps.
const ordinaryBody = `{"spec":"1500 ms","steps":[{"count":3,"cpu":1000,"memMb":1000,"estimateMs":1500},{"count":3,"cpu":1000,"memMb":1000,"estimateMs":1500,"after":[0]}]}`

// ordinaryPath returns the path of an ordinary job.
func ordinaryPath(i int) string { return fmt.Sprintf("/names/%016x", 0xbb000000+i) }

// submitOrdinary hands in some ordinary jobs and reports whether all were accepted.
func (d *Deployment) submitOrdinary() bool {
	ok := true
	for i := range ordinaryJobs {
		ok = d.Submit(ordinaryPath(i), ordinaryBody) && ok
	}
	return ok
}

const (
	stillTime   = 3 * time.Second // for which nothing of a job runs, as the rule says
	stillSample = 200 * time.Millisecond
	taskCores   = 4 // of the largest task that a case hands in
)

// standsStill reports whether for stillTime no task of an ordinary job runs although under
// half of the executors' cores are in use.
func (d *Deployment) standsStill() bool {
	for range stillTime / stillSample {
		total, ordinary := d.Cloud.Running("00000000bb")
		d.Record("executors: %d tasks run, %d of them of ordinary jobs", total, ordinary)
		if ordinary > 0 || 2*total*taskCores >= len(d.Cloud.Executors())*executorCores {
			return false
		}
		time.Sleep(stillSample)
	}
	return true
}

// judgeOrdinary checks the rule LOST for the ordinary jobs and returns the result of the
// case. A job breaks it if it gets no answer in time, or if it is not done, nothing of it
// runs for stillTime and the executors are not half in use. since says since when they wait.
func (d *Deployment) judgeOrdinary(since string) (int, string) {
	still := d.standsStill()
	states := make([]string, ordinaryJobs)
	var wg sync.WaitGroup
	for i := range states {
		wg.Go(func() {
			states[i] = "no answer in time"
			for range 3 {
				if status, body := d.Call(d.Pick(), http.MethodGet, ordinaryPath(i), ""); status != 0 {
					states[i] = fmt.Sprint(status, " ", body)
					return
				}
			}
		})
	}
	wg.Wait()
	var wrong []string
	undone := 0
	for _, state := range states {
		done := strings.Contains(state, `"done"`)
		if !done {
			undone++
		}
		if state == "no answer in time" || !done && still {
			wrong = append(wrong, state)
		}
	}
	code, text := held, fmt.Sprintf("held: all %d ordinary jobs are done", ordinaryJobs)
	switch {
	case len(wrong) > 0:
		code = broken
		text = fmt.Sprintf("LOST broken: %d of %d accepted ordinary jobs %s, nothing of them runs: %v: %s", len(wrong), ordinaryJobs, since, still, strings.Join(wrong, "; "))
	case undone > 0:
		text = fmt.Sprintf("held: %d of %d ordinary jobs are not done, but the rule is not broken", undone, ordinaryJobs)
	}
	d.Record("%s", text)
	return code, text
}

// playGang hands in one job that is a gang of many small tasks, and then ordinary ones.
func playGang(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), gangExecutors)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	if err := d.StartNodes(gangNodes); err != nil {
		return notRun, err.Error()
	}
	if trouble {
		status, _ := d.Call(d.Pick(), http.MethodPost, "/sheets/"+gangJob, gangBody)
		d.Record("the wide gang was answered with %d", status)
	}
	time.Sleep(2 * time.Second)
	if !d.submitOrdinary() {
		return notRun, "the ordinary jobs were not accepted"
	}
	time.Sleep(gangTime)
	return d.judgeOrdinary(fmt.Sprintf("%.0f s after they were accepted", gangTime.Seconds()))
}
