package main

import (
	"fmt"
	"net/http"
	"strings"
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

// judgeOrdinary asks for the ordinary jobs and returns the result of the case: whether
// all are done. since says since when they wait.
func (d *Deployment) judgeOrdinary(since string) (int, string) {
	var wrong []string
	for i := range ordinaryJobs {
		state := "no answer in time"
		for range 3 {
			if status, body := d.Call(d.Pick(), http.MethodGet, ordinaryPath(i), ""); status != 0 {
				state = fmt.Sprint(status, " ", body)
				break
			}
		}
		if !strings.Contains(state, `"done"`) {
			wrong = append(wrong, state)
		}
	}
	code, text := held, fmt.Sprintf("held: all %d ordinary jobs are done", ordinaryJobs)
	if len(wrong) > 0 {
		code = broken
		text = fmt.Sprintf("LOST broken: %d of %d accepted ordinary jobs %s: %s", len(wrong), ordinaryJobs, since, strings.Join(wrong, "; "))
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
