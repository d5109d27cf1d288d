package ledger

// Phase is where a job stands.
type Phase string

// The phases of a job; the last three are final.
const (
	Queued    Phase = "queued"
	Running   Phase = "running" // a task has started
	Finished  Phase = "done"
	Faulty    Phase = "failed" // a unit failed as often as its queue allows
	Cancelled Phase = "cancelled"
)

// Final reports whether the phase never changes again.
func (p Phase) Final() bool { return p == Finished || p == Faulty || p == Cancelled }

// Member is one task of the unit's current run.
type Member struct {
	Worker string `cbor:"1,keyasint"`
	Ended  bool   `cbor:"2,keyasint,omitempty"`
}

// Unit is one task, or a whole gang, of one occurrence of a step.
type Unit struct {
	ID       UnitID   `cbor:"1,keyasint"`
	Run      int      `cbor:"2,keyasint,omitempty"` // number of the newest run
	Fails    int      `cbor:"3,keyasint,omitempty"` // runs that ended failed
	Failing  bool     `cbor:"4,keyasint,omitempty"` // a member of the current run has failed
	Done     bool     `cbor:"5,keyasint,omitempty"`
	Saved    string   `cbor:"6,keyasint,omitempty"` // checkpoint for the next run
	Members  []Member `cbor:"7,keyasint,omitempty"` // of the current run; empty when the unit waits
	Freed    int64    `cbor:"8,keyasint,omitempty"` // Unix ms of the last run's end
	LastHow  How      `cbor:"9,keyasint,omitempty"`
	FailedOn []string `cbor:"10,keyasint,omitempty"` // workers on which runs failed
}

// Active reports whether the unit has a run that has not ended.
func (u *Unit) Active() bool { return len(u.Members) > 0 }

// Broken reports whether a member of the current run has ended before the
// others; the rest of a gang's run is then of no use.
func (u *Unit) Broken() bool {
	for _, m := range u.Members {
		if m.Ended {
			return true
		}
	}
	return false
}

// JobState is a job with the progress of its units.
type JobState struct {
	Job      Job    `cbor:"1,keyasint"`
	Phase    Phase  `cbor:"2,keyasint"`
	Units    []Unit `cbor:"3,keyasint,omitempty"`
	Ended    int64  `cbor:"4,keyasint,omitempty"` // Unix ms
	Left     int    `cbor:"5,keyasint,omitempty"` // units that are not done
	Recorded uint64 `cbor:"-"`                    // offset of the newest record that holds the whole job
}

// Width returns the number of tasks of the unit.
func (s *JobState) Width(u *Unit) int {
	step := &s.Job.Steps[u.ID.Step]
	if step.Gang {
		return step.Count
	}
	return 1
}

// Unit returns the unit with the id, or nil.
func (s *JobState) Unit(id UnitID) *Unit {
	for i := range s.Units {
		if s.Units[i].ID == id {
			return &s.Units[i]
		}
	}
	return nil
}

// StepDone reports whether all tasks of a step's occurrence are done.
func (s *JobState) StepDone(occurrence, step int) bool {
	for i := range s.Units {
		u := &s.Units[i]
		if u.ID.Occurrence == occurrence && u.ID.Step == step && !u.Done {
			return false
		}
	}
	return true
}

// Ready reports whether the steps before the unit's are done.
func (s *JobState) Ready(u *Unit) bool {
	for _, before := range s.Job.Steps[u.ID.Step].After {
		if !s.StepDone(u.ID.Occurrence, before) {
			return false
		}
	}
	return true
}

// Active reports whether any unit of the job has a run that has not ended.
func (s *JobState) Active() bool {
	for i := range s.Units {
		if s.Units[i].Active() {
			return true
		}
	}
	return false
}

// newJobState returns the state of a job that has just been accepted.
func newJobState(j Job) *JobState {
	s := &JobState{Job: j, Phase: Queued}
	for k := range j.Occurrences() {
		for i, step := range j.Steps {
			n := step.Count
			if step.Gang {
				n = 1
			}
			for index := range n {
				s.Units = append(s.Units, Unit{ID: UnitID{j.ID, k, i, index}})
			}
		}
	}
	s.Left = len(s.Units)
	return s
}

// State is what the log says up to an offset.
type State struct {
	Jobs   map[string]*JobState
	Epoch  uint64 // of the newest leader
	Leader Claim
	Vacant bool // the leader has resigned
	Beats  uint64
	Peers  map[string]string // address by instance
}

// NewState returns the state of an empty log.
func NewState() *State {
	return &State{Jobs: make(map[string]*JobState), Peers: make(map[string]string), Vacant: true}
}
