package ledger

import "iter"

// stepIndex finds the units of a job by their step, and counts what is left of each
// step. It follows from the units, so it is neither in the log nor in snapshots.
type stepIndex struct {
	firsts        []int          // by step: position of its first unit within an occurrence
	perOccurrence int            // number of units of an occurrence
	progress      []stepProgress // by occurrence and step
}

// stepProgress is the progress of one occurrence of a step.
type stepProgress struct {
	undone  int   // units that are not done
	endedAt int64 // latest end of a run of its units, Unix ms; 0 if none has ended
}

// newStepIndex returns the index of a job, or nil if the job does not list its units in
// the order of newJobState, as one of another version of the program may.
func newStepIndex(s *JobState) *stepIndex {
	if !s.ordered() {
		return nil
	}
	x := &stepIndex{progress: make([]stepProgress, s.Job.Occurrences()*len(s.Job.Steps))}
	for i := range s.Job.Steps {
		x.firsts = append(x.firsts, x.perOccurrence)
		x.perOccurrence += s.Job.Steps[i].units()
	}
	for i := range s.Units {
		u := &s.Units[i]
		x.of(u.ID.Occurrence, u.ID.Step).add(u)
	}
	return x
}

// add counts a unit of the step.
func (p *stepProgress) add(u *Unit) {
	p.endedAt = max(p.endedAt, u.RunEndedAt)
	if !u.Done {
		p.undone++
	}
}

// ordered reports whether the job lists its units in the order of newJobState.
func (s *JobState) ordered() bool {
	if s.Job.Occurrences() > len(s.Units) || len(s.Job.Steps) == 0 {
		return false
	}
	i := 0
	for k := range s.Job.Occurrences() {
		for n := range s.Job.Steps {
			if s.Job.Steps[n].units() < 1 {
				return false
			}
			for index := range s.Job.Steps[n].units() {
				if i == len(s.Units) || s.Units[i].ID != (UnitID{s.Job.ID, k, n, index}) {
					return false
				}
				i++
			}
		}
	}
	return i == len(s.Units)
}

// of returns the progress of one occurrence of a step.
func (x *stepIndex) of(occurrence, step int) *stepProgress {
	return &x.progress[occurrence*len(x.firsts)+step]
}

// has reports whether the job has the occurrence of the step.
func (x *stepIndex) has(occurrence, step int) bool {
	return step >= 0 && step < len(x.firsts) && occurrence >= 0 && occurrence < len(x.progress)/len(x.firsts)
}

// noteEnd notes the end of a run of the unit, which may have become done.
func (x *stepIndex) noteEnd(u *Unit) {
	if x == nil {
		return
	}
	p := x.of(u.ID.Occurrence, u.ID.Step)
	p.endedAt = max(p.endedAt, u.RunEndedAt)
	if u.Done {
		p.undone--
	}
}

// first returns the position of the first unit of one occurrence of a step.
func (x *stepIndex) first(occurrence, step int) int {
	return occurrence*x.perOccurrence + x.firsts[step]
}

// StepUnits iterates over the units of one occurrence of a step.
func (s *JobState) StepUnits(occurrence, step int) iter.Seq[*Unit] {
	units := s.Units
	if x := s.steps; x != nil {
		if !x.has(occurrence, step) {
			return func(func(*Unit) bool) {}
		}
		first := x.first(occurrence, step)
		units = s.Units[first : first+s.Job.Steps[step].units()]
	}
	return func(yield func(*Unit) bool) {
		for i := range units {
			u := &units[i]
			if u.ID.Occurrence == occurrence && u.ID.Step == step && !yield(u) {
				return
			}
		}
	}
}

// Unit returns the unit with the given ID, or nil.
func (s *JobState) Unit(id UnitID) *Unit {
	if x := s.steps; x != nil {
		if id.Job != s.Job.ID || !x.has(id.Occurrence, id.Step) || id.Index < 0 || id.Index >= s.Job.Steps[id.Step].units() {
			return nil
		}
		return &s.Units[x.first(id.Occurrence, id.Step)+id.Index]
	}
	for i := range s.Units {
		if s.Units[i].ID == id {
			return &s.Units[i]
		}
	}
	return nil
}

// progress returns the progress of one occurrence of a step.
func (s *JobState) progress(occurrence, step int) stepProgress {
	if x := s.steps; x != nil {
		if !x.has(occurrence, step) {
			return stepProgress{}
		}
		return *x.of(occurrence, step)
	}
	var p stepProgress
	for u := range s.StepUnits(occurrence, step) {
		p.add(u)
	}
	return p
}

// Ready reports whether the steps on which the step of the unit depends are done for the
// occurrence of the unit.
func (s *JobState) Ready(u *Unit) bool {
	for _, before := range s.Job.Steps[u.ID.Step].After {
		if s.progress(u.ID.Occurrence, before).undone > 0 {
			return false
		}
	}
	return true
}

// DependenciesEndedAt returns the Unix time in ms of the latest end of a run of the steps
// on which the step of the unit depends, for the occurrence of the unit, or 0.
func (s *JobState) DependenciesEndedAt(u *Unit) int64 {
	endedAt := int64(0)
	for _, before := range s.Job.Steps[u.ID.Step].After {
		endedAt = max(endedAt, s.progress(u.ID.Occurrence, before).endedAt)
	}
	return endedAt
}
