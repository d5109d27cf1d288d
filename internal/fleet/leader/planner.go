package leader

import (
	"time"

	"go.uber.org/zap"

	"jasminelane.example/lane/internal/fleet/delay"
	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
)

const (
	// planPause gathers events between two rounds of planning.
	planPause = 15 * time.Millisecond

	// planShare bounds the part of the time that planning takes: a round is
	// followed by a pause that is longer by this factor.
	planShare = 3

	// planPeriod is the longest time between two rounds.
	planPeriod = 250 * time.Millisecond

	// holdFor is how long room that was freed for a unit is kept for it.
	holdFor = 2 * time.Second

	// drainFor is how much longer it is kept where it becomes free by itself.
	drainFor = 8 * time.Second

	// retryDelay separates runs of a unit that failed, per failure.
	retryDelay = 100 // ms

	// dueMargin delays the start of a scheduled occurrence, for clocks that are
	// slightly ahead.
	dueMargin = 20 // ms
)

// hold is room that is kept for a unit.
type hold struct {
	plan.Reservation
	until time.Time
}

// planLoop plans after each event until the epoch ends.
func (l *Leader) planLoop() {
	for l.ctx.Err() == nil {
		began := time.Now()
		l.plan()
		delay.For(l.ctx, max(planPause, planShare*time.Since(began)))
		t := time.NewTimer(planPeriod)
		select {
		case <-l.wake:
		case <-t.C:
		case <-l.ctx.Done():
		}
		t.Stop()
	}
}

// plan makes one round and gives its stops; its starts are proposed and become
// orders when they are folded.
func (l *Leader) plan() {
	cfg := l.Policy.Get()
	if cfg == nil {
		return
	}
	var in plan.Input
	var out plan.Output
	l.Feed.View(func(s *ledger.State) {
		l.mu.Lock()
		defer l.mu.Unlock()
		in = l.input(s, cfg)
		if len(in.Waiting) == 0 {
			return
		}
		out = plan.Decide(in)
		out.Placements = l.pace.admit(out.Placements, l.backlog(s), func(st plan.Placement) int64 {
			return int64(len(st.Workers)) * startSize(s, st.Unit.ID)
		})
		l.take(out, in)
	})
	var records []ledger.Record
	for _, st := range out.Placements {
		records = append(records, ledger.Record{Start: l.startRecord(st)})
	}
	l.Feed.Propose(l.Epoch, records...)
}

func (l *Leader) startRecord(st plan.Placement) *ledger.Start {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.proposed[st.Unit.ID]
	return &r
}

// startSize returns the bytes of the order that starts a task of the unit.
func startSize(s *ledger.State, unit ledger.UnitID) int64 {
	js := s.Jobs[unit.Job]
	if js == nil {
		return startBytes
	}
	return StartOrder{Spec: js.Job.Spec}.bytes()
}

// backlog returns the bytes of the start orders that are decided and have not
// been sent; both locks are held.
func (l *Leader) backlog(s *ledger.State) int64 {
	bytes := int64(0)
	for unit, st := range l.proposed {
		bytes += int64(len(st.Workers)) * startSize(s, unit)
	}
	for _, w := range l.workers {
		for _, n := range w.runs {
			if !n.sent && !n.inherited && !n.stopping {
				bytes += startSize(s, n.unit)
			}
		}
	}
	return bytes
}

// take notes the round's decisions; both locks are held.
func (l *Leader) take(out plan.Output, in plan.Input) {
	for _, st := range out.Placements {
		u := st.Unit
		l.proposed[u.ID] = ledger.Start{Epoch: l.Epoch, Unit: u.ID, Run: u.Run, Workers: st.Workers}
		l.Logger.Info("start", zap.Stringer("unit", u.ID), zap.Int("run", u.Run), zap.Int("priority", u.Priority), zap.Bool("sure", u.Guaranteed),
			zap.Int64("waited", in.Now-u.ReadySince), zap.Int("queue", len(in.Waiting)), zap.Strings("workers", st.Workers))
	}
	until := time.Now().Add(holdFor)
	for _, h := range out.Reservations {
		if h.NonPreemptive {
			l.Logger.Info("room kept", zap.Stringer("unit", h.Unit), zap.Strings("workers", h.Workers))
			l.holds[h.Unit] = hold{h, until.Add(drainFor)}
			continue
		}
		l.holds[h.Unit] = hold{h, until}
	}
	for _, v := range out.Preemptions {
		l.stopUnit(v.ID, "preempted")
	}
}

// input describes the state to the planner; both locks are held.
func (l *Leader) input(s *ledger.State, cfg *policy.Config) plan.Input {
	now := time.Now()
	in := plan.Input{Now: now.UnixMilli()}
	sure := guaranteed(s, cfg)
	beside := make(map[stepKey]map[string]int)
	for _, js := range s.Jobs {
		if !js.Phase.Final() {
			l.waiting(&in, js, cfg, sure[js.Job.ID], beside)
		}
	}
	running := make(map[ledger.UnitID]*plan.RunningUnit)
	for _, w := range l.workers {
		l.describe(&in, s, w, now, running, sure)
	}
	for id, h := range l.holds {
		if now.After(h.until) {
			delete(l.holds, id)
			continue
		}
		in.Reservations = append(in.Reservations, h.Reservation)
	}
	for id, st := range l.proposed {
		js := s.Jobs[id.Job]
		if js == nil {
			delete(l.proposed, id)
			continue
		}
		for _, w := range in.Workers {
			for _, on := range st.Workers {
				if on == w.ID {
					w.Free = w.Free.Sub(room(&js.Job.Steps[id.Step]))
				}
			}
		}
	}
	return in
}

// stepKey names one occurrence of a step.
type stepKey struct {
	job              string
	occurrence, step int
}

// waiting adds the job's units that could start.
func (l *Leader) waiting(in *plan.Input, js *ledger.JobState, cfg *policy.Config, sure bool, beside map[stepKey]map[string]int) {
	for i := range js.Units {
		u := &js.Units[i]
		step := &js.Job.Steps[u.ID.Step]
		key := stepKey{u.ID.Job, u.ID.Occurrence, u.ID.Step}
		if step.Apart > 0 && beside[key] == nil {
			beside[key] = l.besides(js, key)
		}
		if u.Done || u.Active() || in.Now < js.Job.Due(u.ID.Occurrence)+dueMargin || in.Now < u.Freed+int64(u.Fails)*retryDelay {
			continue
		}
		if _, ok := l.proposed[u.ID]; ok || !js.Ready(u) {
			continue
		}
		since, ok := l.since[u.ID]
		if !ok {
			since = in.Now
			l.since[u.ID] = since
		}
		priority, service := js.Job.Priority, js.Job.Service
		if q := cfg.RouteByName(js.Job.Queue); q != nil {
			priority, service = q.Priority, q.Service
		}
		in.Waiting = append(in.Waiting, &plan.WaitingUnit{
			ID: u.ID, Run: u.Run + 1, Service: service, Account: js.Job.Account, Priority: priority,
			ReadySince: since, AcceptedAt: max(js.Job.Accepted, js.Job.Due(u.ID.Occurrence)), Late: late(js, u, in.Now),
			Width: js.Width(u), Need: room(step), Label: step.Label, Rack: step.Rack, SameRack: step.SameRack,
			MaxPerWorker: step.Apart, RunningTasks: beside[key], EstimateMs: step.Estimate, AvoidWorkers: u.FailedOn, Guaranteed: sure,
		})
	}
}

// besides counts the tasks of a step that run on each worker.
func (l *Leader) besides(js *ledger.JobState, key stepKey) map[string]int {
	out := make(map[string]int)
	for i := range js.Units {
		u := &js.Units[i]
		if u.ID.Occurrence != key.occurrence || u.ID.Step != key.step {
			continue
		}
		for _, m := range u.Members {
			out[m.Worker]++
		}
		for _, id := range l.proposed[u.ID].Workers {
			out[id]++
		}
	}
	return out
}

// late reports whether the unit's job would miss its objective by its own
// estimate.
func late(js *ledger.JobState, u *ledger.Unit, now int64) bool {
	chain := int64(0)
	for i := range js.Job.Steps {
		chain += js.Job.Steps[i].Estimate
	}
	begin := max(js.Job.Accepted, js.Job.Due(u.ID.Occurrence))
	objective := int64(js.Job.Stretch*float64(chain)) + js.Job.Target
	return now+js.Job.Steps[u.ID.Step].Estimate > begin+objective
}

func room(step *ledger.Step) plan.Resources {
	return plan.Resources{CPU: step.CPU, Memory: step.Memory, GPU: step.GPU}
}

// describe adds the worker and what runs on it.
func (l *Leader) describe(in *plan.Input, s *ledger.State, w *worker, now time.Time, running map[ledger.UnitID]*plan.RunningUnit, sure map[string]bool) {
	free := w.entry.Total
	for _, n := range w.runs {
		js := s.Jobs[n.unit.Job]
		if js == nil {
			continue
		}
		step := &js.Job.Steps[n.unit.Step]
		free = free.Sub(room(step))
		v := running[n.unit]
		if v == nil {
			v = &plan.RunningUnit{ID: n.unit, Priority: js.Job.Priority, Need: room(step), Guaranteed: sure[js.Job.ID]}
			running[n.unit] = v
			in.Running = append(in.Running, v)
		}
		v.Workers = append(v.Workers, w.id)
		v.Stopping = v.Stopping || n.stopping || n.ending
		v.RemainingMs = max(v.RemainingMs, step.Estimate-now.Sub(n.start).Milliseconds())
		v.UnsavedMs = max(v.UnsavedMs, unsaved(n, step, now))
	}
	if !w.usable(now) {
		return
	}
	in.Workers = append(in.Workers, &plan.Worker{
		ID: w.id, Service: w.entry.Service, Rack: w.entry.Rack, Labels: w.entry.Labels,
		Total: w.entry.Total, Free: free, Suspect: w.suspect(now),
	})
}

// unsaved returns the ms of work that a stop would throw away. A stop makes a
// checkpoint where the step allows it.
func unsaved(n *run, step *ledger.Step, now time.Time) int64 {
	if step.Checkpointable {
		return 0
	}
	return now.Sub(n.start).Milliseconds()
}

// guaranteed returns the most urgent jobs that lie within their account's
// guarantee, in the order of acceptance.
func guaranteed(s *ledger.State, cfg *policy.Config) map[string]bool {
	used := make(map[string]int64)
	jobs := make(map[string][]*ledger.JobState)
	for _, js := range s.Jobs {
		if !js.Phase.Final() && js.Job.Priority == 0 {
			jobs[js.Job.Account] = append(jobs[js.Job.Account], js)
		}
	}
	out := make(map[string]bool)
	for account, list := range jobs {
		byAcceptance(list)
		for _, js := range list {
			used[account] += gpus(js)
			if used[account] <= cfg.Accounts[account].GuaranteedGPUs {
				out[js.Job.ID] = true
			}
		}
	}
	return out
}

// gpus returns the most GPUs that a step of the job needs.
func gpus(js *ledger.JobState) int64 {
	most := int64(0)
	for _, step := range js.Job.Steps {
		most = max(most, int64(step.Count)*step.GPU)
	}
	return most
}
