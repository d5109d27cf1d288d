package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	cancelNodes     = 3
	cancelExecutors = 8
	cancelJob       = "3f0e7a21d94b36c1"
	lateTime        = 5 * time.Second         // a lost write is done 1 to 6 s later
	lostWindow      = 4500 * time.Millisecond // for_s of the site file
	maxLostShare    = 0.35                    // x of the site file
	jobTime         = 40000                   // ms that the cancelled job takes
	judgeAfter      = 22 * time.Second        // from the ack of the cancelling
)

// playCancel hands in a job while answers of the store are lost, cancels it and gets the
// ack of that. Nothing of the job may run long after the disturbance and the ack.
func playCancel(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), cancelExecutors)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	var mu sync.Mutex
	var lostUntil, lastLate time.Time
	lost, writes := 0, 0
	d.Store.Fault = func(r *http.Request, body []byte) Fault {
		mu.Lock()
		defer mu.Unlock()
		if !time.Now().Before(lostUntil) || r.URL.Path != names["append"] {
			return Fault{}
		}
		writes++
		if !bytes.Contains(body, []byte(cancelJob)) {
			return Fault{}
		}
		lost++
		lastLate = time.Now().Add(lateTime)
		d.Record("store: a write of job %s gets no answer and is done %v later", cancelJob, lateTime)
		return Fault{Lost: true, Late: lateTime}
	}
	runs := make(map[string]time.Time) // of the job, by executor: when they began
	d.Cloud.OnStart = func(e *Executor, r TaskRun) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(r.Task, cancelJob) {
			runs[e.ID] = time.Now()
		}
	}
	d.Cloud.OnEnd = func(e *Executor, r TaskRun, _ string) {
		mu.Lock()
		defer mu.Unlock()
		if strings.HasPrefix(r.Task, cancelJob) {
			delete(runs, e.ID)
		}
	}
	if err := d.StartNodes(cancelNodes); err != nil {
		return notRun, err.Error()
	}
	if trouble {
		mu.Lock()
		lostUntil = time.Now().Add(lostWindow)
		mu.Unlock()
	}
	go otherJobs(d, 10)
	time.Sleep(200 * time.Millisecond)
	path := "/sheets/" + cancelJob
	body := fmt.Sprintf(`{"spec":"%d ms","steps":[{"count":1,"cpu":11000,"memMb":8000,"gpu":1,"estimateMs":%d}]}`, jobTime, jobTime)
	submitted, _ := d.Call(d.Nodes[0], http.MethodPost, path, body)
	// The client gives up and cancels, until it has the ack.
	var acked time.Time
	for try := 0; try < 5 && acked.IsZero(); try++ {
		status, _ := d.Call(d.Nodes[1], http.MethodDelete, path, "")
		if status/100 == 2 || status == http.StatusGone {
			acked = time.Now()
			d.Record("client: the cancelling is acknowledged with %d", status)
			break
		}
		time.Sleep(500 * time.Millisecond)
	}
	if acked.IsZero() {
		return notRun, "the cancelling was not acknowledged"
	}
	mu.Lock()
	share := float64(lost) / float64(max(writes, 1))
	mu.Unlock()
	d.Record("store: %d of %d writes were lost so far", lost, writes)
	for time.Since(acked) < judgeAfter {
		time.Sleep(2 * time.Second)
		d.Call(d.Pick(), http.MethodGet, path, "")
	}
	mu.Lock()
	defer mu.Unlock()
	d.Record("store: %d of %d writes were lost", lost, writes)
	if trouble && (share > maxLostShare || lost == 0 || submitted/100 == 2) {
		return notRun, fmt.Sprintf("the disruption did not come about: %d of %d writes lost, answer to the job %d", lost, writes, submitted)
	}
	for id, began := range runs {
		text := fmt.Sprintf("UNASKED broken: executor %s began the job %.1f s after the ack of its cancelling and still runs it %.1f s after that ack, %.1f s after the last late write",
			id, began.Sub(acked).Seconds(), time.Since(acked).Seconds(), time.Since(lastLate).Seconds())
		d.Record("%s", text)
		return broken, text
	}
	text := fmt.Sprintf("held: nothing of the job runs %.0f s after the ack of its cancelling", time.Since(acked).Seconds())
	d.Record("%s", text)
	return held, text
}

// otherJobs hands in short jobs, eight a second, for the seconds.
func otherJobs(d *Deployment, seconds int) {
	for i := range 8 * seconds {
		go d.Call(d.Pick(), http.MethodPost, fmt.Sprintf("/names/%016x", 0x11b2c3d400000000+i),
			`{"spec":"500 ms","steps":[{"count":1,"cpu":1000,"memMb":1000,"estimateMs":500}]}`)
		time.Sleep(time.Second / 8)
	}
}
