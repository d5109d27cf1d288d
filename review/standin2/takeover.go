package main

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	takeoverNodes     = 3
	takeoverExecutors = 48
	ordinaryJobs      = 5
	wideJob           = "99000000a1b2c3d4"
	firstSteps        = 220              // steps of the wide job, of one task each
	secondSteps       = 220              // steps that need all of these
	secondTasks       = 70               // tasks of each
	takeoverTime      = 50 * time.Second // from the kill to the judgement; finish_s is 14 s
)

// shuffleJob returns a job with two layers of steps, as of a map-reduce. Each step of
// the second layer needs all of the first.
func shuffleJob(first, second, count int) string {
	var b strings.Builder
	b.WriteString(`{"spec":"2000 ms","steps":[`)
	var all []string
	for i := range first {
		all = append(all, strconv.Itoa(i))
		b.WriteString(`{"count":1,"cpu":4000,"memMb":2000,"estimateMs":2000},`)
	}
	after := strings.Join(all, ",")
	for i := range second {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"count":%d,"cpu":4000,"memMb":2000,"estimateMs":2000,"after":[%s]}`, count, after)
	}
	b.WriteString("]}")
	return b.String()
}

// playTakeover kills the node that leads while a wide job waits for its turn.
func playTakeover(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), takeoverExecutors)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	if err := d.StartNodes(takeoverNodes); err != nil {
		return notRun, err.Error()
	}
	body := shuffleJob(firstSteps, secondSteps, secondTasks)
	d.Record("the wide job has %d bytes", len(body))
	if !d.Submit("/sheets/"+wideJob, body) {
		return notRun, "the wide job was not accepted"
	}
	time.Sleep(9 * time.Second)
	if !d.submitOrdinary() {
		return notRun, "the ordinary jobs were not accepted"
	}
	if trouble {
		n := d.Leader()
		if n == nil {
			return notRun, "no node leads"
		}
		d.Record("%s leads and is killed", n.Name)
		n.Signal(syscall.SIGKILL)
	}
	time.Sleep(takeoverTime)
	return d.judgeOrdinary(fmt.Sprintf("%.0f s after the kill", takeoverTime.Seconds()))
}
