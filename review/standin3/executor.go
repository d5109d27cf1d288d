package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The limits of the deployment, as in the settings of a small one.
const (
	holdMax    = 6 * time.Second
	stopGrace  = 400 * time.Millisecond
	gangWait   = 3 * time.Second
	heartbeat  = 1500 * time.Millisecond
	maxHold    = 2 * time.Second
	restoreFor = 100 * time.Millisecond
	saveEach   = 500 * time.Millisecond
)

// shape is what the stand-ins must know of a job.
type shape struct {
	steps []shapeStep
}

// shapeStep is a step of a job. A task works for the time work.
type shapeStep struct {
	count  int
	work   time.Duration
	gang   bool
	saves  bool
	lasts  bool
	fails  int // the first runs of each task that end as failed
	needed resources
}

// resources are those of a task or an executor.
type resources struct{ cpu, mem, gpu int64 }

// pool holds the executors and what they have in common.
type pool struct {
	rec   *record
	store *store
	rules *rules

	mu        sync.Mutex
	executors []*executor
	gangs     map[string]map[*taskRun]bool // by gang and run: the members that are present
	failures  map[string]int               // by task
}

// executor is a stand-in of an executor. It has the lock of its pool.
type executor struct {
	pool    *pool
	id      string
	machine string
	zone    string
	rack    string
	total   resources
	port    int

	up       bool
	gone     bool // lost for good, with its machine
	draining bool
	born     int64
	bootAt   time.Time
	seq      int
	fence    uint64
	lease    int64 // ms on the own clock
	running  map[string]*taskRun
	refused  map[string]int // highest run that was stopped or has ended, by task
	ended    []endRow
	lastEnd  uint64
	changed  chan struct{}
	listener net.Listener
	server   *http.Server
	listed   bool
	lastBeat time.Time

	// fault, if set, says what to do with a call.
	fault func(path string) execFault
}

// execFault is what an executor does with one call. The zero value serves it.
type execFault struct {
	status int           // answered at once, and nothing is done
	silent bool          // nothing is done, and no answer comes
	late   time.Duration // the call is done after this time, and no answer comes
	lost   bool          // the call is done, and no answer comes
}

// taskRun is one run of a task on an executor.
type taskRun struct {
	on         *executor
	boot       int64
	task       string
	run        int
	step       shapeStep
	gang       string // empty for other tasks
	arrived    time.Time
	worksSince time.Time // zero while a gang is not complete
	done       time.Duration
	saved      time.Duration
	over       bool
}

// endRow is an end that is listed.
type endRow struct {
	n     uint64
	task  string
	run   int
	how   string
	saved string
}

// newPool returns a pool without executors.
func newPool(rec *record, s *store, r *rules) *pool {
	return &pool{rec: rec, store: s, rules: r, gangs: make(map[string]map[*taskRun]bool), failures: make(map[string]int)}
}

// add adds an executor and starts it.
func (p *pool) add(id, zone, rack string, total resources) (*executor, error) {
	e := &executor{pool: p, id: id, machine: "m-" + id, zone: zone, rack: rack, total: total}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.executors = append(p.executors, e)
	return e, e.boot()
}

// machines returns the list of machines.
func (p *pool) machines() []map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []map[string]any{}
	for _, e := range p.executors {
		if e.gone {
			continue
		}
		out = append(out, map[string]any{"machine": e.machine, "pool": "press", "state": "up", "zone": e.zone, "labels": []string{"a", e.rack}, "capacity": e.capacity(), "id": e.id})
	}
	return out
}

// loop lets time pass for all executors until the channel is closed.
func (p *pool) loop(end <-chan struct{}) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-end:
			return
		case <-t.C:
		}
		p.mu.Lock()
		for _, e := range p.executors {
			e.tick(time.Now())
		}
		p.mu.Unlock()
	}
}

func (e *executor) capacity() map[string]any {
	return map[string]any{"cpu": e.total.cpu, "memMb": e.total.mem, "gpu": e.total.gpu}
}

// boot starts the executor. The caller holds the lock.
func (e *executor) boot() error {
	listener, err := net.Listen("tcp", net.JoinHostPort(loopback, strconv.Itoa(e.port)))
	if err != nil {
		return err
	}
	e.port = listener.Addr().(*net.TCPAddr).Port
	e.listener = listener
	e.up, e.draining, e.born, e.bootAt = true, false, time.Now().UnixMilli(), time.Now()
	e.seq, e.fence, e.lease, e.lastEnd = 0, 0, 0, 0
	e.running, e.refused, e.ended = make(map[string]*taskRun), make(map[string]int), nil
	e.changed = make(chan struct{})
	born := e.born
	e.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(w, r, born) })}
	go func(s *http.Server) { _ = s.Serve(listener) }(e.server)
	e.pool.rec.add("executor %s up, born %d", e.id, e.born)
	e.beat()
	return nil
}

// vanish loses the executor for good. It answers nothing any more, and its machine leaves the
// list. The caller holds the lock.
func (e *executor) vanish() {
	e.fault = func(string) execFault { return execFault{silent: true} }
	for _, t := range e.sortedRuns() {
		t.over = true
	}
	e.up, e.gone = false, true
	e.pool.rec.add("executor %s is lost for good", e.id)
}

// beat writes the entry of the executor. The caller holds the lock.
func (e *executor) beat() {
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	e.lastBeat, e.listed = time.Now(), true
	e.pool.store.put("keyed.servers", e.id, map[string]any{
		"service": "press", "addr": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 8, "state": state, "coldLeftMs": 0,
		"capacity": e.capacity(), "labels": []string{"a", e.rack}, "born": e.born, "clockMs": e.clock(time.Now()), "seq": e.seq,
	})
}

// clock returns the executor's clock.
func (e *executor) clock(now time.Time) int64 { return 1000 + now.Sub(e.bootAt).Milliseconds() }

// tick lets time pass. The caller holds the lock.
func (e *executor) tick(now time.Time) {
	if !e.up {
		if e.listed && now.Sub(e.lastBeat) > 3*heartbeat {
			e.listed = false
			e.pool.store.put("keyed.servers", e.id, nil)
		}
		return
	}
	if now.Sub(e.lastBeat) >= heartbeat {
		e.beat()
	}
	for _, t := range e.sortedRuns() {
		if !t.over {
			e.advance(t, now)
		}
	}
	if len(e.running) > 0 && e.clock(now) >= e.lease {
		for _, t := range e.sortedRuns() {
			e.end(t, "lapsed", now)
		}
	}
}

// sortedRuns returns the runs in the order of their tasks.
func (e *executor) sortedRuns() []*taskRun {
	var out []*taskRun
	for _, t := range e.running {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].task < out[j].task })
	return out
}

// advance lets a run work. The caller holds the lock.
func (e *executor) advance(t *taskRun, now time.Time) {
	if t.worksSince.IsZero() {
		if now.Sub(t.arrived) > gangWait {
			e.end(t, "alone", now)
		}
		return
	}
	worked := t.done + now.Sub(t.worksSince)
	if t.step.saves {
		t.saved = worked / saveEach * saveEach
	}
	if t.step.fails > e.pool.failures[t.task] && worked > 300*time.Millisecond {
		e.pool.failures[t.task]++
		e.end(t, "failed", now)
		return
	}
	if worked >= t.step.work && !t.step.lasts {
		if t.gang == "" {
			e.end(t, "done", now)
			return
		}
		for _, m := range e.pool.members(t.gang) {
			m.on.end(m, "done", now)
		}
	}
}

// members returns the members of a gang that are present.
func (p *pool) members(gang string) []*taskRun {
	var out []*taskRun
	for m := range p.gangs[gang] {
		out = append(out, m)
	}
	return out
}

// leaveGang takes a run out of its gang, whose others end.
func (p *pool) leaveGang(t *taskRun) {
	if t.gang == "" || !p.gangs[t.gang][t] {
		return
	}
	delete(p.gangs[t.gang], t)
	if t.worksSince.IsZero() {
		return
	}
	for _, m := range p.members(t.gang) {
		delete(p.gangs[t.gang], m)
		m.on.end(m, "broken", time.Now())
	}
}

// end ends a run and lists the end. The caller holds the lock.
func (e *executor) end(t *taskRun, how string, now time.Time) {
	if t.over {
		return
	}
	t.over = true
	delete(e.running, t.task)
	if how == "done" {
		delete(e.pool.gangs[t.gang], t)
	} else {
		e.pool.leaveGang(t)
	}
	e.refused[t.task] = max(e.refused[t.task], t.run)
	e.lastEnd++
	e.ended = append(e.ended, endRow{e.lastEnd, t.task, t.run, how, savedText(t)})
	e.pool.rec.add("executor %s: %s run %d ends %s (N %d)", e.id, t.task, t.run, how, e.lastEnd)
	e.pool.rules.ended(t, how, now)
	close(e.changed)
	e.changed = make(chan struct{})
}

// savedText returns the newest checkpoint of a run.
func savedText(t *taskRun) string {
	if t.saved <= 0 {
		return ""
	}
	return t.task + ":" + strconv.FormatInt(t.saved.Milliseconds(), 10)
}

// request holds the fields of the calls to an executor.
type request struct {
	task, spec, checkpoint string
	run                    int
	until, fence           uint64
	hasUntil               bool
	ack, wait              uint64
}

// decodeRequest decodes the body of a call.
func decodeRequest(body []byte) (request, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal(body, &fields) != nil {
		return request{}, false
	}
	var q request
	ok := true
	get := func(name string, to any) {
		if raw, found := fields[name]; found && json.Unmarshal(raw, to) != nil {
			ok = false
		}
	}
	get("task", &q.task)
	get("run", &q.run)
	get("spec", &q.spec)
	get(names.Checkpoint, &q.checkpoint)
	get(names.Until, &q.until)
	get("fence", &q.fence)
	get(names.Ack, &q.ack)
	get("waitMs", &q.wait)
	_, q.hasUntil = fields[names.Until]
	return q, ok
}

// serve serves a call to the boot of the executor.
func (e *executor) serve(w http.ResponseWriter, r *http.Request, boot int64) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var f execFault
	e.pool.mu.Lock()
	fault := e.fault
	e.pool.mu.Unlock()
	if fault != nil {
		f = fault(r.URL.Path)
	}
	switch {
	case f.status != 0:
		w.WriteHeader(f.status)
		return
	case f.silent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.late > 0:
		go func() {
			time.Sleep(f.late)
			e.carryOut(&discard{}, r, body, boot)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case f.lost:
		e.carryOut(&discard{}, r, body, boot)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.carryOut(w, r, body, boot)
}

// carryOut carries out a call to a boot of the executor, if that is still up.
func (e *executor) carryOut(w http.ResponseWriter, r *http.Request, body []byte, boot int64) {
	q, ok := decodeRequest(body)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get(names.Expect) != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.pool.mu.Lock()
	defer e.pool.mu.Unlock()
	if !e.up || e.born != boot {
		abort(w)
		return
	}
	now := time.Now()
	refuse := func(reason string) {
		answer(w, http.StatusConflict, map[string]any{"clockMs": e.clock(now), "born": e.born, "reason": reason})
	}
	if q.fence < e.fence {
		refuse("fence")
		return
	}
	e.fence = q.fence
	switch r.URL.Path {
	case names.Start:
		if reason := e.start(q, now); reason != "" {
			e.pool.rec.add("executor %s refuses %s run %d: %s", e.id, q.task, q.run, reason)
			refuse(reason)
			return
		}
		answer(w, http.StatusOK, map[string]any{"clockMs": e.clock(now), "born": e.born})
	case names.Stop:
		e.refused[q.task] = max(e.refused[q.task], q.run)
		if t := e.running[q.task]; t != nil && t.run <= q.run {
			e.end(t, "stopped", now)
		}
		answer(w, http.StatusOK, map[string]any{"clockMs": e.clock(now), "born": e.born})
	case names.Hold:
		e.hold(w, r, q)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// abort cuts the channel of a call that gets no answer, unless the call is late and has
// none any more.
func abort(w http.ResponseWriter) {
	if _, late := w.(*discard); !late {
		panic(http.ErrAbortHandler)
	}
}

// extend extends the lease. It never shortens.
func (e *executor) extend(until uint64, now time.Time) {
	e.lease = max(e.lease, min(int64(until), e.clock(now)+holdMax.Milliseconds()))
}

// start starts a run and returns why it did not. The caller holds the lock.
func (e *executor) start(q request, now time.Time) (reason string) {
	if int64(q.until) <= e.clock(now) {
		return "late"
	}
	e.extend(q.until, now)
	t := e.running[q.task]
	switch {
	case t != nil && t.run == q.run:
		return ""
	case q.run <= e.refused[q.task], t != nil && t.run > q.run:
		return "old"
	}
	step, known := e.pool.rules.stepOf(q.task)
	if t != nil {
		e.end(t, "stopped", now)
	}
	n := &taskRun{on: e, boot: e.born, task: q.task, run: q.run, step: step, arrived: now}
	if q.checkpoint != "" {
		_, text, _ := strings.Cut(q.checkpoint, ":")
		ms, _ := strconv.Atoi(text)
		n.done = time.Duration(ms) * time.Millisecond
		n.saved = n.done
	}
	e.running[q.task] = n
	e.pool.rec.add("executor %s starts %s run %d (fence %d)", e.id, q.task, q.run, q.fence)
	e.pool.rules.started(n, q, known, now)
	if !step.gang {
		n.worksSince = now
		return ""
	}
	cut := strings.LastIndexByte(q.task, '.')
	n.gang = q.task[:cut] + "#" + strconv.Itoa(q.run)
	if e.pool.gangs[n.gang] == nil {
		e.pool.gangs[n.gang] = make(map[*taskRun]bool)
	}
	e.pool.gangs[n.gang][n] = true
	if len(e.pool.gangs[n.gang]) == step.count {
		for _, m := range e.pool.members(n.gang) {
			m.worksSince = now
		}
	}
	return ""
}

// hold renews the lease, forgets ends and reports. The caller holds the lock.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, q request) {
	now := time.Now()
	boot := e.born
	for len(e.ended) > 0 && e.ended[0].n <= q.ack {
		e.pool.rules.noted(e.ended[0], e, now)
		e.ended = e.ended[1:]
	}
	if q.hasUntil {
		e.extend(q.until, now)
	}
	if q.wait > 0 && len(e.ended) == 0 {
		end := time.NewTimer(min(time.Duration(q.wait)*time.Millisecond, maxHold))
		defer end.Stop()
		for waiting := true; waiting && len(e.ended) == 0 && e.up && e.born == boot; {
			changed := e.changed
			e.pool.mu.Unlock()
			select {
			case <-changed:
			case <-end.C:
				waiting = false
			case <-r.Context().Done():
				waiting = false
			}
			e.pool.mu.Lock()
		}
		if !e.up || e.born != boot {
			abort(w)
			return
		}
	}
	now = time.Now()
	running, ended := [][]any{}, [][]any{}
	for _, t := range e.sortedRuns() {
		percent := 0
		if !t.worksSince.IsZero() {
			percent = min(100, int(100*(t.done+now.Sub(t.worksSince))/max(t.step.work, 1)))
		}
		if t.step.lasts {
			percent = 100
		}
		running = append(running, []any{t.task, t.run, savedText(t), percent, 1000})
	}
	for _, row := range e.ended {
		if len(ended) < 500 {
			ended = append(ended, []any{row.n, row.task, row.run, row.how, row.saved})
		}
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": e.clock(now), "born": e.born, "running": running, "ended": ended})
}
