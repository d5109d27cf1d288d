package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jasminelane.example/lane/shape"
	"jasminelane.example/lane/worker"
)

// resultRetention is how long a result is kept without an acknowledgement.
const resultRetention = time.Hour

// Workers is a stand-in for any number of platform workers in one process. It
// serves POST /sync, POST /fault and GET /audit. The first request that names a
// worker creates it. Set the exported fields before the first request.
type Workers struct {
	Now            func() time.Time                                // default time.Now
	RunTime        func(name string, g worker.Grant) time.Duration // run time of a task; default Grant.ExpectedMs
	TaskFails      func(name string, g worker.Grant) bool          // whether a task fails at its end; default never
	UsageLag       time.Duration                                   // delay after the start until usage is reported
	CheckpointTime time.Duration                                   // time to write a checkpoint; default 0
	OnEvent        func(Event)                                     // called for each new event; must not call Workers, whose lock is held

	mu              sync.Mutex
	workers         map[string]*workerState
	lastIncarnation uint64
	audit           []Event
}

// Event is an entry of the workers' audit trail.
type Event struct {
	At      time.Time  `json:"at"`
	Kind    string     `json:"what"` // hold, drop, arm, run, done, failed, stopped, lapsed, restart
	Worker  string     `json:"worker"`
	Job     string     `json:"job,omitempty"`
	Token   uint64     `json:"token,omitempty"`
	Mask    shape.Mask `json:"mask,omitempty"`
	Members int        `json:"members,omitempty"`
	Once    bool       `json:"once,omitempty"`
}

// WorkerFault sets the faults of a worker. With only Worker set, it ends all
// faults.
type WorkerFault struct {
	Worker      string `json:"worker"`
	FailTasks   bool   `json:"fail"`        // every task fails when it starts to run
	Frozen      bool   `json:"frozen"`      // the process is paused; requests are served after the pause
	Unreachable bool   `json:"unreachable"` // requests are lost
	LoseAnswers bool   `json:"mute"`        // requests take effect, but the answers are lost
	DelayMs     int64  `json:"slow"`        // milliseconds before each answer
	Restart     bool   `json:"restart"`     // restart the worker once; it loses its state
}

type taskKey struct {
	job   string
	token uint64
}

// workerState is the state of one worker.
type workerState struct {
	name         string
	incarnation  uint64
	offset       uint64
	lease        time.Time
	newestTokens [shape.MaxGPUs]uint64 // newest token of each accelerator
	tasks        map[taskKey]*taskState
	grantsDigest uint64 // digest that came with grants
	grants       []worker.Grant
	fault        WorkerFault
	resumed      chan struct{} // closed when a pause ends
	pausedAt     time.Time
}

// taskState is a task of a worker, or its result.
type taskState struct {
	grant         worker.Grant
	phase         string
	startedAt     time.Time // start of the running phase
	runTime       time.Duration
	elapsed       time.Duration // run time so far, set at the end
	progress      float64
	checkpointEnd time.Time // end of the checkpoint; zero if none is written
	throttled     bool
	fails         bool
	endedAt       time.Time // end of the run; zero for a task without a result
}

func (w *Workers) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

func (w *Workers) workerByName(name string) *workerState {
	if w.workers == nil {
		w.workers = map[string]*workerState{}
	}
	u := w.workers[name]
	if u == nil {
		u = &workerState{name: name}
		w.workers[name] = u
		w.reset(u)
	}
	return u
}

func (w *Workers) reset(u *workerState) {
	w.lastIncarnation = max(w.lastIncarnation+1, uint64(w.now().UnixMicro()))
	u.incarnation, u.offset, u.lease = w.lastIncarnation, 0, time.Time{}
	u.grantsDigest, u.grants = 0, nil
	u.newestTokens = [shape.MaxGPUs]uint64{}
	u.tasks = map[taskKey]*taskState{}
}

// ServeHTTP serves the workers' sync protocol, the fault injection and the audit trail.
func (w *Workers) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodPost && r.URL.Path == "/sync":
		var q worker.SyncRequest
		if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		a, err := w.Sync(r.Context(), "", q)
		switch err := err.(type) {
		case nil:
			writeJSON(rw, http.StatusOK, a)
		case *worker.StaleError:
			writeJSON(rw, http.StatusConflict, a)
		case *worker.ResponseError:
			rw.WriteHeader(err.Status)
		default:
			panic(http.ErrAbortHandler) // closes the connection without an answer
		}
	case r.Method == http.MethodPost && r.URL.Path == "/fault":
		var f WorkerFault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.Fault(f)
	case r.Method == http.MethodGet && r.URL.Path == "/audit":
		writeJSON(rw, http.StatusOK, w.Audit())
	default:
		http.NotFound(rw, r)
	}
}

func writeJSON(rw http.ResponseWriter, code int, v any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(code)
	_ = json.NewEncoder(rw).Encode(v)
}

// Sync serves one request without HTTP. It fails with *worker.StaleError if the
// request has an old offset, with *worker.ResponseError if the digest of
// unchanged grants does not match, and with *worker.UnreachableError if a fault
// loses the request or the answer.
func (w *Workers) Sync(ctx context.Context, _ string, q worker.SyncRequest) (worker.SyncAnswer, error) {
	w.mu.Lock()
	u := w.workerByName(q.Worker)
	for u.fault.Frozen {
		resumed := u.resumed
		w.mu.Unlock()
		<-resumed // like a request in the socket buffer of a paused process
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	lost := &worker.UnreachableError{Worker: q.Worker, Err: context.DeadlineExceeded}
	if u.fault.Unreachable {
		return worker.SyncAnswer{}, lost
	}
	a, err := w.serve(u, q)
	if u.fault.DelayMs > 0 {
		pause := time.NewTimer(time.Duration(u.fault.DelayMs) * time.Millisecond)
		defer pause.Stop()
		w.mu.Unlock()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	if u.fault.LoseAnswers || ctx.Err() != nil {
		return worker.SyncAnswer{}, lost
	}
	return a, err
}

// Fault sets the faults of a worker.
func (w *Workers) Fault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.workerByName(f.Worker)
	now := w.now()
	if !u.fault.Frozen {
		w.advance(u, now)
	}
	if f.Restart {
		w.addEvent(Event{At: now, Kind: "restart", Worker: u.name})
		w.reset(u)
	}
	switch {
	case f.Frozen && !u.fault.Frozen:
		u.resumed, u.pausedAt = make(chan struct{}), now
	case !f.Frozen && u.fault.Frozen:
		for _, t := range u.tasks {
			if t.phase == worker.StatusRunning {
				t.startedAt = t.startedAt.Add(now.Sub(u.pausedAt)) // tasks make no progress during a pause
			}
		}
		close(u.resumed)
	}
	f.Restart = false
	u.fault = f
	if !f.Frozen {
		w.advance(u, now)
	}
}

// advance updates the worker's tasks to the given time. It ends the tasks that
// are complete and, if the lease has expired, all others.
func (w *Workers) advance(u *workerState, now time.Time) {
	for key, t := range u.tasks {
		if !t.endedAt.IsZero() {
			if now.Sub(t.endedAt) > resultRetention {
				delete(u.tasks, key)
			}
			continue
		}
		lapse := u.lease
		if t.phase == worker.StatusRunning {
			end, what := t.startedAt.Add(t.runTime), worker.StatusDone
			if t.fails {
				what = worker.StatusFailed
			}
			if u.fault.FailTasks {
				end, what = t.startedAt, worker.StatusFailed
			}
			if !t.checkpointEnd.IsZero() && t.checkpointEnd.Before(end) {
				end, what = t.checkpointEnd, worker.StatusStopped
			}
			if !end.After(now) && !end.After(lapse) {
				w.endRun(u, t, what, what, end)
				continue
			}
		}
		if now.After(lapse) {
			w.stopTask(u, key, t, "lapsed", lapse)
		}
	}
}

// endRun ends a running task and keeps its result.
func (w *Workers) endRun(u *workerState, t *taskState, status, what string, at time.Time) {
	t.elapsed = max(0, at.Sub(t.startedAt)) // negative if the lease expired while the process was paused
	if status == worker.StatusDone {
		t.progress = 1
	} else if !t.checkpointEnd.IsZero() && !at.Before(t.checkpointEnd) && t.runTime > 0 {
		t.progress = min(1, t.grant.Progress+(1-t.grant.Progress)*float64(t.elapsed)/float64(t.runTime))
	}
	t.phase, t.endedAt = status, at
	w.logTask(u, t, what, at)
}

// stopTask ends a task early. A task that never ran has no result.
func (w *Workers) stopTask(u *workerState, key taskKey, t *taskState, what string, at time.Time) {
	if t.phase == worker.StatusRunning {
		w.endRun(u, t, worker.StatusStopped, what, at)
		return
	}
	delete(u.tasks, key)
	w.logTask(u, t, "drop", at)
}

func (w *Workers) serve(u *workerState, q worker.SyncRequest) (worker.SyncAnswer, error) {
	now := w.now()
	if q.Offset < u.offset {
		return worker.SyncAnswer{Offset: u.offset, Incarnation: u.incarnation}, &worker.StaleError{Worker: u.name, Offset: u.offset}
	}
	if q.Unchanged && (q.Digest == 0 || q.Digest != u.grantsDigest) {
		return worker.SyncAnswer{}, &worker.ResponseError{Status: http.StatusPreconditionFailed}
	}
	if q.Unchanged {
		q.Grants = u.grants
	}
	u.grantsDigest, u.grants = q.Digest, q.Grants
	w.advance(u, now)
	u.offset = q.Offset
	u.lease = now.Add(time.Duration(q.LeaseMs) * time.Millisecond)
	for _, k := range q.Acks {
		if t := u.tasks[taskKey{k.Job, k.Token}]; t != nil && !t.endedAt.IsZero() {
			delete(u.tasks, taskKey{k.Job, k.Token})
		}
	}
	for key, t := range u.tasks {
		listed := slices.ContainsFunc(q.Grants, func(g worker.Grant) bool { return g.Job == key.job && g.Token == key.token })
		if !listed && t.endedAt.IsZero() {
			w.stopTask(u, key, t, "stopped", now)
		}
	}
	a := worker.SyncAnswer{Offset: u.offset, Incarnation: u.incarnation}
	for _, g := range q.Grants {
		if refusal := w.applyGrant(u, g, now); refusal != "" {
			a.Tasks = append(a.Tasks, worker.Status{Job: g.Job, Token: g.Token, Phase: refusal})
		}
	}
	w.advance(u, now)
	for key, t := range u.tasks {
		a.Tasks = append(a.Tasks, w.taskStatus(key, t, now))
	}
	a.Digest = phasesDigest(a)
	if q.KnownDigest == a.Digest {
		a.Tasks, a.Unchanged = nil, true
	}
	return a, nil
}

// phasesDigest returns a digest of the tasks' phases that does not depend on their order.
func phasesDigest(a worker.SyncAnswer) uint64 {
	sum := a.Incarnation
	for _, t := range a.Tasks {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %s", t.Job, t.Token, t.Phase))
	}
	return sum
}

// applyGrant applies one grant. If there is no task for it, it returns the
// status to report, else "".
func (w *Workers) applyGrant(u *workerState, g worker.Grant, now time.Time) string {
	key := taskKey{g.Job, g.Token}
	t := u.tasks[key]
	if t != nil && !t.endedAt.IsZero() {
		return "" // the result is reported
	}
	if g.Phase == worker.PhaseHold && t == nil {
		return w.holdTask(u, g, now)
	}
	if g.Incarnation != 0 && g.Incarnation != u.incarnation && t != nil {
		w.stopTask(u, key, t, "drop", now) // the task was held by this incarnation, but the grant starts that of another
		t = nil
	}
	if t == nil {
		return worker.StatusAbsent
	}
	switch g.Phase {
	case worker.PhaseArm:
		w.armTask(u, t, now)
	case worker.PhaseRun:
		if g.Members == 1 {
			w.armTask(u, t, now)
		}
		if t.phase == worker.StatusArmed {
			t.phase, t.startedAt, t.runTime = worker.StatusRunning, now, time.Duration(g.ExpectedMs)*time.Millisecond
			if w.RunTime != nil {
				t.runTime = w.RunTime(u.name, g)
			}
			t.fails = w.TaskFails != nil && w.TaskFails(u.name, g)
			w.logTask(u, t, "run", now)
		} else {
			w.armTask(u, t, now)
		}
	case worker.PhaseThrottle:
		if t.phase == worker.StatusRunning && !t.throttled {
			t.throttled = true
			t.runTime += t.runTime - now.Sub(t.startedAt) // the remaining work takes twice as long
		}
	case worker.PhaseCheckpoint:
		if t.phase != worker.StatusRunning {
			w.stopTask(u, key, t, "drop", now)
		} else if t.checkpointEnd.IsZero() {
			t.checkpointEnd = now.Add(min(w.CheckpointTime, time.Duration(g.GraceMs)*time.Millisecond))
		}
	}
	return ""
}

func (w *Workers) holdTask(u *workerState, g worker.Grant, now time.Time) string {
	for i := range shape.MaxGPUs {
		if g.Mask&(1<<i) != 0 && u.newestTokens[i] > g.Token {
			return worker.StatusRefused
		}
	}
	for _, t := range u.tasks {
		if t.endedAt.IsZero() && t.grant.Mask&g.Mask != 0 {
			return worker.StatusWaiting
		}
	}
	for i := range shape.MaxGPUs {
		if g.Mask&(1<<i) != 0 {
			u.newestTokens[i] = g.Token
		}
	}
	t := &taskState{grant: g, phase: worker.StatusHeld, progress: g.Progress}
	u.tasks[taskKey{g.Job, g.Token}] = t
	w.logTask(u, t, "hold", now)
	return ""
}

func (w *Workers) armTask(u *workerState, t *taskState, now time.Time) {
	if t.phase == worker.StatusHeld {
		t.phase = worker.StatusArmed
		w.logTask(u, t, "arm", now)
	}
}

func (w *Workers) taskStatus(key taskKey, t *taskState, now time.Time) worker.Status {
	s := worker.Status{Job: key.job, Token: key.token, Phase: t.phase, Progress: t.progress, RanMs: t.elapsed.Milliseconds()}
	if t.phase == worker.StatusRunning {
		ran := now.Sub(t.startedAt)
		s.RanMs = ran.Milliseconds()
		if t.runTime > 0 {
			s.Progress = min(1, t.grant.Progress+(1-t.grant.Progress)*float64(ran)/float64(t.runTime))
		}
		if ran > w.UsageLag {
			s.Usage = float64(t.grant.Mask.Count())
		}
	}
	return s
}

func (w *Workers) logTask(u *workerState, t *taskState, what string, at time.Time) {
	w.addEvent(Event{
		At: at, Kind: what, Worker: u.name, Job: t.grant.Job, Token: t.grant.Token,
		Mask: t.grant.Mask, Members: t.grant.Members, Once: t.grant.Once,
	})
}

func (w *Workers) addEvent(e Event) {
	w.audit = append(w.audit, e)
	if w.OnEvent != nil {
		w.OnEvent(e)
	}
}

// Audit returns the audit trail up to now.
func (w *Workers) Audit() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, u := range w.workers {
		if !u.fault.Frozen {
			w.advance(u, now)
		}
	}
	return slices.Clone(w.audit)
}

// Violations describes each violation in the audit trail: a gang that ran before
// all of its members were armed, a non-repeatable job that ran twice, or two
// tasks on one accelerator.
func Violations(trail []Event) []string {
	var out []string
	armed := map[taskKey]map[string]bool{}
	ran := map[string]uint64{}
	live := map[string]map[taskKey]shape.Mask{}
	for _, e := range trail {
		key := taskKey{e.Job, e.Token}
		if live[e.Worker] == nil {
			live[e.Worker] = map[taskKey]shape.Mask{}
		}
		switch e.Kind {
		case "arm":
			if armed[key] == nil {
				armed[key] = map[string]bool{}
			}
			armed[key][e.Worker] = true
		case "run":
			if len(armed[key]) != e.Members {
				out = append(out, fmt.Sprintf("job %s token %d runs on %s with %d of %d members armed", e.Job, e.Token, e.Worker, len(armed[key]), e.Members))
			}
			once := e.Job + "@" + e.Worker
			if e.Once && (ran[e.Job] != 0 && ran[e.Job] != e.Token || ran[once] != 0) {
				out = append(out, fmt.Sprintf("job %s is not repeatable and ran again on %s", e.Job, e.Worker))
			}
			ran[e.Job], ran[once] = e.Token, e.Token
			for other, m := range live[e.Worker] {
				if m&e.Mask != 0 {
					out = append(out, fmt.Sprintf("jobs %s and %s share accelerators of %s", other.job, e.Job, e.Worker))
				}
			}
			live[e.Worker][key] = e.Mask
		case "restart":
			live[e.Worker] = nil
		default:
			delete(live[e.Worker], key)
		}
	}
	return out
}
