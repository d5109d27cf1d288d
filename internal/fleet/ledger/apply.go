package ledger

// Apply applies the next record of the log and reports whether it had an effect.
// Records of an epoch that has ended, of an unknown job or of a run that is not
// current, and repeated claims have no effect.
func (s *State) Apply(r Record) bool {
	id := r.job()
	s.countQueued(id, -1)
	defer s.countQueued(id, 1)
	switch {
	case r.Claim != nil:
		return s.applyClaim(*r.Claim)
	case r.Submit != nil:
		return s.applySubmit(*r.Submit)
	case r.Cancel != nil:
		return s.applyCancel(*r.Cancel, r.Offset)
	case r.Start != nil:
		return s.applyStart(*r.Start)
	case r.End != nil:
		return s.applyEnd(*r.End)
	case r.Heartbeat != nil:
		return s.acceptEpoch(r.Heartbeat.Epoch)
	case r.Resign != nil:
		ok := s.acceptEpoch(r.Resign.Epoch)
		s.NoLeader = s.NoLeader || ok
		return ok
	case r.Rewrite != nil:
		return s.applyRewrite(r.Rewrite)
	case r.Resume != nil:
		return s.applyResume(*r.Resume)
	case r.Begin != nil:
		return s.applyBegin(*r.Begin)
	case r.Join != nil:
		s.Peers[r.Join.Instance] = r.Join.Addr
		s.Joins[r.Join.Instance] = *r.Join
		return true
	}
	return false
}

// acceptEpoch reports whether the epoch is the newest one. If so, it counts the
// record in LeaderRecords, as evidence that the leader is alive.
//
// A record of a later epoch proves that the epoch was claimed before. The state
// lacks the claim if it had expired before it could be read; the leader is then
// unknown until it repeats its claim.
func (s *State) acceptEpoch(epoch uint64) bool {
	if epoch < s.Epoch {
		return false
	}
	if epoch > s.Epoch {
		s.beginEpoch(Claim{Epoch: epoch})
	}
	s.LeaderRecords++
	return true
}

// applyClaim makes the claimant the leader if its epoch is higher than the
// newest one. The leader repeats its claim for readers that begin later: it then
// only shows who leads and that the leader is alive.
func (s *State) applyClaim(c Claim) bool {
	if c.Epoch < s.Epoch || c.Epoch == 0 {
		return false
	}
	s.LeaderRecords++
	if c.Epoch > s.Epoch {
		s.beginEpoch(c)
		return true
	}
	if s.Leader.Instance == "" {
		s.Leader = c
	}
	return false
}

// beginEpoch begins the epoch of a claim.
func (s *State) beginEpoch(c Claim) {
	s.Epoch = c.Epoch
	s.Leader = c
	s.NoLeader = false
}

// applySubmit adds a job unless one with the same ID exists. It is cancelled if it was
// submitted before a cancellation that is already stored.
func (s *State) applySubmit(j Job) bool {
	if _, ok := s.Jobs[j.ID]; ok {
		return false
	}
	if c, ok := s.early.byJob[j.ID]; ok && !c.precedes(&j) {
		s.Jobs[j.ID] = newCancelledJob(j, c.Cancel)
		return true
	}
	s.Jobs[j.ID] = newJobState(j)
	return true
}

// applyStart starts a run of a unit that is neither done nor running, with one
// worker for each task of the unit. It replaces a resumed run: such a record is of a
// leader whose version ignores Resume.
func (s *State) applyStart(r Start) bool {
	if !s.acceptEpoch(r.Epoch) {
		return false
	}
	js := s.Jobs[r.Unit.Job]
	if js == nil || js.Phase.Final() {
		return false
	}
	u := js.Unit(r.Unit)
	if u == nil || u.Done || u.Active() && !u.Resumed || r.Run <= u.Run || len(r.Workers) != js.Width(u) {
		return false
	}
	u.Run = r.Run
	u.RunFailed, u.Resumed = false, false
	u.RunStartedAt = r.At
	u.Members = make([]Member, len(r.Workers))
	for i, w := range r.Workers {
		u.Members[i].Worker = w
		if i < len(r.Incarnations) {
			u.Members[i].Incarnation = r.Incarnations[i]
		}
	}
	if !r.ReportsBegin {
		js.begin()
	}
	return true
}

// applyBegin notes that a task of a job has begun.
func (s *State) applyBegin(r Begin) bool {
	if !s.acceptEpoch(r.Epoch) {
		return false
	}
	js := s.Jobs[r.Job]
	return js != nil && js.begin()
}

// applyEnd marks one member of the current run as ended, and finishes the run
// when it is complete. It also applies the end of a lost member.
func (s *State) applyEnd(r End) bool {
	if !s.acceptEpoch(r.Epoch) {
		return false
	}
	js := s.Jobs[r.Unit.Job]
	if js == nil {
		return false
	}
	u := js.Unit(r.Unit)
	switch {
	case u == nil:
		return false
	case u.Run != r.Run || r.Member < 0 || r.Member >= len(u.Members) || u.Members[r.Member].Ended:
		return js.applyLostEnd(u, r)
	}
	m := &u.Members[r.Member]
	m.Ended = true
	if r.Outcome.provesBegin() {
		js.begin()
	}
	if r.Checkpoint != "" {
		u.Checkpoint = r.Checkpoint
	}
	switch r.Outcome {
	case Done:
		u.Done = true
	case Failed:
		u.RunFailed = true
		u.addFailedOn(m.Worker)
	case WorkerLost:
		u.addLost(r)
	case WorkerCrashed:
		u.addLost(r)
		u.countCrash(r)
	}
	for _, m := range u.Members {
		if !m.Ended && !u.Done {
			return true
		}
	}
	js.finishRun(u, r)
	return true
}

// finishRun closes the current run of a unit when all its members have ended,
// or when one member has ended as done, which completes the whole gang.
func (s *JobState) finishRun(u *Unit, r End) {
	u.Members = nil
	u.Resumed = false
	u.RunEndedAt = r.At
	u.LastOutcome = r.Outcome
	step := &s.Job.Steps[u.ID.Step]
	if u.Done && step.LongRunning {
		u.Done = false // the task runs until the job is cancelled, whatever the outcome of a run
	}
	if u.RunFailed && !u.Done {
		u.Failures++
		u.markLostFailed(u.Run)
	}
	u.RunFailed = false
	if r.Outcome == Done || r.At-u.RunStartedAt > crashBlameTime {
		u.clearCrashes()
	}
	if u.Done {
		s.UndoneUnits--
		u.FailedOn, u.Lost = nil, nil
	}
	s.steps.noteEnd(u)
	s.endIfDecided(u, r)
}

// endIfDecided ends the job if all its units are done, or if the unit must not be
// started again.
func (s *JobState) endIfDecided(u *Unit, r End) {
	if s.Phase.Final() {
		return
	}
	switch {
	case s.UndoneUnits == 0:
		s.Phase = Finished
		s.EndedAt = r.At
	case !s.Job.Steps[u.ID.Step].LongRunning && s.mustGiveUp(u):
		s.Phase = JobFailed
		s.EndedAt = r.At
		s.forgetLost()
	}
}

// forgetLost drops the lost members of all units.
func (s *JobState) forgetLost() {
	for i := range s.Units {
		s.Units[i].Lost = nil
	}
}

// mustGiveUp reports whether the unit has used up its attempts or has crashed too
// many workers.
func (s *JobState) mustGiveUp(u *Unit) bool {
	return !u.Done && s.Job.Attempts > 0 && u.Failures >= s.Job.Attempts || u.crashesWorkers()
}

// applyRewrite replaces the state of a job by the one in the record. It rejects
// a job without an ID and units of steps that the job does not have.
func (s *State) applyRewrite(c *JobState) bool {
	if c.Job.ID == "" {
		return false
	}
	for i := range c.Units {
		if n := c.Units[i].ID.Step; n < 0 || n >= len(c.Job.Steps) {
			return false
		}
	}
	js := *c
	js.steps = newStepIndex(&js)
	s.Jobs[js.Job.ID] = &js
	return true
}

// DropEnded deletes the jobs that ended before the given Unix time in ms and
// have no active run, and the early cancellations before that time.
func (s *State) DropEnded(before int64) {
	s.early.dropBefore(before)
	for id, js := range s.Jobs {
		if js.Phase.Final() && js.EndedAt < before && !js.Active() {
			delete(s.Jobs, id)
		}
	}
}
