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

// resultRetention bounds how long a result is kept without an acknowledgement.
const resultRetention = time.Hour

// Workers stands in for any number of platform workers in one process. It
// serves POST /sync, POST /fault and GET /audit; a worker exists from the
// first request that names it. Exported fields are set before the first
// request.
type Workers struct {
	Now        func() time.Time                                // default time.Now
	Duration   func(name string, g worker.Grant) time.Duration // run time; default the declared one
	Fails      func(name string, g worker.Grant) bool          // whether a task fails at its end; default none does
	Lag        time.Duration                                   // age of the usage that is reported
	Checkpoint time.Duration                                   // time to write a checkpoint, default none
	Notify     func(Event)                                     // called for each new event; must not call back

	mu    sync.Mutex
	units map[string]*unit
	boots uint64
	audit []Event
}

// Event is one entry of the audit trail.
type Event struct {
	At      time.Time  `json:"at"`
	What    string     `json:"what"` // hold, drop, arm, run, done, failed, stopped, lapsed, restart
	Worker  string     `json:"worker"`
	Job     string     `json:"job,omitempty"`
	Token   uint64     `json:"token,omitempty"`
	Mask    shape.Mask `json:"mask,omitempty"`
	Members int        `json:"members,omitempty"`
	Once    bool       `json:"once,omitempty"`
}

// WorkerFault sets how a worker misbehaves from now on; the zero value ends
// all faults.
type WorkerFault struct {
	Worker      string `json:"worker"`
	Fail        bool   `json:"fail"`        // every task fails soon after it starts
	Frozen      bool   `json:"frozen"`      // the process is paused; requests are served when it ends
	Unreachable bool   `json:"unreachable"` // requests are lost
	Mute        bool   `json:"mute"`        // requests are served, answers are lost
	Slow        int64  `json:"slow"`        // milliseconds before each answer
	Restart     bool   `json:"restart"`     // restart now and forget everything
}

type taskKey struct {
	job   string
	token uint64
}

// unit is one worker.
type unit struct {
	name   string
	boot   uint64
	offset uint64
	lease  time.Time
	newest [shape.MaxGPUs]uint64 // token of each accelerator
	tasks  map[taskKey]*unitTask
	sum    uint64 // of the grants
	grants []worker.Grant
	fault  WorkerFault
	thaw   chan struct{} // closed when a freeze ends
	frozen time.Time
}

// unitTask is a task of a unit, or its result.
type unitTask struct {
	grant    worker.Grant
	phase    string
	began    time.Time // of running
	length   time.Duration
	ran      time.Duration // when it ended
	progress float64
	ends     time.Time // end of the checkpoint; zero when none is written
	slow     bool
	fails    bool
	settled  time.Time // when the result was made
}

func (w *Workers) now() time.Time {
	if w.Now != nil {
		return w.Now()
	}
	return time.Now()
}

func (w *Workers) unit(name string) *unit {
	if w.units == nil {
		w.units = map[string]*unit{}
	}
	u := w.units[name]
	if u == nil {
		u = &unit{name: name}
		w.units[name] = u
		w.reset(u)
	}
	return u
}

func (w *Workers) reset(u *unit) {
	w.boots = max(w.boots+1, uint64(w.now().UnixMicro()))
	u.boot, u.offset, u.lease = w.boots, 0, time.Time{}
	u.sum, u.grants = 0, nil
	u.newest = [shape.MaxGPUs]uint64{}
	u.tasks = map[taskKey]*unitTask{}
}

// ServeHTTP serves the workers' protocol and the fault injection.
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

// Sync serves one request without HTTP; it fails with *worker.StaleError, and
// with *worker.UnreachableError where a fault loses the request or the answer.
func (w *Workers) Sync(ctx context.Context, _ string, q worker.SyncRequest) (worker.SyncAnswer, error) {
	w.mu.Lock()
	u := w.unit(q.Worker)
	for u.fault.Frozen {
		thaw := u.thaw
		w.mu.Unlock()
		<-thaw // the request waits in the socket of the paused process
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	lost := &worker.UnreachableError{Worker: q.Worker, Err: context.DeadlineExceeded}
	if u.fault.Unreachable {
		return worker.SyncAnswer{}, lost
	}
	a, err := w.serve(u, q)
	if u.fault.Slow > 0 {
		pause := time.NewTimer(time.Duration(u.fault.Slow) * time.Millisecond)
		defer pause.Stop()
		w.mu.Unlock()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
		w.mu.Lock()
	}
	if u.fault.Mute || ctx.Err() != nil {
		return worker.SyncAnswer{}, lost
	}
	return a, err
}

// Fault sets the faults of a worker.
func (w *Workers) Fault(f WorkerFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.unit(f.Worker)
	now := w.now()
	if !u.fault.Frozen {
		w.advance(u, now)
	}
	if f.Restart {
		w.log(Event{At: now, What: "restart", Worker: u.name})
		w.reset(u)
	}
	switch {
	case f.Frozen && !u.fault.Frozen:
		u.thaw, u.frozen = make(chan struct{}), now
	case !f.Frozen && u.fault.Frozen:
		for _, t := range u.tasks {
			if t.phase == worker.StatusRunning {
				t.began = t.began.Add(now.Sub(u.frozen)) // nothing ran while paused
			}
		}
		close(u.thaw)
	}
	f.Restart = false
	u.fault = f
	if !f.Frozen {
		w.advance(u, now)
	}
}

// advance brings the worker's tasks to the time: ends those that are complete
// and, when the lease has expired, all others.
func (w *Workers) advance(u *unit, now time.Time) {
	for key, t := range u.tasks {
		if !t.settled.IsZero() {
			if now.Sub(t.settled) > resultRetention {
				delete(u.tasks, key)
			}
			continue
		}
		lapse := u.lease
		if t.phase == worker.StatusRunning {
			end, what := t.began.Add(t.length), worker.StatusDone
			if t.fails {
				what = worker.StatusFailed
			}
			if u.fault.Fail {
				end, what = t.began, worker.StatusFailed
			}
			if !t.ends.IsZero() && t.ends.Before(end) {
				end, what = t.ends, worker.StatusStopped
			}
			if !end.After(now) && !end.After(lapse) {
				w.end(u, t, what, what, end)
				continue
			}
		}
		if now.After(lapse) {
			w.stop(u, key, t, "lapsed", lapse)
		}
	}
}

// end turns a running task into a result.
func (w *Workers) end(u *unit, t *unitTask, status, what string, at time.Time) {
	t.ran = max(0, at.Sub(t.began)) // a lease may have expired while the process was paused
	if status == worker.StatusDone {
		t.progress = 1
	} else if !t.ends.IsZero() && !at.Before(t.ends) && t.length > 0 {
		t.progress = min(1, t.grant.Progress+(1-t.grant.Progress)*float64(t.ran)/float64(t.length))
	}
	t.phase, t.settled = status, at
	w.note(u, t, what, at)
}

// stop ends a task before its time. A task that never ran leaves no result.
func (w *Workers) stop(u *unit, key taskKey, t *unitTask, what string, at time.Time) {
	if t.phase == worker.StatusRunning {
		w.end(u, t, worker.StatusStopped, what, at)
		return
	}
	delete(u.tasks, key)
	w.note(u, t, "drop", at)
}

func (w *Workers) serve(u *unit, q worker.SyncRequest) (worker.SyncAnswer, error) {
	now := w.now()
	if q.Offset < u.offset {
		return worker.SyncAnswer{Offset: u.offset, Incarnation: u.boot}, &worker.StaleError{Worker: u.name, Offset: u.offset}
	}
	if q.Unchanged && (q.Digest == 0 || q.Digest != u.sum) {
		return worker.SyncAnswer{}, &worker.ResponseError{Status: http.StatusPreconditionFailed}
	}
	if q.Unchanged {
		q.Grants = u.grants
	}
	u.sum, u.grants = q.Digest, q.Grants
	w.advance(u, now)
	u.offset = q.Offset
	u.lease = now.Add(time.Duration(q.LeaseMs) * time.Millisecond)
	for _, k := range q.Acks {
		if t := u.tasks[taskKey{k.Job, k.Token}]; t != nil && !t.settled.IsZero() {
			delete(u.tasks, taskKey{k.Job, k.Token})
		}
	}
	for key, t := range u.tasks {
		listed := slices.ContainsFunc(q.Grants, func(g worker.Grant) bool { return g.Job == key.job && g.Token == key.token })
		if !listed && t.settled.IsZero() {
			w.stop(u, key, t, "stopped", now)
		}
	}
	a := worker.SyncAnswer{Offset: u.offset, Incarnation: u.boot}
	for _, g := range q.Grants {
		if refusal := w.grant(u, g, now); refusal != "" {
			a.Tasks = append(a.Tasks, worker.Status{Job: g.Job, Token: g.Token, Phase: refusal})
		}
	}
	w.advance(u, now)
	for key, t := range u.tasks {
		a.Tasks = append(a.Tasks, w.status(key, t, now))
	}
	a.Digest = phases(a)
	if q.KnownDigest == a.Digest {
		a.Tasks, a.Unchanged = nil, true
	}
	return a, nil
}

// phases returns the digest of the tasks' phases, in any order.
func phases(a worker.SyncAnswer) uint64 {
	sum := a.Incarnation
	for _, t := range a.Tasks {
		sum += xxhash.Sum64String(fmt.Sprintf("%s %d %s", t.Job, t.Token, t.Phase))
	}
	return sum
}

// grant applies one grant and returns why there is no task for it, or "".
func (w *Workers) grant(u *unit, g worker.Grant, now time.Time) string {
	key := taskKey{g.Job, g.Token}
	t := u.tasks[key]
	if t != nil && !t.settled.IsZero() {
		return "" // the result is the answer
	}
	if g.Phase == worker.PhaseHold && t == nil {
		return w.hold(u, g, now)
	}
	if g.Incarnation != 0 && g.Incarnation != u.boot && t != nil {
		w.stop(u, key, t, "drop", now) // held since the restart, but not what was started
		t = nil
	}
	if t == nil {
		return worker.StatusAbsent
	}
	switch g.Phase {
	case worker.PhaseArm:
		w.arm(u, t, now)
	case worker.PhaseRun:
		if g.Members == 1 {
			w.arm(u, t, now)
		}
		if t.phase == worker.StatusArmed {
			t.phase, t.began, t.length = worker.StatusRunning, now, time.Duration(g.ExpectedMs)*time.Millisecond
			if w.Duration != nil {
				t.length = w.Duration(u.name, g)
			}
			t.fails = w.Fails != nil && w.Fails(u.name, g)
			w.note(u, t, "run", now)
		} else {
			w.arm(u, t, now)
		}
	case worker.PhaseThrottle:
		if t.phase == worker.StatusRunning && !t.slow {
			t.slow = true
			t.length += t.length - now.Sub(t.began) // the rest takes twice as long
		}
	case worker.PhaseCheckpoint:
		if t.phase != worker.StatusRunning {
			w.stop(u, key, t, "drop", now)
		} else if t.ends.IsZero() {
			t.ends = now.Add(min(w.Checkpoint, time.Duration(g.GraceMs)*time.Millisecond))
		}
	}
	return ""
}

func (w *Workers) hold(u *unit, g worker.Grant, now time.Time) string {
	for i := range shape.MaxGPUs {
		if g.Mask&(1<<i) != 0 && u.newest[i] > g.Token {
			return worker.StatusRefused
		}
	}
	for _, t := range u.tasks {
		if t.settled.IsZero() && t.grant.Mask&g.Mask != 0 {
			return worker.StatusWaiting
		}
	}
	for i := range shape.MaxGPUs {
		if g.Mask&(1<<i) != 0 {
			u.newest[i] = g.Token
		}
	}
	t := &unitTask{grant: g, phase: worker.StatusHeld, progress: g.Progress}
	u.tasks[taskKey{g.Job, g.Token}] = t
	w.note(u, t, "hold", now)
	return ""
}

func (w *Workers) arm(u *unit, t *unitTask, now time.Time) {
	if t.phase == worker.StatusHeld {
		t.phase = worker.StatusArmed
		w.note(u, t, "arm", now)
	}
}

func (w *Workers) status(key taskKey, t *unitTask, now time.Time) worker.Status {
	s := worker.Status{Job: key.job, Token: key.token, Phase: t.phase, Progress: t.progress, RanMs: t.ran.Milliseconds()}
	if t.phase == worker.StatusRunning {
		ran := now.Sub(t.began)
		s.RanMs = ran.Milliseconds()
		if t.length > 0 {
			s.Progress = min(1, t.grant.Progress+(1-t.grant.Progress)*float64(ran)/float64(t.length))
		}
		if ran > w.Lag {
			s.Usage = float64(t.grant.Mask.Count())
		}
	}
	return s
}

func (w *Workers) note(u *unit, t *unitTask, what string, at time.Time) {
	w.log(Event{
		At: at, What: what, Worker: u.name, Job: t.grant.Job, Token: t.grant.Token,
		Mask: t.grant.Mask, Members: t.grant.Members, Once: t.grant.Once,
	})
}

func (w *Workers) log(e Event) {
	w.audit = append(w.audit, e)
	if w.Notify != nil {
		w.Notify(e)
	}
}

// Audit returns what ran when, up to now.
func (w *Workers) Audit() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	for _, u := range w.units {
		if !u.fault.Frozen {
			w.advance(u, now)
		}
	}
	return slices.Clone(w.audit)
}

// Violations returns where the trail shows a gang that ran before all of its
// members were armed, a non-repeatable job that ran twice, or two tasks on one
// accelerator.
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
		switch e.What {
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
