package ledger

// Phase is the stage of a job in its life cycle.
type Phase string

// The phases of a job. The last three are final.
const (
	Queued    Phase = "queued"  // no task has begun; a start may have been decided
	Running   Phase = "running" // at least one task has begun on a worker
	Finished  Phase = "done"
	JobFailed Phase = "failed" // a unit has used up the attempts that its queue allows
	Cancelled Phase = "cancelled"
)

// begin notes that a task of the job has begun. It reports whether that is new.
func (s *JobState) begin() bool {
	if s.Phase != Queued {
		return false
	}
	s.Phase = Running
	return true
}

// Final reports whether a job in the phase never changes its phase again.
func (p Phase) Final() bool { return p == Finished || p == JobFailed || p == Cancelled }

// Member is one task of the current run of a unit.
type Member struct {
	Worker      string `cbor:"1,keyasint"`
	Ended       bool   `cbor:"2,keyasint,omitempty"`
	Incarnation int64  `cbor:"3,keyasint,omitempty"` // of the worker; 0 is unknown
}

// Unit is the state of a unit of scheduling: one task, or a whole gang, of one
// occurrence of a step.
type Unit struct {
	ID          UnitID     `cbor:"1,keyasint"`
	Run         int        `cbor:"2,keyasint,omitempty"` // number of the newest run
	Failures    int        `cbor:"3,keyasint,omitempty"` // number of failed runs
	RunFailed   bool       `cbor:"4,keyasint,omitempty"` // a member of the current run has failed
	Done        bool       `cbor:"5,keyasint,omitempty"`
	Checkpoint  string     `cbor:"6,keyasint,omitempty"` // newest checkpoint, from which the next run starts
	Members     []Member   `cbor:"7,keyasint,omitempty"` // tasks of the current run; empty if no run is active
	RunEndedAt  int64      `cbor:"8,keyasint,omitempty"` // end of the last run, Unix ms
	LastOutcome RunOutcome `cbor:"9,keyasint,omitempty"`
	FailedOn    []string   `cbor:"10,keyasint,omitempty"` // workers on which a run failed

	RunStartedAt int64        `cbor:"11,keyasint,omitempty"` // start of the newest run, Unix ms
	Crashes      []CrashCount `cbor:"12,keyasint,omitempty"` // by member, see countCrash
	Lost         []LostMember `cbor:"13,keyasint,omitempty"` // of the newest runs, oldest first; until the unit is done or its job has ended
	Resumed      bool         `cbor:"14,keyasint,omitempty"` // the current run was lost before
}

// Active reports whether the unit has a run that has not ended.
func (u *Unit) Active() bool { return len(u.Members) > 0 }

// PartlyEnded reports whether a member of the current run has ended while others
// may still run. The remaining members of a gang are then of no use.
func (u *Unit) PartlyEnded() bool {
	for _, m := range u.Members {
		if m.Ended {
			return true
		}
	}
	return false
}

// JobState is a job and the state of its units.
type JobState struct {
	Job         Job    `cbor:"1,keyasint"`
	Phase       Phase  `cbor:"2,keyasint"`
	Units       []Unit `cbor:"3,keyasint,omitempty"`
	EndedAt     int64  `cbor:"4,keyasint,omitempty"` // Unix ms
	UndoneUnits int    `cbor:"5,keyasint,omitempty"` // units that are not done

	steps *stepIndex // nil if the units are listed in an unknown order
}

// Width returns the number of tasks of the unit: 1, or the size of the gang.
func (s *JobState) Width(u *Unit) int {
	step := &s.Job.Steps[u.ID.Step]
	if step.Gang {
		return step.Count
	}
	return 1
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

// newJobState returns the state of a newly accepted job, with all its units.
func newJobState(j Job) *JobState {
	s := &JobState{Job: j, Phase: Queued}
	for k := range j.Occurrences() {
		for i, step := range j.Steps {
			for index := range step.units() {
				s.Units = append(s.Units, Unit{ID: UnitID{j.ID, k, i, index}})
			}
		}
	}
	s.UndoneUnits = len(s.Units)
	s.steps = newStepIndex(s)
	return s
}

// State is the replicated state: the result of applying the log up to an
// offset.
type State struct {
	Jobs          map[string]*JobState
	Epoch         uint64            // epoch of the newest leader
	Leader        Claim             // of the epoch; without names if the claim had expired before it was read
	NoLeader      bool              // no leader has claimed yet, or the newest one has resigned
	LeaderRecords uint64            // number of claims and other records of the then newest epoch
	Peers         map[string]string // address of each instance by its name
	Joins         map[string]Join   // newest one of each instance by its name

	early  earlyCancels
	queued map[string]int // number of the jobs that have not begun, by queue
}

// NewState returns the state for an empty log.
func NewState() *State {
	return &State{Jobs: make(map[string]*JobState), Peers: make(map[string]string), Joins: make(map[string]Join), NoLeader: true, queued: make(map[string]int)}
}
