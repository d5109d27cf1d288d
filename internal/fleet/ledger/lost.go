package ledger

import "slices"

// maxLostRuns bounds the runs of a unit whose lost members are kept.
const maxLostRuns = 4

// LostMember is a member of a run that ended as lost or crashed. Its worker may
// report it again, if it was only cut off.
type LostMember struct {
	Run         int    `cbor:"1,keyasint"`
	Member      int    `cbor:"2,keyasint,omitempty"`
	Worker      string `cbor:"3,keyasint"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"` // of the worker; 0 is unknown
	At          int64  `cbor:"5,keyasint,omitempty"` // when it counted as lost, Unix ms
	Crash       bool   `cbor:"6,keyasint,omitempty"` // it was counted in Unit.Crashes
	Prompt      bool   `cbor:"7,keyasint,omitempty"` // as a prompt crash
	Failed      bool   `cbor:"8,keyasint,omitempty"` // a failure of its run was counted
}

// Resume takes a lost run back, which then is the current run of its unit again.
// Versions before it ignore the record. They see the unit as waiting, and may lead
// and start the next run, which then replaces the resumed one in all states.
type Resume struct {
	Epoch       uint64 `cbor:"1,keyasint"`
	Unit        UnitID `cbor:"2,keyasint"`
	Run         int    `cbor:"3,keyasint"`
	Incarnation int64  `cbor:"4,keyasint,omitempty"` // of the worker that reported the run
}

// CanResume reports whether a lost run of the unit may become its current run again.
// A gang cannot: its other members were stopped.
func (s *JobState) CanResume(u *Unit, run int) bool {
	return !s.Phase.Final() && !u.Done && !u.Active() && u.Run == run && !s.Job.Steps[u.ID.Step].Gang && u.lostIndex(run, 0) >= 0
}

// lostIndex returns the index of a lost member, or -1.
func (u *Unit) lostIndex(run, member int) int {
	return slices.IndexFunc(u.Lost, func(m LostMember) bool { return m.Run == run && m.Member == member })
}

// addLost adds a member of the current run to the lost ones, in place of those of
// the oldest run if there are too many runs.
func (u *Unit) addLost(r End) {
	m := u.Members[r.Member]
	u.Lost = append(u.Lost, LostMember{Run: r.Run, Member: r.Member, Worker: m.Worker, Incarnation: m.Incarnation, At: r.At})
	runs, previous := 0, 0
	for i := len(u.Lost) - 1; i >= 0; i-- {
		if u.Lost[i].Run != previous {
			runs, previous = runs+1, u.Lost[i].Run
		}
		if runs > maxLostRuns {
			u.Lost = slices.Delete(u.Lost, 0, i+1)
			return
		}
	}
}

// takeLost removes a lost member and takes back the crash that was counted for it.
func (u *Unit) takeLost(i int) LostMember {
	m := u.Lost[i]
	u.Lost = slices.Delete(u.Lost, i, i+1)
	if len(u.Lost) == 0 {
		u.Lost = nil
	}
	if m.Crash {
		u.takeBackCrash(m)
	}
	return m
}

// takeBackCrash undoes countCrash.
func (u *Unit) takeBackCrash(m LostMember) {
	if m.Member < 0 || m.Member >= len(u.Crashes) {
		return
	}
	c := &u.Crashes[m.Member]
	c.Total = max(c.Total-1, 0)
	if m.Prompt {
		c.Prompt = max(c.Prompt-1, 0)
	}
	if !slices.ContainsFunc(u.Crashes, func(c CrashCount) bool { return c.Total > 0 }) {
		u.Crashes = nil
	}
}

// clearCrashes forgets all counted crashes of the unit.
func (u *Unit) clearCrashes() {
	u.Crashes = nil
	for i := range u.Lost {
		u.Lost[i].Crash = false
	}
}

// applyResume makes a lost run the current run of its unit again.
func (s *State) applyResume(r Resume) bool {
	if !s.acceptEpoch(r.Epoch) {
		return false
	}
	js := s.Jobs[r.Unit.Job]
	if js == nil {
		return false
	}
	u := js.Unit(r.Unit)
	if u == nil || !js.CanResume(u, r.Run) {
		return false
	}
	m := u.takeLost(u.lostIndex(r.Run, 0))
	u.Members = []Member{{Worker: m.Worker, Incarnation: r.Incarnation}}
	u.Resumed = true
	js.begin()
	return true
}

// applyLostEnd applies the end that a worker has reported of a lost member. If it is
// done the unit is done, whatever was started since; if it has failed the run counts
// as a failed attempt.
func (s *JobState) applyLostEnd(u *Unit, r End) bool {
	i := u.lostIndex(r.Run, r.Member)
	if i < 0 || r.Outcome == WorkerLost || r.Outcome == WorkerCrashed {
		return false
	}
	m := u.takeLost(i)
	if r.Outcome.provesBegin() {
		s.begin()
	}
	if r.Checkpoint != "" && (r.Run == u.Run || u.Checkpoint == "") {
		u.Checkpoint = r.Checkpoint
	}
	switch {
	case r.Outcome == Done && !s.Job.Steps[u.ID.Step].LongRunning:
		u.Done = true
		s.finishRun(u, r)
	case r.Outcome == Failed:
		u.addFailedOn(m.Worker)
		s.countLostFailure(u, m, r)
	}
	return true
}

// countLostFailure counts the run of a lost member as failed, once for all members
// of the run.
func (s *JobState) countLostFailure(u *Unit, m LostMember, r End) {
	switch {
	case m.Run == u.Run && u.Active():
		u.RunFailed = true
		return
	case m.Failed:
		return
	}
	u.Failures++
	u.markLostFailed(m.Run)
	s.endIfDecided(u, r)
}

// markLostFailed notes that the failure of a run was counted.
func (u *Unit) markLostFailed(run int) {
	for i := range u.Lost {
		if u.Lost[i].Run == run {
			u.Lost[i].Failed = true
		}
	}
}
