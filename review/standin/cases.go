//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// sheet returns a job of one step.
func sheet(count, gpu int, estimate time.Duration, label string) job {
	return job{Spec: "sheet", Steps: []step{{Count: count, CPU: 1000 * max(gpu, 1), MemMb: 1024, GPU: gpu, EstimateMs: estimate.Milliseconds(), Constraints: label}}}
}

func jobID(n int) string { return fmt.Sprintf("5c0e7a21d94b%04x", n) }

// lateOrder leaves one of the first orders without an answer and carries it out
// 2.5 s later. Between the two the executor refuses one order as unhealthy.
func lateOrder(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 7, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const lateAfter = 2500 * time.Millisecond
	var mu sync.Mutex
	starts := 0
	lateTask, refused := "", false
	f.executors.fault = func(_ *executor, call, task string, _ int) (orderVerdict, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || call != "start" {
			return obey, 0
		}
		starts++
		switch {
		case starts == 20:
			lateTask = task
			return carryLate, lateAfter
		case task == lateTask && !refused:
			refused = true
			return busy, 0
		}
		return obey, 0
	}
	for i := range 30 {
		if !f.submit(i, jobID(i), sheet(1, 1, 8*time.Second, ""), 8*time.Second) {
			return result{}, errUnready
		}
	}
	time.Sleep(14 * time.Second)
	if trouble && !refused {
		return result{}, fmt.Errorf("the late order was not tried again")
	}
	return result{f.executors.twice()}, nil
}

// refusedStop lets one of seven executors refuse two in five of its requests as
// unhealthy for 5 s, while a job that runs there is cancelled.
func refusedStop(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 7, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const (
		unhealthyTime = 5 * time.Second
		contact       = 3 * time.Second
		cancelBound   = 3 * time.Second
		margin        = 2 * time.Second
	)
	var mu sync.Mutex
	var sick *executor
	var until time.Time
	requests := 0
	f.executors.fault = func(e *executor, _, _ string, _ int) (orderVerdict, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if e != sick || time.Now().After(until) {
			return obey, 0
		}
		requests++
		if 2*requests%5 < 2 {
			return busy, 0
		}
		return obey, 0
	}
	// One job fills the executors with tasks of 40 s, 56 of them.
	id := jobID(1)
	if !f.submit(0, id, sheet(56, 1, 40*time.Second, ""), 40*time.Second) {
		return result{}, errUnready
	}
	time.Sleep(3 * time.Second)
	if n := len(f.executors.runsOf(id)); n != 56 {
		return result{}, fmt.Errorf("%d of 56 tasks have begun", n)
	}
	mu.Lock()
	until = time.Now().Add(unhealthyTime)
	if trouble {
		sick = f.executors.list[3]
		rec.add("%s refuses two in five of its requests from now on for %v", sick.id, unhealthyTime)
	}
	mu.Unlock()
	if status, _ := f.call(f.machines[1], http.MethodDelete, id, nil); status/100 != 2 {
		return result{}, fmt.Errorf("cancel was answered %d", status)
	}
	// From the end of the disruption a calm stretch begins contactMs later.
	time.Sleep(unhealthyTime + contact + cancelBound + stopGrace + margin)
	for _, r := range f.executors.runsOf(id) {
		if r.ended.IsZero() {
			return result{fmt.Sprintf("UNASKED: run %d of %s on %s still runs %.1f s after its job's cancelling was acknowledged and %.1f s after the disruption",
				r.number, r.task, r.executor, (unhealthyTime + contact + cancelBound + stopGrace + margin).Seconds(), (contact + cancelBound + stopGrace + margin).Seconds())}, nil
		}
	}
	return result{}, nil
}

// crashes lets the one executor with a label, one of eight, crash five times, 3 s
// each, while a job and a job that lasts need it.
func crashes(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 8, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const (
		crashCount = 5
		downTime   = 3 * time.Second
		upTime     = 5 * time.Second
	)
	label := "r1-3"
	plain, lasting := jobID(1), jobID(2)
	if !f.submit(0, plain, sheet(1, 2, 10*time.Second, label), 10*time.Second) {
		return result{}, errUnready
	}
	j := sheet(1, 2, 10*time.Second, label)
	j.LongRunning = true
	if !f.submit(1, lasting, j, 0) {
		return result{}, errUnready
	}
	for i := range 10 {
		if !f.submit(i, jobID(10+i), sheet(1, 1, 8*time.Second, ""), 8*time.Second) {
			return result{}, errUnready
		}
	}
	e := f.executors.list[3]
	for range crashCount {
		time.Sleep(upTime)
		if trouble {
			e.crash()
		}
		time.Sleep(downTime)
		if trouble {
			if err := e.boot(); err != nil {
				return result{}, err
			}
		}
	}
	time.Sleep(16 * time.Second)
	shown := make(map[string]string)
	for _, id := range []string{plain, lasting} {
		status, state := f.state(f.machines[2], id)
		if status != http.StatusOK && status != http.StatusGone {
			return result{}, fmt.Errorf("the state of %s was answered %d", id, status)
		}
		runs, failed := f.executors.runsOf(id), 0
		for _, r := range runs {
			if r.how == "failed" {
				failed++
			}
		}
		shown[id] = state
		rec.add("job %s is shown as %q, %d of its %d runs ended failed", id, state, failed, len(runs))
	}
	if state := shown[lasting]; state != "running" && state != "queued" {
		return result{fmt.Sprintf("LOST: the job %s, whose task lasts, is shown as %q, and no run of it ended failed; the other job is shown as %q", lasting, state, shown[plain])}, nil
	}
	runs := f.executors.runsOf(lasting)
	if len(runs) == 0 {
		return result{}, errUnready
	}
	if last := runs[len(runs)-1]; !last.ended.IsZero() {
		return result{fmt.Sprintf("LOST: the task of %s, which lasts, does not run", lasting)}, nil
	}
	return result{}, nil
}

// history accepts more jobs than the leader can write again within the store's
// retention time, lets the log be quiet, and kills all processes at once.
func history(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 7, 20)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const (
		jobs    = 900
		clients = 4
		rate    = 24 // jobs a second
	)
	var wait sync.WaitGroup
	accepted := make([]bool, jobs)
	first := time.Now().Add(10 * time.Minute).UnixMilli()
	began := time.Now()
	for c := range clients {
		wait.Go(func() {
			for i := c; i < jobs; i += clients {
				time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / rate)))
				j := sheet(1, 1, 8*time.Second, "")
				j.Spec = strings.Repeat("x", 150)
				j.Times, j.FirstMs, j.PeriodMs = 1, first, 1000
				accepted[i] = f.submit(i, jobID(i), j, 8*time.Second)
			}
		})
	}
	wait.Wait()
	time.Sleep(30 * time.Second)
	if trouble {
		for _, m := range f.machines {
			f.kill(m)
		}
		time.Sleep(1500 * time.Millisecond)
		for _, m := range f.machines {
			if err := f.startProcess(m); err != nil {
				return result{}, err
			}
		}
		if err := f.awaitReady(f.machines...); err != nil {
			return result{}, err
		}
	}
	time.Sleep(5 * time.Second)
	var lost []string
	for i := range jobs {
		if !accepted[i] {
			continue
		}
		if status, _ := f.call(f.machines[i%3], http.MethodGet, jobID(i), nil); status == http.StatusGone {
			lost = append(lost, jobID(i))
		}
	}
	if len(lost) > 0 {
		return result{fmt.Sprintf("LOST: %d of %d accepted jobs are answered 410, the first is %s", len(lost), jobs, lost[0])}, nil
	}
	return result{}, nil
}

// pending loses one of ten executors for good, hands in jobs that only had room
// there, and asks how many have not begun.
func pending(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 10, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	// All executors but one are full.
	for i, e := range f.executors.list[1:] {
		if !f.submit(i, jobID(i), sheet(1, 8, 60*time.Second, e.labels[1]), 60*time.Second) {
			return result{}, errUnready
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		f.executors.list[0].losePower()
	}
	var ids []string
	var wait sync.WaitGroup
	accepted := make([]bool, 8)
	for i := range accepted {
		ids = append(ids, jobID(100+i))
		wait.Go(func() { accepted[i] = f.submit(i, jobID(100+i), sheet(1, 1, 30*time.Second, ""), 30*time.Second) })
	}
	wait.Wait()
	if slices.Contains(accepted, false) {
		return result{}, errUnready
	}
	var broken []string
	for range 3 {
		time.Sleep(6 * time.Second)
		waiting := slices.DeleteFunc(slices.Clone(ids), func(id string) bool { return len(f.executors.runsOf(id)) > 0 })
		rec.add("%d of %d jobs have not begun", len(waiting), len(ids))
		for _, m := range f.machines {
			status, body := f.call(m, http.MethodGet, "", nil)
			var n int
			if _, err := fmt.Sscanf(body, `{"pending":%d}`, &n); status != http.StatusOK || err != nil {
				return result{}, fmt.Errorf("pending was answered %d %s", status, body)
			}
			if 2*n < len(waiting) {
				broken = append(broken, fmt.Sprintf("%s gives %d as pending while %d jobs wait", m.name, n, len(waiting)))
			}
		}
	}
	f.state(f.machines[0], ids[0])
	if len(broken) > 0 {
		return result{"MIXED: 6, 12 and 18 s after the jobs were accepted: " + strings.Join(broken, ", ")}, nil
	}
	return result{}, nil
}

// cancelUnknown lets one write of the store be executed late and without an
// answer. The client whose submission it is leaves early and cancels the job.
func cancelUnknown(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 7, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const cancelBound = 3 * time.Second
	id := jobID(4)
	var mu sync.Mutex
	late := false
	f.store.fault = func(r *http.Request) storeVerdict {
		mu.Lock()
		defer mu.Unlock()
		if !late || r.URL.Path != names.Append || r.URL.Query().Has("epoch") {
			return serve
		}
		late = false
		rec.add("store: this write gets no answer and is executed %v later", lateWrite)
		return lateOne
	}
	for i := range 4 {
		if !f.submit(i, jobID(i), sheet(2, 1, 3*time.Second, ""), 3*time.Second) {
			return result{}, errUnready
		}
	}
	mu.Lock()
	late = trouble
	mu.Unlock()
	f.mu.Lock()
	f.work[id] = 4 * time.Second
	f.mu.Unlock()
	f.callFor(120*time.Millisecond, f.machines[0], http.MethodPost, id, sheet(2, 1, 4*time.Second, ""))
	time.Sleep(300 * time.Millisecond)
	status, _ := f.call(f.machines[1], http.MethodDelete, id, nil)
	if status/100 != 2 && status != http.StatusGone {
		return result{}, fmt.Errorf("cancel was answered %d", status)
	}
	acked := time.Now()
	time.Sleep(lateWrite + cancelBound + 2*time.Second)
	for _, r := range f.executors.runsOf(id) {
		if after := r.began.Sub(acked); after > cancelBound {
			return result{fmt.Sprintf("UNASKED: run %d of %s on %s began %.1f s after its job's cancelling was answered %d", r.number, r.task, r.executor, after.Seconds(), status)}, nil
		}
	}
	return result{}, nil
}

// rackWait lets an urgent job take the executor of a lasting task whose data lies
// in the rack of that executor, while all other executors are idle.
func rackWait(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 8, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const (
		afterRun = 6 * time.Second // from the last run until the task is owed
		idle     = 3 * time.Second
		calm     = 4 * time.Second
	)
	lasting := jobID(1)
	j := sheet(1, 8, time.Minute, "")
	j.LongRunning = true
	j.Steps[0].Affinity = "r1-3"
	if !f.submit(0, lasting, j, 0) {
		return result{}, errUnready
	}
	time.Sleep(4 * time.Second)
	if trouble {
		for i := range 4 {
			if !f.submit(i, urgentPrefix+jobID(10+i), sheet(1, 8, 40*time.Second, fmt.Sprintf("r1-%d", i)), 40*time.Second) {
				return result{}, errUnready
			}
		}
	}
	time.Sleep(afterRun + idle + calm + 10*time.Second)
	runs := f.executors.runsOf(lasting)
	if len(runs) == 0 {
		return result{}, errUnready
	}
	last := runs[len(runs)-1]
	if !last.ended.IsZero() {
		return result{fmt.Sprintf("LOST: the lasting task %s has not run for %.1f s, while %d of %d executors are idle", last.task, time.Since(last.ended).Seconds(), f.executors.idle(), len(f.executors.list))}, nil
	}
	return result{}, nil
}

// oldLeader kills and restarts one of seven processes, not the leader's, when the store no
// longer retains the record by which the leader was elected.
func oldLeader(rec *recorder, trouble bool) (result, error) {
	keep := time.Duration(*keepS) * time.Second
	// Few enough jobs that no snapshot is due within the retention time.
	interval := max(2*time.Second, keep/60)
	f, err := newFleet(rec, 7, 7, *keepS)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	// The two tasks of each job run for 5 s.
	n := 0
	play := func(d time.Duration) error {
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			if !f.submit(0, jobID(n), sheet(2, 2, 5*time.Second, ""), 5*time.Second) {
				return errUnready
			}
			time.Sleep(interval)
		}
		return nil
	}
	if err := play(keep + 10*time.Second); err != nil {
		return result{}, err
	}
	if trouble {
		m := f.machines[2]
		if f.leads(m) {
			m = f.machines[1]
		}
		f.kill(m)
		time.Sleep(time.Second)
		if err := f.startProcess(m); err != nil {
			return result{}, err
		}
	}
	if err := play(12 * time.Second); err != nil {
		return result{}, err
	}
	time.Sleep(8 * time.Second)
	return result{f.executors.startedAgain() + f.executors.twice()}, nil
}

// malformed answers calls with damaged data for 20 s, publishes damaged entries of
// executors and sends damaged requests, and checks that the processes go on.
func malformed(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 7, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	rnd := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var mu sync.Mutex
	damageOne := func(data []byte) []byte {
		mu.Lock()
		defer mu.Unlock()
		return damaged(rnd, data)
	}
	id := jobID(1)
	if !f.submit(0, id, sheet(20, 1, 50*time.Second, ""), 50*time.Second) {
		return result{}, errUnready
	}
	entry := []byte(`{"service":"press","addr":"127.0.0.1:1","zone":"kochi","state":"ready","born":1790000000000,"seq":4,"remainingMs":100,"coldLeftMs":0,"capacity":{"cpu":128000,"memMb":262144,"gpu":8},"labels":["a","r1-9"]}`)
	body := []byte(`{"spec":"x","steps":[{"count":2,"cpu":100,"gpu":1,"estimateMs":900,"after":[],"gang":true,"antiAffinity":1}],"times":2,"firstMs":5,"periodMs":7,"longRunning":true}`)
	if trouble {
		f.executors.damage.Store(&damageOne)
	}
	for i := range 400 {
		time.Sleep(50 * time.Millisecond)
		if !trouble {
			continue
		}
		f.store.publishRaw("keyed.servers", fmt.Sprintf("i-x%03d", i%20), damageOne(entry))
		f.callRaw(f.machines[i%3], http.MethodPost, jobID(1000+i), damageOne(body))
	}
	f.executors.damage.Store(nil)
	time.Sleep(4 * time.Second)
	for _, m := range f.machines {
		if m.cmd.Process.Signal(syscall.Signal(0)) != nil {
			return result{m.name + " has ended"}, nil
		}
		data, err := os.ReadFile(filepath.Join(f.dir, m.name+".log"))
		if err == nil && (strings.Contains(string(data), "panic") || strings.Contains(string(data), "goroutine ")) {
			return result{m.name + " has panicked"}, nil
		}
	}
	if status, state := f.state(f.machines[1], id); status != http.StatusOK {
		return result{fmt.Sprintf("the job is answered %d %s", status, state)}, nil
	}
	return result{}, f.awaitReady(f.machines...)
}

// damaged returns JSON with one or more values, keys or bytes replaced.
func damaged(rnd *rand.Rand, data []byte) []byte {
	tokens := []string{"null", "-1", "1e400", "9223372036854775807", "18446744073709551616", "1.5", `""`, `"\u0000"`, "[]", "{}", "[[]]", "true", `{"a":[1,[2,{}]]}`}
	out := slices.Clone(data)
	for range 1 + rnd.IntN(3) {
		switch rnd.IntN(4) {
		case 0:
			out = out[:rnd.IntN(len(out)+1)]
		case 1:
			if len(out) > 0 {
				out[rnd.IntN(len(out))] = byte(rnd.IntN(256))
			}
		default:
			// Replace what stands between two separators.
			text := string(out)
			var at []int
			for i, c := range text {
				if strings.ContainsRune(":,[", c) {
					at = append(at, i)
				}
			}
			if len(at) == 0 {
				continue
			}
			from := at[rnd.IntN(len(at))] + 1
			to := from + strings.IndexAny(text[from:]+",", ",]}")
			out = []byte(text[:from] + tokens[rnd.IntN(len(tokens))] + text[min(to, len(text)):])
		}
	}
	return out
}

// refusedPreemption lets one of seven executors refuse two in five of its requests
// for 5 s, while an urgent job preempts the work there, and hands in another
// urgent job when all is calm again.
func refusedPreemption(rec *recorder, trouble bool) (result, error) {
	f, err := newFleet(rec, 3, 7, 300)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return result{}, err
	}
	const (
		unhealthyTime = 5 * time.Second
		contact       = 3 * time.Second
		reclaim       = 2900 * time.Millisecond
	)
	if !f.submit(0, jobID(1), sheet(56, 1, 80*time.Second, ""), 80*time.Second) {
		return result{}, errUnready
	}
	time.Sleep(3 * time.Second)
	sick, until, requests := f.executors.list[3], time.Now().Add(unhealthyTime), 0
	var mu sync.Mutex
	f.executors.fault = func(e *executor, _, _ string, _ int) (orderVerdict, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if !trouble || e != sick || time.Now().After(until) {
			return obey, 0
		}
		requests++
		if 2*requests%5 < 2 {
			return busy, 0
		}
		return obey, 0
	}
	if !f.submit(0, urgentPrefix+jobID(2), sheet(1, 8, 20*time.Second, sick.labels[1]), 20*time.Second) {
		return result{}, errUnready
	}
	time.Sleep(unhealthyTime + contact + 2*time.Second)
	if !f.submit(1, urgentPrefix+jobID(3), sheet(1, 8, 20*time.Second, ""), 20*time.Second) {
		return result{}, errUnready
	}
	acked := time.Now()
	time.Sleep(15 * time.Second)
	runs := f.executors.runsOf(jobID(3))
	if len(runs) == 0 || runs[0].began.Sub(acked) > reclaim {
		return result{"RECLAIM: the later job has not begun in time"}, nil
	}
	if len(f.executors.runsOf(jobID(2))) == 0 {
		return result{"the first urgent job has not begun 25 s after its ack, 20 s after the disruption"}, nil
	}
	return result{}, nil
}
