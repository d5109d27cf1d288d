package ledger

// Apply folds the record at the offset and reports whether it took effect.
// Records of an epoch that has ended, of unknown jobs and of runs that are not
// current have none.
func (s *State) Apply(offset uint64, r Record) bool {
	switch {
	case r.Claim != nil:
		return s.claim(*r.Claim)
	case r.Submit != nil:
		return s.submit(offset, *r.Submit)
	case r.Cancel != nil:
		return s.cancel(*r.Cancel)
	case r.Start != nil:
		return s.start(*r.Start)
	case r.End != nil:
		return s.end(*r.End)
	case r.Beat != nil:
		return s.current(r.Beat.Epoch)
	case r.Resign != nil:
		ok := s.current(r.Resign.Epoch)
		s.Vacant = s.Vacant || ok
		return ok
	case r.Carry != nil:
		return s.carry(offset, r.Carry)
	case r.Join != nil:
		s.Peers[r.Join.Node] = r.Join.Addr
		return true
	}
	return false
}

// current reports whether the epoch is the newest one, and counts the record
// as a sign of life of its leader.
func (s *State) current(epoch uint64) bool {
	if epoch != s.Epoch {
		return false
	}
	s.Beats++
	return true
}

func (s *State) claim(c Claim) bool {
	if c.Epoch <= s.Epoch {
		return false
	}
	s.Epoch = c.Epoch
	s.Leader = c
	s.Vacant = false
	s.Beats++
	return true
}

func (s *State) submit(offset uint64, j Job) bool {
	if _, ok := s.Jobs[j.ID]; ok {
		return false
	}
	js := newJobState(j)
	js.Recorded = offset
	s.Jobs[j.ID] = js
	return true
}

func (s *State) cancel(c Cancel) bool {
	js := s.Jobs[c.ID]
	if js == nil || js.Phase.Final() {
		return false
	}
	js.Phase = Cancelled
	js.Ended = c.At
	return true
}

func (s *State) start(r Start) bool {
	if !s.current(r.Epoch) {
		return false
	}
	js := s.Jobs[r.Unit.Job]
	if js == nil || js.Phase.Final() {
		return false
	}
	u := js.Unit(r.Unit)
	if u == nil || u.Done || u.Active() || r.Run <= u.Run || len(r.Workers) != js.Width(u) {
		return false
	}
	u.Run = r.Run
	u.Failing = false
	u.Members = make([]Member, len(r.Workers))
	for i, w := range r.Workers {
		u.Members[i].Worker = w
	}
	js.Phase = Running
	return true
}

func (s *State) end(r End) bool {
	if !s.current(r.Epoch) {
		return false
	}
	js := s.Jobs[r.Unit.Job]
	if js == nil {
		return false
	}
	u := js.Unit(r.Unit)
	if u == nil || u.Run != r.Run || r.Member < 0 || r.Member >= len(u.Members) || u.Members[r.Member].Ended {
		return false
	}
	m := &u.Members[r.Member]
	m.Ended = true
	if r.Saved != "" {
		u.Saved = r.Saved
	}
	switch r.How {
	case Done:
		u.Done = true
	case Failed:
		u.Failing = true
		u.FailedOn = append(u.FailedOn, m.Worker)
	}
	for _, m := range u.Members {
		if !m.Ended && !u.Done {
			return true
		}
	}
	js.settle(u, r)
	return true
}

// settle closes the current run of a unit, all of whose members have ended.
// The end of one member as done stands for the whole gang.
func (s *JobState) settle(u *Unit, r End) {
	u.Members = nil
	u.Freed = r.At
	u.LastHow = r.How
	step := &s.Job.Steps[u.ID.Step]
	if u.Done && step.Lasting {
		u.Done = false // runs until the job is cancelled, however a run ends
	}
	if u.Failing && !u.Done {
		u.Fails++
	}
	u.Failing = false
	if u.Done {
		s.Left--
		u.FailedOn = nil
	}
	if s.Phase.Final() {
		return
	}
	switch {
	case s.Left == 0:
		s.Phase = Finished
		s.Ended = r.At
	case !u.Done && !step.Lasting && s.Job.Attempts > 0 && u.Fails >= s.Job.Attempts:
		s.Phase = Faulty
		s.Ended = r.At
	}
}

func (s *State) carry(offset uint64, c *JobState) bool {
	if c.Job.ID == "" {
		return false
	}
	for i := range c.Units {
		if n := c.Units[i].ID.Step; n < 0 || n >= len(c.Job.Steps) {
			return false
		}
	}
	js := *c
	js.Recorded = offset
	s.Jobs[js.Job.ID] = &js
	return true
}

// Forget drops jobs that ended before the Unix time in ms and have no run left.
func (s *State) Forget(before int64) {
	for id, js := range s.Jobs {
		if js.Phase.Final() && js.Ended < before && !js.Active() {
			delete(s.Jobs, id)
		}
	}
}

// Pending counts the accepted jobs of a queue of which no task has started.
func (s *State) Pending(queue string) int {
	n := 0
	for _, js := range s.Jobs {
		if js.Phase == Queued && js.Job.Queue == queue {
			n++
		}
	}
	return n
}
