package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	afterNodes     = 3
	afterExecutors = 8
	afterJob       = "cc000000a1b2c3d4"
	afterEntries   = 70000
	afterTime      = 6 * time.Second // from the ack to the first GET; visible_ms is 3 s
)

// playAfter hands in a job of two steps, the second of which names the first in its list
// of steps to wait for, and asks for it. With trouble it names it many times.
func playAfter(folder string, trouble bool) (int, string) {
	d, err := NewDeployment(recordPath(folder), afterExecutors)
	if err != nil {
		return notRun, err.Error()
	}
	defer d.Close()
	if err := d.StartNodes(afterNodes); err != nil {
		return notRun, err.Error()
	}
	entries := 1
	if trouble {
		entries = afterEntries
	}
	after := strings.TrimSuffix(strings.Repeat("0,", entries), ",")
	body := fmt.Sprintf(`{"spec":"500 ms","steps":[{"count":1,"cpu":1000,"memMb":1000,"estimateMs":500},{"count":1,"cpu":1000,"memMb":1000,"estimateMs":500,"after":[%s]}]}`, after)
	d.Record("the job has %d bytes", len(body))
	if !d.Submit("/sheets/"+afterJob, body) {
		d.Record("held: the job was not accepted")
		return held, "held: the job was not accepted"
	}
	time.Sleep(afterTime)
	gone := 0
	for _, n := range d.Nodes {
		if status, _ := d.Call(n, http.MethodGet, "/sheets/"+afterJob, ""); status == http.StatusGone {
			gone++
		}
	}
	code, text := held, "held: the accepted job is known"
	if gone > 0 {
		code = broken
		text = fmt.Sprintf("LOST broken: %d of %d nodes answer 410 for the accepted job, %.0f s after the ack", gone, len(d.Nodes), afterTime.Seconds())
	}
	d.Record("%s", text)
	return code, text
}
