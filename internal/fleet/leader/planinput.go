package leader

import (
	"slices"
	"time"

	"jasminelane.example/lane/internal/fleet/ledger"
	"jasminelane.example/lane/internal/fleet/plan"
	"jasminelane.example/lane/internal/fleet/policy"
)

// planInput returns the planner's view of the state. It shares nothing with the state
// that changes, since the planner reads it without a lock. The caller holds the feed's
// lock and l.mu.
func (l *Leader) planInput(s *ledger.State, cfg *policy.Config) plan.Input {
	now := time.Now()
	in := plan.Input{Now: l.now()}
	l.forgetDisplaced()
	guaranteed := guaranteedJobs(s, cfg)
	for _, js := range s.Jobs {
		if !js.Phase.Final() {
			l.addWaiting(&in, js, cfg, guaranteed[js.Job.ID])
		}
	}
	orphaned := l.orphanUnits(s)
	in.Waiting = slices.DeleteFunc(in.Waiting, func(u *plan.WaitingUnit) bool {
		switch {
		case orphaned[u.ID]:
			l.noteWait(u.ID, in.Now, waitOrphan)
		case l.runReturned(u.ID):
			l.noteWait(u.ID, in.Now, waitReturned)
		default:
			return false
		}
		return true
	})
	free := make(map[string]*plan.Resources, len(l.workers))
	for id, w := range l.workers {
		total := w.entry.Total
		free[id] = &total
	}
	l.addRunning(&in, s, free, guaranteed, now)
	l.deductProposed(s, free)
	watched := l.crashSuspectHosts(s, now)
	for id, w := range l.workers {
		if w.usable(now) && !l.Policy.Evacuated(w.entry.Zone) {
			in.Workers = append(in.Workers, &plan.Worker{
				ID: id, Service: w.entry.Service, Rack: w.entry.Rack, Labels: w.entry.Labels,
				Total: w.entry.Total, Free: *free[id], Suspect: w.suspect(now), Watched: watched[id], Speed: l.speed(w), FailureRisk: l.failureRisk(w),
			})
		}
	}
	for id, h := range l.reservations {
		if now.After(h.expiresAt) {
			delete(l.reservations, id)
			continue
		}
		in.Reservations = append(in.Reservations, h.Reservation)
	}
	in.UrgentDemand = l.urgentDemand(in, s)
	l.addContention(&in, s)
	return in
}

// deductProposed subtracts the resources of the starts whose records are not
// applied yet. The caller holds the feed's lock and l.mu.
func (l *Leader) deductProposed(s *ledger.State, free map[string]*plan.Resources) {
	for id, st := range l.proposedStarts {
		js := s.Jobs[id.Job]
		if js == nil {
			delete(l.proposedStarts, id)
			continue
		}
		need := taskNeed(&js.Job.Steps[id.Step])
		for _, on := range st.Workers {
			if f := free[on]; f != nil {
				*f = f.Sub(need)
			}
		}
	}
}

// stepKey identifies one occurrence of a step.
type stepKey struct {
	job              string
	occurrence, step int
}

// addWaiting adds the job's units that could start now to the input. The caller
// holds the feed's lock and l.mu.
func (l *Leader) addWaiting(in *plan.Input, js *ledger.JobState, cfg *policy.Config, guaranteed bool) {
	steps := make(map[stepKey]*waitingStep)
	idle := l.idle(js)
	clock := time.Now().UnixMilli()
	work := jobWork(js)
	onlyUnit := len(js.Units) == js.Job.Occurrences()
	objective := js.Job.Objective()
	slack := l.slackOf(&js.Job, objective)
	priority, service := js.Job.Priority, js.Job.Service
	if q := cfg.RouteByName(js.Job.Queue); q != nil {
		priority, service = q.Priority, q.Service
	}
	for i := range js.Units {
		u := &js.Units[i]
		step := &js.Job.Steps[u.ID.Step]
		if u.Done || u.Active() || clock < js.Job.Due(u.ID.Occurrence)+dueMarginMs {
			continue
		}
		if l.pausing(js, u, in.Now) {
			l.noteWait(u.ID, in.Now, waitPause)
			continue
		}
		if _, ok := l.proposedStarts[u.ID]; ok {
			l.noteWait(u.ID, in.Now, waitNotApplied)
			continue
		}
		key := stepKey{u.ID.Job, u.ID.Occurrence, u.ID.Step}
		ws := steps[key]
		if ws == nil {
			ws = l.waitingStep(js, u)
			steps[key] = ws
		}
		if !ws.ready {
			continue
		}
		w := l.waiting(u.ID, in.Now)
		if w.since == 0 {
			w.since, w.roomSince = in.Now, l.couldRunSince(js, u, ws.dependenciesEndedAt, in.Now)
		}
		begin := max(js.Job.AcceptedAt, js.Job.Due(u.ID.Occurrence))
		age := float64(max(0, in.Now-begin)) / float64(max(1, objective))
		in.Waiting = append(in.Waiting, &plan.WaitingUnit{
			ID: u.ID, Run: u.Run + 1, Kind: step.Image, Service: service, Account: js.Job.Account, Priority: priority,
			ReadySince: w.since, AcceptedAt: begin, Late: in.Now+step.Estimate > begin+objective, Slack: slack.of(u.ID.Step, age), Age: age, Work: work[u.ID.Occurrence], Whole: onlyUnit && step.Gang,
			Width: js.Width(u), Need: taskNeed(step), Label: step.Label, Rack: step.Rack, SameRack: step.SameRack,
			MaxPerWorker: step.MaxPerWorker, RunningTasks: ws.runningTasks, EstimateMs: step.Estimate, AvoidWorkers: slices.Clone(u.FailedOn), Guaranteed: guaranteed, CrashSuspect: u.CrashSuspect(),
			RoomSince: w.roomSince, NoRoomSince: w.noRoomSince, TriedAt: w.triedAt, JobIdle: idle, Lasting: step.LongRunning, Checkpointable: step.Checkpointable, LastAttempt: l.lastAttempt(js, u),
		})
	}
}

// waitingStep is what the waiting units of one occurrence of a step have in common.
type waitingStep struct {
	ready               bool
	dependenciesEndedAt int64          // see ledger.JobState; set if the step is ready
	runningTasks        map[string]int // by worker; nil if any number may run there
}

// waitingStep returns what is common to the units of the unit's step. The caller holds
// the feed's lock and l.mu.
func (l *Leader) waitingStep(js *ledger.JobState, u *ledger.Unit) *waitingStep {
	ws := &waitingStep{ready: js.Ready(u)}
	if !ws.ready {
		return ws
	}
	ws.dependenciesEndedAt = js.DependenciesEndedAt(u)
	if js.Job.Steps[u.ID.Step].MaxPerWorker > 0 {
		ws.runningTasks = l.tasksPerWorker(js, u.ID)
	}
	return ws
}

// tasksPerWorker counts the tasks of the unit's step that run, or are about to start,
// on each worker. The caller holds the feed's lock and l.mu.
func (l *Leader) tasksPerWorker(js *ledger.JobState, id ledger.UnitID) map[string]int {
	out := make(map[string]int)
	for u := range js.StepUnits(id.Occurrence, id.Step) {
		for _, m := range u.Members {
			out[m.Worker]++
		}
		if !u.Active() {
			for _, n := range l.unitRuns[u.ID] {
				out[n.worker.id]++
			}
		}
		for _, id := range l.proposedStarts[u.ID].Workers {
			out[id]++
		}
	}
	return out
}

// jobWork returns the work of the job by occurrence.
func jobWork(js *ledger.JobState) map[int]plan.Work {
	perUnit := make([]float64, len(js.Job.Steps))
	for i := range js.Job.Steps {
		step := &js.Job.Steps[i]
		perUnit[i] = taskNeed(step).CoreEquivalents() * float64(step.Estimate) / 1000
		if step.Gang {
			perUnit[i] *= float64(step.Count)
		}
	}
	out := make(map[int]plan.Work, js.Job.Occurrences())
	for i := 0; i < len(js.Units); {
		occurrence := js.Units[i].ID.Occurrence
		w := out[occurrence]
		for ; i < len(js.Units) && js.Units[i].ID.Occurrence == occurrence; i++ {
			u := &js.Units[i]
			w.Total += perUnit[u.ID.Step]
			if !u.Done && !u.Active() {
				w.ToStart += perUnit[u.ID.Step]
			}
		}
		out[occurrence] = w
	}
	return out
}

// taskNeed returns the resources that one task of the step needs.
func taskNeed(step *ledger.Step) plan.Resources {
	return plan.Resources{CPU: step.CPU, Memory: step.Memory, GPU: step.GPU}
}

// addRunning adds the units with runs to the input and subtracts the resources of
// their runs. The caller holds the feed's lock and l.mu.
func (l *Leader) addRunning(in *plan.Input, s *ledger.State, free map[string]*plan.Resources, guaranteed map[string]bool, now time.Time) {
	for unit, runs := range l.unitRuns {
		js := s.Jobs[unit.Job]
		if js == nil {
			continue
		}
		step := &js.Job.Steps[unit.Step]
		v := &plan.RunningUnit{ID: unit, Priority: js.Job.Priority, Need: taskNeed(step), Guaranteed: guaranteed[js.Job.ID], Workers: make([]string, 0, len(runs)), Displaces: l.displaced[unit]}
		for _, n := range runs {
			f := free[n.worker.id]
			*f = f.Sub(v.Need)
			v.Workers = append(v.Workers, n.worker.id)
			v.Stopping = v.Stopping || n.stopping || n.endProposed
			v.RemainingMs = max(v.RemainingMs, step.Estimate-now.Sub(n.startedAt).Milliseconds())
			v.UnsavedMs = max(v.UnsavedMs, unsavedMs(n, step, now))
		}
		in.Running = append(in.Running, v)
	}
}

// unsavedMs returns how many milliseconds of work a stop would discard. A stop
// writes a checkpoint if the step supports it.
func unsavedMs(n *run, step *ledger.Step, now time.Time) int64 {
	if step.Checkpointable {
		return 0
	}
	return now.Sub(n.startedAt).Milliseconds()
}

// guaranteedJobs returns the ids of the jobs of the highest priority that lie
// within the guarantee of their account, which covers jobs in the order of
// their acceptance.
func guaranteedJobs(s *ledger.State, cfg *policy.Config) map[string]bool {
	used := make(map[string]int64)
	jobs := make(map[string][]*ledger.JobState)
	for _, js := range s.Jobs {
		if !js.Phase.Final() && js.Job.Priority == 0 {
			jobs[js.Job.Account] = append(jobs[js.Job.Account], js)
		}
	}
	out := make(map[string]bool)
	for account, list := range jobs {
		sortByAcceptance(list)
		for _, js := range list {
			used[account] += maxStepGPUs(js)
			if used[account] <= cfg.Accounts[account].GuaranteedGPUs {
				out[js.Job.ID] = true
			}
		}
	}
	return out
}

// maxStepGPUs returns the largest number of GPUs that a step of the job needs.
func maxStepGPUs(js *ledger.JobState) int64 {
	maxGPUs := int64(0)
	for _, step := range js.Job.Steps {
		maxGPUs = max(maxGPUs, int64(step.Count)*step.GPU)
	}
	return maxGPUs
}
